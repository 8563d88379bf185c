package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/replica"
)

type storeSnapshot struct {
	Save    snapshotSave    `cmd:"" help:"Save a snapshot of the store in a file."`
	Restore snapshotRestore `cmd:"" help:"Start a new cluster with one replica from a saved snapshot."`
}

type snapshotSave struct {
	clientFlags
	File string `arg:"" help:"File to write."`
}

func (k *snapshotSave) Run(ctx context.Context, c *console) error {
	file, err := os.CreateTemp(filepath.Dir(k.File), ".snapshot-*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name()) // fails without effect after the rename
	revision, state, err := k.save(ctx, file)
	err = errors.Join(err, file.Sync(), file.Close())
	if err == nil {
		err = os.Rename(file.Name(), k.File)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: revision %s, %d keys\n", k.File, revision, state.Len())
	return nil
}

// save writes the daemon's snapshot to file and loads it from there, so that an incomplete or damaged one is an error.
func (k *snapshotSave) save(ctx context.Context, file *os.File) (revision string, state *store.State, err error) {
	revision, err = adminapi.Dial(k.Socket).SaveSnapshot(ctx, file)
	if err != nil {
		return "", nil, err
	}
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return "", nil, err
	}
	state, err = store.Load(file)
	return revision, state, err
}

type snapshotRestore struct {
	File    string `arg:"" type:"existingfile" help:"Snapshot file."`
	Dir     string `arg:"" help:"Empty folder for the store."`
	Name    string `help:"Name of the replica." required:""`
	Address string `help:"Address at which other replicas will reach it." placeholder:"HOST:PORT"`
}

func (k *snapshotRestore) Run(c *console) error {
	file, err := os.Open(k.File)
	if err != nil {
		return err
	}
	defer file.Close()
	state, err := store.Load(file)
	if err != nil {
		return fmt.Errorf("%s: %w", k.File, err)
	}
	storeDisk, err := disk.Open(k.Dir, disk.Options{})
	if err != nil {
		return err
	}
	defer storeDisk.Close()
	if storeDisk.Identity().ClusterID != 0 {
		return fmt.Errorf("%s already contains a store", k.Dir)
	}
	randomID, err := randomUint63()
	if err != nil {
		return err
	}
	state.Reinitialize(randomID|1, restoredRevision(state.Revision()))
	if state.Level() >= store.Level {
		// Lease holders of the old cluster may still act for this time, so all tasks are suspended until then.
		state.Seed(lease.SuspendKey, []byte("restored"), lease.MaxTTLMillis)
	}
	state.Bootstrap(k.Name, k.Address, storeDisk.Identity().DiskID)
	if err := replica.BootstrapFrom(storeDisk, storeDisk.Identity(), state); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: a new cluster %x at revision %d, %d keys\n",
		k.Dir, state.Cluster(), state.Revision(), state.Len())
	return nil
}

// restoredRevision returns the first revision of a cluster that is restored from a snapshot with the revision saved. It
// must be above the revision that the old cluster has reached since the snapshot, and above that of any cluster that
// was restored earlier from the same file. The clock makes that likely but not certain. A resource that checks fencing
// tokens rejects lower tokens in any case.
func restoredRevision(saved uint64) uint64 {
	const revisionMargin = 1_000_000_000
	return max(saved+revisionMargin, uint64(time.Now().Unix())<<20)
}
