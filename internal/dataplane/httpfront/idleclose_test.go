package httpfront

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// idleConn is a connection that has had an answer, whose owner does what the test says, step by step.
type idleConn struct {
	clients   *clients
	owned     *client
	clientEnd *net.TCPConn // the client's end
	steps     chan func()
	ended     chan struct{}
}

func newIdleConn(t *testing.T) *idleConn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	there, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	here, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	r := &idleConn{clientEnd: there.(*net.TCPConn), steps: make(chan func()), ended: make(chan struct{})}
	t.Cleanup(func() { there.Close() })
	if err := there.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	got := make(chan *client)
	r.clients = newClients(4, func(c *client) {
		got <- c
		for do := range r.steps {
			do()
		}
	}, new(metrics.Counter), sidecartest.DiscardLog)
	r.clients.add(here)
	r.owned = <-got
	r.do(func() {
		r.clients.beginRequest(r.owned)
		r.clients.endRequest(r.owned)
	})
	return r
}

// do runs f in the owner's goroutine.
func (r *idleConn) do(f func()) {
	done := make(chan struct{})
	r.steps <- func() {
		defer close(done)
		f()
	}
	<-done
}

// requestLine is the beginning of a request.
const requestLine = "GET / HTTP/1.1\r\n"

// arrive sends requestLine, and waits until it is in the receive buffer of the other end.
func (r *idleConn) arrive(t *testing.T) {
	t.Helper()
	write(t, r.clientEnd, requestLine)
	waitUntil(t, "bytes at the other end", func() bool {
		n := 0
		err := r.owned.raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), make([]byte, len(requestLine)), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return err == nil && n == len(requestLine)
	})
}

// A request on an idle connection races with the connection's close. If it is read first, it is served. If it
// arrived and was not read, the final read finds it, and it is served. If it arrives after the final read, it is
// not accepted, and the client sees the connection end, not a reset, so that it can send the request on another.
func TestCloseOfIdleConnectionRacesWithRequest(t *testing.T) {
	buf := make([]byte, 64)
	closers := map[string]func(k *clients){
		"stop":   func(k *clients) { k.closeIdle() },
		"settle": func(k *clients) { k.closeIdleFor(-time.Second) },
	}
	for name, closeAll := range closers {
		t.Run(name+", read first", func(t *testing.T) {
			r := newIdleConn(t)
			write(t, r.clientEnd, requestLine)
			r.do(func() { _, _ = r.owned.Read(buf) })
			closeAll(r.clients)
			var taken bool
			r.do(func() { taken = r.clients.beginRequest(r.owned) })
			if !taken {
				t.Error("what was read is not served")
			}
			close(r.steps)
			r.clients.serving.Wait()
		})
		t.Run(name+", there and not read", func(t *testing.T) {
			r := newIdleConn(t)
			r.arrive(t)
			closeAll(r.clients)
			var n int
			var taken bool
			r.do(func() {
				n, _ = r.owned.Read(buf)
				taken = r.clients.beginRequest(r.owned)
			})
			if n != len(requestLine) || !taken {
				t.Errorf("read %d bytes, taken %v", n, taken)
			}
			close(r.steps)
			r.clients.serving.Wait()
		})
		t.Run(name+", behind the last look", func(t *testing.T) {
			r := newIdleConn(t)
			closeAll(r.clients)
			var err error
			r.do(func() { _, err = r.owned.Read(buf) })
			if !errors.Is(err, net.ErrClosed) {
				t.Errorf("last look: %v, want the end", err)
			}
			r.arrive(t)
			r.do(func() { _, err = r.owned.Read(buf) })
			if !errors.Is(err, net.ErrClosed) || r.clients.beginRequest(r.owned) {
				t.Errorf("a request behind the last look is read: %v", err)
			}
			close(r.steps)
			if _, err := r.clientEnd.Read(buf); !errors.Is(err, io.EOF) {
				t.Errorf("the client finds %v, want the end in order", err)
			}
			r.clientEnd.Close()
			r.clients.serving.Wait()
		})
	}
	for name, closeAll := range closers {
		t.Run(name+", while it is read", func(t *testing.T) {
			r := newIdleConn(t)
			r.arrive(t)
			looks := make(chan struct{})
			raw := r.owned.raw
			got := make(chan int)
			go r.do(func() {
				r.owned.raw = &blockingRawConn{RawConn: raw, looks: looks}
				n, _ := r.owned.Read(buf)
				r.owned.raw = raw
				got <- n
			})
			sidecartest.Receive(t, looks, "a read that begins")
			closeAll(r.clients)
			looks <- struct{}{}
			if n := sidecartest.Receive(t, got, "the read"); n != len(requestLine) {
				t.Errorf("read %d bytes", n)
			}
			// The owner was woken for nothing: it reads on.
			write(t, r.clientEnd, "Host: a")
			var err error
			r.do(func() { _, err = r.owned.Read(buf) })
			if err != nil {
				t.Errorf("the rest of the request: %v", err)
			}
			close(r.steps)
			r.clientEnd.Close()
			r.clients.serving.Wait()
		})
	}
	t.Run("behind the last answer", func(t *testing.T) {
		r := newIdleConn(t)
		r.do(func() {
			r.clients.beginRequest(r.owned)
			r.clients.endRequest(r.owned)
		})
		r.arrive(t)
		close(r.steps) // its answer said that it is the last
		if _, err := r.clientEnd.Read(buf); !errors.Is(err, io.EOF) {
			t.Errorf("the client finds %v, want the end in order", err)
		}
		r.clientEnd.Close()
		r.clients.serving.Wait()
	})
	t.Run("stop, while the owner waits", func(t *testing.T) {
		r := newIdleConn(t)
		got := make(chan error)
		go r.do(func() {
			_, err := r.owned.Read(buf)
			got <- err
		})
		r.clients.closeIdle()
		if err := sidecartest.Receive(t, got, "end of the wait"); !errors.Is(err, net.ErrClosed) {
			t.Errorf("the owner is told %v", err)
		}
		close(r.steps)
		r.clientEnd.Close()
		r.clients.serving.Wait()
	})
	t.Run("stop, before the answer is out", func(t *testing.T) {
		r := newIdleConn(t)
		r.do(func() {
			_, _ = r.owned.Read(buf[:0])
			r.clients.beginRequest(r.owned)
		})
		r.clients.closeIdle()
		r.do(func() { r.clients.endRequest(r.owned) })
		var err error
		r.do(func() { _, err = r.owned.Read(buf) })
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("after its answer it stays open: %v", err)
		}
		close(r.steps)
		r.clientEnd.Close()
		r.clients.serving.Wait()
	})
}

// blockingRawConn blocks each read until the test lets it proceed.
type blockingRawConn struct {
	syscall.RawConn
	looks chan struct{}
}

func (r *blockingRawConn) Read(f func(fd uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool {
		r.looks <- struct{}{}
		<-r.looks
		return f(fd)
	})
}
