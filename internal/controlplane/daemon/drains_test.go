package daemon

import (
	"context"
	"fmt"
	"testing"
	"time"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/store"
	"birchmoor/internal/store/serverstate"
)

func (s *testDaemon) bindDrain(_ context.Context, p discovery.Process, drains bool) error {
	return s.bind(context.Background(), fmt.Sprint(p), drains)
}

// A drain that all daemons observe is written once. One that a single daemon observes takes effect at all, survives
// restarts, and ends only once it was not renewed for drainRetention. Other processes are not affected.
func TestDrainIsWrittenOnceAndExpires(t *testing.T) {
	all, dirs := startCluster(t)
	ctx := testContext(t)
	for _, s := range all {
		s.servers.OnDrain(s.bindDrain)
	}
	changes := func(p discovery.Process) uint64 {
		var i store.Item
		if _, err := all[0].engine.View(ctx, false, func(st *store.State) {
			i, _ = st.Get(serverstate.ExclusionKey(serverstate.Drain, serverstate.Process(p).ServerName()))
		}); err != nil {
			t.Fatal(err)
		}
		return i.Version
	}
	one := discovery.Process{ID: "s/1 ä@", Addr: "127.0.0.1:1", StartedMs: 5}
	two := discovery.Process{ID: "s2", Addr: "[::1]:2"}
	for _, s := range all {
		s.servers.ReportProcessDrain(one, true)
	}
	for _, s := range all {
		s.waitUntil(t, fmt.Sprint(one), true)
	}
	time.Sleep(2 * drainReportSpread) // all were scheduled by then
	if n := changes(one); n != 1 {
		t.Errorf("three daemons that observed it made %d changes", n)
	}
	all[2].servers.ReportProcessDrain(two, true)
	all[0].waitUntil(t, fmt.Sprint(two), true)
	all[1].waitUntil(t, fmt.Sprint(two), true)
	// The daemon that observed it is gone, and another restarts: it knows the drain before it receives anything.
	all[2].stop()
	all[1].stop()
	b := startDaemon(t, "b", dirs[1], all[1].addr, true)
	if known := fmt.Sprint(b.servers.DrainingProcesses()); known != fmt.Sprint([]discovery.Process{one, two}) {
		t.Errorf("a restarted daemon knows %s", known)
	}
	b.servers.OnDrain(b.bindDrain)
	b.waitUntil(t, fmt.Sprint(two), true)
	// Long after, a daemon that still observes a drain renews it, and one that none observes ends.
	later := time.Now().Add(drainRetention + time.Minute)
	// Daemon b reports once more what it found uncommitted at the end of its log.
	for all[0].servers.isDraining(two) {
		_ = all[0].frame.sweep(ctx, later) // tried again
	}
	for _, s := range []*testDaemon{all[0], b} {
		s.waitUntil(t, fmt.Sprint(two), false)
		s.waitUntil(t, fmt.Sprint(one), true)
	}
	for changes(one) < 2 { // until it is renewed
		time.Sleep(time.Millisecond)
	}
	all[0].servers.ReportProcessDrain(one, false)
	if err := all[0].frame.sweep(ctx, time.Now().Add(drainRetention/2)); err != nil {
		t.Fatal(err)
	}
	if changes(one) == 0 {
		t.Error("a drain ended before its retention")
	}
	for all[0].servers.isDraining(one) {
		_ = all[0].frame.sweep(ctx, later) // tried again
	}
	b.waitUntil(t, fmt.Sprint(one), false)
	if known := b.servers.DrainingProcesses(); len(known) != 0 {
		t.Errorf("still draining: %v", known)
	}
}

// A drain that a daemon observes without a quorum is replicated once there is one.
func TestDrainObservedDuringPartitionIsReplicated(t *testing.T) {
	all, dirs := startCluster(t)
	for _, s := range all {
		s.servers.OnDrain(s.bindDrain)
	}
	all[1].stop()
	all[2].stop()
	p := discovery.Process{ID: "s1", Addr: "127.0.0.1:1", StartedMs: 5}
	all[0].servers.ReportProcessDrain(p, true)
	for !all[0].servers.isDraining(p) {
		time.Sleep(time.Millisecond)
	}
	b := startDaemon(t, "b", dirs[1], all[1].addr, true)
	b.servers.OnDrain(b.bindDrain)
	b.waitUntil(t, fmt.Sprint(p), true)
}

func (d *Drains) isDraining(p discovery.Process) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.guard.IsDraining(serverstate.Process(p))
}
