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

// A drain that all hear is one change of the store; one that one hears binds at all, outlives every copy, and ends only
// once nobody has told it for long. Another process of the server is not concerned.
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
	one, two := discovery.Process{ID: "s/1 ä@", Addr: "127.0.0.1:1", StartedMs: 5}, discovery.Process{ID: "s2", Addr: "[::1]:2"}
	for _, s := range all {
		s.servers.Observe(one, true)
	}
	for _, s := range all {
		s.waitUntil(t, fmt.Sprint(one), true)
	}
	time.Sleep(2 * drainReportSpread) // all have had their turn by then
	if n := changes(one); n != 1 {
		t.Errorf("three that heard it made %d changes", n)
	}
	all[2].servers.Observe(two, true)
	all[0].waitUntil(t, fmt.Sprint(two), true)
	all[1].waitUntil(t, fmt.Sprint(two), true)
	// The one that heard it is gone, and so is another; that one knows it before it hears anything.
	all[2].stop()
	all[1].stop()
	b := startDaemon(t, "b", dirs[1], all[1].addr, true)
	if known := fmt.Sprint(b.servers.DrainingProcesses()); known != fmt.Sprint([]discovery.Process{one, two}) {
		t.Errorf("a start knows %s", known)
	}
	b.servers.OnDrain(b.bindDrain)
	b.waitUntil(t, fmt.Sprint(two), true)
	// Long after, who hears it tells it again, and what nobody hears is over, with the word of the quorum.
	later := time.Now().Add(drainRetention + time.Minute)
	for all[0].servers.isDraining(two) { // what b found in its log without knowing that it was agreed on it tells again, once
		all[0].frame.sweep(ctx, later)
	}
	for _, s := range []*testDaemon{all[0], b} {
		s.waitUntil(t, fmt.Sprint(two), false)
		s.waitUntil(t, fmt.Sprint(one), true)
	}
	for changes(one) < 2 { // until it is told again
	}
	all[0].servers.Observe(one, false)
	all[0].frame.sweep(ctx, time.Now().Add(drainRetention/2))
	if changes(one) == 0 {
		t.Error("a drain ended while it may matter")
	}
	for all[0].servers.isDraining(one) {
		all[0].frame.sweep(ctx, later)
	}
	b.waitUntil(t, fmt.Sprint(one), false)
	if known := b.servers.DrainingProcesses(); len(known) != 0 {
		t.Errorf("still known: %v", known)
	}
}

// A copy that is cut off takes what it hears into the cluster once it is back, and what ended meanwhile without it does not
// undo what it heard after.
func TestDrainObservedDuringPartitionIsReplicated(t *testing.T) {
	all, dirs := startCluster(t)
	for _, s := range all {
		s.servers.OnDrain(s.bindDrain)
	}
	all[1].stop()
	all[2].stop()
	p := discovery.Process{ID: "s1", Addr: "127.0.0.1:1", StartedMs: 5}
	all[0].servers.Observe(p, true)
	for !all[0].servers.isDraining(p) {
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
