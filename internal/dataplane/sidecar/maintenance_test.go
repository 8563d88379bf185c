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

// manage sends a line to the management service, and returns the complete answer.
func (s *testSidecar) manage(t *testing.T, line string) string {
	t.Helper()
	answer, err := s.tryManage(line)
	if err != nil {
		t.Fatal(err)
	}
	return answer
}

// tryManage is manage, but returns an error if the sidecar cannot be reached, as after its end.
func (s *testSidecar) tryManage(line string) (string, error) {
	conn, err := net.Dial("tcp", s.management.Addr().String())
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(sidecartest.WaitTimeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

// wantReply sends a line to the management service, which must answer with want.
func (s *testSidecar) wantReply(t *testing.T, line, want string) {
	t.Helper()
	if got := s.manage(t, line); got != want+"\n" {
		t.Errorf("management call %s: got %q, want %q", line, got, want)
	}
}

// metric returns the value of a metric, whose name is given without the prefix app_.
func (s *testSidecar) metric(t *testing.T, name string) int {
	t.Helper()
	text, complete := strings.CutSuffix(s.manage(t, "stats"), "END\n")
	for line := range strings.Lines(text) {
		if key, value, _ := strings.Cut(strings.TrimSpace(line), " "); key == "app_"+name && complete {
			number, err := strconv.Atoi(value)
			if err != nil {
				t.Fatal(err)
			}
			return number
		}
	}
	t.Fatalf("metric %s is missing, or the metrics are incomplete: %q", name, text)
	return 0
}

// wantMetric checks the value of a metric.
func (s *testSidecar) wantMetric(t *testing.T, name string, want int) {
	t.Helper()
	if got := s.metric(t, name); got != want {
		t.Errorf("metric %s is %d, want %d", name, got, want)
	}
}

// awaitMetric waits until a metric has a value.
func (s *testSidecar) awaitMetric(t *testing.T, name string, want int) {
	t.Helper()
	for end := time.Now().Add(sidecartest.WaitTimeout); s.metric(t, name) != want; {
		if time.Now().After(end) {
			t.Fatalf("metric %s did not become %d in time", name, want)
		}
	}
}

// An operator's drain of an endpoint must last until the operator ends it, even if discovery removes the endpoint and
// lists it again in the meantime.
func TestOperatorsDrainAndReturnEndpoint(t *testing.T) {
	discoveryServer := sidecartest.NewDiscovery(t)
	one, two := namedEndpoint(t, "s-1", "one"), namedEndpoint(t, "s-2", "two")
	cfg := sidecartest.Configure(t, discoveryServer.Addr, []discovery.Instance{one, two},
		`"ramp-time":10000000`, `"ramp-time":1`)
	sidecar := startSidecar(t, cfg)
	sidecartest.Receive(t, discoveryServer.Watches, "call of discovery")
	sidecar.wantReply(t, "status", "YES")
	sidecar.wantReply(t, "maint-on s-9", "NO s-9: unknown id")
	sidecar.wantReply(t, "maint-on s-1", "YES")
	sidecar.wantReply(t, "maint-on s-1", "YES")
	sidecar.wantMetric(t, "cluster_size", 2)
	sidecar.wantMetric(t, "cluster_unhealthy", 1)
	wantServedByTwo := func() {
		t.Helper()
		for range 20 {
			if _, got := sidecar.do(t, sidecartest.IdempotentRequest(900)); got != "two" {
				t.Fatalf("answered by %q while s-1 is drained, want two", got)
			}
		}
	}
	wantServedByTwo()
	// Discovery removes s-1, and lists it again after a restart.
	discoveryServer.Lines <- sidecartest.ListLine(8, true, two)
	sidecar.awaitMetric(t, "cluster_size", 1)
	one.StartedMs = time.Now().UnixMilli()
	discoveryServer.Lines <- sidecartest.ListLine(9, false, one)
	sidecar.awaitMetric(t, "cluster_size", 2)
	wantServedByTwo()
	sidecar.wantReply(t, "maint-off s-1", "YES")
	sidecar.wantReply(t, "maint-off s-1", "YES")
	sidecar.wantMetric(t, "cluster_unhealthy", 0)
	sidecar.wantReply(t, "maint-on s-2", "YES")
	sidecar.waitUntilServedBy(t, "one")
}

// Each final answer must be counted once, under the class of its request.
func TestAnswersAreCountedByClass(t *testing.T) {
	addr := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	sidecar := startWithEndpoints(t, []string{addr}, `"most-tries":3`, `"most-tries":1`)
	for range 3 {
		sidecar.do(t, sidecartest.IdempotentRequest(900))
	}
	for range 2 {
		sidecar.do(t, sidecartest.Request("POST", "/pay", "pay", 900, "x"))
	}
	sidecar.wantReply(t, "maint-on s-1", "YES")
	sidecar.do(t, sidecartest.IdempotentRequest(900))
	sidecar.do(t, sidecartest.Request("GET", "/nothing", "nothing", 900, "")) // an unknown class has no counters
	for name, want := range map[string]int{
		"answered_total{group=%q}": 3, "deferred_total{group=%q}": 1, "errored_total{group=%q}": 0,
	} {
		sidecar.wantMetric(t, fmt.Sprintf(name, "look"), want)
	}
	sidecar.wantMetric(t, `errored_total{group="pay"}`, 2)
	sidecar.wantMetric(t, "sends_total", 5)
	sidecar.wantMetric(t, "current", 0)
	sidecar.wantMetric(t, "conf_loaded_total", 0)
}

// A process must start with the overrides that operators made in the earlier process.
func TestOverridesSurviveRestart(t *testing.T) {
	var sent atomic.Int32
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) { sent.Add(1) })
	cfg := configure(t, []string{addr})
	dir := t.TempDir()
	sidecar := startSidecarIn(t, cfg, dir)
	sidecar.wantReply(t, "maint-on s-1", "YES")
	sidecar.stop()
	if err := sidecartest.Receive(t, sidecar.ended, "end"); err != nil {
		t.Error(err)
	}
	sidecar = startSidecarIn(t, cfg, dir)
	resp, _ := sidecar.do(t, sidecartest.IdempotentRequest(900))
	if resp.StatusCode != http.StatusServiceUnavailable || sent.Load() > 0 {
		t.Errorf("request to the drained endpoint: %s and %d attempts, want 503 without an attempt", resp.Status,
			sent.Load())
	}
	sidecar.wantReply(t, "maint-off s-1", "YES")
	sidecar.wantMetric(t, "cluster_unhealthy", 0)
}
