package daemon

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/recovery"
	"birchmoor/internal/platform/snapshot"
	"birchmoor/internal/store"
	"birchmoor/internal/store/serverstate"
	"birchmoor/internal/testutil/sidecartest"
)

// keyVersion returns how often a key was written since it was created, or 0 if the store does not have it.
func (s *testDaemon) keyVersion(t *testing.T, key string) uint64 {
	t.Helper()
	var i store.Item
	if _, err := s.engine.View(testContext(t), false, func(st *store.State) { i, _ = st.Get(key) }); err != nil {
		t.Fatal(err)
	}
	return i.Version
}

// A start that all daemons observe is written once. A start that a single daemon observes takes effect at the others,
// also after their restart. Any daemon deletes its report when the process has warmed up.
func TestStartIsWrittenOnceAndExpires(t *testing.T) {
	daemons, dirs := startCluster(t)
	for _, s := range daemons {
		s.servers.OnStart(func(ctx context.Context, x core.ProcessStart) error {
			return s.apply(ctx, fmt.Sprint("began ", x.Process.ID), true)
		})
	}
	seenByAll := discovery.Process{ID: "all", Addr: "127.0.0.1:1"}
	seenByOne := discovery.Process{ID: "one", Addr: "127.0.0.1:2", StartedMs: 7}
	for _, s := range daemons {
		s.servers.ReportStart(seenByAll, 0, time.Hour)
	}
	daemons[0].servers.ReportStart(seenByOne, time.Second, time.Hour)
	for _, s := range daemons[1:] {
		s.waitForState(t, "began one", true)
	}
	time.Sleep(2 * startReportSpread) // the daemons' attempts are spread over that time
	if n := daemons[0].keyVersion(t, serverstate.StartKey(serverstate.Process(seenByAll))); n != 1 {
		t.Errorf("three daemons that observed a start wrote it %d times, want once", n)
	}
	if daemons[0].applied["began all"] || daemons[0].applied["began one"] {
		t.Error("a daemon applied a start to the sidecar that observed it")
	}
	daemons[1].stop()
	b := startDaemon(t, "b", dirs[1], daemons[1].addr, true)
	b.keyVersion(t, serverstate.StartKey(serverstate.Process(seenByOne))) // waits until its copy is up to date
	age := time.Duration(-1)
	for _, x := range b.servers.RecentStarts() {
		if x.Process == seenByOne {
			age = x.Age
		}
	}
	// The copy of the restarted daemon does not show how long ago the report was written. The process must not count as
	// older than it is, or its warm-up ends too early.
	if age < time.Second || age > time.Minute {
		t.Errorf("age of the start at the restarted daemon is %v, want 1s to 1m", age)
	}
	later := time.Now().Add(time.Hour + time.Minute)
	for daemons[2].keyVersion(t, serverstate.StartKey(serverstate.Process(seenByOne))) > 0 {
		_ = b.daemon.sweep(testContext(t), later) // the loop retries a failed sweep
	}
}

// Guards against a sidecar that restores outdated state because the clock of the host that saved it is an hour ahead. A
// daemon that restarts does not know the age of a snapshot in its copy until a replica that saw it arrive reports the
// age.
func TestSnapshotAgeIsNotTakenFromAnotherHostsClock(t *testing.T) {
	daemons, dirs := startCluster(t)
	config := sidecartest.Configure(t, "127.0.0.1:1", nil)
	module, err := balancer.New(config.Settings, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	clockAhead := snapshot.Clock{WallMicros: time.Now().Add(time.Hour).UnixMicro(), BootID: "of another host"}
	take := func(context.Context) ([]byte, error) {
		return snapshot.Encode(&snapshot.Saved{Sidecar: "other", Clock: clockAhead, State: module.Snapshot(1e9, false)})
	}
	key := serverstate.SnapshotKey("other", "")
	// The save fails until all replicas support the commands.
	for err = store.ErrUnsupportedLevel; errors.Is(err, store.ErrUnsupportedLevel); {
		err = daemons[0].servers.save(testContext(t), key, take)
	}
	if err != nil {
		t.Fatal(err)
	}
	if daemons[1].keyVersion(t, key) != 1 {
		t.Fatal("the saved snapshot is not in the store")
	}
	got := daemons[1].servers.RestoreCandidates("me", "")
	// The age is not known if the snapshot arrived before a quorum had confirmed the copy: save it again.
	for ; len(got) == 1 && !got[0].SameClock; got = daemons[1].servers.RestoreCandidates("me", "") {
		if err := daemons[0].servers.save(testContext(t), key, take); err != nil {
			t.Fatal(err)
		}
	}
	if len(got) != 1 || !got[0].SameClock || got[0].Own || got[0].Age < 0 || got[0].Age > 60e6 {
		t.Fatalf("candidates %+v, want one of another sidecar with an age of 0 to 60 s by the same clock", got)
	}
	if choice := recovery.Choose("me", got); choice.Snapshot == nil || choice.Snapshot.Sidecar != "me" {
		t.Errorf("choice %+v, want a snapshot for sidecar me", choice)
	}
	if len(daemons[1].servers.RestoreCandidates("me", "dns")) != 0 {
		t.Error("HTTP snapshots are candidates for DNS")
	}
	daemons[1].stop()
	b := startDaemon(t, "b", dirs[1], daemons[1].addr, true)
	b.keyVersion(t, key) // waits until its copy is up to date and has the snapshot
	got = b.servers.RestoreCandidates("me", "")
	if len(got) != 1 || got[0].SameClock {
		t.Fatalf("candidates after the restart %+v, want one of unknown age", got)
	}
	if choice := recovery.Choose("me", got); choice.Snapshot != nil {
		t.Error("a snapshot was chosen by the clock of another host")
	}
	b.servers.ReportSnapshotAge(key, 4*time.Second) // from a replica that saw it arrive
	if got = b.servers.RestoreCandidates("me", ""); !got[0].SameClock || got[0].Age < 4e6 {
		t.Errorf("candidates %+v, want an age of 4 s or more by the same clock", got)
	}
	for later := time.Now().Add(snapshotRetention + time.Minute); b.keyVersion(t, key) > 0; {
		_ = b.daemon.sweep(testContext(t), later) // the loop retries a failed sweep
	}
	if len(b.servers.RestoreCandidates("me", "")) != 0 {
		t.Error("a snapshot is a candidate after its retention")
	}
}
