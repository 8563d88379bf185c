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

// fakeBackend records the calls of Maintain.
type fakeBackend struct {
	status error
	hang   bool // makes Maintain wait for the end of its context
	calls  []string
}

func (b *fakeBackend) Status() error { return b.status }

func (b *fakeBackend) Stats(w io.Writer) error {
	_, err := io.WriteString(w, "app_current 1\n")
	return err
}

func (b *fakeBackend) Maintain(ctx context.Context, id string, start bool) error {
	if b.hang {
		<-ctx.Done()
		return ctx.Err()
	}
	if id == "nobody" {
		return errors.New("unknown id nobody")
	}
	call := "off "
	if start {
		call = "on "
	}
	b.calls = append(b.calls, call+id)
	return nil
}

// pipeListener is a listener of in-memory connections, which work with synctest, unlike sockets.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// call sends a text on a new connection and returns the complete answer. It ignores errors, since the server may close
// the connection before it has read all of the text.
func (l *pipeListener) call(text string) string {
	c := l.dial()
	defer closeQuietly(c)
	go func() { _, _ = io.WriteString(c, text) }()
	answer, _ := io.ReadAll(c)
	return string(answer)
}

// withServer runs a test against a server in virtual time, and checks that Serve returns without an error.
func withServer(t *testing.T, backend *fakeBackend, test func(t *testing.T, l *pipeListener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newPipeListener()
		served := make(chan error, 1)
		go func() { served <- New(backend, slog.New(slog.DiscardHandler)).Serve(ctx, l) }()
		test(t, l)
		cancel()
		if err := <-served; err != nil {
			t.Error("Serve returned", err)
		}
	})
}

func TestCallsAreAnswered(t *testing.T) {
	backend := &fakeBackend{}
	withServer(t, backend, func(t *testing.T, l *pipeListener) {
		t.Helper()
		for _, test := range []struct{ text, want string }{
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
			if got := l.call(test.text); got != test.want {
				t.Errorf("call %.20q: answer %q, want %q", test.text, got, test.want)
			}
		}
		if got := strings.Join(backend.calls, ","); got != "on s-1,off s-1" {
			t.Error("calls of Maintain, want on and off for s-1:", got)
		}
		backend.status = errors.New("no list yet")
		if got := l.call("status\n"); got != "NO no list yet\n" {
			t.Errorf("status of a process without a list: answer %q, want NO", got)
		}
	})
}

// Connections that send no line, even more than MaxConns, do not delay a call. They are closed within lineTimeout.
func TestSilentCallersDoNotDelayCalls(t *testing.T) {
	withServer(t, &fakeBackend{}, func(t *testing.T, l *pipeListener) {
		t.Helper()
		start := time.Now()
		var silent []net.Conn
		for range 3 * MaxConns {
			silent = append(silent, l.dial())
		}
		if got := l.call("status\n"); got != "YES\n" {
			t.Errorf("status beside silent callers: answer %q, want YES", got)
		}
		if elapsed := time.Since(start); elapsed != 0 {
			t.Errorf("the answer beside silent callers took %v, want no time", elapsed)
		}
		for _, c := range silent {
			if _, err := c.Read(make([]byte, 1)); err == nil {
				t.Error("a silent caller was answered")
			}
		}
		if elapsed := time.Since(start); elapsed > lineTimeout {
			t.Errorf("the silent callers were disconnected only after %v", elapsed)
		}
	})
}

// A call that the backend does not carry out in time is answered with NO before the caller gives up after 1 s.
func TestHungCallIsAnsweredInTime(t *testing.T) {
	withServer(t, &fakeBackend{hang: true}, func(t *testing.T, l *pipeListener) {
		t.Helper()
		start := time.Now()
		if got := l.call("maint-on s-1\n"); got != "NO context deadline exceeded\n" {
			t.Errorf("call to a hung backend: answer %q, want NO with the timeout", got)
		}
		if elapsed := time.Since(start); elapsed >= time.Second {
			t.Errorf("the answer from a hung backend took %v, want less than 1 s", elapsed)
		}
	})
}

// A call over a TCP socket is answered, and Serve returns once its context ends.
func TestServeOverTCP(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- New(&fakeBackend{}, slog.New(slog.DiscardHandler)).Serve(ctx, ln) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(c)
	if _, err := io.WriteString(c, "status\n"); err != nil {
		t.Fatal(err)
	}
	if got, err := bufio.NewReader(c).ReadString('\n'); got != "YES\n" {
		t.Errorf("status over TCP: answer %q, error %v, want YES", got, err)
	}
	cancel()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
