package httpfront

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// The tests here force two events into an order, one test or one row for each order (docs/design/crossings.md).

// testFront is an HTTP front with its loop and upstream side, whose dials wait while they are held.
type testFront struct {
	*Server
	eventLoop *core.EventLoop
	upstream   *Upstream
	addr string

	dials   chan string // what is dialled
	mu      sync.Mutex
	release chan struct{} // what dials wait for; nil: nothing
}

type fixedListener struct{ net.Listener }

func (o fixedListener) Listen() (net.Listener, error) { return o.Listener, nil }

// startFront starts one before these endpoints. It ends with the test.
func startFront(t testing.TB, known []discovery.Instance, edits ...string) *testFront {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startFrontOn(t, ln, known, edits...)
}

func startFrontOn(t testing.TB, ln net.Listener, known []discovery.Instance, edits ...string) *testFront {
	t.Helper()
	c := sidecartest.Configure(t, sidecartest.ClosedAddress(t), known, edits...)
	figures := metrics.New(c.Classes...)
	f := &testFront{dials: make(chan string, 64)}
	clk := core.NewClock()
	f.upstream = NewUpstream(c, clk, &figures.AttemptsSent, sidecartest.DiscardLog)
	f.upstream.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		f.mu.Lock()
		wait := f.release
		f.mu.Unlock()
		f.dials <- addr
		if wait != nil {
			<-wait // a connection that comes up late, whatever became of the attempt
		}
		return new(net.Dialer).DialContext(context.WithoutCancel(ctx), network, addr)
	}
	var err error
	if f.eventLoop, err = core.New(c, clk, f.upstream, func(bool) {}, figures, nil, sidecartest.DiscardLog); err != nil {
		t.Fatal(err)
	}
	f.addr = ln.Addr().String()
	f.Server = NewServer(c, f.eventLoop, fixedListener{ln}, figures, sidecartest.DiscardLog)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.eventLoop.Run(ctx); close(done) }()
	if err := f.Open(func(err error) { t.Error(err) }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.holdDials(false)
		f.StopAccepting()
		f.CloseIdle()
		f.CloseUnused(true)
		f.Wait()
		cancel()
		<-done
	})
	return f
}

// holdDials has dials wait from now on, or lets all go.
func (f *testFront) holdDials(hold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.release != nil {
		close(f.release)
		f.release = nil
	}
	if hold {
		f.release = make(chan struct{})
	}
}

func (f *testFront) connect(t testing.TB) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	return c.(*net.TCPConn)
}

// stop is what an order to stop does to a front at once.
func (f *testFront) stop() {
	f.SetClosing(true)
	f.CloseIdle()
}

func encode(t testing.TB, r *http.Request) string {
	t.Helper()
	var b strings.Builder
	if err := r.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func write(t testing.TB, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// readAnswer reads a whole answer.
func readAnswer(t *testing.T, c net.Conn, r *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("the answer is not whole: %v", err)
	}
	return resp, string(body)
}

// waitUntil waits for what must come to be.
func waitUntil(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(sidecartest.WaitTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: does not come to be", what)
		}
	}
}

// testEndpoint takes requests, tells of each, and answers once it may.
type testEndpoint struct {
	addr  string
	received chan string // paths
	mayAnswer   chan struct{}
}

func newTestEndpoint(t *testing.T) *testEndpoint {
	e := &testEndpoint{received: make(chan string, 64), mayAnswer: make(chan struct{}, 64)}
	e.addr = sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			req, err := sidecartest.ReadRequest(r)
			if err != nil {
				return
			}
			e.received <- req.URL.Path
			<-e.mayAnswer
			io.WriteString(c, sidecartest.OKAnswer)
		}
	})
	return e
}

// An order to stop that crosses a request at any point of its way: what was read gets its answer, and the answer ends the
// connection.
func TestStopAnswersOpenRequestAndCloses(t *testing.T) {
	for _, tc := range []struct {
		name string
		when func(t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request)
	}{
		{"half of it is read", func(t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request) {
			whole := encode(t, r)
			write(t, c, whole[:20])
			waitUntil(t, "a request that is being read", func() bool { return countReading(f) == 1 })
			f.stop()
			e.mayAnswer <- struct{}{}
			write(t, c, whole[20:])
		}},
		{"between its last byte and its admission", func(t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request) {
			at := &blockingLimiter{reached: make(chan struct{}), open: make(chan struct{})}
			f.SetLimiter(at)
			write(t, c, encode(t, r))
			sidecartest.Receive(t, at.reached, "admission")
			f.stop()
			e.mayAnswer <- struct{}{}
			close(at.open)
		}},
		{"it waits for its first attempt", func(t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request) {
			f.holdDials(true)
			write(t, c, encode(t, r))
			sidecartest.Receive(t, f.dials, "dial")
			f.stop()
			e.mayAnswer <- struct{}{}
			f.holdDials(false)
		}},
		{"on its attempt", func(t *testing.T, f *testFront, e *testEndpoint, c net.Conn, r *http.Request) {
			write(t, c, encode(t, r))
			sidecartest.Receive(t, e.received, "attempt")
			f.stop()
			e.mayAnswer <- struct{}{}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newTestEndpoint(t)
			f := startFront(t, []discovery.Instance{sidecartest.ReadyInstance("s-1", e.addr)}, `"dial-timeout":1000000`, `"dial-timeout":100000000`)
			c, r := f.connect(t), sidecartest.IdempotentRequest(900_000)
			tc.when(t, f, e, c, r)
			resp, body := readAnswer(t, c, r)
			if resp.StatusCode != 200 || body != "ok" || !resp.Close {
				t.Errorf("%s %q, close %v", resp.Status, body, resp.Close)
			}
			if _, err := c.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("behind the answer: %v, want the end", err)
			}
		})
	}
}

// blockingLimiter is a limiter that lets all through, once it may.
type blockingLimiter struct{ reached, open chan struct{} }

func (g *blockingLimiter) Admit(*core.LimiterRequest) (func(bool), *core.LimitExceeded) {
	close(g.reached)
	<-g.open
	return nil, nil
}

// countReading counts the connections of which a part of a request has been read.
func countReading(f *testFront) (n int) {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	for at := f.clients.unused.Front(); at != nil; at = at.Next() {
		if at.Value.(*client).state == stateReading {
			n++
		}
	}
	return n
}

// idleConn is a connection with an owner that does what the test says, step by step. It has had an answer.
type idleConn struct {
	clients      *clients
	owned      *client
	clientEnd  *net.TCPConn // the client's end
	steps   chan func()
	ended chan struct{} // once the owner is done
}

func newIdleConn(t *testing.T) *idleConn {
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
	there.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	got := make(chan *client)
	r.clients = newClients(4, func(c *client) {
		got <- c
		for do := range r.steps {
			do()
		}
	}, new(metrics.Counter), sidecartest.DiscardLog)
	r.clients.add(here)
	r.owned = <-got
	r.do(func() { r.clients.beginRequest(r.owned); r.clients.endRequest(r.owned) })
	return r
}

// do has the owner do something.
func (r *idleConn) do(f func()) {
	done := make(chan struct{})
	r.steps <- func() { f(); close(done) }
	<-done
}

// arrive writes bytes, and waits until they are there and not read.
func (r *idleConn) arrive(t *testing.T, text string) {
	write(t, r.clientEnd, text)
	waitUntil(t, "bytes at the other end", func() bool {
		n := 0
		r.owned.raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), make([]byte, len(text)), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return n == len(text)
	})
}

// A request on a resting connection and the order to close it. Read first, it is served. There and not read, it is read in
// a last look and served. Come behind that look, it is not taken, and its client finds the connection ended in order, not
// reset: it sends the request once more on another.
func TestCloseOfIdleConnectionRacesWithRequest(t *testing.T) {
	const get = "GET / HTTP/1.1\r\n"
	buf := make([]byte, 64)
	closers := map[string]func(k *clients){
		"stop":   func(k *clients) { k.closeIdle() },
		"settle": func(k *clients) { k.closeIdleFor(-time.Second) },
	}
	for name, closeAll := range closers {
		t.Run(name+", read first", func(t *testing.T) {
			r := newIdleConn(t)
			write(t, r.clientEnd, get)
			r.do(func() { r.owned.Read(buf) })
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
			r.arrive(t, get)
			closeAll(r.clients)
			var n int
			var taken bool
			r.do(func() { n, _ = r.owned.Read(buf); taken = r.clients.beginRequest(r.owned) })
			if n != len(get) || !taken {
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
			r.arrive(t, get)
			r.do(func() { _, err = r.owned.Read(buf) })
			if !errors.Is(err, net.ErrClosed) || r.clients.beginRequest(r.owned) {
				t.Errorf("a request behind the last look is read: %v", err)
			}
			close(r.steps)
			if _, err := r.clientEnd.Read(buf); err != io.EOF {
				t.Errorf("the client finds %v, want the end in order", err)
			}
			r.clientEnd.Close()
			r.clients.serving.Wait()
		})
	}
	for name, closeAll := range closers {
		t.Run(name+", while it is read", func(t *testing.T) {
			r := newIdleConn(t)
			r.arrive(t, get)
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
			if n := sidecartest.Receive(t, got, "the read"); n != len(get) {
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
		r.do(func() { r.clients.beginRequest(r.owned); r.clients.endRequest(r.owned) })
		r.arrive(t, get)
		close(r.steps) // its answer said that it is the last
		if _, err := r.clientEnd.Read(buf); err != io.EOF {
			t.Errorf("the client finds %v, want the end in order", err)
		}
		r.clientEnd.Close()
		r.clients.serving.Wait()
	})
	t.Run("stop, while the owner waits", func(t *testing.T) {
		r := newIdleConn(t)
		got := make(chan error)
		go r.do(func() { _, err := r.owned.Read(buf); got <- err })
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
		r.do(func() { r.owned.Read(buf[:0]); r.clients.beginRequest(r.owned) })
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

// blockingRawConn looks at a connection once it may.
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

// A client that leaves while its request waits for its first attempt, however it leaves: nothing is sent on for it any more,
// though a connection comes up. One that only ends its sending is told so.
func TestClientLeavingBeforeFirstAttemptSendsNothing(t *testing.T) {
	long := strings.Repeat("x", 3*MaxBufferedBody)
	for _, tc := range []struct {
		name  string
		r     func() *http.Request
		part  int // of the request that is sent; 0: all
		leave func(c *net.TCPConn)
		told  int // what one that still listens is told
	}{
		{"close", func() *http.Request { return sidecartest.IdempotentRequest(900_000) }, 0, func(c *net.TCPConn) { c.Close() }, 0},
		{"half-close", func() *http.Request { return sidecartest.IdempotentRequest(900_000) }, 0, func(c *net.TCPConn) { c.CloseWrite() }, 503},
		{"reset", func() *http.Request { return sidecartest.IdempotentRequest(900_000) }, 0, func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, 0},
		{"more behind the request, and close", func() *http.Request { return sidecartest.IdempotentRequest(900_000) }, 0,
			func(c *net.TCPConn) { io.WriteString(c, strings.Repeat("GET /look HTTP/1.1\r\n", 400)); c.Close() }, 0},
		{"more behind the request, and half-close", func() *http.Request { return sidecartest.IdempotentRequest(900_000) }, 0,
			func(c *net.TCPConn) { io.WriteString(c, "GET /look HTTP/1.1\r\n"); c.CloseWrite() }, 400},
		{"half of a long body, and close", func() *http.Request { return sidecartest.Request("POST", "/pay", "pay", 900_000, long) },
			2 * MaxBufferedBody, func(c *net.TCPConn) { c.Close() }, 0},
		{"half of a long body, and half-close", func() *http.Request { return sidecartest.Request("POST", "/pay", "pay", 900_000, long) },
			2 * MaxBufferedBody, func(c *net.TCPConn) { c.CloseWrite() }, 503},
		{"half of a long body, and reset", func() *http.Request { return sidecartest.Request("POST", "/pay", "pay", 900_000, long) },
			2 * MaxBufferedBody, func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newTestEndpoint(t)
			f := startFront(t, []discovery.Instance{sidecartest.ReadyInstance("s-1", e.addr)}, `"dial-timeout":1000000`, `"dial-timeout":100000000`,
				`"give-up":1000000`, `"give-up":900000000`)
			f.holdDials(true)
			c, r := f.connect(t), tc.r()
			whole := encode(t, r)
			if tc.part > 0 {
				whole = whole[:tc.part]
			}
			write(t, c, whole)
			sidecartest.Receive(t, f.dials, "dial")
			tc.leave(c)
			if tc.told != 0 {
				if resp, _ := readAnswer(t, c, r); resp.StatusCode != tc.told {
					t.Errorf("told %s, want %d", resp.Status, tc.told)
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

// A connection that comes up when its request may not be sent any more is kept for others, and not lost.
func TestConnectionOpenedTooLateIsPooled(t *testing.T) {
	e := newTestEndpoint(t)
	f := startFront(t, []discovery.Instance{sidecartest.ReadyInstance("s-1", e.addr)}, `"dial-timeout":1000000`, `"dial-timeout":100000000`)
	f.holdDials(true)
	c, r := f.connect(t), sidecartest.IdempotentRequest(150)
	write(t, c, encode(t, r))
	sidecartest.Receive(t, f.dials, "dial")
	if resp, _ := readAnswer(t, c, r); resp.StatusCode == 200 {
		t.Errorf("answered %s with no connection", resp.Status)
	}
	f.holdDials(false)
	waitUntil(t, "the late connection in the pool", func() bool {
		f.upstream.mu.Lock()
		defer f.upstream.mu.Unlock()
		return f.upstream.conns == 1 && len(f.upstream.idle) == 1
	})
	if n := len(e.received); n != 0 {
		t.Errorf("%d requests were sent on", n)
	}
}

// A server's second answer, some milliseconds behind the first, on a connection that is back in the pool.
func TestUnsolicitedAnswerIsNotUsedForNextRequest(t *testing.T) {
	second := make(chan struct{})
	var conns, taken atomic.Int32
	to := newTarget(sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		n := conns.Add(1)
		for {
			if _, err := sidecartest.ReadRequest(r); err != nil {
				return
			}
			taken.Add(1)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
			if n == 1 {
				<-second
				io.WriteString(c, sidecartest.OKAnswer)
			}
		}
	}))
	u := newTestUpstream(t)
	if r := u.sendAttempt(plainGet(), to); r.Status != balancer.OK {
		t.Fatalf("first: status %v", r.Status)
	}
	first := to.idle[0]
	first.idleSince = time.Now().Add(time.Hour) // it never comes to rest while this test lasts
	u.unsolicitedAt = time.Now()
	u.pause = func(context.Context, time.Duration) {
		close(second)
		waitUntil(t, "the second answer", func() bool { _, spoke := first.idleState(); return spoke })
	}
	r := u.sendAttempt(plainGet(), to)
	if got := r.Content.(*upstreamAnswer); string(got.body) != "2" {
		t.Errorf("answered %q: what was sent for the request before", got.body)
	}
}

// What has rested for a moment goes first. Where no endpoint ever spoke unasked, none is waited for.
func TestPoolPrefersConnectionIdleForAWhile(t *testing.T) {
	to := newTarget(sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) { r.ReadByte() }))
	u := newTestUpstream(t)
	u.pause = func(context.Context, time.Duration) { t.Error("waited for a connection to rest") }
	var both []*conn
	for range 2 {
		c, err := u.get(t.Context(), to)
		if err != nil {
			t.Fatal(err)
		}
		both = append(both, c)
	}
	for _, c := range both {
		u.put(c)
	}
	both[0].idleSince, both[1].idleSince = time.Now().Add(-time.Second), time.Now().Add(time.Hour)
	for i, want := range both {
		if c, err := u.get(t.Context(), to); err != nil || c != want {
			t.Errorf("%d: %v, not the one that rested", i, err)
		}
	}
}

// Half a line that came while a connection rested makes it useless: what is written there would get the rest of that line.
func TestIdleConnectionWithUnreadBytesIsNotUsed(t *testing.T) {
	var conns atomic.Int32
	speak := make(chan struct{})
	to := newTarget(sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		first := conns.Add(1) == 1
		for {
			if _, err := sidecartest.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(c, sidecartest.OKAnswer)
			if first {
				<-speak
				io.WriteString(c, "HTTP/1.1 20")
			}
		}
	}))
	u := newTestUpstream(t)
	if r := u.sendAttempt(plainGet(), to); r.Status != balancer.OK {
		t.Fatalf("first: status %v", r.Status)
	}
	rests := to.idle[0]
	close(speak)
	waitUntil(t, "half a line", func() bool { _, spoke := rests.idleState(); return spoke })
	if r := u.sendAttempt(plainGet(), to); r.Status != balancer.OK || conns.Load() != 2 {
		t.Errorf("status %v, over %d connections", r.Status, conns.Load())
	}
}

// An order to stop while a long answer is on its way to the client: it comes whole.
func TestStopDuringLongAnswerSendsItCompletely(t *testing.T) {
	const length = 3 * MaxBufferedBody
	rest := make(chan struct{})
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := sidecartest.ReadRequest(r); err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", MaxBufferedBody))
		<-rest
		io.WriteString(c, strings.Repeat("y", length-MaxBufferedBody))
		io.Copy(io.Discard, r)
	})
	f := startFront(t, []discovery.Instance{sidecartest.ReadyInstance("s-1", addr)}, `"give-up":1000000`, `"give-up":900000000`)
	c, r := f.connect(t), sidecartest.IdempotentRequest(900_000)
	write(t, c, encode(t, r))
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, r)
	if err != nil {
		t.Fatal(err)
	}
	f.stop()
	close(rest)
	body, err := io.ReadAll(resp.Body)
	if err != nil || len(body) != length {
		t.Errorf("%d bytes and %v, want %d", len(body), err, length)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("behind it: %v, want the end", err)
	}
}

// A long answer that its server goes on giving, with pauses, is the client's whole: cutting it off loses the request. One that
// only the end of its connection ends, and that is reset on the way, is cut: "a reset is no end".
func TestSlowAnswerIsCompleteAndResetAnswerIsCut(t *testing.T) {
	const length = 2 * MaxBufferedBody
	for name, head := range map[string]string{
		"slow":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length),
		"reset": "HTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{})
			addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
				if _, err := sidecartest.ReadRequest(r); err != nil {
					return
				}
				io.WriteString(c, head+strings.Repeat("x", length/2))
				for waiting := true; waiting; {
					select {
					case <-begun:
						waiting = false
					case <-time.After(streamAfter / 2): // the pace of what comes; nothing waits for it
						if name == "reset" {
							io.WriteString(c, "x")
						}
					}
				}
				if name == "reset" {
					c.SetLinger(0)
					return
				}
				time.Sleep(3 * time.Second) // the server's pause, past the client's time
				io.WriteString(c, strings.Repeat("y", length/2))
				io.Copy(io.Discard, r)
			})
			f := startFront(t, []discovery.Instance{sidecartest.ReadyInstance("s-1", addr)})
			c, r := f.connect(t), sidecartest.Request("POST", "/pay", "pay", 900, "x")
			write(t, c, encode(t, r))
			resp, err := http.ReadResponse(bufio.NewReader(c), r)
			close(begun)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != 200 {
				return // the machine was too busy for it to begin: it failed, and its client was told
			}
			body, err := io.ReadAll(resp.Body)
			if name == "slow" && (err != nil || len(body) != length) {
				t.Errorf("%d bytes and %v, want %d", len(body), err, length)
			}
			if name == "reset" && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("%d bytes and %v, want it cut", len(body), err)
			}
		})
	}
}
