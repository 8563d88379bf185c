package storesim

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"slices"

	"birchmoor/internal/store/replica"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// disk keeps the data that outlives a process. A write is done completely or not at all; one that crashes or fails may
// be either.
type disk struct {
	rng          *rand.Rand
	contents     replica.DiskContents
	snapshotData []byte // contents of the snapshot

	crashAtWrite int  // the process crashes in the write of this number, counted from 1; 0: in none
	failAtWrite  int  // the write of this number and all later ones fail; 0: none
	crashed      bool // the process has crashed: all writes fail
	failed       bool // a write has failed: all later ones fail
}

var (
	errCrashed     = errors.New("the process died in a write")
	errWriteFailed = errors.New("the disk could not write")
)

func newDisk(rng *rand.Rand) *disk {
	return &disk{rng: rng, contents: replica.DiskContents{Identity: replica.Identity{DiskID: rng.Uint64() | 1}}}
}

// open counts a start, as the disk of a real replica does when it is opened.
func (d *disk) open() {
	d.crashed, d.failed = false, false
	d.contents.Identity.Boot++
}

// closeCrashed fails all writes until open is called.
func (d *disk) closeCrashed() { d.crashAtWrite, d.failAtWrite, d.crashed = 0, 0, true }

// copy returns a copy of the disk's current contents.
func (d *disk) copy() *disk {
	c := *d
	c.contents.Entries = slices.Clone(d.contents.Entries)
	return &c
}

// write performs a write, or injects a fault in it.
func (d *disk) write(do func()) error {
	if d.crashed {
		return errCrashed
	}
	if d.failed {
		return errWriteFailed
	}
	count := func(n *int) bool { *n = max(0, *n-1); return *n == 0 }
	if d.crashAtWrite > 0 && count(&d.crashAtWrite) {
		if d.rng.IntN(2) == 0 {
			do()
		}
		d.crashed = true
		return errCrashed
	}
	if d.failAtWrite > 0 && count(&d.failAtWrite) {
		if d.rng.IntN(2) == 0 {
			do()
		}
		d.failed = true
		return errWriteFailed
	}
	do()
	return nil
}

func (d *disk) Load() (replica.DiskContents, error) {
	s := d.contents
	s.Entries = make([]*raftpb.Entry, len(d.contents.Entries))
	for i, e := range d.contents.Entries {
		s.Entries[i] = proto.Clone(e).(*raftpb.Entry)
	}
	if s.HardState != nil {
		s.HardState = proto.Clone(s.HardState).(*raftpb.HardState)
	}
	return s, nil
}

func (d *disk) SetIdentity(id replica.Identity) error {
	return d.write(func() { d.contents.Identity = id })
}

func (d *disk) Append(hard *raftpb.HardState, entries []*raftpb.Entry) error {
	return d.write(func() {
		if hard != nil {
			d.contents.HardState = proto.Clone(hard).(*raftpb.HardState)
		}
		if len(entries) == 0 {
			return
		}
		at := slices.IndexFunc(d.contents.Entries,
			func(e *raftpb.Entry) bool { return e.GetIndex() >= entries[0].GetIndex() })
		if at >= 0 {
			d.contents.Entries = slices.Clone(d.contents.Entries[:at])
		}
		for _, e := range entries {
			d.contents.Entries = append(d.contents.Entries, proto.Clone(e).(*raftpb.Entry))
		}
	})
}

func (d *disk) SaveSnapshot(meta replica.SnapshotMeta, write func(io.Writer) error) error {
	var b bytes.Buffer
	if err := write(&b); err != nil {
		return err
	}
	return d.write(func() {
		if meta.Index > d.contents.Snapshot.Index {
			d.contents.Snapshot, d.snapshotData = meta, b.Bytes()
		}
	})
}

func (d *disk) Install(meta replica.SnapshotMeta, hard *raftpb.HardState, data []byte) error {
	return d.write(func() {
		d.contents.Snapshot, d.snapshotData = meta, bytes.Clone(data)
		d.contents.Base, d.contents.Entries = replica.SnapshotMeta{Index: meta.Index, Term: meta.Term}, nil
		if hard != nil {
			d.contents.HardState = proto.Clone(hard).(*raftpb.HardState)
		}
	})
}

func (d *disk) Snapshot() (replica.SnapshotMeta, []byte, error) {
	return d.contents.Snapshot, bytes.Clone(d.snapshotData), nil
}

func (d *disk) Compact(index, term uint64) error {
	return d.write(func() {
		d.contents.Base = replica.SnapshotMeta{Index: index, Term: term}
		d.contents.Entries = slices.DeleteFunc(slices.Clone(d.contents.Entries),
			func(e *raftpb.Entry) bool { return e.GetIndex() <= index })
	})
}
