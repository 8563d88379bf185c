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

// call makes an operator's call and returns the whole answer.
func (s *running) call(t *testing.T, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", s.mgmt.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(sidecartest.Soon))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

// says makes a call and compares its answer.
func (s *running) says(t *testing.T, line, want string) {
	t.Helper()
	if got := s.call(t, line); got != want+"\n" {
		t.Errorf("%s: got %q, want %q", line, got, want)
	}
}

// figure returns one figure.
func (s *running) figure(t *testing.T, name string) int {
	t.Helper()
	text, whole := strings.CutSuffix(s.call(t, "stats"), "END\n")
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

func (s *running) figureIs(t *testing.T, name string, want int) {
	t.Helper()
	if got := s.figure(t, name); got != want {
		t.Errorf("%s is %d, want %d", name, got, want)
	}
}

// Operators take an endpoint out and call it back, whatever discovery says meanwhile.
func TestMaintenance(t *testing.T) {
	b := sidecartest.NewBoard(t)
	endpoint := func(name string) string {
		return sidecartest.Web(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, name) })
	}
	one, two := sidecartest.Up("s-1", endpoint("one")), sidecartest.Up("s-2", endpoint("two"))
	s := start(t, sidecartest.Configure(t, b.Addr, []discovery.Instance{one, two}, `"ramp-time":10000000`, `"ramp-time":1`))
	sidecartest.Within(t, b.Asked, "call of discovery")
	s.says(t, "status", "YES")
	s.says(t, "maint-on s-9", "NO s-9: unknown id")
	s.says(t, "maint-on s-1", "YES")
	s.says(t, "maint-on s-1", "YES")
	s.figureIs(t, "cluster_size", 2)
	s.figureIs(t, "cluster_unhealthy", 1)
	stays := func() {
		t.Helper()
		for range 20 {
			if _, got := s.ask(t, sidecartest.Look(900)); got != "two" {
				t.Fatalf("answered by %q", got)
			}
		}
	}
	stays()
	// It leaves and returns, restarted.
	b.Lines <- sidecartest.Line(8, true, two)
	for s.figure(t, "cluster_size") != 1 {
	}
	one.StartedMs = time.Now().UnixMilli()
	b.Lines <- sidecartest.Line(9, false, one)
	for s.figure(t, "cluster_size") != 2 {
	}
	stays()
	s.says(t, "maint-off s-1", "YES")
	s.says(t, "maint-off s-1", "YES")
	s.figureIs(t, "cluster_unhealthy", 0)
	s.says(t, "maint-on s-2", "YES")
	s.serves(t, "one")
}

// Each final answer is counted once, under its class.
func TestFigures(t *testing.T) {
	addr := sidecartest.Web(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/pay" {
			w.WriteHeader(500)
		}
	})
	s := start(t, sidecartest.Configure(t, sidecartest.Nowhere(t), []discovery.Instance{sidecartest.Up("s-1", addr)}, `"most-tries":3`, `"most-tries":1`))
	for range 3 {
		s.ask(t, sidecartest.Look(900))
	}
	for range 2 {
		s.ask(t, sidecartest.Request("POST", "/pay", "pay", 900, "x"))
	}
	s.says(t, "maint-on s-1", "YES")
	s.ask(t, sidecartest.Look(900))
	s.ask(t, sidecartest.Request("GET", "/nothing", "nothing", 900, "")) // no class, no count
	for name, want := range map[string]int{
		"answered_total{group=%q}": 3, "deferred_total{group=%q}": 1, "errored_total{group=%q}": 0} {
		s.figureIs(t, fmt.Sprintf(name, "look"), want)
	}
	s.figureIs(t, `errored_total{group="pay"}`, 2)
	s.figureIs(t, "sends_total", 5)
	s.figureIs(t, "current", 0)
	s.figureIs(t, "conf_loaded_total", 0)
}

// A process that starts holds what operators said to the one before it.
func TestBansOutliveTheProcess(t *testing.T) {
	var other int
	addr := sidecartest.Web(t, func(http.ResponseWriter, *http.Request) { other++ })
	c := sidecartest.Configure(t, sidecartest.Nowhere(t), []discovery.Instance{sidecartest.Up("s-1", addr)})
	dir := t.TempDir()
	s := startIn(t, c, dir)
	s.says(t, "maint-on s-1", "YES")
	s.stop()
	sidecartest.Within(t, s.ended, "end")
	s = startIn(t, c, dir)
	if resp, _ := s.ask(t, sidecartest.Look(900)); resp.StatusCode != 503 || other > 0 {
		t.Errorf("answered %s, %d requests went out", resp.Status, other)
	}
	s.says(t, "maint-off s-1", "YES")
	s.figureIs(t, "cluster_unhealthy", 0)
}
