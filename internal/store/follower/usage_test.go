package follower

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/usage"
	"birchmoor/internal/testutil/processtest"
)

// A follower and its replica count the same messages and bytes, each way and for each purpose, and the replica
// as many entries as were put to it: of a stream of all, and of one by interest, by which a line has all that a
// transaction changed and counts as its first key.
func TestFollowerAndReplicaCountTheSameUsage(t *testing.T) {
	own := changefeed.Subscription{Interest: &store.Interest{Prefixes: []string{"known/h/", "out/"}}, SizePrefixes: []string{"known/"}}
	t.Run("all", func(t *testing.T) { bothEndsCountTheSame(t, nil, [2]uint64{4, 5}) })
	t.Run("own", func(t *testing.T) {
		bothEndsCountTheSame(t, func() changefeed.Subscription { return own }, [2]uint64{4, 3})
	})
}

// events are those of words and of pictures that the follower is told of.
func bothEndsCountTheSame(t *testing.T, needs func() changefeed.Subscription, events [2]uint64) {
	prefixes := []usage.Prefix{{Prefix: "out/", Purpose: usage.ServerReports}, {Prefix: "known/", Purpose: usage.ModuleSnapshots}}
	here, there := usage.New(prefixes...), usage.New(prefixes...)
	e, err := engine.Open(engine.Config{Name: "a", Dir: t.TempDir(), TickInterval: 5 * time.Millisecond, DiskOptions: disk.Options{NoSync: true}, Meter: there})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Kill()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o, err := admin.ServeFollowers(ln, e, admin.FollowerConfig{Allowed: func(store.Op, string) bool { return true },
		SnapshotAges: func() map[string]time.Duration { return nil }, Usage: there}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	processtest.Until(t, "the replica leads", func() bool { _, err := e.View(ctx, false, func(*store.State) {}); return err == nil })
	processtest.Until(t, "the cluster knows owners", func() bool {
		s, err := e.Status(ctx)
		return err == nil && s.Level >= store.LevelOwners
	})
	dir := t.TempDir()
	f, err := Open(Config{Name: "h", Dir: dir, Replicas: []Replica{{Name: "a", Addr: ln.Addr().String()}}, FirstCopyTimeout: time.Minute,
		Log: slog.New(slog.DiscardHandler), Usage: here, Subscription: needs})
	if err != nil {
		t.Fatal(err)
	}
	do := func(c store.Command) store.Result {
		t.Helper()
		r, err := f.Do(ctx, c)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	put := func(key string) { do(store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key, Value: []byte("v")}}}}) }
	lease := do(store.Command{GrantLease: &store.GrantLease{TTLMillis: 60_000, Owner: "h"}}).LeaseID
	for range 3 {
		do(store.Command{RenewLease: &store.RenewLease{LeaseID: lease, Owner: "h"}})
		put("out/drain/x")
		put("known/h/")
	}
	// One that changes two keys, which is told by two lines of a stream of all, and by one of another.
	do(store.Command{Txn: &store.Txn{Then: []store.Op{{Key: "out/drain/y", Value: []byte("v")}, {Key: "known/h/", Value: []byte("w")}}}})
	do(store.Command{RevokeLease: &store.RevokeLease{LeaseID: lease, Owner: "h"}})
	// Another's picture, of which a copy by interest is told nothing but up to where it has all.
	if _, err := e.Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{{Key: "known/other/", Value: []byte("v")}}}}); err != nil {
		t.Fatal(err)
	}
	if _, err := f.View(ctx, false, func(*store.State) {}); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Do(ctx, store.Command{RenewLease: &store.RenewLease{LeaseID: lease, Owner: "h"}}); err != store.ErrLeaseNotFound {
		t.Fatalf("a lease that ended: %v", err)
	}
	// A beat may be on its way at any one look.
	var mine, its usage.Reading
	var differ string
	processtest.Until(t, "both ends agree", func() bool {
		its, mine = there.Read(), here.Read()
		differ = ""
		for i, a := range mine.Purposes {
			b := its.Purposes[i]
			if a.MessagesIn != b.MessagesOut || a.BytesIn != b.BytesOut || a.MessagesOut != b.MessagesIn || a.BytesOut != b.BytesIn {
				differ = fmt.Sprintf("the follower: %+v\nits replica: %+v", a, b)
			}
		}
		return differ == "" && mine.Purposes[usage.Heartbeats].MessagesIn > 0
	}, func() string { return differ })
	for p, want := range map[usage.Purpose][4]uint64{ // in and out of the follower, proposed and applied
		usage.Sessions: {6, 6, 6, 6}, usage.ServerReports: {4 + events[0], 4, 4, 4}, usage.ModuleSnapshots: {3 + events[1], 3, 4, 4}, usage.Snapshots: {1, 1, 0, 0},
		usage.Requests: {1, 1, 0, 0}, usage.Settings: {},
	} {
		a, b := mine.Purposes[p], its.Purposes[p]
		if got := [4]uint64{a.MessagesIn, a.MessagesOut, b.Proposed, b.Applied}; got != want || (a.BytesIn > 0) != (want[0] > 0) || (b.AppliedBytes > 0) != (want[3] > 0) {
			t.Errorf("%v: %v, and not %v; %+v, %+v", p, got, want, a, b)
		}
	}
	if a := mine.Purposes[usage.Heartbeats]; a.MessagesOut != 1 {
		t.Errorf("the stream was begun %d times", a.MessagesOut)
	}
	if w := its.Written[usage.LogFile]; w.Bytes == 0 || w.Syncs != 0 { // this disk does not sync
		t.Errorf("%+v", w)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(filepath.Join(dir, "copy"))
	if err != nil {
		t.Fatal(err)
	}
	if w := here.Read().Written[usage.CopyFile]; w.Syncs == 0 || w.Bytes < uint64(info.Size()) || w.Syncs == 1 && w.Bytes != uint64(info.Size()) {
		t.Errorf("%+v, and the file has %d bytes", w, info.Size())
	}
	var sum uint64
	for _, p := range its.Purposes {
		sum += p.BytesOut
	}
	if c := there.Read().Connections; c.Opened == 0 || c.BytesOut <= sum {
		t.Errorf("%+v, of which %d bytes of messages", c, sum)
	}
}
