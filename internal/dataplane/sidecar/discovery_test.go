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
		return sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, name) })
	}
	one, two, three := sidecartest.ReadyInstance("s-1", endpoint("one")), sidecartest.ReadyInstance("s-2", endpoint("two")), sidecartest.ReadyInstance("s-1", endpoint("three"))
	state := func(in discovery.Instance, lifecycle string) discovery.Instance {
		in.Lifecycle = lifecycle
		return in
	}
	b := sidecartest.NewDiscovery(t)
	s := startSidecar(t, sidecartest.Configure(t, b.Addr, []discovery.Instance{one}))
	sidecartest.Receive(t, b.Watches, "watch")
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
		b.Lines <- sidecartest.ListLine(generation, step.reset, step.instances...)
		// The list has arrived once requests go where they should.
		var got string
		for end := time.Now().Add(sidecartest.WaitTimeout); ; {
			if _, got = s.do(t, sidecartest.IdempotentRequest(900)); got == step.want || time.Now().After(end) {
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
			_, got = s.do(t, sidecartest.IdempotentRequest(900))
			if step.want != "" && got != step.want && !strings.HasPrefix(got, "refused") {
				t.Fatalf("step %d: then answered by %q, want %q", i, got, step.want)
			}
		}
	}
}

// The sidecar serves from the list that it was started with while discovery is down.
func TestServesFromKnownListWithoutDiscovery(t *testing.T) {
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	s := startSidecar(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), []discovery.Instance{sidecartest.ReadyInstance("s-1", addr)}))
	if resp, _ := s.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != 200 {
		t.Errorf("with a known list and no discovery: %s", resp.Status)
	}
}

// Where discovery is asked, the balancer asks for each watch and hears of one that fails.
func TestPolledDiscoveryIsWatchedAgainAfterFailure(t *testing.T) {
	b := sidecartest.NewDiscovery(t)
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	s := startSidecar(t, sidecartest.Configure(t, b.Addr, []discovery.Instance{sidecartest.ReadyInstance("s-1", sidecartest.ClosedAddress(t))},
		`"discovery":"automatic"`, `"discovery":"subscribe"`))
	sidecartest.Receive(t, b.Watches, "first watch")
	b.Lines <- "" // it ends
	sidecartest.Receive(t, b.Watches, "watch after one that ended")
	b.Lines <- sidecartest.ListLine(8, true, sidecartest.ReadyInstance("s-2", addr))
	for end := time.Now().Add(sidecartest.WaitTimeout); ; {
		if resp, _ := s.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode == 200 {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the list did not arrive")
		}
	}
}
