package httpfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// Many tests of this package force two concurrent events into a certain order. There is one test or table row for each
// order (docs/design/crossings.md).

// testFront is a server with its event loop and upstream, whose dials to endpoints can be held.
type testFront struct {
	*Server
	eventLoop *core.EventLoop
	upstream  *Upstream
	addr      string

	dials         chan string // gets the address of each dial
	mu            sync.Mutex
	dialsReleased chan struct{} // dials wait until it is closed; nil: they do not wait
}

// fixedListener is a handover.Socket with a listener that was opened before.
type fixedListener struct{ net.Listener }

func (l fixedListener) Listen() (net.Listener, error) { return l.Listener, nil }

// Edits of the test configuration: pairs of old and new text.
var (
	longDialTimeout  = []string{`"dial-timeout":1000000`, `"dial-timeout":100000000`}
	longClassTimeout = []string{`"give-up":1000000`, `"give-up":900000000`}
	longTimeouts     = slices.Concat(longDialTimeout, longClassTimeout)
)

// readyInstances returns ready endpoints s-1, s-2 and so on at the addresses.
func readyInstances(addrs ...string) []discovery.Instance {
	var instances []discovery.Instance
	for i, addr := range addrs {
		instances = append(instances, sidecartest.ReadyInstance(fmt.Sprintf("s-%d", i+1), addr))
	}
	return instances
}

// startFront starts a front for the endpoints in known, which runs until the test ends.
func startFront(tb testing.TB, known []discovery.Instance, edits ...string) *testFront {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return startFrontOn(tb, ln, known, edits...)
}

func startFrontOn(tb testing.TB, ln net.Listener, known []discovery.Instance, edits ...string) *testFront {
	tb.Helper()
	c := sidecartest.Configure(tb, sidecartest.ClosedAddress(tb), known, edits...)
	figures := metrics.New(c.Classes...)
	f := &testFront{dials: make(chan string, 64)}
	clk := core.NewClock()
	f.upstream = NewUpstream(c, clk, figures, sidecartest.DiscardLog)
	f.upstream.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		f.mu.Lock()
		released := f.dialsReleased
		f.mu.Unlock()
		f.dials <- addr
		if released != nil {
			<-released // the connection is established late, even if the attempt has ended by then
		}
		return new(net.Dialer).DialContext(context.WithoutCancel(ctx), network, addr)
	}
	var err error
	if f.eventLoop, err = core.New(c, clk, f.upstream, func(bool) {}, figures, nil, sidecartest.DiscardLog); err != nil {
		tb.Fatal(err)
	}
	f.addr = ln.Addr().String()
	f.Server = NewServer(c, f.eventLoop, fixedListener{ln}, figures, sidecartest.DiscardLog)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.eventLoop.Run(ctx)
	}()
	if err := f.Open(func(err error) { tb.Error(err) }); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
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

// holdDials lets all held dials proceed. If hold is set, it holds those that begin from now on.
func (f *testFront) holdDials(hold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dialsReleased != nil {
		close(f.dialsReleased)
		f.dialsReleased = nil
	}
	if hold {
		f.dialsReleased = make(chan struct{})
	}
}

func (f *testFront) connect(tb testing.TB) *net.TCPConn {
	tb.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { c.Close() })
	if err := c.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout)); err != nil {
		tb.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// stop does the first steps of a shutdown.
func (f *testFront) stop() {
	f.SetClosing(true)
	f.CloseIdle()
}

func encode(tb testing.TB, r *http.Request) string {
	tb.Helper()
	var b strings.Builder
	if err := r.Write(&b); err != nil {
		tb.Fatal(err)
	}
	return b.String()
}

func write(tb testing.TB, c net.Conn, text string) {
	tb.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		tb.Fatal(err)
	}
}

// readAnswer reads a complete answer.
func readAnswer(t *testing.T, c net.Conn, r *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err != nil {
		t.Fatalf("reading the head of the answer: %v", err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("reading the body of the answer: %v", err)
	}
	return resp, string(body)
}

// waitUntil polls a condition until it is true. The test fails after sidecartest.WaitTimeout; what names the condition.
func waitUntil(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	for end := time.Now().Add(sidecartest.WaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("%s: did not happen in time", what)
		}
	}
}

// testEndpoint reports the path of each request, and answers one request for each value in mayAnswer.
type testEndpoint struct {
	addr      string
	received  chan string // paths of the requests
	mayAnswer chan struct{}
}

func newTestEndpoint(t *testing.T) *testEndpoint {
	t.Helper()
	e := &testEndpoint{received: make(chan string, 64), mayAnswer: make(chan struct{}, 64)}
	e.addr = sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			req, err := sidecartest.ReadRequest(r)
			if err != nil {
				return
			}
			e.received <- req.URL.Path
			<-e.mayAnswer
			_, _ = io.WriteString(c, sidecartest.OKResponse)
		}
	})
	return e
}

// countReading returns the number of new connections on which a request has been read in part.
func countReading(f *testFront) int { return countInState(f, stateReading) }

// countInState returns the number of connections without a request so far that are in a state.
func countInState(f *testFront, state connState) (n int) {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	for elem := f.clients.unused.Front(); elem != nil; elem = elem.Next() {
		if elem.Value.(*client).state == state {
			n++
		}
	}
	return n
}

// blockingLimiter closes reached when a request arrives, and admits it once open is closed. It serves one request.
type blockingLimiter struct{ reached, open chan struct{} }

func (g *blockingLimiter) Admit(*core.LimiterRequest) (func(bool), *core.LimitExceeded) {
	close(g.reached)
	<-g.open
	return nil, nil
}

// readOneRequest is a handler for sidecartest.RawEndpoint that reads a request and closes the connection.
func readOneRequest(_ *net.TCPConn, r *bufio.Reader) { _, _ = sidecartest.ReadRequest(r) }
