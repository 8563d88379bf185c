package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
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
	revision, err := adminapi.Dial(k.Socket).SaveSnapshot(ctx, f)
	if err == nil {
		_, err = f.Seek(0, io.SeekStart)
	}
	var s *store.State
	if err == nil {
		s, err = store.Load(f) // what is kept is whole
	}
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), k.File)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: revision %s, %d keys\n", k.File, revision, s.Len())
	return nil
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
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return err
	}
	// Above what the old cluster can have given since the file was saved, and above what an earlier restoring of
	// the same file went on with: the clock only makes that likely; what a token guards turns lower ones away in
	// any case.
	s.Reinitialize(binary.BigEndian.Uint64(b[:])>>1|1, max(s.Revision()+1_000_000_000, uint64(time.Now().Unix())<<20))
	if s.Level() >= store.Level {
		s.Seed(lease.SuspendKey, []byte("restored"), lease.MaxTTLMillis) // for as long as holders of the old cluster may go on
	}
	s.Bootstrap(k.Name, k.Address, d.Identity().DiskID)
	if err := replica.BootstrapFrom(d, d.Identity(), s); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: a new cluster %x at revision %d, %d keys\n", k.Dir, s.Cluster(), s.Revision(), s.Len())
	return nil
}
