package management

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

type desk struct {
	status error
	stall  bool // Maintain never comes back by itself
	calls  []string
}

func (d *desk) Status() error { return d.status }

func (d *desk) Stats(w io.Writer) error {
	_, err := io.WriteString(w, "app_current 1\n")
	return err
}

func (d *desk) Maintain(ctx context.Context, id string, out bool) error {
	if d.stall {
		<-ctx.Done()
		return ctx.Err()
	}
	if id == "nobody" {
		return errors.New("unknown id nobody")
	}
	call := "off "
	if out {
		call = "on "
	}
	d.calls = append(d.calls, call+id)
	return nil
}

// pipes is a listener whose connections live in memory, where synctest sees all.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.closed); return nil }
func (p *pipes) Addr() net.Addr { return &net.UnixAddr{} }

func (p *pipes) dial() net.Conn {
	here, there := net.Pipe()
	p.conns <- there
	return here
}

// say makes one call and returns the whole answer. What the server does not read is no failure.
func (p *pipes) say(text string) string {
	c := p.dial()
	defer c.Close()
	go io.WriteString(c, text)
	answer, _ := io.ReadAll(c)
	return string(answer)
}

// serving runs a server in a bubble of its own time.
func serving(t *testing.T, d *desk, test func(t *testing.T, p *pipes)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := newPipes()
		ended := make(chan error, 1)
		go func() { ended <- New(d, slog.New(slog.DiscardHandler)).Serve(ctx, p) }()
		test(t, p)
		cancel()
		if err := <-ended; err != nil {
			t.Error("ended with", err)
		}
	})
}

func TestCalls(t *testing.T) {
	d := &desk{}
	serving(t, d, func(t *testing.T, p *pipes) {
		for _, c := range []struct{ say, want string }{
			{"status\n", "YES\n"},
			{"status\r\n", "YES\n"},
			{"stats\n", "app_current 1\nEND\n"},
			{"maint-on s-1\n", "YES\n"},
			{"maint-off s-1\n", "YES\n"},
			{"maint-on nobody\n", "NO unknown id nobody\n"},
			{"maint-on\n", "NO maint-on takes 1 words, not 0\n"},
			{"maint-on a b\n", "NO maint-on takes 1 words, not 2\n"},
			{"status now\n", "NO status takes 0 words, not 1\n"},
			{"\n", "NO empty line\n"},
			{"STATUS\n", "NO unknown call\n"},
			{"GET / HTTP/1.1\r\n\r\n", "NO unknown call\n"},
			{"st\x00atus\n", "NO malformed line: not plain text\n"},
			{strings.Repeat("x", maxLineBytes), "NO malformed line: over 512 bytes\n"},
		} {
			if got := p.say(c.say); got != c.want {
				t.Errorf("%.20q: got %q, want %q", c.say, got, c.want)
			}
		}
		if got := strings.Join(d.calls, ","); got != "on s-1,off s-1" {
			t.Error("the desk was asked", got)
		}
		d.status = errors.New("no list yet")
		if got := p.say("status\n"); got != "NO no list yet\n" {
			t.Errorf("got %q", got)
		}
	})
}

// Silent callers keep nobody out, however many they are, and are let go after a while.
func TestSilentCallers(t *testing.T) {
	serving(t, &desk{}, func(t *testing.T, p *pipes) {
		begun := time.Now()
		var silent []net.Conn
		for range 3 * MaxConns {
			silent = append(silent, p.dial())
		}
		if got := p.say("status\n"); got != "YES\n" {
			t.Errorf("got %q", got)
		}
		if passed := time.Since(begun); passed != 0 {
			t.Errorf("the answer took %v", passed)
		}
		for _, c := range silent {
			if _, err := c.Read(make([]byte, 1)); err == nil {
				t.Error("a silent caller was answered")
			}
		}
		if passed := time.Since(begun); passed > lineTimeout {
			t.Errorf("a silent caller was kept for %v", passed)
		}
	})
}

// A call that the desk cannot carry out in time is answered NO while the caller still waits.
func TestStalledDesk(t *testing.T) {
	serving(t, &desk{stall: true}, func(t *testing.T, p *pipes) {
		begun := time.Now()
		if got := p.say("maint-on s-1\n"); got != "NO context deadline exceeded\n" {
			t.Errorf("got %q", got)
		}
		if passed := time.Since(begun); passed >= time.Second {
			t.Errorf("the answer took %v", passed)
		}
	})
}

// What has been heard is answered though the server ends; real sockets.
func TestRealSocket(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- New(&desk{}, slog.New(slog.DiscardHandler)).Serve(ctx, ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "status\n")
	if got, err := bufio.NewReader(c).ReadString('\n'); got != "YES\n" {
		t.Errorf("got %q, %v", got, err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
