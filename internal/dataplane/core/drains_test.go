package core

import (
	"context"
	"fmt"
	"testing"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// Others' word on a drain binds from the first instant on, for one process of a server; this sidecar's own is told to
// others once, and is not undone by theirs.
func TestPeerDrainsApplyToOneProcess(t *testing.T) {
	in := func(id, addr, lifecycle string, started int64) discovery.Instance {
		return discovery.Instance{ID: id, Addr: addr, Lifecycle: lifecycle, StartedMs: started}
	}
	var told []string
	l, err := New(sidecartest.Configure(t, "127.0.0.1:1", []discovery.Instance{in("a", "127.0.0.1:1", "up", 5), in("b", "127.0.0.1:2", "up", 5)}),
		NewClock(), stub{}, func(bool) {}, metrics.New(), nil, sidecartest.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	process := func(id, addr string, started int64) discovery.Process {
		return discovery.Process{ID: id, Addr: addr, StartedMs: started}
	}
	l.ShareDrains([]discovery.Process{process("a", "127.0.0.1:1", 5)}, func(p discovery.Process, drains bool) {
		told = append(told, fmt.Sprintf("%s%d%v", p.ID, p.StartedMs, drains))
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	serve := func(what, want string) {
		t.Helper()
		got := ""
		l.do(ctx, func(balancer.Micros) {
			for _, id := range []string{"a", "b", "c"} {
				if e := l.byName[id]; e != nil && e.state == balancer.Ready {
					got += id
				}
			}
		})
		if got != want {
			t.Errorf("%s: %q serve, want %q", what, got, want)
		}
	}
	list := func(all ...discovery.Instance) {
		l.do(ctx, func(now balancer.Micros) { l.applyList(now, balancer.ListDelta, discovery.List{Instances: all}) })
	}
	serve("known at the start", "b")
	list(in("a", "127.0.0.1:1", "up", 5))
	serve("an old list again", "b")
	list(in("a", "127.0.0.1:9", "up", 5))
	serve("its id elsewhere", "ab")
	list(in("a", "127.0.0.1:1", "up", 5), in("c", "127.0.0.1:1", "up", 5))
	serve("its address under another id", "bc")
	list(in("a", "127.0.0.1:1", "up", 6))
	serve("a new start", "abc")
	l.ApplyDrain(ctx, process("b", "127.0.0.1:2", 4), true)
	serve("of an earlier start", "abc")
	l.ApplyDrain(ctx, process("b", "127.0.0.1:2", 5), true)
	serve("another's word", "ac")
	l.ApplyDrain(ctx, process("b", "127.0.0.1:2", 5), false)
	serve("which has ended", "abc")
	l.ApplyDrain(ctx, process("a", "127.0.0.1:1", 9), true)
	serve("of a later process than its list knows", "bc")
	l.ApplyDrain(ctx, process("a", "127.0.0.1:1", 9), false)
	serve("and that has ended", "abc")
	if len(told) > 0 {
		t.Errorf("told %v of what it did not hear", told)
	}
	list(in("c", "127.0.0.1:1", "draining", 5))
	list(in("c", "", "draining", 0)) // as short as a drain may be told
	l.ApplyDrain(ctx, process("c", "127.0.0.1:1", 5), true)
	l.ApplyDrain(ctx, process("c", "127.0.0.1:1", 5), false)
	serve("its own word, whatever others say", "ab")
	list(in("c", "127.0.0.1:1", "up", 7))
	list(in("b", "127.0.0.1:2", "draining", 5))
	list(in("b", "", "removed", 0))
	if got := fmt.Sprint(told); got != "[c5true c5false b5true b5false]" {
		t.Errorf("told %s", got)
	}
}

// What others saw begin is cold here: where discovery does not tell starts, and where this sidecar's list is late. What it
// saw itself is told once, and not put back.
func TestPeerStartsWarmUpHere(t *testing.T) {
	in := func(id string, started int64) discovery.Instance {
		return discovery.Instance{ID: id, Addr: "127.0.0.1:1", Lifecycle: "up", StartedMs: started}
	}
	c := sidecartest.Configure(t, "127.0.0.1:1", []discovery.Instance{in("old", 0), in("began", 0), in("late", 5)})
	l, err := New(c, NewClock(), stub{}, func(bool) {}, metrics.New(), nil, sidecartest.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	var told []string
	word := func(id string, started int64, ago time.Duration) Start {
		return Start{discovery.Process{ID: id, Addr: "127.0.0.1:1", StartedMs: started}, ago}
	}
	now := time.Now().UnixMilli()
	l.ShareDrains([]discovery.Process{{ID: "late", Addr: "127.0.0.1:1", StartedMs: 5}}, func(discovery.Process, bool) {})
	l.ShareStarts([]Start{word("began", 0, time.Second)}, func(p discovery.Process, ago, cold time.Duration) {
		told = append(told, p.ID)
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	cold := func(what, want string) {
		t.Helper()
		got := ""
		l.do(ctx, func(now balancer.Micros) {
			k := l.takeSnapshot(now, true)
			for i, e := range k.State.Endpoints {
				if e.WarmingUp {
					got += k.Names[i] + " "
				}
			}
		})
		if got != want {
			t.Errorf("%s: cold are %q, want %q", what, got, want)
		}
	}
	cold("known at the start", "began ")
	l.ApplyStart(ctx, word("late", now, time.Second))
	cold("a newer process than the list knows", "began late ")
	if e := l.byName["late"]; e.state != balancer.Ready {
		t.Error("the drain of the process before it binds it")
	}
	full := func(all ...discovery.Instance) {
		l.do(ctx, func(now balancer.Micros) {
			l.applyList(now, balancer.ListFull, discovery.List{Reset: true, Instances: all})
		})
	}
	full(in("old", 0), in("began", 0), in("late", 5))
	full(in("old", 0), in("began", 0), in("late", now), in("new", 0))
	cold("seen to begin", "began late new ")
	l.ApplyStart(ctx, word("new", 0, time.Hour))
	l.ApplyStart(ctx, word("old", 0, time.Hour))
	full(in("old", 0), in("began", 0), in("late", now), in("new", 0))
	cold("what others know to be long ago", "began late new ")
	if got := fmt.Sprint(told); got != "[late new]" {
		t.Errorf("told %s", got)
	}
}
