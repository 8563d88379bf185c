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
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/platform/snapshot"
	"birchmoor/internal/testutil/sidecartest"
)

// startLoneLoop is a loop without sockets. It ends with the test.
func startLoneLoop(t *testing.T, c *config.Config, log *slog.Logger) *EventLoop {
	t.Helper()
	clk, figures := NewClock(), metrics.New(c.Classes...)
	l, err := New(c, clk, stub{}, func(bool) {}, figures, nil, log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

// stub is a protocol without an upstream side: send, where there is one, is what an attempt does.
type stub struct {
	send func(ctx context.Context, o Attempt) Reply
	late bool
}

func (s stub) Target(string) Target                      { return s }
func (s stub) SetConfig(*config.Config)                  {}
func (s stub) Probe() Reply                              { return Reply{Status: balancer.ConnectFailed} }
func (s stub) Close()                                    {}
func (s stub) CloseUnusedSince(time.Time)                {}
func (s stub) AcceptsLateReplies() bool                  { return s.late }
func (s stub) Send(ctx context.Context, o Attempt) Reply { return s.send(ctx, o) }

// answerProbes has endpoints answer a probe after their own round trips.
func answerProbes(t *testing.T, l *EventLoop, trips map[string]balancer.Micros) {
	t.Helper()
	l.do(t.Context(), func(now balancer.Micros) {
		for name, trip := range trips {
			l.balancer.ProbeCompleted(now, l.byName[name].number, balancer.OK, trip, []float32{0, 0, 0})
		}
	})
}

func roundTrips(t *testing.T, l *EventLoop) map[string]float64 {
	t.Helper()
	got := map[string]float64{}
	l.do(t.Context(), func(now balancer.Micros) {
		k := l.takeSnapshot(now, false)
		for i, name := range k.Names {
			got[name] = k.State.Endpoints[i].RTT.V
		}
	})
	return got
}

// What one process learned of an endpoint the next one knows by its name, whatever its number there.
func TestRestoreMatchesEndpointsByName(t *testing.T) {
	old := startLoneLoop(t, sidecartest.Configure(t, sidecartest.Nowhere(t), []discovery.Instance{sidecartest.Up("s-1", "127.0.0.1:1"), sidecartest.Up("s-2", "127.0.0.1:2"), sidecartest.Up("s-3", "127.0.0.1:3")}), sidecartest.Quiet)
	answerProbes(t, old, map[string]balancer.Micros{"s-1": 1000, "s-2": 2000, "s-3": 3000})
	data, err := old.Snapshot(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	k, err := snapshot.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	var said bytes.Buffer
	log := slog.New(slog.NewTextHandler(&said, nil))
	c := sidecartest.Configure(t, sidecartest.Nowhere(t), []discovery.Instance{sidecartest.Up("s-9", "127.0.0.1:9"), sidecartest.Up("s-3", "127.0.0.1:3"), sidecartest.Up("s-2", "127.0.0.1:2")})
	fresh := startLoneLoop(t, c, log)
	fresh.Restore(t.Context(), k, "a file")
	if got := roundTrips(t, fresh); got["s-2"] != 2000 || got["s-3"] != 3000 || got["s-9"] != 0 || len(got) != 3 {
		t.Errorf("round trips %v", got)
	}
	k.Sidecar = "n7"
	fresh.Restore(t.Context(), k, "a file")
	if !strings.Contains(said.String(), "endpoints=2 of=3") || !strings.Contains(said.String(), "another sidecar") {
		t.Error(said.String())
	}
}

// Two processes side by side tell each other whom they have ejected.
func TestEjectionsAreReportedToPeerProcess(t *testing.T) {
	known := []discovery.Instance{sidecartest.Up("s-1", "127.0.0.1:1"), sidecartest.Up("s-2", "127.0.0.1:2"), sidecartest.Up("s-3", "127.0.0.1:3")}
	a, b := startLoneLoop(t, sidecartest.Configure(t, sidecartest.Nowhere(t), known), sidecartest.Quiet), startLoneLoop(t, sidecartest.Configure(t, sidecartest.Nowhere(t), known[1:]), sidecartest.Quiet)
	told := make(chan []handover.Ejection, 1)
	tell := newEjectionReporter(func(_ context.Context, list []handover.Ejection) error { told <- list; return nil })
	a.peer.Store(&tell)
	a.do(t.Context(), func(now balancer.Micros) {
		a.balancer.PeerEjected(now, a.byName["s-2"].number, 3_000_000)
		a.reportEjections(now)
	})
	list := sidecartest.Within(t, told, "word of the ejection")
	if len(list) != 1 || list[0].ID != "s-2" || list[0].Left <= 0 {
		t.Fatalf("told %+v", list)
	}
	b.ApplyEjections(append(list, handover.Ejection{ID: "s-1", Left: 1_000_000}, handover.Ejection{ID: "s-3", Left: -1}))
	b.do(t.Context(), func(balancer.Micros) {}) // the loop takes what is urgent first:
	for end := time.Now().Add(sidecartest.Soon); ; {
		var n int
		b.do(t.Context(), func(now balancer.Micros) { n = b.balancer.ExcludedCount(now) })
		if n == 1 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d are avoided", n)
		}
	}
}

func TestSnapshotSaverInterval(t *testing.T) {
	path := filepath.Join(t.TempDir(), "known")
	synctest.Test(t, func(t *testing.T) {
		l := startLoneLoop(t, sidecartest.Configure(t, "127.0.0.1:1", []discovery.Instance{sidecartest.Up("s-1", "127.0.0.1:1")}), sidecartest.Quiet)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		var paused atomic.Bool
		paused.Store(true)
		go func() {
			SnapshotSaver{l, snapshot.File{Path: path}}.Run(ctx, paused.Load)
			close(done)
		}()
		time.Sleep(minSaveInterval + 1)
		synctest.Wait()
		if _, err := os.Stat(path); err == nil {
			t.Error("kept while paused")
		}
		paused.Store(false)
		time.Sleep(minSaveInterval)
		synctest.Wait()
		k, err := snapshot.File{Path: path}.Load()
		if err != nil || k == nil || len(k.Names) != 1 || k.Sidecar != "n0" {
			t.Errorf("kept %+v, %v", k, err)
		}
		cancel()
		<-done
	})
	if saveInterval(0, 0) != minSaveInterval || saveInterval(time.Second, 0) != 200*time.Second || saveInterval(0, 640<<10) != 10*time.Second {
		t.Error("a file that takes long or is large is kept as often as a small one")
	}
}
