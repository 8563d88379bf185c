package sidecar

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// The list moves requests: to a new address, away from what drains or has gone, and a whole list leaves out
// what has gone.
func TestRequestsFollowEndpointList(t *testing.T) {
	endpoint := func(name string) string {
		return sidecartest.Web(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, name) })
	}
	one, two, three := sidecartest.Up("s-1", endpoint("one")), sidecartest.Up("s-2", endpoint("two")), sidecartest.Up("s-1", endpoint("three"))
	state := func(in discovery.Instance, lifecycle string) discovery.Instance {
		in.Lifecycle = lifecycle
		return in
	}
	b := sidecartest.NewBoard(t)
	s := startSidecar(t, sidecartest.Configure(t, b.Addr, []discovery.Instance{one}))
	sidecartest.Within(t, b.Asked, "watch")
	for i, step := range []struct {
		reset     bool
		instances []discovery.Instance
		want      string
	}{
		{false, nil, "one"},
		{false, []discovery.Instance{state(one, "draining"), two}, "two"},
		{false, []discovery.Instance{state(two, "removed"), one}, "one"},
		{true, []discovery.Instance{two}, "two"},
		{true, []discovery.Instance{three}, "three"},
		{false, []discovery.Instance{one}, "one"},
		{false, []discovery.Instance{state(one, "resting"), two, {}}, "two"},
		{false, []discovery.Instance{state(discovery.Instance{ID: "s-2"}, "removed")}, ""},
	} {
		generation := int64(8 + i)
		b.Lines <- sidecartest.Line(generation, step.reset, step.instances...)
		// The list has arrived once requests go where they should.
		var got string
		for end := time.Now().Add(sidecartest.Soon); ; {
			if _, got = s.do(t, sidecartest.Look(900)); got == step.want || time.Now().After(end) {
				break
			}
			if step.want == "" && got != "one" && got != "two" && got != "three" {
				got = ""
				break
			}
		}
		if got != step.want {
			t.Fatalf("step %d: answered by %q, want %q", i, got, step.want)
		}
		for range 10 {
			// A new endpoint counts as cold, and may be spared.
			_, got = s.do(t, sidecartest.Look(900))
			if step.want != "" && got != step.want && !strings.HasPrefix(got, "refused") {
				t.Fatalf("step %d: then answered by %q, want %q", i, got, step.want)
			}
		}
	}
}

// The sidecar serves from the list that it was started with while discovery is down.
func TestServesFromKnownListWithoutDiscovery(t *testing.T) {
	addr := sidecartest.Web(t, func(http.ResponseWriter, *http.Request) {})
	s := startSidecar(t, sidecartest.Configure(t, sidecartest.Nowhere(t), []discovery.Instance{sidecartest.Up("s-1", addr)}))
	if resp, _ := s.do(t, sidecartest.Look(900)); resp.StatusCode != 200 {
		t.Errorf("with a known list and no discovery: %s", resp.Status)
	}
}

// Where discovery is asked, the balancer asks for each watch and hears of one that fails.
func TestPolledDiscoveryIsWatchedAgainAfterFailure(t *testing.T) {
	b := sidecartest.NewBoard(t)
	addr := sidecartest.Web(t, func(http.ResponseWriter, *http.Request) {})
	s := startSidecar(t, sidecartest.Configure(t, b.Addr, []discovery.Instance{sidecartest.Up("s-1", sidecartest.Nowhere(t))},
		`"discovery":"automatic"`, `"discovery":"subscribe"`))
	sidecartest.Within(t, b.Asked, "first watch")
	b.Lines <- "" // it ends
	sidecartest.Within(t, b.Asked, "watch after one that ended")
	b.Lines <- sidecartest.Line(8, true, sidecartest.Up("s-2", addr))
	for end := time.Now().Add(sidecartest.Soon); ; {
		if resp, _ := s.do(t, sidecartest.Look(900)); resp.StatusCode == 200 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the list did not arrive")
		}
	}
}
