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

const testTimeout = 5 * time.Second // bounds the waits for what must come

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startLink starts a relay to a target whose connections go to far, and returns its address.
func startLink(t *testing.T, c Conditions, far func(net.Conn)) (*Link, string) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			nc, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				far(nc)
			}()
		}
	}()
	l := New(target.Addr().String(), 1, c)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Listen(ln)
	t.Cleanup(func() {
		l.Close()
		target.Close()
		<-done
	})
	return l, ln.Addr().String()
}

func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c.(*net.TCPConn)
}

func echo(c net.Conn) { io.Copy(c, c) }

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

// Whatever the conditions are, what arrives is what was sent, whole and in order, and the end of sending arrives.
func TestLinkDeliversAllBytesInOrder(t *testing.T) {
	sent := bytes.Repeat([]byte("all of it, in order. "), 8000)
	for name, c := range map[string]Conditions{
		"plain":      {},
		"delay":      {Delay: 20 * time.Millisecond, Jitter: 0.9},
		"split":      {MaxWriteBytes: 1000},
		"slow":       {MaxWriteBytes: 9000, WritePause: time.Millisecond},
		"bandwidth":  {BytesPerSecond: 4 << 20},
		"stalls":     {StallProbability: 0.5, MaxStall: 5 * time.Millisecond},
		"everything": {Delay: time.Millisecond, Jitter: 1, MaxWriteBytes: 5000, BytesPerSecond: 8 << 20, StallProbability: 0.1, MaxStall: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, addr := startLink(t, c, echo)
			near := dial(t, addr)
			go func() {
				near.Write(sent)
				near.CloseWrite()
			}()
			if got, err := io.ReadAll(near); err != nil || !bytes.Equal(got, sent) {
				t.Errorf("%d bytes of %d came back (%v)", len(got), len(sent), err)
			}
		})
	}
}

func TestLinkDelaysBothDirections(t *testing.T) {
	const delay = 30 * time.Millisecond
	_, addr := startLink(t, Conditions{Delay: delay}, echo)
	c := dial(t, addr)
	began := time.Now()
	exchange(t, c, "x")
	if took := time.Since(began); took < 2*delay {
		t.Errorf("there and back took %v, less than twice %v", took, delay)
	}
}

func TestResetBreaksOpenConnectionsOnly(t *testing.T) {
	l, addr := startLink(t, Conditions{}, echo)
	c := dial(t, addr)
	exchange(t, c, "x")
	l.Reset()
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a reset is read as %v", err)
	}
	exchange(t, dial(t, addr), "the next one works")
}

func TestRefuseStopsListeningUntilListen(t *testing.T) {
	l, addr := startLink(t, Conditions{}, echo)
	l.Refuse()
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("a connection came up")
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	l.Listen(ln)
	exchange(t, dial(t, addr), "listens again")
}

// In a black hole everything is lost with no word; when it ends, what lost something breaks and the rest goes on.
func TestBlackHoleBreaksOnlyLossyConnectionsAtItsEnd(t *testing.T) {
	heard := make(chan string, 10)
	l, addr := startLink(t, Conditions{}, func(c net.Conn) {
		buf := make([]byte, 100)
		for {
			n, err := c.Read(buf)
			if err != nil {
				return
			}
			heard <- string(buf[:n])
			c.Write(buf[:n])
		}
	})
	loser, quiet := dial(t, addr), dial(t, addr)
	exchange(t, loser, "a")
	exchange(t, quiet, "b")
	<-heard
	<-heard
	l.Update(func(c *Conditions) { c.BlackHole = true })
	if _, err := loser.Write([]byte("lost")); err != nil {
		t.Errorf("the sender hears of it: %v", err)
	}
	// It has been lost once the relay says so; only then may the hole end.
	for end := time.Now().Add(testTimeout); !l.anyLossy() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	l.Update(func(c *Conditions) { c.BlackHole = false })
	if _, err := loser.Read(make([]byte, 1)); err == nil {
		t.Error("what was lost came back")
	}
	if got := exchange(t, quiet, "still here"); got != "still here" {
		t.Errorf("the quiet one got %q", got)
	}
	if got := <-heard; got != "still here" {
		t.Errorf("the target heard %q", got)
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
		n, _ := c.Read(buf)
		c.Write(buf[:n])
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := c.Read(buf); errors.Is(err, io.EOF) {
			ended <- struct{}{}
		}
	})
	c := dial(t, addr)
	io.WriteString(c, "x")
	c.CloseWrite()
	io.ReadAll(c)
	select {
	case <-ended:
		t.Error("the end of sending was passed on")
	default:
	}
}

func TestCloseEndsConnectionsAndListener(t *testing.T) {
	l, addr := startLink(t, Conditions{Delay: time.Hour}, echo)
	c := dial(t, addr)
	io.WriteString(c, "on its way for an hour")
	l.Close()
	if l.OpenConnections() != 0 {
		t.Errorf("%d connections are open", l.OpenConnections())
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		c.Close()
		t.Error("it listens")
	}
}
