package httpfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// TestParseLoadRejectsMalformedReports guards against a missing or invalid value that is read as 0, which means an idle
// endpoint.
func TestParseLoadRejectsMalformedReports(t *testing.T) {
	fields := []string{"busy_reqs", "served_ps", "cpu_share"}
	for _, tc := range []struct{ text, want string }{
		{"TEXT busy_reqs=7, served_ps=2, cpu_share=0.5", "[7 2 0.5]"},
		{"TEXT cpu_share=0.5,busy_reqs=7,served_ps=2", "[7 2 0.5]"},
		{"busy_reqs=0, new=4", "[0 NaN NaN]"},
		{"TEXT busy_reqs=x, served_ps=-1, cpu_share=Inf", "[]"},
		{"TEXT busy_reqs", "[]"},
		{"JSON {}", "[]"},
		{"", "[]"},
	} {
		if got := fmt.Sprint(parseLoad(fields, tc.text)); got != tc.want {
			t.Errorf("parseLoad(%q) = %s, want %s", tc.text, got, tc.want)
		}
	}
}

func newTarget(addr string) *target { return &target{addr: addr} }

func newTestUpstream(t *testing.T, edits ...string) *Upstream {
	t.Helper()
	c := sidecartest.Configure(t, "127.0.0.1:1", nil, edits...)
	return NewUpstream(c, core.NewClock(), metrics.New(), sidecartest.DiscardLog)
}

// sendAttempt makes one attempt that has a second.
func (u *Upstream) sendAttempt(msg *message, dst *target) core.Reply {
	return u.sendAttemptWithin(time.Second, msg, dst)
}

func (u *Upstream) sendAttemptWithin(d time.Duration, msg *message, dst *target) core.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 2*sidecartest.WaitTimeout)
	defer cancel()
	return u.send(ctx, dst, msg, u.attemptWithin(d))
}

// attemptWithin returns an attempt that may begin at any time, and that has d.
func (u *Upstream) attemptWithin(d time.Duration) core.Attempt {
	return core.Attempt{
		Deadline: u.clock.Now() + d.Microseconds(),
		Begin:    func(balancer.Micros) bool { return true },
	}
}

func keyedPost(body string) *message {
	return &message{method: "POST", uri: "/book", host: "origin.svc", body: []byte(body),
		header: http.Header{"X-Trace-Id": {"1"}, "Idempotency-Key": {"k"}}}
}

func plainGet() *message {
	return &message{method: "GET", uri: "/look", host: "origin.svc", header: http.Header{"X-Trace-Id": {"1"}}}
}

// TestBrokenKeptConnectionIsNotResent breaks a pooled connection after the endpoint has read a request. The request
// must not be sent again, as http.Transport would do: each Send is at most one attempt on the wire.
func TestBrokenKeptConnectionIsNotResent(t *testing.T) {
	for name, m := range map[string]*message{"get": plainGet(), "keyed": keyedPost("x")} {
		t.Run(name, func(t *testing.T) {
			var received atomic.Int32
			dst := newTarget(sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
				for i := 0; i < 2; i++ {
					if _, err := sidecartest.ReadRequest(r); err != nil {
						return
					}
					if received.Add(1); i == 0 {
						_, _ = io.WriteString(c, sidecartest.OKResponse)
					}
				}
			}))
			u := newTestUpstream(t)
			if r := u.sendAttempt(m, dst); r.Status != balancer.OK {
				t.Fatalf("first: status %v", r.Status)
			}
			if r := u.sendAttempt(m, dst); r.Status != balancer.Reset {
				t.Errorf("second: status %v, want Reset", r.Status)
			}
			if n := received.Load(); n != 2 {
				t.Errorf("the endpoint received %d requests, want 2", n)
			}
		})
	}
}

// brokenConn is a connection whose writes fail: before the last unwritten bytes or, if failAfter is set, after all of
// them.
type brokenConn struct {
	net.Conn
	unwritten int
	failAfter bool
}

func (s brokenConn) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p[:max(0, len(p)-s.unwritten)])
	if s.unwritten > 0 || s.failAfter {
		err = net.ErrClosed
	}
	return n, err
}

// TestStatusOfFailedWriteDependsOnLastByte expects Reset only if the request's last byte was written: without it the
// request cannot have run, and may be retried.
func TestStatusOfFailedWriteDependsOnLastByte(t *testing.T) {
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = sidecartest.ReadRequest(r)
		_ = c.SetLinger(0) // the close resets the connection
	})
	m := keyedPost(strings.Repeat("x", 1000))
	for _, tc := range []struct {
		name      string
		unwritten int
		failAfter bool
		want      balancer.Status
	}{
		{"all but one byte", 1, false, balancer.ConnectFailed},
		{"no byte", 1 << 20, false, balancer.ConnectFailed},
		{"all", 0, false, balancer.Reset},
		{"all, then an error", 0, true, balancer.Reset},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := newTestUpstream(t)
			dial := u.dial
			u.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := dial(ctx, network, addr)
				return brokenConn{c, tc.unwritten, tc.failAfter}, err
			}
			if r := u.sendAttempt(m, newTarget(addr)); r.Status != tc.want {
				t.Errorf("status %v, want %v", r.Status, tc.want)
			}
		})
	}
	u := newTestUpstream(t)
	if r := u.sendAttempt(m, newTarget(sidecartest.ClosedAddress(t))); r.Status != balancer.ConnectFailed {
		t.Errorf("refused connection: status %v, want ConnectFailed", r.Status)
	}
}

// TestAnswerStatuses expects the status of an attempt for each kind of answer: only a 503 or 504 that is marked with
// X-Never-Ran proves that the request never ran, and only a complete 200 is a success.
func TestAnswerStatuses(t *testing.T) {
	for _, tc := range []struct {
		name, answer string
		want         balancer.Status
	}{
		{"whole", sidecartest.OKResponse, balancer.OK},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.OK},
		{"after a 100", "HTTP/1.1 100 Continue\r\n\r\n" + sidecartest.OKResponse, balancer.OK},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"marked 503", "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"late", "HTTP/1.1 504 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"unmarked 503", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"marked 500", "HTTP/1.1 500 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"redirect", "HTTP/1.1 302 No\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", balancer.Reset},
		{"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", balancer.Reset},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", balancer.Reset},
		{"length unknown", "HTTP/1.1 200 OK\r\n\r\nok", balancer.OK},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n", balancer.OK},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-Le", balancer.Reset},
		{"nothing", "", balancer.Reset},
		{
			"length and chunks",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
			balancer.Reset,
		},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", balancer.Reset},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nok", balancer.Reset},
		{"unknown encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok", balancer.Reset},
		{"wrong chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n0\r\n\r\n", balancer.Reset},
		{"no status", "HTTP/1.1 OK\r\nContent-Length: 2\r\n\r\nok", balancer.Reset},
		{"no HTTP", "\x00\x01noise\r\n\r\n", balancer.Reset},
		{"only 1xx", strings.Repeat("HTTP/1.1 102 Wait\r\n\r\n", 2*maxInterimAnswers), balancer.Reset},
		{
			"unreadable report",
			strings.Replace(sidecartest.OKResponse, "\r\n", "\r\nEndpoint-Load-Metrics: \xff{{=,,=%\r\n", 1),
			balancer.OK,
		},
		{"too large", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nok", MaxBodyBytes+1), balancer.Reset},
		{"endless head", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxBufferedAnswerBytes), balancer.Reset},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
				_, _ = sidecartest.ReadRequest(r)
				_, _ = io.WriteString(c, tc.answer)
			})
			r := newTestUpstream(t).sendAttempt(keyedPost("x"), newTarget(addr))
			if r.Status != tc.want {
				t.Errorf("status %v, want %v", r.Status, tc.want)
			}
			if r.Status == balancer.OK && string(r.Content.(*upstreamAnswer).body) != "ok" {
				t.Errorf("body %q, want ok", r.Content.(*upstreamAnswer).body)
			}
		})
	}
}

// TestIncompleteAnswerIsAbandonedWithItsAttempt expects an attempt whose answer stalls to be in flight until its
// context ends, and then to end with Reset and to close its connection.
func TestIncompleteAnswerIsAbandonedWithItsAttempt(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		closed := make(chan struct{})
		addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
			_, _ = sidecartest.ReadRequest(r)
			_, _ = io.WriteString(c, answer)
			_, _ = r.ReadByte()
			close(closed)
		})
		u := newTestUpstream(t)
		replies := make(chan core.Reply, 1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			replies <- u.send(ctx, newTarget(addr), keyedPost("x"), u.attemptWithin(time.Minute))
		}()
		select {
		case r := <-replies:
			t.Errorf("%q: the attempt ended with status %v before its context", answer, r.Status)
		case <-time.After(stalledAnswerTime):
			cancel()
			if r := sidecartest.Receive(t, replies, "reply"); r.Status != balancer.Reset {
				t.Errorf("%q: status %v, want Reset", answer, r.Status)
			}
		}
		cancel()
		sidecartest.Receive(t, closed, "end of the connection")
		if u.conns != 0 {
			t.Errorf("%q: the connection stays open after the attempt", answer)
		}
	}
}

// stalledAnswerTime is how long an answer stalls without an effect.
const stalledAnswerTime = 500 * time.Millisecond

// TestTooLongAnswerIsAbandonedAtOnce expects an attempt to end with Reset, well before its timeout, if its answer
// announces a body that is too large.
func TestTooLongAnswerIsAbandonedAtOnce(t *testing.T) {
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = sidecartest.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok")
		_, _ = r.ReadByte()
	})
	u := newTestUpstream(t)
	if r := u.sendAttemptWithin(sidecartest.WaitTimeout, keyedPost("x"),
		newTarget(addr)); r.Status != balancer.Reset {
		t.Errorf("status %v, want Reset before the attempt's timeout", r.Status)
	}
	if u.conns != 0 {
		t.Error("the connection stays open after the attempt")
	}
}

// TestAnswerLongAfterInterimIsAccepted expects no read timeout between an interim response (1xx) and the final answer.
func TestAnswerLongAfterInterimIsAccepted(t *testing.T) {
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = sidecartest.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 102 Wait\r\n\r\n")
		time.Sleep(stalledAnswerTime) // the endpoint works on the request
		_, _ = io.WriteString(c, sidecartest.OKResponse)
	})
	if r := newTestUpstream(t).sendAttempt(keyedPost("x"), newTarget(addr)); r.Status != balancer.OK {
		t.Errorf("status %v, want OK", r.Status)
	}
}

// TestBytesAfterAnswerAreDiscarded has an endpoint send each answer twice. The first copy is valid, and the second one
// must not be taken for the answer to the next request.
func TestBytesAfterAnswerAreDiscarded(t *testing.T) {
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			req, err := sidecartest.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("X-Trace-Id")
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			_, _ = io.WriteString(c, answer+answer)
		}
	})
	u, dst := newTestUpstream(t), newTarget(addr)
	for i := range 4 {
		m := plainGet()
		m.header.Set("X-Trace-Id", fmt.Sprint(i))
		if r := u.sendAttempt(m, dst); r.Status != balancer.OK ||
			string(r.Content.(*upstreamAnswer).body) != fmt.Sprint(i) {
			t.Errorf("request %d: status %v, answer %q; want OK and its own ID", i, r.Status, r.Content)
		}
	}
}

// TestProbeReadsLoadOrHealthWithinTimeout expects a probe to request the load if load reports are configured, and the
// health otherwise, and to time out if the endpoint does not answer.
func TestProbeReadsLoadOrHealthWithinTimeout(t *testing.T) {
	addr := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/-/load":
			_, _ = io.WriteString(w, "TEXT cpu_share=0.61, busy_reqs=7, served_ps=2")
		case "/-/healthy":
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	r := newTestUpstream(t).probe(newTarget(addr))
	if got := fmt.Sprint(r.Status, r.Load); got != "0 [7 2 0.61]" {
		t.Errorf("probe: status and load %s, want 0 [7 2 0.61]", got)
	}
	r = newTestUpstream(t, `"how":"probe"`, `"how":"none"`).probe(newTarget(addr))
	if r.Status != balancer.OK || r.Load != nil {
		t.Errorf("probe without reports: status %v, load %v", r.Status, r.Load)
	}
	ended := make(chan error, 1)
	silentAddr := sidecartest.RawEndpoint(t, func(_ *net.TCPConn, r *bufio.Reader) {
		_, _ = sidecartest.ReadRequest(r)
		_, err := r.ReadByte()
		ended <- err
	})
	if r := newTestUpstream(t).probe(newTarget(silentAddr)); r.Status == balancer.OK {
		t.Error("a probe without an answer returned status OK")
	}
	if err := sidecartest.Receive(t, ended, "end of the probe's connection"); err == nil {
		t.Error("the probe wrote more than its request")
	}
}

// TestDialTimeoutIsFractionOfConfigured guards against a dial to an unreachable host that leaves no time for an attempt
// at another endpoint.
func TestDialTimeoutIsFractionOfConfigured(t *testing.T) {
	for configured, want := range map[time.Duration]time.Duration{200 * time.Millisecond: 50 * time.Millisecond,
		time.Second: 250 * time.Millisecond, 0: probeTimeout / 4, -1: probeTimeout / 4} {
		if got := dialTimeout(configured); got != want {
			t.Errorf("dialTimeout(%v) = %v, want %v", configured, got, want)
		}
	}
}

func TestMillisLeftRoundsUp(t *testing.T) {
	for left, want := range map[balancer.Micros]balancer.Micros{-5: 0, 0: 0, 1: 1, 999: 1, 1000: 1, 1001: 2} {
		if got := millisLeft(left); got != want {
			t.Errorf("millisLeft(%d) = %d, want %d", left, got, want)
		}
	}
}
