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

// Invalid entries of a list are ignored and logged in one line, but a drain applies whatever else its entry says.
func TestInvalidListEntriesAreLoggedOnce(t *testing.T) {
	var logged strings.Builder
	log := slog.New(slog.NewTextHandler(&logged, nil))
	l := newLoop(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), nil), stub{}, log)
	now := l.Now()
	l.balancer.Start(now)
	in := func(id, addr, lifecycle string) discovery.Instance {
		return discovery.Instance{ID: id, Addr: addr, Lifecycle: lifecycle}
	}
	for _, tc := range []struct {
		name  string
		kind  balancer.ListKind
		list  []discovery.Instance
		ready string // names of the endpoints that serve afterwards
		lines int
		text  string
	}{
		{
			name:  "valid",
			kind:  balancer.ListFull,
			list:  []discovery.Instance{in("a", "127.0.0.1:1", "up"), in("b", "127.0.0.1:2", "up")},
			ready: "a b",
		},
		{
			name: "several invalid ones",
			kind: balancer.ListDelta,
			list: []discovery.Instance{
				in("", "127.0.0.1:3", "up"),
				in("c", "", "up"),
				in("d", "no port", "up"),
				in("e", "127.0.0.1:5", "up"),
			},
			ready: "a b e", lines: 1, text: "invalid=3",
		},
		{
			name:  "listed twice",
			kind:  balancer.ListDelta,
			list:  []discovery.Instance{in("e", "127.0.0.1:5", "up"), in("e", "127.0.0.1:6", "up")},
			ready: "a b e", lines: 1, text: "listed twice",
		},
		{
			name:  "drains without an address",
			kind:  balancer.ListDelta,
			list:  []discovery.Instance{in("a", "no port", "draining"), in("b", "", "draining")},
			ready: "e",
		},
		{
			name:  "unknown lifecycle",
			kind:  balancer.ListDelta,
			list:  []discovery.Instance{in("e", "127.0.0.1:6", "resting")},
			lines: 1, text: "resting",
		},
		{
			name:  "back",
			kind:  balancer.ListDelta,
			list:  []discovery.Instance{in("a", "127.0.0.1:1", "up")},
			ready: "a",
		},
		{name: "empty", kind: balancer.ListFull},
	} {
		logged.Reset()
		l.applyList(now, tc.kind, discovery.List{Generation: 7, Instances: tc.list})
		var ready []string
		for name, e := range l.byName {
			if e.state == balancer.Ready {
				ready = append(ready, name)
			}
		}
		slices.Sort(ready)
		if got := strings.Join(ready, " "); got != tc.ready {
			t.Errorf("%s: %q serve, want %q", tc.name, got, tc.ready)
		}
		lines := strings.Count(logged.String(), "endpoint list with invalid entries")
		if lines != tc.lines || !strings.Contains(logged.String(), tc.text) {
			t.Errorf("%s: %d lines, want %d with %q: %s", tc.name, lines, tc.lines, tc.text, logged.String())
		}
	}
}

// A dial can outlast the grace of a drain: then nothing may be sent, and the request never ran.
func TestConnectionAfterDrainGraceSendsNothing(t *testing.T) {
	drained := sidecartest.ReadyInstance("s-1", anyAddr)
	drained.Lifecycle = lifecycleDraining
	for _, tc := range []struct {
		name string
		list discovery.List
		dial time.Duration // after the list
		want Disposition
	}{
		{"within the grace", discovery.List{Instances: []discovery.Instance{drained}}, 0, Served},
		{"past the grace", discovery.List{Instances: []discovery.Instance{drained}}, 250 * time.Millisecond, Rejected},
		{"not in a complete list", discovery.List{Reset: true}, 250 * time.Millisecond, Rejected},
	} {
		synctest.Test(t, func(t *testing.T) {
			dialing := make(chan struct{})
			var l *EventLoop
			transport := stub{send: func(_ context.Context, a Attempt) Reply {
				close(dialing)
				time.Sleep(tc.dial + time.Millisecond) // the list is here by then
				if now := l.Now(); !a.Begin(now) {
					return Reply{Status: balancer.NotSent, At: now}
				}
				return Reply{Status: balancer.OK, At: l.Now()}
			}}
			l = newLoop(t, sidecartest.Configure(t, anyAddr, endpoints(1)), transport, sidecartest.DiscardLog)
			defer runLoop(t, l)()
			r := submit(l, "1", classPay)
			<-dialing
			l.WatchEvent(t.Context(), tc.list)
			if a := <-r.Answer; a.Disposition != tc.want {
				t.Errorf("%s: disposition %v, want %v", tc.name, a.Disposition, tc.want)
			}
		})
	}
}

func TestNotReadyWithoutEndpoint(t *testing.T) {
	l := startLoneLoop(t, sidecartest.Configure(t, anyAddr, nil), sidecartest.DiscardLog)
	mustDo(t, l, func(balancer.Micros) {}) // it has started
	if l.Ready() {
		t.Error("ready without an endpoint")
	}
	if err := l.ApplyCachedList(t.Context(), discovery.List{Generation: 8, Instances: endpoints(1)}); err != nil {
		t.Fatal(err)
	}
	if !l.Ready() {
		t.Error("not ready with an endpoint")
	}
}
