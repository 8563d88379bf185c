package core

import (
	"context"
	"fmt"
	"testing"

	"birchmoor/balancer"
	"birchmoor/internal/discovery"
	"birchmoor/internal/metrics"
	"birchmoor/internal/sidetest"
)

// Others' word on a drain binds from the first instant on, for one process of a server; this sidecar's own is told to
// others once, and is not undone by theirs.
func TestDrainsOfOthers(t *testing.T) {
	in := func(id, addr, lifecycle string, started int64) discovery.Instance {
		return discovery.Instance{ID: id, Addr: addr, Lifecycle: lifecycle, StartedMs: started}
	}
	var told []string
	l, err := New(sidetest.Configure(t, "127.0.0.1:1", []discovery.Instance{in("a", "127.0.0.1:1", "up", 5), in("b", "127.0.0.1:2", "up", 5)}),
		NewClock(), stub{}, func(bool) {}, metrics.New(), nil, sidetest.Quiet)
	if err != nil {
		t.Fatal(err)
	}
	process := func(id, addr string, started int64) discovery.Process {
		return discovery.Process{ID: id, Addr: addr, StartedMs: started}
	}
	l.Drains([]discovery.Process{process("a", "127.0.0.1:1", 5)}, func(p discovery.Process, drains bool) {
		told = append(told, fmt.Sprintf("%s%d%v", p.ID, p.StartedMs, drains))
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	serve := func(what, want string) {
		t.Helper()
		got := ""
		l.call(ctx, func(balancer.Micros) {
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
		l.call(ctx, func(now balancer.Micros) { l.members(now, balancer.ListDelta, discovery.List{Instances: all}) })
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
	l.Drain(ctx, process("b", "127.0.0.1:2", 4), true)
	serve("of an earlier start", "abc")
	l.Drain(ctx, process("b", "127.0.0.1:2", 5), true)
	serve("another's word", "ac")
	l.Drain(ctx, process("b", "127.0.0.1:2", 5), false)
	serve("which has ended", "abc")
	if len(told) > 0 {
		t.Errorf("told %v of what it did not hear", told)
	}
	list(in("c", "127.0.0.1:1", "draining", 5))
	list(in("c", "", "draining", 0)) // as short as a drain may be told
	l.Drain(ctx, process("c", "127.0.0.1:1", 5), true)
	l.Drain(ctx, process("c", "127.0.0.1:1", 5), false)
	serve("its own word, whatever others say", "ab")
	list(in("c", "127.0.0.1:1", "up", 7))
	list(in("b", "127.0.0.1:2", "draining", 5))
	list(in("b", "", "removed", 0))
	if got := fmt.Sprint(told); got != "[c5true c5false b5true b5false]" {
		t.Errorf("told %s", got)
	}
}
