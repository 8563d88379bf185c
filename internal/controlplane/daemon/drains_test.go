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

// applyDrain records the drain of a process under the text form of the process.
func (s *testDaemon) applyDrain(_ context.Context, p discovery.Process, drains bool) error {
	return s.apply(context.Background(), fmt.Sprint(p), drains)
}

// A drain that all daemons observe is written once. A drain that a single daemon observes takes effect at all daemons,
// survives restarts, and ends only when it was not renewed for drainRetention. It affects no other process.
func TestDrainIsWrittenOnceAndExpires(t *testing.T) {
	daemons, dirs := startCluster(t)
	ctx := testContext(t)
	for _, s := range daemons {
		s.servers.OnDrain(s.applyDrain)
	}
	changeCount := func(p discovery.Process) uint64 {
		var i store.Item
		if _, err := daemons[0].engine.View(ctx, false, func(st *store.State) {
			i, _ = st.Get(serverstate.ExclusionKey(serverstate.Drain, serverstate.Process(p).ServerName()))
		}); err != nil {
			t.Fatal(err)
		}
		return i.Version
	}
	seenByAll := discovery.Process{ID: "s/1 ä@", Addr: "127.0.0.1:1", StartedMs: 5}
	seenByOne := discovery.Process{ID: "s2", Addr: "[::1]:2"}
	for _, s := range daemons {
		s.servers.ReportProcessDrain(seenByAll, true)
	}
	for _, s := range daemons {
		s.waitForState(t, fmt.Sprint(seenByAll), true)
	}
	time.Sleep(2 * drainReportSpread) // the daemons' attempts are spread over that time
	if n := changeCount(seenByAll); n != 1 {
		t.Errorf("three daemons that observed a drain wrote it %d times, want once", n)
	}
	daemons[2].servers.ReportProcessDrain(seenByOne, true)
	daemons[0].waitForState(t, fmt.Sprint(seenByOne), true)
	daemons[1].waitForState(t, fmt.Sprint(seenByOne), true)
	// The daemon that observed the second drain stops, and another restarts: it knows both drains from its disk.
	daemons[2].stop()
	daemons[1].stop()
	b := startDaemon(t, "b", dirs[1], daemons[1].addr, true)
	if known := fmt.Sprint(b.servers.DrainingProcesses()); known != fmt.Sprint(
		[]discovery.Process{seenByAll, seenByOne}) {
		t.Errorf("draining processes of the restarted daemon: %s", known)
	}
	b.servers.OnDrain(b.applyDrain)
	b.waitForState(t, fmt.Sprint(seenByOne), true)
	// After the retention, a drain that a daemon still observes is renewed, and one that no daemon observes is deleted.
	later := time.Now().Add(drainRetention + time.Minute)
	// The restarted daemon b may report once more the drain that was uncommitted at the end of its log.
	for daemons[0].servers.isDraining(seenByOne) {
		_ = daemons[0].daemon.sweep(ctx, later) // the loop retries a failed sweep
	}
	for _, s := range []*testDaemon{daemons[0], b} {
		s.waitForState(t, fmt.Sprint(seenByOne), false)
		s.waitForState(t, fmt.Sprint(seenByAll), true)
	}
	for changeCount(seenByAll) < 2 { // until the drain is renewed
		time.Sleep(time.Millisecond)
	}
	daemons[0].servers.ReportProcessDrain(seenByAll, false)
	if err := daemons[0].daemon.sweep(ctx, time.Now().Add(drainRetention/2)); err != nil {
		t.Fatal(err)
	}
	if changeCount(seenByAll) == 0 {
		t.Error("a drain was deleted before its retention")
	}
	for daemons[0].servers.isDraining(seenByAll) {
		_ = daemons[0].daemon.sweep(ctx, later) // the loop retries a failed sweep
	}
	b.waitForState(t, fmt.Sprint(seenByAll), false)
	if known := b.servers.DrainingProcesses(); len(known) != 0 {
		t.Errorf("draining processes after the retention: %v, want none", known)
	}
}

// A drain that a daemon observes while there is no quorum is replicated as soon as there is one.
func TestDrainObservedDuringPartitionIsReplicated(t *testing.T) {
	daemons, dirs := startCluster(t)
	for _, s := range daemons {
		s.servers.OnDrain(s.applyDrain)
	}
	daemons[1].stop()
	daemons[2].stop()
	p := discovery.Process{ID: "s1", Addr: "127.0.0.1:1", StartedMs: 5}
	daemons[0].servers.ReportProcessDrain(p, true)
	for !daemons[0].servers.isDraining(p) {
		time.Sleep(time.Millisecond)
	}
	b := startDaemon(t, "b", dirs[1], daemons[1].addr, true)
	b.servers.OnDrain(b.applyDrain)
	b.waitForState(t, fmt.Sprint(p), true)
}

func (d *Drains) isDraining(p discovery.Process) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.guard.IsDraining(serverstate.Process(p))
}
