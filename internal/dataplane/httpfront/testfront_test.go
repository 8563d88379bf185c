package httpfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

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
	upstream  *Upstream
	addr      string

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
	addr      string
	received  chan string // paths
	mayAnswer chan struct{}
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

// blockingLimiter is a limiter that lets all through, once it may.
type blockingLimiter struct{ reached, open chan struct{} }

func (g *blockingLimiter) Admit(*core.LimiterRequest) (func(bool), *core.LimitExceeded) {
	close(g.reached)
	<-g.open
	return nil, nil
}
