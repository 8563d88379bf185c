package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// manage makes an operator's call and returns the whole answer.
func (s *testSidecar) manage(t *testing.T, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", s.management.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

// wantReply makes a call and compares its answer.
func (s *testSidecar) wantReply(t *testing.T, line, want string) {
	t.Helper()
	if got := s.manage(t, line); got != want+"\n" {
		t.Errorf("%s: got %q, want %q", line, got, want)
	}
}

// metric returns one figure.
func (s *testSidecar) metric(t *testing.T, name string) int {
	t.Helper()
	text, whole := strings.CutSuffix(s.manage(t, "stats"), "END\n")
	for line := range strings.Lines(text) {
		if key, value, _ := strings.Cut(strings.TrimSpace(line), " "); key == "app_"+name && whole {
			n, err := strconv.Atoi(value)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	t.Fatalf("%s is not in %q", name, text)
	return 0
}

func (s *testSidecar) wantMetric(t *testing.T, name string, want int) {
	t.Helper()
	if got := s.metric(t, name); got != want {
		t.Errorf("%s is %d, want %d", name, got, want)
	}
}

// Operators take an endpoint out and call it back, whatever discovery says meanwhile.
func TestOperatorsDrainAndReturnEndpoint(t *testing.T) {
	b := sidecartest.NewDiscovery(t)
	endpoint := func(name string) string {
		return sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, name) })
	}
	one, two := sidecartest.ReadyInstance("s-1", endpoint("one")), sidecartest.ReadyInstance("s-2", endpoint("two"))
	s := startSidecar(t, sidecartest.Configure(t, b.Addr, []discovery.Instance{one, two}, `"ramp-time":10000000`, `"ramp-time":1`))
	sidecartest.Receive(t, b.Watches, "call of discovery")
	s.wantReply(t, "status", "YES")
	s.wantReply(t, "maint-on s-9", "NO s-9: unknown id")
	s.wantReply(t, "maint-on s-1", "YES")
	s.wantReply(t, "maint-on s-1", "YES")
	s.wantMetric(t, "cluster_size", 2)
	s.wantMetric(t, "cluster_unhealthy", 1)
	stays := func() {
		t.Helper()
		for range 20 {
			if _, got := s.do(t, sidecartest.IdempotentRequest(900)); got != "two" {
				t.Fatalf("answered by %q", got)
			}
		}
	}
	stays()
	// It leaves and returns, restarted.
	b.Lines <- sidecartest.ListLine(8, true, two)
	for s.metric(t, "cluster_size") != 1 {
	}
	one.StartedMs = time.Now().UnixMilli()
	b.Lines <- sidecartest.ListLine(9, false, one)
	for s.metric(t, "cluster_size") != 2 {
	}
	stays()
	s.wantReply(t, "maint-off s-1", "YES")
	s.wantReply(t, "maint-off s-1", "YES")
	s.wantMetric(t, "cluster_unhealthy", 0)
	s.wantReply(t, "maint-on s-2", "YES")
	s.waitServedBy(t, "one")
}

// Each final answer is counted once, under its class.
func TestAnswersAreCountedByClass(t *testing.T) {
	addr := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			w.WriteHeader(500)
		}
	})
	s := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), []discovery.Instance{sidecartest.ReadyInstance("s-1", addr)}, `"most-tries":3`, `"most-tries":1`))
	for range 3 {
		s.do(t, sidecartest.IdempotentRequest(900))
	}
	for range 2 {
		s.do(t, sidecartest.Request("POST", "/pay", "pay", 900, "x"))
	}
	s.wantReply(t, "maint-on s-1", "YES")
	s.do(t, sidecartest.IdempotentRequest(900))
	s.do(t, sidecartest.Request("GET", "/nothing", "nothing", 900, "")) // no class, no count
	for name, want := range map[string]int{
		"answered_total{group=%q}": 3, "deferred_total{group=%q}": 1, "errored_total{group=%q}": 0} {
		s.wantMetric(t, fmt.Sprintf(name, "look"), want)
	}
	s.wantMetric(t, `errored_total{group="pay"}`, 2)
	s.wantMetric(t, "sends_total", 5)
	s.wantMetric(t, "current", 0)
	s.wantMetric(t, "conf_loaded_total", 0)
}

// A process that starts holds what operators said to the one before it.
func TestOverridesSurviveRestart(t *testing.T) {
	var other int
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) { other++ })
	c := sidecartest.Configure(t, sidecartest.ClosedAddress(t), []discovery.Instance{sidecartest.ReadyInstance("s-1", addr)})
	dir := t.TempDir()
	s := startIn(t, c, dir)
	s.wantReply(t, "maint-on s-1", "YES")
	s.stop()
	sidecartest.Receive(t, s.ended, "end")
	s = startIn(t, c, dir)
	if resp, _ := s.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != 503 || other > 0 {
		t.Errorf("answered %s, %d requests went out", resp.Status, other)
	}
	s.wantReply(t, "maint-off s-1", "YES")
	s.wantMetric(t, "cluster_unhealthy", 0)
}
