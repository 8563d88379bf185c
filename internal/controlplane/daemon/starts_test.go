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

func (s *testDaemon) version(t *testing.T, key string) uint64 {
	t.Helper()
	var i store.Item
	if _, err := s.engine.View(testContext(t), false, func(st *store.State) { i, _ = st.Get(key) }); err != nil {
		t.Fatal(err)
	}
	return i.Version
}

// A start that all daemons observe is written once. One that a single daemon observes takes effect at the others, also
// after a restart, and ends at the time that its report says, whichever daemons are left.
func TestStartIsWrittenOnceAndExpires(t *testing.T) {
	all, dirs := startCluster(t)
	for _, s := range all {
		s.servers.OnStart(func(ctx context.Context, x core.ProcessStart) error {
			return s.bind(ctx, fmt.Sprint("began ", x.Process.ID), true)
		})
	}
	seen := discovery.Process{ID: "all", Addr: "127.0.0.1:1"}
	one := discovery.Process{ID: "one", Addr: "127.0.0.1:2", StartedMs: 7}
	for _, s := range all {
		s.servers.ReportStart(seen, 0, time.Hour)
	}
	all[0].servers.ReportStart(one, time.Second, time.Hour)
	for _, s := range all[1:] {
		s.waitUntil(t, "began one", true)
	}
	time.Sleep(2 * startReportSpread) // all were scheduled by then
	if n := all[0].version(t, serverstate.StartKey(serverstate.Process(seen))); n != 1 {
		t.Errorf("three daemons that observed it made %d changes", n)
	}
	if all[0].bound["began all"] || all[0].bound["began one"] {
		t.Error("a daemon is notified of a start that it observed itself")
	}
	all[1].stop()
	b := startDaemon(t, "b", dirs[1], all[1].addr, true)
	b.version(t, serverstate.StartKey(serverstate.Process(one))) // its copy is up to date
	ago := time.Duration(-1)
	for _, x := range b.servers.RecentStarts() {
		if x.Process == one {
			ago = x.Age
		}
	}
	// Its age counts from when the report was written, so that it warms up for too long rather than too short.
	if ago < time.Second || ago > time.Minute {
		t.Errorf("a restarted daemon knows that it started %v ago", ago)
	}
	later := time.Now().Add(time.Hour + time.Minute)
	for all[2].version(t, serverstate.StartKey(serverstate.Process(one))) > 0 {
		_ = b.frame.sweep(testContext(t), later) // tried again
	}
}

// A decision module's snapshot is stored for others. A copy that was away does not know its age, and the clock of
// another host, an hour ahead, does not make it new.
func TestSnapshotAgeIsNotTakenFromAnotherHostsClock(t *testing.T) {
	all, dirs := startCluster(t)
	c := sidecartest.Configure(t, "127.0.0.1:1", nil)
	m, err := balancer.New(c.Settings, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	ahead := snapshot.Clock{WallMicros: time.Now().Add(time.Hour).UnixMicro(), BootID: "of another host"}
	take := func(context.Context) ([]byte, error) {
		return snapshot.Encode(&snapshot.Saved{Sidecar: "other", Clock: ahead, State: m.Snapshot(1e9, false)})
	}
	key := serverstate.SnapshotKey("other", "")
	for err = store.ErrUnsupportedLevel; errors.Is(err, store.ErrUnsupportedLevel); { // until all replicas know the commands that it needs
		err = all[0].servers.save(testContext(t), key, take)
	}
	if err != nil {
		t.Fatal(err)
	}
	if all[1].version(t, key) != 1 {
		t.Fatal("it is not in the store")
	}
	got := all[1].servers.RestoreCandidates("me", "")
	// Until then it arrived before a quorum had confirmed the copy.
	for ; len(got) == 1 && !got[0].SameClock; got = all[1].servers.RestoreCandidates("me", "") {
		if err := all[0].servers.save(testContext(t), key, take); err != nil {
			t.Fatal(err)
		}
	}
	if len(got) != 1 || !got[0].SameClock || got[0].Own || got[0].Age < 0 || got[0].Age > 60e6 {
		t.Fatalf("%+v", got)
	}
	if x := recovery.Choose("me", got); x.Snapshot == nil || x.Snapshot.Sidecar != "me" {
		t.Errorf("%+v", x)
	}
	if len(all[1].servers.RestoreCandidates("me", "dns")) != 0 {
		t.Error("of another protocol")
	}
	all[1].stop()
	b := startDaemon(t, "b", dirs[1], all[1].addr, true)
	b.version(t, key) // its copy is up to date and shows the snapshot from before
	got = b.servers.RestoreCandidates("me", "")
	if len(got) != 1 || got[0].SameClock {
		t.Fatalf("%+v", got)
	}
	if x := recovery.Choose("me", got); x.Snapshot != nil {
		t.Error("the age of a snapshot was taken from another host's clock")
	}
	b.servers.ReportSnapshotAge(key, 4*time.Second) // from a replica that saw it arrive
	if got = b.servers.RestoreCandidates("me", ""); !got[0].SameClock || got[0].Age < 4e6 {
		t.Errorf("%+v", got)
	}
	for later := time.Now().Add(snapshotRetention + time.Minute); b.version(t, key) > 0; { // it is not saved any more
		_ = b.frame.sweep(testContext(t), later) // tried again
	}
	if len(b.servers.RestoreCandidates("me", "")) != 0 {
		t.Error("it is still there")
	}
}
