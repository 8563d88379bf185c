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

// disk holds what outlives a process. A write is whole or not at all; one in which the process dies may be either.
type disk struct {
	rng   *rand.Rand
	saved replica.DiskContents
	data  []byte // of the snapshot

	dieIn   int  // the process dies in the write after so many, if above 0
	breakIn int  // the write after so many fails
	dead    bool // it died: nothing is written any more
	broke   bool
}

var (
	errDied   = errors.New("the process died in a write")
	errBroken = errors.New("the disk could not write")
)

func newDisk(rng *rand.Rand) *disk {
	return &disk{rng: rng, saved: replica.DiskContents{Identity: replica.Identity{DiskID: rng.Uint64() | 1}}}
}

// begin counts a start, as the disk of a real replica does when it is opened.
func (d *disk) begin() {
	d.dead, d.broke = false, false
	d.saved.Identity.Boot++
}

func (d *disk) end() { d.dieIn, d.breakIn, d.dead = 0, 0, true }

// copy is the disk as it is now.
func (d *disk) copy() *disk {
	c := *d
	c.saved.Entries = slices.Clone(d.saved.Entries)
	return &c
}

// write does a write, or has a fault happen in it.
func (d *disk) write(do func()) error {
	if d.dead {
		return errDied
	}
	if d.broke {
		return errBroken
	}
	count := func(n *int) bool { *n = max(0, *n-1); return *n == 0 }
	if d.dieIn > 0 && count(&d.dieIn) {
		if d.rng.IntN(2) == 0 {
			do()
		}
		d.dead = true
		return errDied
	}
	if d.breakIn > 0 && count(&d.breakIn) {
		if d.rng.IntN(2) == 0 {
			do()
		}
		d.broke = true
		return errBroken
	}
	do()
	return nil
}

func (d *disk) Load() (replica.DiskContents, error) {
	s := d.saved
	s.Entries = make([]*raftpb.Entry, len(d.saved.Entries))
	for i, e := range d.saved.Entries {
		s.Entries[i] = proto.Clone(e).(*raftpb.Entry)
	}
	if s.HardState != nil {
		s.HardState = proto.Clone(s.HardState).(*raftpb.HardState)
	}
	return s, nil
}

func (d *disk) SetIdentity(id replica.Identity) error {
	return d.write(func() { d.saved.Identity = id })
}

func (d *disk) Append(hard *raftpb.HardState, entries []*raftpb.Entry) error {
	return d.write(func() {
		if hard != nil {
			d.saved.HardState = proto.Clone(hard).(*raftpb.HardState)
		}
		if len(entries) == 0 {
			return
		}
		at := slices.IndexFunc(d.saved.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= entries[0].GetIndex() })
		if at >= 0 {
			d.saved.Entries = slices.Clone(d.saved.Entries[:at])
		}
		for _, e := range entries {
			d.saved.Entries = append(d.saved.Entries, proto.Clone(e).(*raftpb.Entry))
		}
	})
}

func (d *disk) SaveSnapshot(meta replica.SnapshotMeta, write func(io.Writer) error) error {
	var b bytes.Buffer
	if err := write(&b); err != nil {
		return err
	}
	return d.write(func() {
		if meta.Index > d.saved.Snapshot.Index {
			d.saved.Snapshot, d.data = meta, b.Bytes()
		}
	})
}

func (d *disk) Install(meta replica.SnapshotMeta, hard *raftpb.HardState, data []byte) error {
	return d.write(func() {
		d.saved.Snapshot, d.data = meta, bytes.Clone(data)
		d.saved.Base, d.saved.Entries = replica.SnapshotMeta{Index: meta.Index, Term: meta.Term}, nil
		if hard != nil {
			d.saved.HardState = proto.Clone(hard).(*raftpb.HardState)
		}
	})
}

func (d *disk) Snapshot() (replica.SnapshotMeta, []byte, error) {
	return d.saved.Snapshot, bytes.Clone(d.data), nil
}

func (d *disk) Compact(index, term uint64) error {
	return d.write(func() {
		d.saved.Base = replica.SnapshotMeta{Index: index, Term: term}
		d.saved.Entries = slices.DeleteFunc(slices.Clone(d.saved.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() <= index })
	})
}
