package relay

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// testTimeout is the maximum wait for an expected event.
const testTimeout = 5 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startLink starts a link to a target that calls handle for each connection. It returns the link and its address.
func startLink(t *testing.T, c Conditions, handle func(net.Conn)) (*Link, string) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	l := New(target.Addr().String(), 1, c)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Listen(listener)
	t.Cleanup(func() {
		l.Close()
		target.Close()
		<-done
	})
	return l, listener.Addr().String()
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

func echo(c net.Conn) {
	_, _ = io.Copy(c, c) // a reset by the link is a regular end
}

// exchange writes a text, and reads and returns as many bytes.
func exchange(t *testing.T, c net.Conn, text string) string {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, len(text))
	if _, err := io.ReadFull(c, buf); err != nil {
		t.Fatal(err)
	}
	return string(buf)
}

// All bytes must arrive in order, followed by the end of sending, under all conditions that lose nothing.
func TestLinkDeliversAllBytesInOrder(t *testing.T) {
	sent := bytes.Repeat([]byte("all of it, in order. "), 8000)
	for name, c := range map[string]Conditions{
		"plain":     {},
		"delay":     {Delay: 20 * time.Millisecond, Jitter: 0.9},
		"split":     {MaxWriteBytes: 1000},
		"slow":      {MaxWriteBytes: 9000, WritePause: time.Millisecond},
		"bandwidth": {BytesPerSecond: 4 << 20},
		"stalls":    {StallProbability: 0.5, MaxStall: 5 * time.Millisecond},
		"all together": {
			Delay:            time.Millisecond,
			Jitter:           1,
			MaxWriteBytes:    5000,
			BytesPerSecond:   8 << 20,
			StallProbability: 0.1,
			MaxStall:         time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, addr := startLink(t, c, echo)
			client := dial(t, addr)
			go func() {
				_, _ = client.Write(sent) // a failure shows in the data read below
				_ = client.CloseWrite()
			}()
			got, err := io.ReadAll(client)
			if err != nil || !bytes.Equal(got, sent) {
				t.Errorf("received %d of %d bytes (error %v), or bytes that differ", len(got), len(sent), err)
			}
		})
	}
}

func TestLinkDelaysBothDirections(t *testing.T) {
	const delay = 30 * time.Millisecond
	_, addr := startLink(t, Conditions{Delay: delay}, echo)
	c := dial(t, addr)
	start := time.Now()
	exchange(t, c, "x")
	if elapsed := time.Since(start); elapsed < 2*delay {
		t.Errorf("the round trip took %v, less than twice %v", elapsed, delay)
	}
}

func TestResetBreaksOpenConnectionsOnly(t *testing.T) {
	l, addr := startLink(t, Conditions{}, echo)
	c := dial(t, addr)
	exchange(t, c, "x")
	l.Reset()
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("Read returned %v after a reset", err)
	}
	exchange(t, dial(t, addr), "a new connection")
}

func TestRefuseStopsListeningUntilListen(t *testing.T) {
	l, addr := startLink(t, Conditions{}, echo)
	l.Refuse()
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("a connection was accepted after Refuse")
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	l.Listen(listener)
	exchange(t, dial(t, addr), "after Listen")
}

// Checks that a black hole loses data silently, and that its end resets the connections that lost data and no others.
func TestBlackHoleBreaksOnlyLossyConnectionsAtItsEnd(t *testing.T) {
	received := make(chan string, 10)
	l, addr := startLink(t, Conditions{}, func(c net.Conn) {
		buf := make([]byte, 100)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			received <- string(buf[:n])
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		}
	})
	lossy := dial(t, addr)
	idle := dial(t, addr)
	exchange(t, lossy, "a")
	exchange(t, idle, "b")
	<-received
	<-received
	l.Update(func(c *Conditions) { c.BlackHole = true })
	if _, err := lossy.Write([]byte("lost")); err != nil {
		t.Errorf("the sender noticed the black hole: %v", err)
	}
	// The black hole may end only after the link has lost the data.
	for deadline := time.Now().Add(testTimeout); !l.anyLossy() && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	l.Update(func(c *Conditions) { c.BlackHole = false })
	if _, err := lossy.Read(make([]byte, 1)); err == nil {
		t.Error("the connection that lost data was not reset")
	}
	if got := exchange(t, idle, "still here"); got != "still here" {
		t.Errorf("the idle connection received %q", got)
	}
	if got := <-received; got != "still here" {
		t.Errorf("the target received %q", got)
	}
}

func (l *Link) anyLossy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.connections {
		if p.lossy {
			return true
		}
	}
	return false
}

func TestDropHalfCloseHidesEndOfSending(t *testing.T) {
	ended := make(chan struct{}, 2)
	_, addr := startLink(t, Conditions{DropHalfClose: true}, func(c net.Conn) {
		buf := make([]byte, 10)
		n, err := c.Read(buf)
		if err != nil {
			t.Errorf("the target's first read: %v", err)
			return
		}
		if _, err := c.Write(buf[:n]); err != nil {
			t.Errorf("the target's write: %v", err)
		}
		if err := c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
			t.Errorf("the target's read deadline: %v", err)
		}
		if _, err := c.Read(buf); errors.Is(err, io.EOF) {
			ended <- struct{}{}
		}
	})
	c := dial(t, addr)
	if _, err := io.WriteString(c, "x"); err != nil {
		t.Fatal(err)
	}
	if err := c.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err != nil { // returns once the target has closed the connection
		t.Fatal(err)
	}
	select {
	case <-ended:
		t.Error("the end of sending was forwarded")
	default:
	}
}

func TestCloseEndsConnectionsAndListener(t *testing.T) {
	l, addr := startLink(t, Conditions{Delay: time.Hour}, echo)
	c := dial(t, addr)
	if _, err := io.WriteString(c, "in flight for an hour"); err != nil {
		t.Fatal(err)
	}
	l.Close()
	if l.OpenConnections() != 0 {
		t.Errorf("%d connections are open", l.OpenConnections())
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("a connection was accepted after Close")
	}
}
