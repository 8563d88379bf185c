package core

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// Invalid entries of a list must be ignored and logged in one line, but a drain must apply even without a valid
// address.
func TestInvalidListEntriesAreLoggedOnce(t *testing.T) {
	var logged strings.Builder
	log := slog.New(slog.NewTextHandler(&logged, nil))
	loop := newLoop(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), nil), stubTransport{}, log)
	now := loop.Now()
	loop.balancer.Start(now)
	instance := func(id, addr, lifecycle string) discovery.Instance {
		return discovery.Instance{ID: id, Addr: addr, Lifecycle: lifecycle}
	}
	for _, tc := range []struct {
		name  string
		kind  balancer.ListKind
		list  []discovery.Instance
		ready string // names of the endpoints that are ready afterwards
		lines int
		text  string
	}{
		{
			name:  "valid",
			kind:  balancer.ListFull,
			list:  []discovery.Instance{instance("a", "127.0.0.1:1", "up"), instance("b", "127.0.0.1:2", "up")},
			ready: "a b",
		},
		{
			name: "several invalid ones",
			kind: balancer.ListDelta,
			list: []discovery.Instance{
				instance("", "127.0.0.1:3", "up"),
				instance("c", "", "up"),
				instance("d", "no port", "up"),
				instance("e", "127.0.0.1:5", "up"),
			},
			ready: "a b e", lines: 1, text: "invalid=3",
		},
		{
			name:  "listed twice",
			kind:  balancer.ListDelta,
			list:  []discovery.Instance{instance("e", "127.0.0.1:5", "up"), instance("e", "127.0.0.1:6", "up")},
			ready: "a b e", lines: 1, text: "listed twice",
		},
		{
			name:  "drains without an address",
			kind:  balancer.ListDelta,
			list:  []discovery.Instance{instance("a", "no port", "draining"), instance("b", "", "draining")},
			ready: "e",
		},
		{
			name:  "unknown lifecycle",
			kind:  balancer.ListDelta,
			list:  []discovery.Instance{instance("e", "127.0.0.1:6", "resting")},
			lines: 1, text: "resting",
		},
		{
			name:  "back",
			kind:  balancer.ListDelta,
			list:  []discovery.Instance{instance("a", "127.0.0.1:1", "up")},
			ready: "a",
		},
		{name: "empty", kind: balancer.ListFull},
	} {
		logged.Reset()
		loop.applyList(now, tc.kind, discovery.List{Generation: 7, Instances: tc.list})
		var ready []string
		for name, endpoint := range loop.endpointsByName {
			if endpoint.state == balancer.Ready {
				ready = append(ready, name)
			}
		}
		slices.Sort(ready)
		if got := strings.Join(ready, " "); got != tc.ready {
			t.Errorf("%s: endpoints %q are ready, want %q", tc.name, got, tc.ready)
		}
		lines := strings.Count(logged.String(), "endpoint list with invalid entries")
		if lines != tc.lines || !strings.Contains(logged.String(), tc.text) {
			t.Errorf("%s: %d log lines about invalid entries, want %d with %q, in %s",
				tc.name, lines, tc.lines, tc.text, logged.String())
		}
	}
}

// A dial can outlast the grace period of a drain. Nothing may then be sent on the connection, and the request is
// rejected since it never ran.
func TestConnectionAfterDrainGraceSendsNothing(t *testing.T) {
	drained := sidecartest.ReadyInstance("s-1", anyAddr)
	drained.Lifecycle = lifecycleDraining
	for _, tc := range []struct {
		name string
		list discovery.List
		dial time.Duration // time from the list to the end of the dial
		want Disposition
	}{
		{"within the grace", discovery.List{Instances: []discovery.Instance{drained}}, 0, Served},
		{"past the grace", discovery.List{Instances: []discovery.Instance{drained}}, 250 * time.Millisecond, Rejected},
		{"not in a complete list", discovery.List{Reset: true}, 250 * time.Millisecond, Rejected},
	} {
		synctest.Test(t, func(t *testing.T) {
			dialing := make(chan struct{})
			var loop *EventLoop
			transport := stubTransport{send: func(_ context.Context, attempt Attempt) Reply {
				close(dialing)
				time.Sleep(tc.dial + time.Millisecond) // the list has been applied by then
				if now := loop.Now(); !attempt.Begin(now) {
					return Reply{Status: balancer.NotSent, At: now}
				}
				return Reply{Status: balancer.OK, At: loop.Now()}
			}}
			loop = newLoop(t, sidecartest.Configure(t, anyAddr, endpoints(1)), transport, sidecartest.DiscardLog)
			defer runLoop(t, loop)()
			request := submit(loop, "1", classPay)
			<-dialing
			loop.WatchEvent(t.Context(), tc.list)
			if answer := <-request.Answer; answer.Disposition != tc.want {
				t.Errorf("dial ended %s: disposition %v, want %v", tc.name, answer.Disposition, tc.want)
			}
		})
	}
}

func TestNotReadyWithoutEndpoint(t *testing.T) {
	loop := startIdleLoop(t, sidecartest.Configure(t, anyAddr, nil), sidecartest.DiscardLog)
	mustRun(t, loop, func(balancer.Micros) {}) // returns once the loop has started
	if loop.Ready() {
		t.Error("the loop is ready without an endpoint")
	}
	if err := loop.ApplyCachedList(t.Context(), discovery.List{Generation: 8, Instances: endpoints(1)}); err != nil {
		t.Fatal(err)
	}
	if !loop.Ready() {
		t.Error("the loop is not ready after a list with an endpoint")
	}
}
