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

// A missing or invalid figure must not be read as an idle endpoint.
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
	return NewUpstream(c, core.NewClock(), new(metrics.Counter), sidecartest.DiscardLog)
}

// sendAttempt makes one attempt with a second of time.
func (u *Upstream) sendAttempt(m *message, to *target) core.Reply {
	return u.sendAttemptWithin(time.Second, m, to)
}

func (u *Upstream) sendAttemptWithin(d time.Duration, m *message, to *target) core.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 2*sidecartest.WaitTimeout)
	defer cancel()
	return u.send(ctx, to, m, u.clock.Now()+d.Microseconds(), func(balancer.Micros) bool { return true }, nil)
}

func keyed(body string) *message {
	return &message{method: "POST", uri: "/book", host: "origin.svc", body: []byte(body),
		header: http.Header{"X-Trace-Id": {"1"}, "Idempotency-Key": {"k"}}}
}

func plainGet() *message {
	return &message{method: "GET", uri: "/look", host: "origin.svc", header: http.Header{"X-Trace-Id": {"1"}}}
}

// Each Send is at most one attempt on the wire, also for requests that an http.Transport would send again:
// those of a kept connection that breaks after the request was read.
func TestBrokenKeptConnectionIsNotResent(t *testing.T) {
	for name, m := range map[string]*message{"get": plainGet(), "keyed": keyed("x")} {
		t.Run(name, func(t *testing.T) {
			var taken atomic.Int32
			to := newTarget(sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
				for i := 0; i < 2; i++ {
					if _, err := sidecartest.ReadRequest(r); err != nil {
						return
					}
					if taken.Add(1); i == 0 {
						_, _ = io.WriteString(c, sidecartest.OKResponse)
					}
				}
			}))
			u := newTestUpstream(t)
			if r := u.sendAttempt(m, to); r.Status != balancer.OK {
				t.Fatalf("first: status %v", r.Status)
			}
			if r := u.sendAttempt(m, to); r.Status != balancer.Reset {
				t.Errorf("second: status %v, want Reset", r.Status)
			}
			if n := taken.Load(); n != 2 {
				t.Errorf("the endpoint took %d requests, want 2", n)
			}
		})
	}
}

// brokenConn is a connection that breaks before the last bytes of a write, or right after them.
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

// A request may have run only if its last byte was written.
func TestStatusOfFailedWriteDependsOnLastByte(t *testing.T) {
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = sidecartest.ReadRequest(r)
		_ = c.SetLinger(0) // breaks with a reset
	})
	m := keyed(strings.Repeat("x", 1000))
	for _, tc := range []struct {
		name  string
		lack  int
		after bool
		want  balancer.Status
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
				return brokenConn{c, tc.lack, tc.after}, err
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

// The status of an attempt by the endpoint's answer: only a marked 503 or 504 proves that the request never ran,
// and only a complete 200 counts as success.
func TestAnswerStatuses(t *testing.T) {
	for _, tc := range []struct {
		name, answer string
		want         balancer.Status
	}{
		{"whole", sidecartest.OKResponse, balancer.OK},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", balancer.OK},
		{"after a 100", "HTTP/1.1 100 Continue\r\n\r\n" + sidecartest.OKResponse, balancer.OK},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", balancer.Error},
		{"turned away", "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
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
		{"too large", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nok", MaxBody+1), balancer.Reset},
		{"endless head", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxBufferedAnswer), balancer.Reset},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
				_, _ = sidecartest.ReadRequest(r)
				_, _ = io.WriteString(c, tc.answer)
			})
			r := newTestUpstream(t).sendAttempt(keyed("x"), newTarget(addr))
			if r.Status != tc.want {
				t.Errorf("status %v, want %v", r.Status, tc.want)
			}
			if r.Status == balancer.OK && string(r.Content.(*upstreamAnswer).body) != "ok" {
				t.Errorf("body %q", r.Content.(*upstreamAnswer).body)
			}
		})
	}
}

// An answer that does not end, or announces that it will not for long, is abandoned before the request's timeout.
func TestIncompleteAnswerIsAbandonedBeforeTimeout(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Le",
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n",
	} {
		addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
			_, _ = sidecartest.ReadRequest(r)
			_, _ = io.WriteString(c, answer)
			_, _ = r.ReadByte()
		})
		// Its own time is far longer: Reset, and not a time-out, says which came first.
		u := newTestUpstream(t)
		if r := u.sendAttemptWithin(sidecartest.WaitTimeout, keyed("x"), newTarget(addr)); r.Status != balancer.Reset {
			t.Errorf("%q: status %v, want Reset before its time is up", answer, r.Status)
		}
		if u.conns != 0 {
			t.Errorf("%q: its connection is kept", answer)
		}
	}
}

// An answer may come long after a 1xx.
func TestAnswerLongAfterInterimIsAccepted(t *testing.T) {
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = sidecartest.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 102 Wait\r\n\r\n")
		time.Sleep(2 * maxAnswerStall) // the work, not a wait for another
		_, _ = io.WriteString(c, sidecartest.OKResponse)
	})
	if r := newTestUpstream(t).sendAttempt(keyed("x"), newTarget(addr)); r.Status != balancer.OK {
		t.Errorf("status %v, want OK", r.Status)
	}
}

// An answer with more bytes behind it is valid, and the bytes behind it answer no request.
func TestBytesAfterAnswerAreDiscarded(t *testing.T) {
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			req, err := sidecartest.ReadRequest(r)
			if err != nil {
				return
			}
			id := req.Header.Get("X-Trace-Id")
			one := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			_, _ = io.WriteString(c, one+one)
		}
	})
	u, to := newTestUpstream(t), newTarget(addr)
	for i := range 4 {
		m := plainGet()
		m.header.Set("X-Trace-Id", fmt.Sprint(i))
		if r := u.sendAttempt(m, to); r.Status != balancer.OK || string(r.Content.(*upstreamAnswer).body) != fmt.Sprint(i) {
			t.Errorf("request %d: status %v, answer %q", i, r.Status, r.Content)
		}
	}
}

// A probe requests the load where there are load reports, the health elsewhere, and has a timeout.
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
	mute := sidecartest.RawEndpoint(t, func(_ *net.TCPConn, r *bufio.Reader) {
		_, _ = sidecartest.ReadRequest(r)
		_, err := r.ReadByte()
		ended <- err
	})
	if r := newTestUpstream(t).probe(newTarget(mute)); r.Status == balancer.OK {
		t.Error("a probe that nobody answered is ok")
	}
	if err := sidecartest.Receive(t, ended, "end of a mute probe"); err == nil {
		t.Error("more was written to a mute probe")
	}
}

// Dialling a server that is gone must leave time for an attempt at another.
func TestDialTimeoutIsFractionOfConfigured(t *testing.T) {
	for most, want := range map[time.Duration]time.Duration{200 * time.Millisecond: 50 * time.Millisecond,
		time.Second: 250 * time.Millisecond, 0: probeTimeout / 4, -1: probeTimeout / 4} {
		if got := dialTimeout(most); got != want {
			t.Errorf("of %v, a connection is waited for for %v, want %v", most, got, want)
		}
	}
}

func TestMillisLeftRoundsUp(t *testing.T) {
	for left, want := range map[balancer.Micros]balancer.Micros{-5: 0, 0: 0, 1: 1, 999: 1, 1000: 1, 1001: 2} {
		if got := millisLeft(left); got != want {
			t.Errorf("%d µs left are told as %d ms, want %d", left, got, want)
		}
	}
}
