package sidecar

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// Requests follow the list: to a new address, and away from endpoints that drain, were removed, or are not in a
// complete list.
func TestRequestsFollowEndpointList(t *testing.T) {
	one, two := namedEndpoint(t, "s-1", "one"), namedEndpoint(t, "s-2", "two")
	three := namedEndpoint(t, "s-1", "three")
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
		// The list has arrived once requests are sent where they should.
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
			// A new endpoint is warming up and may get few requests.
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
	s := startWithEndpoints(t, []string{addr})
	if resp, _ := s.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK {
		t.Errorf("with a known list and no discovery: %s", resp.Status)
	}
}

// Where discovery is polled, the decision module requests each watch and is notified of one that fails.
func TestPolledDiscoveryIsWatchedAgainAfterFailure(t *testing.T) {
	b := sidecartest.NewDiscovery(t)
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	known := []discovery.Instance{sidecartest.ReadyInstance("s-1", sidecartest.ClosedAddress(t))}
	s := startSidecar(t, sidecartest.Configure(t, b.Addr, known,
		`"discovery":"automatic"`, `"discovery":"subscribe"`))
	sidecartest.Receive(t, b.Watches, "first watch")
	b.Lines <- "" // it ends
	sidecartest.Receive(t, b.Watches, "watch after one that ended")
	b.Lines <- sidecartest.ListLine(8, true, sidecartest.ReadyInstance("s-2", addr))
	for end := time.Now().Add(sidecartest.WaitTimeout); ; {
		if resp, _ := s.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the list did not arrive")
		}
	}
}
