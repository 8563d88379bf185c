package httpfront

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchmoor/internal/testutil/sidecartest"
)

// If a client leaves while its request waits for its first attempt, in whatever way, nothing is forwarded for it,
// even once a connection is open. A client that only ended its sending gets an answer.
func TestClientLeavingBeforeFirstAttemptSendsNothing(t *testing.T) {
	get := func() *http.Request { return sidecartest.IdempotentRequest(900_000) }
	long := func() *http.Request {
		return sidecartest.Request("POST", "/pay", "pay", 900_000, strings.Repeat("x", 3*MaxBufferedBody))
	}
	const half = 2 * MaxBufferedBody
	pipelineAndClose := func(c *net.TCPConn) {
		_, _ = io.WriteString(c, strings.Repeat("GET /look HTTP/1.1\r\n", 400))
		c.Close()
	}
	pipelineAndHalfClose := func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "GET /look HTTP/1.1\r\n")
		_ = c.CloseWrite()
	}
	for _, tc := range []struct {
		name    string
		request func() *http.Request
		part    int // bytes of the request that are sent; 0: all
		leave   func(c *net.TCPConn)
		status  int // of the answer to a client that still reads; 0: none reads
	}{
		{"close", get, 0, closeConn, 0},
		{"half-close", get, 0, halfClose, http.StatusServiceUnavailable},
		{"reset", get, 0, resetConn, 0},
		{"more behind the request, and close", get, 0, pipelineAndClose, 0},
		{"more behind the request, and half-close", get, 0, pipelineAndHalfClose, http.StatusBadRequest},
		{"half of a long body, and close", long, half, closeConn, 0},
		{"half of a long body, and half-close", long, half, halfClose, http.StatusServiceUnavailable},
		{"half of a long body, and reset", long, half, resetConn, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newTestEndpoint(t)
			f := startFront(t, readyInstances(e.addr), longTimeouts...)
			f.holdDials(true)
			c, r := f.connect(t), tc.request()
			whole := encode(t, r)
			if tc.part > 0 {
				whole = whole[:tc.part]
			}
			write(t, c, whole)
			sidecartest.Receive(t, f.dials, "dial")
			tc.leave(c)
			if tc.status != 0 {
				if resp, _ := readAnswer(t, c, r); resp.StatusCode != tc.status {
					t.Errorf("answered %s, want %d", resp.Status, tc.status)
				}
				c.Close()
			}
			waitUntil(t, "the end of its connection", func() bool { return f.CloseIdleFor(time.Hour) == 0 })
			f.holdDials(false)
			// One that comes after it is all that the endpoint gets.
			next := f.connect(t)
			e.mayAnswer <- struct{}{}
			e.mayAnswer <- struct{}{}
			r = sidecartest.Request("GET", "/look/next", "look", 900_000, "")
			write(t, next, encode(t, r))
			if got := sidecartest.Receive(t, e.received, "attempt"); got != "/look/next" {
				t.Errorf("the endpoint got %s", got)
			}
			readAnswer(t, next, r)
		})
	}
}

// Ways in which a client leaves.
var (
	closeConn = func(c *net.TCPConn) { c.Close() }
	halfClose = func(c *net.TCPConn) { _ = c.CloseWrite() }
	resetConn = func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		c.Close()
	}
)

// deafListener accepts connections that, once deaf, do not report that their clients have left, as if every
// notification was late. The state that the system holds can still be queried.
type deafListener struct {
	net.Listener
	deaf          atomic.Bool // no read returns that the client has left
	neverReadable atomic.Bool // no wait for readability returns
	conns         chan *deafConn
}

func (l *deafListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &deafConn{nc.(*net.TCPConn), l, make(chan struct{}, 1)}
	l.conns <- c
	return c, nil
}

type deafConn struct {
	*net.TCPConn
	listener *deafListener
	woken    chan struct{}
}

func (c *deafConn) SetReadDeadline(t time.Time) error {
	if t.Equal(past) {
		c.wake()
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *deafConn) wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

func (c *deafConn) Read(b []byte) (int, error) {
	if c.listener.deaf.Load() {
		<-c.woken
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}

func (c *deafConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return deafRawConn{raw, c.listener}, err
}

type deafRawConn struct {
	syscall.RawConn
	listener *deafListener
}

func (r deafRawConn) Read(f func(fd uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool { return !r.listener.neverReadable.Load() && f(fd) })
}

// No attempt begins after its client has left, even if every notification of that is late: each attempt checks by
// itself right before its first byte, whatever its request waited for and however the client left.
func TestNoAttemptBeginsAfterClientHasLeft(t *testing.T) {
	const ms = 900_000
	leaves := map[string]func(c *net.TCPConn){
		"close":      closeConn,
		"half-close": halfClose,
		"reset":      resetConn,
		"close behind bytes": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, strings.Repeat("GET /look HTTP/1.1\r\n", 400))
			c.Close()
		},
	}
	held := func(t *testing.T, f *testFront, send func()) func() {
		t.Helper()
		f.holdDials(true)
		send()
		sidecartest.Receive(t, f.dials, "dial")
		return func() { f.holdDials(false) }
	}
	for _, tc := range []struct {
		waits string // for what
		body  int
		part  int // of the request that is sent; 0: all
		began int // attempts, before it left
		// wait has a request come to wait, and returns what lets it go on.
		wait func(t *testing.T, f *testFront, send func()) func()
	}{
		{"its connection", 0, 0, 0, held},
		{"its connection, half of a long body", 3 * MaxBufferedBody, MaxBufferedBody + 4<<10, 0, held},
		{"a further attempt's connection", 0, 0, 1, func(t *testing.T, f *testFront, send func()) func() {
			t.Helper()
			send()
			for range 2 {
				sidecartest.Receive(t, f.dials, "dial")
			}
			return func() { f.holdDials(false) }
		}},
		{"a limit", 0, 0, 0, func(t *testing.T, f *testFront, send func()) func() {
			t.Helper()
			at := &blockingLimiter{reached: make(chan struct{}), open: make(chan struct{})}
			f.SetLimiter(at)
			send()
			sidecartest.Receive(t, at.reached, "admission")
			return func() { close(at.open) }
		}},
		{"room for its body", 2 * unbudgetedBytes, 0, 0, func(t *testing.T, f *testFront, send func()) func() {
			t.Helper()
			f.bodies.Resize(unbudgetedBytes)
			if err := f.bodies.Acquire(t.Context(), unbudgetedBytes); err != nil {
				t.Fatal(err)
			}
			send()
			waitUntil(t, "a request that is being read", func() bool { return countReading(f) == 1 })
			return func() { f.bodies.Release(unbudgetedBytes) }
		}},
	} {
		for how, leave := range leaves {
			t.Run(tc.waits+", "+how, func(t *testing.T) {
				var f *testFront
				var taken atomic.Int32
				refuses := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
					if int(taken.Add(1)) <= tc.began {
						f.holdDials(true) // the next attempt's
					}
					w.Header().Set("X-Never-Ran", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				})
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				l := &deafListener{Listener: ln, conns: make(chan *deafConn, 1)}
				f = startFrontOn(t, l, readyInstances(refuses, refuses),
					longTimeouts...)
				c, r := f.connect(t), sidecartest.IdempotentRequest(ms)
				if tc.body > 0 {
					r = sidecartest.Request("POST", "/pay", "pay", ms, strings.Repeat("x", tc.body))
				}
				whole := encode(t, r)
				if tc.part > 0 {
					whole = whole[:tc.part]
				}
				l.deaf.Store(true)
				release := tc.wait(t, f, func() { write(t, c, whole) })
				l.neverReadable.Store(tc.part > 0)
				here := sidecartest.Receive(t, l.conns, "connection")
				leave(c)
				raw, _ := here.TCPConn.SyscallConn()
				waitUntil(t, "the leaving, at the other end", func() (left bool) {
					err := raw.Control(func(fd uintptr) { left = !isEstablished(fd) })
					return left || err != nil
				})
				release()
				over := func() bool { return f.CloseIdleFor(time.Hour) == 0 }
				waitUntil(t, "an attempt that began, or did not", func() bool {
					f.upstream.mu.Lock()
					idle := 0
					for to := range f.upstream.idle {
						idle += len(to.idle)
					}
					kept := idle > tc.began && idle == f.upstream.conns
					f.upstream.mu.Unlock()
					return kept || over() || int(taken.Load()) > tc.began
				})
				l.deaf.Store(false)
				l.neverReadable.Store(false)
				here.wake()
				c.Close()
				waitUntil(t, "the end of its connection", over)
				if n := int(taken.Load()); n != tc.began {
					t.Errorf("%d attempts in all, %d of them before it left", n, tc.began)
				}
			})
		}
	}
}
