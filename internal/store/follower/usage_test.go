package follower

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/usage"
	"birchmoor/internal/testutil/processtest"
)

// A follower and its replica count the same messages and bytes, in each direction and for each purpose, and the
// replica as many entries as the follower proposed. A stream of all keys has a line for each event; one of an
// interest has a line for a transaction, which counts for the purpose of its first key.
func TestFollowerAndReplicaCountTheSameUsage(t *testing.T) {
	part := changefeed.Subscription{Interest: prefixes("known/h/", "out/"), SizePrefixes: []string{"known/"}}
	t.Run("all", func(t *testing.T) {
		testUsage(t, nil, eventLines{serverReports: 4, moduleSnapshots: 5})
	})
	t.Run("own", func(t *testing.T) {
		subscription := func() changefeed.Subscription { return part }
		testUsage(t, subscription, eventLines{serverReports: 4, moduleSnapshots: 3})
	})
}

// eventLines are the lines of events that a follower receives, by purpose.
type eventLines struct{ serverReports, moduleSnapshots uint64 }

func testUsage(t *testing.T, subscription func() changefeed.Subscription, lines eventLines) {
	t.Helper()
	purposes := []usage.Prefix{
		{Prefix: "out/", Purpose: usage.ServerReports},
		{Prefix: "known/", Purpose: usage.ModuleSnapshots},
	}
	ofFollower, ofReplica := usage.New(purposes...), usage.New(purposes...)
	replica, addr := startReplica(t, ofReplica)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	processtest.Until(t, "the replica leads", func() bool {
		_, err := replica.View(ctx, false, func(*store.State) {})
		return err == nil
	})
	processtest.Until(t, "the cluster knows owners", func() bool {
		status, err := replica.Status(ctx)
		return err == nil && status.Level >= store.LevelOwners
	})
	dir := t.TempDir()
	f, err := Open(Config{
		Name: "h", Dir: dir, Replicas: []Replica{{Name: "a", Addr: addr}}, FirstCopyTimeout: testTimeout,
		Log: slog.New(slog.DiscardHandler), Usage: ofFollower, Subscription: subscription,
	})
	if err != nil {
		t.Fatal(err)
	}
	exchangeMessages(ctx, t, f, replica)
	replicaReading := checkSameMessages(t, ofFollower, ofReplica, lines)
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	checkFileUsage(t, ofFollower, filepath.Join(dir, "copy"))
	var messageBytes uint64
	for _, purpose := range replicaReading.Purposes {
		messageBytes += purpose.BytesOut
	}
	if c := ofReplica.Read().Connections; c.Opened == 0 || c.BytesOut <= messageBytes {
		t.Errorf("%+v, of which %d bytes of messages", c, messageBytes)
	}
}

// exchangeMessages has the follower make changes and reads of each purpose.
func exchangeMessages(ctx context.Context, t *testing.T, f *Follower, replica *engine.Engine) {
	t.Helper()
	do := func(command store.Command) store.Result {
		t.Helper()
		result, err := f.Do(ctx, command)
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	lease := do(store.Command{GrantLease: &store.GrantLease{TTLMillis: 60_000, Owner: "h"}}).LeaseID
	renewal := store.Command{RenewLease: &store.RenewLease{LeaseID: lease, Owner: "h"}}
	for range 3 {
		do(renewal)
		do(putCommand("out/drain/x", "v"))
		do(putCommand("known/h/", "v"))
	}
	// Two lines of a stream of all keys, one line of another.
	do(store.Command{Txn: &store.Txn{Then: []store.Op{
		{Key: "out/drain/y", Value: []byte("v")}, {Key: "known/h/", Value: []byte("w")},
	}}})
	do(store.Command{RevokeLease: &store.RevokeLease{LeaseID: lease, Owner: "h"}})
	// Another daemon's snapshot, of which a part is sent the progress alone.
	if _, err := replica.Do(ctx, putCommand("known/other/", "v")); err != nil {
		t.Fatal(err)
	}
	if _, err := f.View(ctx, false, func(*store.State) {}); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Do(ctx, renewal); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Fatalf("a lease that was revoked: %v", err)
	}
}

// checkSameMessages waits until both ends have counted the same, since a heartbeat may be in flight, checks the
// counts, and returns those of the replica.
func checkSameMessages(t *testing.T, ofFollower, ofReplica *usage.Recorder, lines eventLines) usage.Reading {
	t.Helper()
	var follower, replica usage.Reading
	var difference string
	processtest.Until(t, "both ends agree", func() bool {
		replica, follower = ofReplica.Read(), ofFollower.Read()
		difference = ""
		for i, a := range follower.Purposes {
			b := replica.Purposes[i]
			sameMessages := a.MessagesIn == b.MessagesOut && a.MessagesOut == b.MessagesIn
			sameBytes := a.BytesIn == b.BytesOut && a.BytesOut == b.BytesIn
			if !sameMessages || !sameBytes {
				difference = fmt.Sprintf("the follower: %+v\nits replica: %+v", a, b)
			}
		}
		return difference == "" && follower.Purposes[usage.Heartbeats].MessagesIn > 0
	}, func() string { return difference })
	type counts struct{ in, out, proposed, applied uint64 } // messages of the follower, entries of the replica
	for purpose, want := range map[usage.Purpose]counts{
		usage.Sessions:        {6, 6, 6, 6},
		usage.ServerReports:   {4 + lines.serverReports, 4, 4, 4},
		usage.ModuleSnapshots: {3 + lines.moduleSnapshots, 3, 4, 4},
		usage.Snapshots:       {1, 1, 0, 0},
		usage.Requests:        {1, 1, 0, 0},
		usage.Settings:        {},
	} {
		a, b := follower.Purposes[purpose], replica.Purposes[purpose]
		got := counts{a.MessagesIn, a.MessagesOut, b.Proposed, b.Applied}
		if got != want || (a.BytesIn > 0) != (want.in > 0) || (b.AppliedBytes > 0) != (want.applied > 0) {
			t.Errorf("%v: got %+v, want %+v; %+v, %+v", purpose, got, want, a, b)
		}
	}
	if streams := follower.Purposes[usage.Heartbeats].MessagesOut; streams != 1 {
		t.Errorf("the stream was begun %d times", streams)
	}
	if log := replica.Written[usage.LogFile]; log.Bytes == 0 || log.Syncs != 0 { // this disk does not sync
		t.Errorf("%+v", log)
	}
	return replica
}

// checkFileUsage checks what was counted of writing the copy's file, once or several times.
func checkFileUsage(t *testing.T, recorder *usage.Recorder, path string) {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	size := uint64(info.Size())
	written := recorder.Read().Written[usage.CopyFile]
	if written.Syncs == 0 || written.Bytes < size || written.Syncs == 1 && written.Bytes != size {
		t.Errorf("%+v, and the file has %d bytes", written, size)
	}
}
