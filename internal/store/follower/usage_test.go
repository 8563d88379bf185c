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

// A follower and its replica count the same messages and bytes in each direction and for each purpose, and the replica
// counts the entries that the follower proposed. A stream of all keys has a line for each event. A stream of an
// interest has a line for each transaction, which counts for the purpose of its first key.
func TestFollowerAndReplicaCountTheSameUsage(t *testing.T) {
	partialSubscription := changefeed.Subscription{
		Interest:     prefixInterest("known/h/", "out/"),
		SizePrefixes: []string{"known/"},
	}
	t.Run("all", func(t *testing.T) {
		testUsageCounts(t, nil, eventLineCounts{serverReports: 4, moduleSnapshots: 5})
	})
	t.Run("own", func(t *testing.T) {
		subscription := func() changefeed.Subscription { return partialSubscription }
		testUsageCounts(t, subscription, eventLineCounts{serverReports: 4, moduleSnapshots: 3})
	})
}

// eventLineCounts has the number of lines with events that a follower receives, by purpose.
type eventLineCounts struct{ serverReports, moduleSnapshots uint64 }

// testUsageCounts checks the usage that a follower with a subscription and its replica count; a nil subscription means
// all keys.
func testUsageCounts(t *testing.T, subscription func() changefeed.Subscription, lines eventLineCounts) {
	t.Helper()
	purposes := []usage.Prefix{
		{Prefix: "out/", Purpose: usage.ServerReports},
		{Prefix: "known/", Purpose: usage.ModuleSnapshots},
	}
	followerUsage, replicaUsage := usage.New(purposes...), usage.New(purposes...)
	replica, addr := startReplica(t, replicaUsage)
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
		Log: slog.New(slog.DiscardHandler), Usage: followerUsage, Subscription: subscription,
	})
	if err != nil {
		t.Fatal(err)
	}
	exchangeMessages(ctx, t, f, replica)
	replicaReading := checkSameMessages(t, followerUsage, replicaUsage, lines)
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	checkFileUsage(t, followerUsage, filepath.Join(dir, "copy"))
	var messageBytes uint64
	for _, purpose := range replicaReading.Purposes {
		messageBytes += purpose.BytesOut
	}
	if connections := replicaUsage.Read().Connections; connections.Opened == 0 || connections.BytesOut <= messageBytes {
		t.Errorf("connections %+v; want at least one, and more bytes than the %d of messages", connections,
			messageBytes)
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
	// This transaction is two lines in a stream of all keys, and one line in a stream of an interest.
	do(store.Command{Txn: &store.Txn{Then: []store.Op{
		{Key: "out/drain/y", Value: []byte("v")}, {Key: "known/h/", Value: []byte("w")},
	}}})
	do(store.Command{RevokeLease: &store.RevokeLease{LeaseID: lease, Owner: "h"}})
	// A follower with a partial copy receives only the progress for this snapshot of another daemon.
	if _, err := replica.Do(ctx, putCommand("known/other/", "v")); err != nil {
		t.Fatal(err)
	}
	if _, err := f.View(ctx, false, func(*store.State) {}); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Do(ctx, renewal); !errors.Is(err, store.ErrLeaseNotFound) {
		t.Fatalf("renewal of a revoked lease: error %v, want ErrLeaseNotFound", err)
	}
}

// checkSameMessages waits until both ends have counted the same, since a heartbeat may be in flight. It checks the
// counts and returns the replica's reading.
func checkSameMessages(t *testing.T, followerUsage, replicaUsage *usage.Recorder, lines eventLineCounts) usage.Reading {
	t.Helper()
	var follower, replica usage.Reading
	var difference string
	processtest.Until(t, "both ends agree", func() bool {
		replica, follower = replicaUsage.Read(), followerUsage.Read()
		difference = ""
		for i, followerCounts := range follower.Purposes {
			replicaCounts := replica.Purposes[i]
			sameMessages := followerCounts.MessagesIn == replicaCounts.MessagesOut &&
				followerCounts.MessagesOut == replicaCounts.MessagesIn
			sameBytes := followerCounts.BytesIn == replicaCounts.BytesOut &&
				followerCounts.BytesOut == replicaCounts.BytesIn
			if !sameMessages || !sameBytes {
				difference = fmt.Sprintf("the follower counted %+v\nits replica counted %+v", followerCounts,
					replicaCounts)
			}
		}
		return difference == "" && follower.Purposes[usage.Heartbeats].MessagesIn > 0
	}, func() string { return difference })
	type counts struct{ in, out, proposed, applied uint64 } // messages of the follower, entries of the replica
	for purpose, want := range map[usage.Purpose]counts{
		usage.Sessions:             {6, 6, 6, 6},
		usage.ServerReports:        {4 + lines.serverReports, 4, 4, 4},
		usage.ModuleSnapshots:      {3 + lines.moduleSnapshots, 3, 4, 4},
		usage.Snapshots:            {1, 1, 0, 0},
		usage.ConfirmationRequests: {1, 1, 0, 0},
		usage.Settings:             {},
	} {
		followerCounts, replicaCounts := follower.Purposes[purpose], replica.Purposes[purpose]
		got := counts{followerCounts.MessagesIn, followerCounts.MessagesOut, replicaCounts.Proposed,
			replicaCounts.Applied}
		if got != want || (followerCounts.BytesIn > 0) != (want.in > 0) ||
			(replicaCounts.AppliedBytes > 0) != (want.applied > 0) {
			t.Errorf("purpose %v: got %+v, want %+v; the follower counted %+v, the replica %+v",
				purpose, got, want, followerCounts, replicaCounts)
		}
	}
	if streams := follower.Purposes[usage.Heartbeats].MessagesOut; streams != 1 {
		t.Errorf("the follower requested %d streams, want 1", streams)
	}
	if log := replica.Written[usage.LogFile]; log.Bytes == 0 || log.Syncs != 0 { // this disk does not sync
		t.Errorf("the replica counted %+v for its log, want bytes and no syncs", log)
	}
	return replica
}

// checkFileUsage checks the counted syncs and bytes of the copy's file, which was written at least once.
func checkFileUsage(t *testing.T, recorder *usage.Recorder, path string) {
	t.Helper()
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	size := uint64(info.Size())
	written := recorder.Read().Written[usage.CopyFile]
	if written.Syncs == 0 || written.Bytes < size || written.Syncs == 1 && written.Bytes != size {
		t.Errorf("counted %+v for a file of %d bytes", written, size)
	}
}
