package core

import (
	"fmt"
	"testing"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// A drain that other daemons report applies from the first instant on, to one process of a server. What this sidecar's
// own discovery says is reported once, and not undone by others.
func TestPeerDrainsApplyToOneProcess(t *testing.T) {
	in := func(id, addr, lifecycle string, started int64) discovery.Instance {
		return discovery.Instance{ID: id, Addr: addr, Lifecycle: lifecycle, StartedMs: started}
	}
	process := func(id, addr string, started int64) discovery.Process {
		return discovery.Process{ID: id, Addr: addr, StartedMs: started}
	}
	known := []discovery.Instance{in("a", "127.0.0.1:1", "up", 5), in("b", "127.0.0.1:2", "up", 5)}
	l := newLoop(t, sidecartest.Configure(t, anyAddr, known), stub{}, sidecartest.DiscardLog)
	var reported []string
	l.ShareDrains([]discovery.Process{process("a", "127.0.0.1:1", 5)}, func(p discovery.Process, drains bool) {
		reported = append(reported, fmt.Sprintf("%s%d%v", p.ID, p.StartedMs, drains))
	})
	defer runLoop(t, l)()
	wantReady := func(step, want string) {
		t.Helper()
		got := ""
		mustDo(t, l, func(balancer.Micros) {
			for _, id := range []string{"a", "b", "c"} {
				if e := l.byName[id]; e != nil && e.state == balancer.Ready {
					got += id
				}
			}
		})
		if got != want {
			t.Errorf("%s: %q serve, want %q", step, got, want)
		}
	}
	list := func(all ...discovery.Instance) {
		t.Helper()
		mustDo(t, l, func(now balancer.Micros) {
			l.applyList(now, balancer.ListDelta, discovery.List{Instances: all})
		})
	}
	peerReports := func(p discovery.Process, drains bool) {
		t.Helper()
		if err := l.ApplyDrain(t.Context(), p, drains); err != nil {
			t.Fatal(err)
		}
	}
	wantReady("known at the start", "b")
	list(in("a", "127.0.0.1:1", "up", 5))
	wantReady("the same entry again", "b")
	list(in("a", "127.0.0.1:9", "up", 5))
	wantReady("its ID at another address", "ab")
	list(in("a", "127.0.0.1:1", "up", 5), in("c", "127.0.0.1:1", "up", 5))
	wantReady("its address with another ID", "bc")
	list(in("a", "127.0.0.1:1", "up", 6))
	wantReady("a new start", "abc")
	peerReports(process("b", "127.0.0.1:2", 4), true)
	wantReady("a drain of an earlier start", "abc")
	peerReports(process("b", "127.0.0.1:2", 5), true)
	wantReady("a drain", "ac")
	peerReports(process("b", "127.0.0.1:2", 5), false)
	wantReady("the end of the drain", "abc")
	peerReports(process("a", "127.0.0.1:1", 9), true)
	wantReady("a drain of a later process than listed", "bc")
	peerReports(process("a", "127.0.0.1:1", 9), false)
	wantReady("the end of that", "abc")
	if len(reported) > 0 {
		t.Errorf("reported %v, which its discovery did not say", reported)
	}
	list(in("c", "127.0.0.1:1", "draining", 5))
	list(in("c", "", "draining", 0)) // the shortest form of a drain
	peerReports(process("c", "127.0.0.1:1", 5), true)
	peerReports(process("c", "127.0.0.1:1", 5), false)
	wantReady("its own drain, whatever others report", "ab")
	list(in("c", "127.0.0.1:1", "up", 7))
	list(in("b", "127.0.0.1:2", "draining", 5))
	list(in("b", "", "removed", 0))
	if got := fmt.Sprint(reported); got != "[c5true c5false b5true b5false]" {
		t.Errorf("reported %s", got)
	}
}

// A process that other daemons observed starting is warming up here, where discovery has no starts and where this
// sidecar's list is late. What this sidecar observed is reported once, and not changed by others.
func TestPeerStartsWarmUpHere(t *testing.T) {
	in := func(id string, started int64) discovery.Instance {
		return discovery.Instance{ID: id, Addr: anyAddr, Lifecycle: "up", StartedMs: started}
	}
	start := func(id string, started int64, age time.Duration) Start {
		return Start{discovery.Process{ID: id, Addr: anyAddr, StartedMs: started}, age}
	}
	known := []discovery.Instance{in("old", 0), in("began", 0), in("late", 5)}
	l := newLoop(t, sidecartest.Configure(t, anyAddr, known), stub{}, sidecartest.DiscardLog)
	now := time.Now().UnixMilli()
	draining := discovery.Process{ID: "late", Addr: anyAddr, StartedMs: 5}
	l.ShareDrains([]discovery.Process{draining}, func(discovery.Process, bool) {})
	var reported []string
	l.ShareStarts([]Start{start("began", 0, time.Second)}, func(p discovery.Process, _, _ time.Duration) {
		reported = append(reported, p.ID)
	})
	defer runLoop(t, l)()
	wantWarmingUp := func(step, want string) {
		t.Helper()
		got := ""
		mustDo(t, l, func(now balancer.Micros) {
			saved := l.takeSnapshot(now, true)
			for i, e := range saved.State.Endpoints {
				if e.WarmingUp {
					got += saved.Names[i] + " "
				}
			}
		})
		if got != want {
			t.Errorf("%s: %q are warming up, want %q", step, got, want)
		}
	}
	peerReports := func(s Start) {
		t.Helper()
		if err := l.ApplyStart(t.Context(), s); err != nil {
			t.Fatal(err)
		}
	}
	list := func(all ...discovery.Instance) {
		t.Helper()
		mustDo(t, l, func(now balancer.Micros) {
			l.applyList(now, balancer.ListFull, discovery.List{Reset: true, Instances: all})
		})
	}
	wantWarmingUp("known at the start", "began ")
	peerReports(start("late", now, time.Second))
	wantWarmingUp("a later process than listed", "began late ")
	if e := l.byName["late"]; e.state != balancer.Ready {
		t.Error("the drain of the process before it applies to it")
	}
	list(in("old", 0), in("began", 0), in("late", 5))
	list(in("old", 0), in("began", 0), in("late", now), in("new", 0))
	wantWarmingUp("observed here", "began late new ")
	peerReports(start("new", 0, time.Hour))
	peerReports(start("old", 0, time.Hour))
	list(in("old", 0), in("began", 0), in("late", now), in("new", 0))
	wantWarmingUp("started long ago by others", "began late new ")
	if got := fmt.Sprint(reported); got != "[late new]" {
		t.Errorf("reported %s", got)
	}
}
