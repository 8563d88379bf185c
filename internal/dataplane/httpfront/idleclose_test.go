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

// idleConn is a client's connection whose last request was answered. Its owner runs the steps that the test gives it.
type idleConn struct {
	clients   *clients
	serverEnd *client
	clientEnd *net.TCPConn
	steps     chan func() // closed to have the owner return
	ended     chan struct{}
}

func newIdleConn(t *testing.T) *idleConn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	clientEnd, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	serverEnd, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	r := &idleConn{clientEnd: clientEnd.(*net.TCPConn), steps: make(chan func()), ended: make(chan struct{})}
	t.Cleanup(func() { clientEnd.Close() })
	if err := clientEnd.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
	added := make(chan *client)
	r.clients = newClients(4, func(c *client) {
		added <- c
		for step := range r.steps {
			step()
		}
	}, new(metrics.Counter), sidecartest.DiscardLog)
	r.clients.add(serverEnd)
	r.serverEnd = <-added
	r.runAsOwner(func() {
		r.clients.beginRequest(r.serverEnd)
		r.clients.endRequest(r.serverEnd)
	})
	return r
}

// runAsOwner runs f in the owner's goroutine, and returns once f has returned.
func (r *idleConn) runAsOwner(f func()) {
	done := make(chan struct{})
	r.steps <- func() {
		defer close(done)
		f()
	}
	<-done
}

// requestLine is the beginning of a request.
const requestLine = "GET / HTTP/1.1\r\n"

// sendRequestLine sends requestLine, and waits until it is in the receive buffer of the server's end.
func (r *idleConn) sendRequestLine(t *testing.T) {
	t.Helper()
	write(t, r.clientEnd, requestLine)
	waitUntil(t, "arrival of the request line in the server's receive buffer", func() bool {
		n := 0
		err := r.serverEnd.raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), make([]byte, len(requestLine)), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return err == nil && n == len(requestLine)
	})
}

// TestCloseOfIdleConnectionRacesWithRequest has a request arrive while its idle connection is closed. If the request is
// read before the close, it is served. If it arrived but was not read, the final read finds it, and it is served. If it
// arrives after the final read, it is not accepted, and the client sees the connection end without a reset, so that it
// can send the request on another connection.
func TestCloseOfIdleConnectionRacesWithRequest(t *testing.T) {
	buf := make([]byte, 64)
	closers := map[string]func(k *clients){
		"stop":   func(k *clients) { k.closeIdle() },
		"settle": func(k *clients) { k.closeIdleFor(-time.Second) },
	}
	for name, closeAll := range closers {
		t.Run(name+", request read before", func(t *testing.T) {
			r := newIdleConn(t)
			write(t, r.clientEnd, requestLine)
			r.runAsOwner(func() { _, _ = r.serverEnd.Read(buf) })
			closeAll(r.clients)
			var accepted bool
			r.runAsOwner(func() { accepted = r.clients.beginRequest(r.serverEnd) })
			if !accepted {
				t.Error("a request that was read before the close is not accepted")
			}
			close(r.steps)
			r.clients.serving.Wait()
		})
		t.Run(name+", request arrived but not read", func(t *testing.T) {
			r := newIdleConn(t)
			r.sendRequestLine(t)
			closeAll(r.clients)
			var n int
			var accepted bool
			r.runAsOwner(func() {
				n, _ = r.serverEnd.Read(buf)
				accepted = r.clients.beginRequest(r.serverEnd)
			})
			if n != len(requestLine) || !accepted {
				t.Errorf("final read: %d bytes, request accepted: %v; want the request line, accepted", n, accepted)
			}
			close(r.steps)
			r.clients.serving.Wait()
		})
		t.Run(name+", request arrives after the final read", func(t *testing.T) {
			r := newIdleConn(t)
			closeAll(r.clients)
			var err error
			r.runAsOwner(func() { _, err = r.serverEnd.Read(buf) })
			if !errors.Is(err, net.ErrClosed) {
				t.Errorf("final read: error %v, want net.ErrClosed", err)
			}
			r.sendRequestLine(t)
			r.runAsOwner(func() { _, err = r.serverEnd.Read(buf) })
			if !errors.Is(err, net.ErrClosed) || r.clients.beginRequest(r.serverEnd) {
				t.Errorf("a request after the final read is read or accepted: error %v, want net.ErrClosed", err)
			}
			close(r.steps)
			if _, err := r.clientEnd.Read(buf); !errors.Is(err, io.EOF) {
				t.Errorf("the client's read: error %v, want io.EOF, and no reset", err)
			}
			r.clientEnd.Close()
			r.clients.serving.Wait()
		})
	}
	for name, closeAll := range closers {
		t.Run(name+", during the read", func(t *testing.T) {
			r := newIdleConn(t)
			r.sendRequestLine(t)
			reads := make(chan struct{})
			raw := r.serverEnd.raw
			got := make(chan int)
			go r.runAsOwner(func() {
				r.serverEnd.raw = &blockingRawConn{RawConn: raw, reads: reads}
				n, _ := r.serverEnd.Read(buf)
				r.serverEnd.raw = raw
				got <- n
			})
			sidecartest.Receive(t, reads, "start of a read")
			closeAll(r.clients)
			reads <- struct{}{}
			if n := sidecartest.Receive(t, got, "result of the read"); n != len(requestLine) {
				t.Errorf("read %d bytes, want the request line", n)
			}
			// The close came after the request had begun to be read, so that the owner reads on.
			write(t, r.clientEnd, "Host: a")
			var err error
			r.runAsOwner(func() { _, err = r.serverEnd.Read(buf) })
			if err != nil {
				t.Errorf("reading the rest of the request: %v", err)
			}
			close(r.steps)
			r.clientEnd.Close()
			r.clients.serving.Wait()
		})
	}
	t.Run("request after the last answer", func(t *testing.T) {
		r := newIdleConn(t)
		r.runAsOwner(func() {
			r.clients.beginRequest(r.serverEnd)
			r.clients.endRequest(r.serverEnd)
		})
		r.sendRequestLine(t)
		close(r.steps) // the answer announced the close of the connection
		if _, err := r.clientEnd.Read(buf); !errors.Is(err, io.EOF) {
			t.Errorf("the client's read: error %v, want io.EOF, and no reset", err)
		}
		r.clientEnd.Close()
		r.clients.serving.Wait()
	})
	t.Run("stop while the owner waits for a request", func(t *testing.T) {
		r := newIdleConn(t)
		got := make(chan error)
		go r.runAsOwner(func() {
			_, err := r.serverEnd.Read(buf)
			got <- err
		})
		r.clients.closeIdle()
		if err := sidecartest.Receive(t, got, "end of the owner's read"); !errors.Is(err, net.ErrClosed) {
			t.Errorf("the owner's read: error %v, want net.ErrClosed", err)
		}
		close(r.steps)
		r.clientEnd.Close()
		r.clients.serving.Wait()
	})
	t.Run("stop before the answer is written", func(t *testing.T) {
		r := newIdleConn(t)
		r.runAsOwner(func() {
			_, _ = r.serverEnd.Read(buf[:0])
			r.clients.beginRequest(r.serverEnd)
		})
		r.clients.closeIdle()
		r.runAsOwner(func() { r.clients.endRequest(r.serverEnd) })
		var err error
		r.runAsOwner(func() { _, err = r.serverEnd.Read(buf) })
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("a read after the last answer: error %v, want net.ErrClosed", err)
		}
		close(r.steps)
		r.clientEnd.Close()
		r.clients.serving.Wait()
	})
}

// blockingRawConn blocks each read twice on reads: when it begins, and until the test lets it proceed.
type blockingRawConn struct {
	syscall.RawConn
	reads chan struct{}
}

func (r *blockingRawConn) Read(f func(fd uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool {
		r.reads <- struct{}{}
		<-r.reads
		return f(fd)
	})
}
