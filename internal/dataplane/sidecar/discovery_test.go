package sidecar

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// Requests must follow the endpoint list: they go to an endpoint's new address, and no longer to endpoints that drain,
// were removed, or are missing from a complete list.
func TestRequestsFollowEndpointList(t *testing.T) {
	one, two := namedEndpoint(t, "s-1", "one"), namedEndpoint(t, "s-2", "two")
	three := namedEndpoint(t, "s-1", "three")
	state := func(entry discovery.Instance, lifecycle string) discovery.Instance {
		entry.Lifecycle = lifecycle
		return entry
	}
	discoveryServer := sidecartest.NewDiscovery(t)
	sidecar := startSidecar(t, sidecartest.Configure(t, discoveryServer.Addr, []discovery.Instance{one}))
	sidecartest.Receive(t, discoveryServer.Watches, "watch")
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
		discoveryServer.Lines <- sidecartest.ListLine(generation, step.reset, step.instances...)
		// Wait until the list is in effect, which shows by the endpoint that answers.
		var got string
		for end := time.Now().Add(sidecartest.WaitTimeout); ; {
			if _, got = sidecar.do(t, sidecartest.IdempotentRequest(900)); got == step.want || time.Now().After(end) {
				break
			}
			if step.want == "" && got != "one" && got != "two" && got != "three" {
				got = ""
				break
			}
		}
		if got != step.want {
			t.Fatalf("list %d: answered by %q, want %q", i, got, step.want)
		}
		for range 10 {
			// A new endpoint is warming up, so that a request may be rejected.
			_, got = sidecar.do(t, sidecartest.IdempotentRequest(900))
			if step.want != "" && got != step.want && !strings.HasPrefix(got, "refused") {
				t.Fatalf("list %d: a later request was answered by %q, want %q", i, got, step.want)
			}
		}
	}
}

// While discovery is down, the sidecar must serve from the list in its configuration.
func TestServesFromKnownListWithoutDiscovery(t *testing.T) {
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	sidecar := startWithEndpoints(t, []string{addr})
	if resp, _ := sidecar.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode != http.StatusOK {
		t.Errorf("request while discovery is down: %s, want 200", resp.Status)
	}
}

// Where discovery is polled, the decision module starts each watch. It must be told of a watch that fails, so that it
// starts another.
func TestPolledDiscoveryIsWatchedAgainAfterFailure(t *testing.T) {
	discoveryServer := sidecartest.NewDiscovery(t)
	addr := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	known := []discovery.Instance{sidecartest.ReadyInstance("s-1", sidecartest.ClosedAddress(t))}
	sidecar := startSidecar(t, sidecartest.Configure(t, discoveryServer.Addr, known,
		`"discovery":"automatic"`, `"discovery":"subscribe"`))
	sidecartest.Receive(t, discoveryServer.Watches, "first watch")
	discoveryServer.Lines <- "" // the watch ends
	sidecartest.Receive(t, discoveryServer.Watches, "watch after one that ended")
	discoveryServer.Lines <- sidecartest.ListLine(8, true, sidecartest.ReadyInstance("s-2", addr))
	for end := time.Now().Add(sidecartest.WaitTimeout); ; {
		if resp, _ := sidecar.do(t, sidecartest.IdempotentRequest(900)); resp.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the list of the second watch did not take effect in time")
		}
	}
}
