package core

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/platform/snapshot"
	"birchmoor/internal/testutil/sidecartest"
)

// answerProbes reports a completed probe with the given round trip, in microseconds, for each named endpoint.
func answerProbes(t *testing.T, loop *EventLoop, roundTrips map[string]balancer.Micros) {
	t.Helper()
	mustRun(t, loop, func(now balancer.Micros) {
		for name, roundTrip := range roundTrips {
			loop.balancer.ProbeCompleted(now, loop.endpointsByName[name].number, balancer.OK, roundTrip,
				[]float32{0, 0, 0})
		}
	})
}

// roundTrips returns the round trip in microseconds that a loop's module has for each endpoint, by name.
func roundTrips(t *testing.T, loop *EventLoop) map[string]float64 {
	t.Helper()
	got := map[string]float64{}
	mustRun(t, loop, func(now balancer.Micros) {
		saved := loop.takeSnapshot(now, false)
		for i, name := range saved.Names {
			got[name] = saved.State.Endpoints[i].RTT.Value
		}
	})
	return got
}

// A process must restore the state of an endpoint by the endpoint's name: its number differs from that in the earlier
// process. State of another sidecar must be ignored.
func TestRestoreMatchesEndpointsByName(t *testing.T) {
	old := startIdleLoop(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), endpoints(3)),
		sidecartest.DiscardLog)
	answerProbes(t, old, map[string]balancer.Micros{"s-1": 1000, "s-2": 2000, "s-3": 3000})
	data, err := old.Snapshot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	saved, err := snapshot.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	var logged bytes.Buffer
	log := slog.New(slog.NewTextHandler(&logged, nil))
	known := endpoints(3)
	known[0] = sidecartest.ReadyInstance("s-9", "127.0.0.1:9")
	known[1], known[2] = known[2], known[1]
	next := startIdleLoop(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), known), log)
	next.Restore(t.Context(), saved, "a file")
	if got := roundTrips(t, next); got["s-2"] != 2000 || got["s-3"] != 3000 || got["s-9"] != 0 || len(got) != 3 {
		t.Errorf("restored round trips %v, want 2000 for s-2, 3000 for s-3 and 0 for s-9", got)
	}
	saved.Sidecar = "n7"
	next.Restore(t.Context(), saved, "a file")
	text := logged.String()
	if !strings.Contains(text, "endpoints=2 of=3") || !strings.Contains(text, "another sidecar") {
		t.Error(text)
	}
}

// During a handover, a process must report its ejections to the other process, which must eject the endpoints that it
// lists.
func TestEjectionsAreReportedToPeerProcess(t *testing.T) {
	known := endpoints(3)
	one := startIdleLoop(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), known), sidecartest.DiscardLog)
	other := startIdleLoop(t, sidecartest.Configure(t, sidecartest.ClosedAddress(t), known[1:]), sidecartest.DiscardLog)
	reports := make(chan []handover.Ejection, 1)
	report := newEjectionReporter(func(_ context.Context, ejections []handover.Ejection) error {
		reports <- ejections
		return nil
	})
	one.ejectionReporter.Store(&report)
	mustRun(t, one, func(now balancer.Micros) {
		one.balancer.PeerEjected(now, one.endpointsByName["s-2"].number, 3_000_000)
		one.reportEjections(now)
	})
	ejections := sidecartest.Receive(t, reports, "report of the ejection")
	if len(ejections) != 1 || ejections[0].ID != "s-2" || ejections[0].RemainingMicros <= 0 {
		t.Fatalf("reported ejections %+v, want one of s-2", ejections)
	}
	unknown, ended := handover.Ejection{ID: "s-1", RemainingMicros: 1_000_000},
		handover.Ejection{ID: "s-3", RemainingMicros: -1}
	other.ApplyEjections(append(ejections, unknown, ended))
	mustRun(t, other, func(balancer.Micros) {}) // returns once the loop has started; it may overtake the ejections
	for end := time.Now().Add(sidecartest.WaitTimeout); ; {
		var excluded int
		mustRun(t, other, func(now balancer.Micros) { excluded = other.balancer.ExcludedCount(now) })
		if excluded == 1 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d endpoints are excluded, want 1", excluded)
		}
	}
}

func TestSnapshotSaverInterval(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	synctest.Test(t, func(t *testing.T) {
		loop := startIdleLoop(t, sidecartest.Configure(t, anyAddr, endpoints(1)), sidecartest.DiscardLog)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		var paused atomic.Bool
		paused.Store(true)
		go func() {
			defer close(done)
			SnapshotSaver{loop, snapshot.File{Path: path}}.Run(ctx, paused.Load)
		}()
		time.Sleep(minSaveInterval + 1)
		synctest.Wait()
		if _, err := os.Stat(path); err == nil {
			t.Error("a snapshot was saved while saving was paused")
		}
		paused.Store(false)
		time.Sleep(minSaveInterval)
		synctest.Wait()
		saved, err := snapshot.File{Path: path}.Load()
		if err != nil || saved == nil || len(saved.Names) != 1 || saved.Sidecar != "n0" {
			t.Errorf("loaded snapshot %+v, error %v, want one endpoint of sidecar n0", saved, err)
		}
		cancel()
		<-done
	})
	for _, tc := range []struct {
		took  time.Duration
		bytes int
		want  time.Duration
	}{
		{0, 0, minSaveInterval},
		{time.Second, 0, 200 * time.Second},
		{0, 640 << 10, 10 * time.Second},
	} {
		if got := saveInterval(tc.took, tc.bytes); got != tc.want {
			t.Errorf("save that took %v for %d bytes: interval %v, want %v", tc.took, tc.bytes, got, tc.want)
		}
	}
}
