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

// TestClientLeavingBeforeFirstAttemptSendsNothing has a client leave while its request waits for the connection of its
// first attempt. Nothing may be forwarded for the request once the connection is open, in whatever way the client left.
// A client that only closed its sending side gets an answer.
func TestClientLeavingBeforeFirstAttemptSendsNothing(t *testing.T) {
	get := func() *http.Request { return sidecartest.IdempotentRequest(900_000) }
	longPost := func() *http.Request {
		return sidecartest.Request("POST", "/pay", "pay", 900_000, strings.Repeat("x", 3*MaxBufferedBodyBytes))
	}
	const halfBytes = 2 * MaxBufferedBodyBytes
	pipelineAndClose := func(c *net.TCPConn) {
		_, _ = io.WriteString(c, strings.Repeat("GET /look HTTP/1.1\r\n", 400))
		c.Close()
	}
	pipelineAndHalfClose := func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "GET /look HTTP/1.1\r\n")
		_ = c.CloseWrite()
	}
	for _, tc := range []struct {
		name      string
		request   func() *http.Request
		sentBytes int // bytes of the request that the client sends; 0: all
		leave     func(c *net.TCPConn)
		status    int // status of the answer that the client still reads; 0: the client does not read
	}{
		{"close", get, 0, closeConn, 0},
		{"half-close", get, 0, halfClose, http.StatusServiceUnavailable},
		{"reset", get, 0, resetConn, 0},
		{"bytes after the request, then close", get, 0, pipelineAndClose, 0},
		{"bytes after the request, then half-close", get, 0, pipelineAndHalfClose, http.StatusBadRequest},
		{"part of a long body, then close", longPost, halfBytes, closeConn, 0},
		{"part of a long body, then half-close", longPost, halfBytes, halfClose, http.StatusServiceUnavailable},
		{"part of a long body, then reset", longPost, halfBytes, resetConn, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newTestEndpoint(t)
			f := startFront(t, readyInstances(e.addr), longTimeouts...)
			f.holdDials(true)
			c, r := f.connect(t), tc.request()
			encoded := encode(t, r)
			if tc.sentBytes > 0 {
				encoded = encoded[:tc.sentBytes]
			}
			write(t, c, encoded)
			sidecartest.Receive(t, f.dials, "dial")
			tc.leave(c)
			if tc.status != 0 {
				if resp, _ := readAnswer(t, c, r); resp.StatusCode != tc.status {
					t.Errorf("the client that left got %s, want %d", resp.Status, tc.status)
				}
				c.Close()
			}
			waitUntil(t, "the end of its connection", func() bool { return f.CloseIdleFor(time.Hour) == 0 })
			f.holdDials(false)
			// The endpoint gets the next client's request only.
			next := f.connect(t)
			e.mayAnswer <- struct{}{}
			e.mayAnswer <- struct{}{}
			r = sidecartest.Request("GET", "/look/next", "look", 900_000, "")
			write(t, next, encode(t, r))
			if got := sidecartest.Receive(t, e.received, "attempt"); got != "/look/next" {
				t.Errorf("the endpoint got a request for %s, want /look/next", got)
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

// delayedNoticeListener accepts connections that do not report that their clients have left while suppressNotices is
// set, as if every notification was late. The socket's state can still be queried.
type delayedNoticeListener struct {
	net.Listener
	suppressNotices atomic.Bool             // reads block until wake is called
	neverReadable   atomic.Bool             // waits for readability do not return
	conns           chan *delayedNoticeConn // accepted connections
}

func (l *delayedNoticeListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &delayedNoticeConn{nc.(*net.TCPConn), l, make(chan struct{}, 1)}
	l.conns <- c
	return c, nil
}

type delayedNoticeConn struct {
	*net.TCPConn
	listener *delayedNoticeListener
	woken    chan struct{}
}

func (c *delayedNoticeConn) SetReadDeadline(t time.Time) error {
	if t.Equal(pastDeadline) {
		c.wake()
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *delayedNoticeConn) wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

func (c *delayedNoticeConn) Read(b []byte) (int, error) {
	if c.listener.suppressNotices.Load() {
		<-c.woken
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}

func (c *delayedNoticeConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return delayedNoticeRawConn{raw, c.listener}, err
}

type delayedNoticeRawConn struct {
	syscall.RawConn
	listener *delayedNoticeListener
}

func (r delayedNoticeRawConn) Read(f func(fd uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool { return !r.listener.neverReadable.Load() && f(fd) })
}

// TestNoAttemptBeginsAfterClientHasLeft has a client leave while its request waits, and suppresses every notification
// that the client has left. No attempt may begin, since each attempt checks the connection of its client right
// before its first byte.
func TestNoAttemptBeginsAfterClientHasLeft(t *testing.T) {
	const ms = 900_000
	leaves := map[string]func(c *net.TCPConn){
		"close":      closeConn,
		"half-close": halfClose,
		"reset":      resetConn,
		"close after more bytes": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, strings.Repeat("GET /look HTTP/1.1\r\n", 400))
			c.Close()
		},
	}
	waitForDial := func(t *testing.T, f *testFront, send func()) func() {
		t.Helper()
		f.holdDials(true)
		send()
		sidecartest.Receive(t, f.dials, "dial")
		return func() { f.holdDials(false) }
	}
	for _, tc := range []struct {
		waitsFor       string // what the request waits for
		body           int    // bytes of the request's body
		sentBytes      int    // bytes of the request that the client sends; 0: all
		attemptsBefore int    // attempts that begin before the client leaves
		// wait sends the request, returns once it waits, and returns the function that ends the wait.
		wait func(t *testing.T, f *testFront, send func()) func()
	}{
		{"first attempt's connection", 0, 0, 0, waitForDial},
		{"connection with part of a long body", 3 * MaxBufferedBodyBytes, MaxBufferedBodyBytes + 4<<10, 0, waitForDial},
		{"retry's connection", 0, 0, 1, func(t *testing.T, f *testFront, send func()) func() {
			t.Helper()
			send()
			for range 2 {
				sidecartest.Receive(t, f.dials, "dial")
			}
			return func() { f.holdDials(false) }
		}},
		{"admission by the limiter", 0, 0, 0, func(t *testing.T, f *testFront, send func()) func() {
			t.Helper()
			limiter := &blockingLimiter{reached: make(chan struct{}), open: make(chan struct{})}
			f.SetLimiter(limiter)
			send()
			sidecartest.Receive(t, limiter.reached, "admission")
			return func() { close(limiter.open) }
		}},
		{"memory for its body", 2 * maxUnbudgetedBytes, 0, 0, func(t *testing.T, f *testFront, send func()) func() {
			t.Helper()
			f.bodies.Resize(maxUnbudgetedBytes)
			if err := f.bodies.Acquire(t.Context(), maxUnbudgetedBytes); err != nil {
				t.Fatal(err)
			}
			send()
			waitUntil(t, "a request that is being read", func() bool { return countReading(f) == 1 })
			return func() { f.bodies.Release(maxUnbudgetedBytes) }
		}},
	} {
		for how, leave := range leaves {
			t.Run(tc.waitsFor+", "+how, func(t *testing.T) {
				var f *testFront
				var received atomic.Int32
				rejecting := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
					if int(received.Add(1)) <= tc.attemptsBefore {
						f.holdDials(true) // holds the dial of the next attempt
					}
					w.Header().Set("X-Never-Ran", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				})
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				l := &delayedNoticeListener{Listener: ln, conns: make(chan *delayedNoticeConn, 1)}
				f = startFrontOn(t, l, readyInstances(rejecting, rejecting),
					longTimeouts...)
				c, r := f.connect(t), sidecartest.IdempotentRequest(ms)
				if tc.body > 0 {
					r = sidecartest.Request("POST", "/pay", "pay", ms, strings.Repeat("x", tc.body))
				}
				encoded := encode(t, r)
				if tc.sentBytes > 0 {
					encoded = encoded[:tc.sentBytes]
				}
				l.suppressNotices.Store(true)
				release := tc.wait(t, f, func() { write(t, c, encoded) })
				l.neverReadable.Store(tc.sentBytes > 0)
				serverEnd := sidecartest.Receive(t, l.conns, "connection")
				leave(c)
				raw, _ := serverEnd.TCPConn.SyscallConn()
				waitUntil(t, "the client's disconnect in the state of the server's socket", func() (left bool) {
					err := raw.Control(func(fd uintptr) { left = !isEstablished(fd) })
					return left || err != nil
				})
				release()
				connClosed := func() bool { return f.CloseIdleFor(time.Hour) == 0 }
				waitUntil(t, "the decision whether an attempt begins", func() bool {
					f.upstream.mu.Lock()
					idle := 0
					for to := range f.upstream.idle {
						idle += len(to.idle)
					}
					pooled := idle > tc.attemptsBefore && idle == f.upstream.conns
					f.upstream.mu.Unlock()
					return pooled || connClosed() || int(received.Load()) > tc.attemptsBefore
				})
				l.suppressNotices.Store(false)
				l.neverReadable.Store(false)
				serverEnd.wake()
				c.Close()
				waitUntil(t, "the end of its connection", connClosed)
				if n := int(received.Load()); n != tc.attemptsBefore {
					t.Errorf("the endpoint got %d attempts, want the %d before the client left", n, tc.attemptsBefore)
				}
			})
		}
	}
}
