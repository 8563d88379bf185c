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

func (s *side) bindDrain(_ context.Context, p discovery.Process, drains bool) error {
	return s.agree(context.Background(), fmt.Sprint(p), drains)
}

// A drain that all hear is one change of the store; one that one hears binds at all, outlives every copy, and ends only
// once nobody has told it for long. Another process of the server is not concerned.
func TestDrains(t *testing.T) {
	all, dirs := three(t)
	ctx := deadline(t)
	for _, s := range all {
		s.d.OnDrain(s.bindDrain)
	}
	changes := func(p discovery.Process) uint64 {
		var i store.Item
		if _, err := all[0].e.View(ctx, false, func(st *store.State) {
			i, _ = st.Get(serverstate.ExclusionKey(serverstate.Drain, serverstate.Process(p).Server()))
		}); err != nil {
			t.Fatal(err)
		}
		return i.Version
	}
	one, two := discovery.Process{ID: "s/1 ä@", Addr: "127.0.0.1:1", StartedMs: 5}, discovery.Process{ID: "s2", Addr: "[::1]:2"}
	for _, s := range all {
		s.d.Observe(one, true)
	}
	for _, s := range all {
		s.until(t, fmt.Sprint(one), true)
	}
	time.Sleep(2 * drainSpread) // all have had their turn by then
	if n := changes(one); n != 1 {
		t.Errorf("three that heard it made %d changes", n)
	}
	all[2].d.Observe(two, true)
	all[0].until(t, fmt.Sprint(two), true)
	all[1].until(t, fmt.Sprint(two), true)
	// The one that heard it is gone, and so is another; that one knows it before it hears anything.
	all[2].stop()
	all[1].stop()
	b := start(t, "b", dirs[1], all[1].addr, true)
	if known := fmt.Sprint(b.d.DrainingProcesses()); known != fmt.Sprint([]discovery.Process{one, two}) {
		t.Errorf("a start knows %s", known)
	}
	b.d.OnDrain(b.bindDrain)
	b.until(t, fmt.Sprint(two), true)
	// Long after, who hears it tells it again, and what nobody hears is over, with the word of the quorum.
	later := time.Now().Add(drainKept + time.Minute)
	for all[0].d.is(two) { // what b found in its log without knowing that it was agreed on it tells again, once
		all[0].frame.sweep(ctx, later)
	}
	for _, s := range []*side{all[0], b} {
		s.until(t, fmt.Sprint(two), false)
		s.until(t, fmt.Sprint(one), true)
	}
	for changes(one) < 2 { // until it is told again
	}
	all[0].d.Observe(one, false)
	all[0].frame.sweep(ctx, time.Now().Add(drainKept/2))
	if changes(one) == 0 {
		t.Error("a drain ended while it may matter")
	}
	for all[0].d.is(one) {
		all[0].frame.sweep(ctx, later)
	}
	b.until(t, fmt.Sprint(one), false)
	if known := b.d.DrainingProcesses(); len(known) != 0 {
		t.Errorf("still known: %v", known)
	}
}

// A copy that is cut off takes what it hears into the cluster once it is back, and what ended meanwhile without it does not
// undo what it heard after.
func TestDrainHeardWhileCutOff(t *testing.T) {
	all, dirs := three(t)
	for _, s := range all {
		s.d.OnDrain(s.bindDrain)
	}
	all[1].stop()
	all[2].stop()
	p := discovery.Process{ID: "s1", Addr: "127.0.0.1:1", StartedMs: 5}
	all[0].d.Observe(p, true)
	for !all[0].d.is(p) {
	}
	b := start(t, "b", dirs[1], all[1].addr, true)
	b.d.OnDrain(b.bindDrain)
	b.until(t, fmt.Sprint(p), true)
}

func (d *Drains) is(p discovery.Process) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.guard.Drains(serverstate.Process(p))
}
