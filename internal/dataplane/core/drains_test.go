package core

import (
	"fmt"
	"testing"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// A drain that other daemons report must apply from the start of the loop, and to that process of the server only. A
// drain in this sidecar's own list must be reported once, and reports of other daemons must not end it.
func TestDrainReportedByPeerAppliesToOneProcess(t *testing.T) {
	instance := func(id, addr, lifecycle string, started int64) discovery.Instance {
		return discovery.Instance{ID: id, Addr: addr, Lifecycle: lifecycle, StartedMs: started}
	}
	process := func(id, addr string, started int64) discovery.Process {
		return discovery.Process{ID: id, Addr: addr, StartedMs: started}
	}
	known := []discovery.Instance{instance("a", "127.0.0.1:1", "up", 5), instance("b", "127.0.0.1:2", "up", 5)}
	loop := newLoop(t, sidecartest.Configure(t, anyAddr, known), stubTransport{}, sidecartest.DiscardLog)
	var reported []string
	loop.ShareDrains([]discovery.Process{process("a", "127.0.0.1:1", 5)}, func(p discovery.Process, drains bool) {
		reported = append(reported, fmt.Sprintf("%s%d%v", p.ID, p.StartedMs, drains))
	})
	defer runLoop(t, loop)()
	wantReady := func(step, want string) {
		t.Helper()
		got := ""
		mustRun(t, loop, func(balancer.Micros) {
			for _, id := range []string{"a", "b", "c"} {
				if endpoint := loop.endpointsByName[id]; endpoint != nil && endpoint.state == balancer.Ready {
					got += id
				}
			}
		})
		if got != want {
			t.Errorf("%s: endpoints %q are ready, want %q", step, got, want)
		}
	}
	applyDelta := func(instances ...discovery.Instance) {
		t.Helper()
		mustRun(t, loop, func(now balancer.Micros) {
			loop.applyList(now, balancer.ListDelta, discovery.List{Instances: instances})
		})
	}
	peerReports := func(p discovery.Process, drains bool) {
		t.Helper()
		if err := loop.ApplyDrain(t.Context(), p, drains); err != nil {
			t.Fatal(err)
		}
	}
	wantReady("drain known at the start", "b")
	applyDelta(instance("a", "127.0.0.1:1", "up", 5))
	wantReady("same entry again", "b")
	applyDelta(instance("a", "127.0.0.1:9", "up", 5))
	wantReady("ID of the draining process at another address", "ab")
	applyDelta(instance("a", "127.0.0.1:1", "up", 5), instance("c", "127.0.0.1:1", "up", 5))
	wantReady("address of the draining process with another ID", "bc")
	applyDelta(instance("a", "127.0.0.1:1", "up", 6))
	wantReady("new process at the same address", "abc")
	peerReports(process("b", "127.0.0.1:2", 4), true)
	wantReady("reported drain of an earlier process", "abc")
	peerReports(process("b", "127.0.0.1:2", 5), true)
	wantReady("reported drain of the current process", "ac")
	peerReports(process("b", "127.0.0.1:2", 5), false)
	wantReady("reported end of the drain", "abc")
	peerReports(process("a", "127.0.0.1:1", 9), true)
	wantReady("reported drain of a later process than the listed one", "bc")
	peerReports(process("a", "127.0.0.1:1", 9), false)
	wantReady("reported end of the later process's drain", "abc")
	if len(reported) > 0 {
		t.Errorf("the loop reported drains %v, which are not in its own list", reported)
	}
	applyDelta(instance("c", "127.0.0.1:1", "draining", 5))
	applyDelta(instance("c", "", "draining", 0)) // a drain needs no address and no start time
	peerReports(process("c", "127.0.0.1:1", 5), true)
	peerReports(process("c", "127.0.0.1:1", 5), false)
	wantReady("listed drain, after other daemons reported its end", "ab")
	applyDelta(instance("c", "127.0.0.1:1", "up", 7))
	applyDelta(instance("b", "127.0.0.1:2", "draining", 5))
	applyDelta(instance("b", "", "removed", 0))
	if got := fmt.Sprint(reported); got != "[c5true c5false b5true b5false]" {
		t.Errorf("the loop reported drains %s, want the begin and the end for c and b", got)
	}
}

// A process whose start other daemons reported must be warming up in this sidecar too, both where discovery has no
// start times and where this sidecar's list is out of date. A start that this sidecar observed must be reported once,
// and reports of other daemons must not change it.
func TestStartReportedByPeerWarmsUpEndpoint(t *testing.T) {
	instance := func(id string, started int64) discovery.Instance {
		return discovery.Instance{ID: id, Addr: anyAddr, Lifecycle: "up", StartedMs: started}
	}
	start := func(id string, started int64, age time.Duration) ProcessStart {
		return ProcessStart{discovery.Process{ID: id, Addr: anyAddr, StartedMs: started}, age}
	}
	known := []discovery.Instance{instance("old", 0), instance("began", 0), instance("late", 5)}
	loop := newLoop(t, sidecartest.Configure(t, anyAddr, known), stubTransport{}, sidecartest.DiscardLog)
	now := time.Now().UnixMilli()
	draining := discovery.Process{ID: "late", Addr: anyAddr, StartedMs: 5}
	loop.ShareDrains([]discovery.Process{draining}, func(discovery.Process, bool) {})
	var reported []string
	loop.ShareStarts([]ProcessStart{start("began", 0, time.Second)}, func(p discovery.Process, _, _ time.Duration) {
		reported = append(reported, p.ID)
	})
	defer runLoop(t, loop)()
	wantWarmingUp := func(step, want string) {
		t.Helper()
		got := ""
		mustRun(t, loop, func(now balancer.Micros) {
			saved := loop.takeSnapshot(now, true)
			for i, endpoint := range saved.State.Endpoints {
				if endpoint.WarmingUp {
					got += saved.Names[i] + " "
				}
			}
		})
		if got != want {
			t.Errorf("%s: endpoints %q are warming up, want %q", step, got, want)
		}
	}
	peerReports := func(s ProcessStart) {
		t.Helper()
		if err := loop.ApplyStart(t.Context(), s); err != nil {
			t.Fatal(err)
		}
	}
	applyFullList := func(instances ...discovery.Instance) {
		t.Helper()
		mustRun(t, loop, func(now balancer.Micros) {
			loop.applyList(now, balancer.ListFull, discovery.List{Reset: true, Instances: instances})
		})
	}
	wantWarmingUp("start known from the beginning", "began ")
	peerReports(start("late", now, time.Second))
	wantWarmingUp("reported start of a later process than the listed one", "began late ")
	if endpoint := loop.endpointsByName["late"]; endpoint.state != balancer.Ready {
		t.Error("the drain of the earlier process applies to the later one")
	}
	applyFullList(instance("old", 0), instance("began", 0), instance("late", 5))
	applyFullList(instance("old", 0), instance("began", 0), instance("late", now), instance("new", 0))
	wantWarmingUp("starts observed in the list", "began late new ")
	peerReports(start("new", 0, time.Hour))
	peerReports(start("old", 0, time.Hour))
	applyFullList(instance("old", 0), instance("began", 0), instance("late", now), instance("new", 0))
	wantWarmingUp("reported starts of an hour ago", "began late new ")
	if got := fmt.Sprint(reported); got != "[late new]" {
		t.Errorf("the loop reported starts of %s, want [late new]", got)
	}
}
