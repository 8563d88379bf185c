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
	Save    snapshotSave    `cmd:"" help:"Save the store as it is now."`
	Restore snapshotRestore `cmd:"" help:"Begin a new cluster of one replica from a saved file."`
}

type snapshotSave struct {
	clientFlags
	File string `arg:"" help:"File to write."`
}

func (k *snapshotSave) Run(ctx context.Context, c *console) error {
	f, err := os.CreateTemp(filepath.Dir(k.File), ".snapshot-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // without effect once renamed
	revision, state, err := k.save(ctx, f)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), k.File)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: revision %s, %d keys\n", k.File, revision, state.Len())
	return nil
}

// save writes the daemon's snapshot to a file and reads it back, so that a saved file is complete.
func (k *snapshotSave) save(ctx context.Context, f *os.File) (revision string, state *store.State, err error) {
	revision, err = adminapi.Dial(k.Socket).SaveSnapshot(ctx, f)
	if err != nil {
		return "", nil, err
	}
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return "", nil, err
	}
	state, err = store.Load(f)
	return revision, state, err
}

type snapshotRestore struct {
	File    string `arg:"" type:"existingfile" help:"File that was saved."`
	Dir     string `arg:"" help:"Empty folder for the store."`
	Name    string `help:"Name of the replica." required:""`
	Address string `help:"Where others will reach it." placeholder:"HOST:PORT"`
}

func (k *snapshotRestore) Run(c *console) error {
	f, err := os.Open(k.File)
	if err != nil {
		return err
	}
	defer f.Close()
	s, err := store.Load(f)
	if err != nil {
		return fmt.Errorf("%s: %w", k.File, err)
	}
	d, err := disk.Open(k.Dir, disk.Options{})
	if err != nil {
		return err
	}
	defer d.Close()
	if d.Identity().ClusterID != 0 {
		return fmt.Errorf("%s holds a store already", k.Dir)
	}
	random, err := randomUint63()
	if err != nil {
		return err
	}
	s.Reinitialize(random|1, restoredRevision(s.Revision()))
	if s.Level() >= store.Level {
		// Lease holders of the old cluster may go on for as long as this.
		s.Seed(lease.SuspendKey, []byte("restored"), lease.MaxTTLMillis)
	}
	s.Bootstrap(k.Name, k.Address, d.Identity().DiskID)
	if err := replica.BootstrapFrom(d, d.Identity(), s); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: a new cluster %x at revision %d, %d keys\n", k.Dir, s.Cluster(), s.Revision(), s.Len())
	return nil
}

// restoredRevision is the first revision of a cluster that is restored from a file with this revision. It is to be
// above what the old cluster has reached since, and above what an earlier cluster from the same file has reached.
// The clock makes that likely, not certain; what a token guards rejects lower tokens in any case.
func restoredRevision(saved uint64) uint64 {
	const revisionMargin = 1_000_000_000
	return max(saved+revisionMargin, uint64(time.Now().Unix())<<20)
}
