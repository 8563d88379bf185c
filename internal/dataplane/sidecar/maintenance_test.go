package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// manage makes an operator's call and returns the complete answer.
func (s *testSidecar) manage(t *testing.T, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", s.management.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(sidecartest.WaitTimeout)); err != nil {
		t.Fatal(err)
	}
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
	text, complete := strings.CutSuffix(s.manage(t, "stats"), "END\n")
	for line := range strings.Lines(text) {
		if key, value, _ := strings.Cut(strings.TrimSpace(line), " "); key == "app_"+name && complete {
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

// awaitMetric waits until a metric has a value.
func (s *testSidecar) awaitMetric(t *testing.T, name string, want int) {
	t.Helper()
	for end := time.Now().Add(sidecartest.WaitTimeout); s.metric(t, name) != want; {
		if time.Now().After(end) {
			t.Fatalf("%s does not become %d", name, want)
		}
	}
}

// Operators drain an endpoint and return it, whatever discovery says in the meantime.
func TestOperatorsDrainAndReturnEndpoint(t *testing.T) {
	b := sidecartest.NewDiscovery(t)
	one, two := namedEndpoint(t, "s-1", "one"), namedEndpoint(t, "s-2", "two")
	c := sidecartest.Configure(t, b.Addr, []discovery.Instance{one, two}, `"ramp-time":10000000`, `"ramp-time":1`)
	s := startSidecar(t, c)
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
	s.awaitMetric(t, "cluster_size", 1)
	one.StartedMs = time.Now().UnixMilli()
	b.Lines <- sidecartest.ListLine(9, false, one)
	s.awaitMetric(t, "cluster_size", 2)
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
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	s := startWithEndpoints(t, []string{addr}, `"most-tries":3`, `"most-tries":1`)
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

// A process starts with the overrides that operators made at the one before it.
func TestOverridesSurviveRestart(t *testing.T) {
	var sent atomic.Int32
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) { sent.Add(1) })
	c := configure(t, []string{addr})
	dir := t.TempDir()
	s := startIn(t, c, dir)
	s.wantReply(t, "maint-on s-1", "YES")
	s.stop()
	if err := sidecartest.Receive(t, s.ended, "end"); err != nil {
		t.Error(err)
	}
	s = startIn(t, c, dir)
	resp, _ := s.do(t, sidecartest.IdempotentRequest(900))
	if resp.StatusCode != http.StatusServiceUnavailable || sent.Load() > 0 {
		t.Errorf("answered %s, %d requests were sent", resp.Status, sent.Load())
	}
	s.wantReply(t, "maint-off s-1", "YES")
	s.wantMetric(t, "cluster_unhealthy", 0)
}
