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
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// What can't be read of a list is passed over in one line for all of it, but a drain binds however it is told.
func TestInvalidListEntriesAreLoggedOnce(t *testing.T) {
	var said strings.Builder
	log := slog.New(slog.NewTextHandler(&said, nil))
	cfg := sidecartest.Configure(t, sidecartest.Nowhere(t), nil)
	clk := NewClock()
	l, err := New(cfg, clk, stub{}, func(bool) {}, metrics.New(), nil, log)
	if err != nil {
		t.Fatal(err)
	}
	now := clk.Now()
	l.balancer.Start(now)
	in := func(id, addr, lifecycle string) discovery.Instance {
		return discovery.Instance{ID: id, Addr: addr, Lifecycle: lifecycle}
	}
	for _, c := range []struct {
		name  string
		kind  balancer.ListKind
		list  []discovery.Instance
		ready string // who serves afterwards
		lines int
		says  string
	}{
		{"sound", balancer.ListFull, []discovery.Instance{in("a", "127.0.0.1:1", "up"), in("b", "127.0.0.1:2", "up")}, "a b", 0, ""},
		{"many odd ones", balancer.ListDelta, []discovery.Instance{in("", "127.0.0.1:3", "up"), in("c", "", "up"), in("d", "no port", "up"),
			in("e", "127.0.0.1:5", "up")}, "a b e", 1, "invalid=3"},
		{"listed twice", balancer.ListDelta, []discovery.Instance{in("e", "127.0.0.1:5", "up"), in("e", "127.0.0.1:6", "up")}, "a b e", 1, "listed twice"},
		{"drains at no address", balancer.ListDelta, []discovery.Instance{in("a", "no port", "draining"), in("b", "", "draining")}, "e", 0, ""},
		{"a word that is not known", balancer.ListDelta, []discovery.Instance{in("e", "127.0.0.1:6", "resting")}, "", 1, "resting"},
		{"back", balancer.ListDelta, []discovery.Instance{in("a", "127.0.0.1:1", "up")}, "a", 0, ""},
		{"empty", balancer.ListFull, nil, "", 0, ""},
	} {
		said.Reset()
		l.applyList(now, c.kind, discovery.List{Generation: 7, Instances: c.list})
		var ready []string
		for name, e := range l.byName {
			if e.state == balancer.Ready {
				ready = append(ready, name)
			}
		}
		slices.Sort(ready)
		if got := strings.Join(ready, " "); got != c.ready {
			t.Errorf("%s: %q serve, want %q", c.name, got, c.ready)
		}
		if n := strings.Count(said.String(), "endpoint list with invalid entries"); n != c.lines || !strings.Contains(said.String(), c.says) {
			t.Errorf("%s: %d lines, want %d with %q: %s", c.name, n, c.lines, c.says, said.String())
		}
	}
}

// A dial can outlast the grace for a drain: then nothing may go out, and the request never ran.
func TestConnectionAfterDrainGraceSendsNothing(t *testing.T) {
	drained := sidecartest.Up("s-1", "127.0.0.1:1")
	drained.Lifecycle = "draining"
	for _, tc := range []struct {
		name string
		news discovery.List
		wait time.Duration // until the connection is up
		want Disposition
	}{
		{"within the grace", discovery.List{Instances: []discovery.Instance{drained}}, 0, Served},
		{"past the grace", discovery.List{Instances: []discovery.Instance{drained}}, 250 * time.Millisecond, Rejected},
		{"left out of a whole list", discovery.List{Reset: true}, 250 * time.Millisecond, Rejected},
	} {
		synctest.Test(t, func(t *testing.T) {
			cfg := sidecartest.Configure(t, "127.0.0.1:1", []discovery.Instance{sidecartest.Up("s-1", "127.0.0.1:1")})
			clk, dialing := NewClock(), make(chan struct{})
			l, err := New(cfg, clk, stub{send: func(_ context.Context, o Attempt) Reply {
				close(dialing)
				time.Sleep(tc.wait + time.Millisecond) // the list is here by then
				if now := clk.Now(); !o.Begin(now) {
					return Reply{Status: balancer.NotSent, At: now}
				}
				return Reply{Status: balancer.OK, At: clk.Now()}
			}}, func(bool) {}, metrics.New(), nil, sidecartest.Quiet)
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() { l.Run(ctx); close(done) }()
			c := &Request{ID: "1", Class: "pay", Config: l.ConfigSnapshot(), Answer: make(chan Answer, 1),
				Input: balancer.Request{Class: 2, Deadline: l.Now() + 900_000, Rules: l.ConfigSnapshot().Rules}}
			l.Submit(c)
			<-dialing
			l.WatchEvent(t.Context(), tc.news)
			if a := <-c.Answer; a.Disposition != tc.want {
				t.Errorf("%s: verdict %v, want %v", tc.name, a.Disposition, tc.want)
			}
			cancel()
			<-done
		})
	}
}

// Without any endpoint that serves a sidecar is not ready.
func TestNotReadyWithoutEndpoint(t *testing.T) {
	l := startLoneLoop(t, sidecartest.Configure(t, "127.0.0.1:1", nil), sidecartest.Quiet)
	l.do(t.Context(), func(balancer.Micros) {}) // it has begun
	if l.Ready() {
		t.Error("ready without an endpoint")
	}
	l.ApplyCachedList(t.Context(), discovery.List{Generation: 8, Instances: []discovery.Instance{sidecartest.Up("s-1", "127.0.0.1:1")}})
	if !l.Ready() {
		t.Error("not ready with an endpoint")
	}
}
