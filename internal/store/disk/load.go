package disk

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"birchmoor/internal/store/replica"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Load returns what the file contains, apart from the data of the snapshot. It checks all of that, and deletes
// snapshots that were not finished.
func (d *Disk) Load() (replica.DiskContents, error) {
	contents := replica.DiskContents{Identity: d.identity}
	err := d.update(func(tx *bbolt.Tx) error {
		if err := d.loadState(tx.Bucket(stateBucket), &contents); err != nil {
			return err
		}
		if err := deleteUnfinishedSnapshots(tx, d.lastSnapshotBucket.Load()); err != nil {
			return err
		}
		entries, err := d.loadEntries(tx.Bucket(logBucket), contents.Base.Index+1)
		contents.Entries = entries
		return err
	})
	if err != nil {
		return contents, err
	}
	last := contents.Base.Index + uint64(len(contents.Entries))
	if commit := contents.HardState.GetCommit(); commit > last {
		return contents, d.corrupted("the log ends at entry %d, and entry %d is committed", last, commit)
	}
	return contents, nil
}

// loadState reads the hard state, the base of the log, and the record of the current snapshot.
func (d *Disk) loadState(bucket *bbolt.Bucket, contents *replica.DiskContents) error {
	if sealed := bucket.Get(hardStateKey); sealed != nil {
		encoded, err := d.unseal("the hard state", sealed)
		if err != nil {
			return err
		}
		contents.HardState = &raftpb.HardState{}
		if err := proto.Unmarshal(encoded, contents.HardState); err != nil {
			return d.corrupted("the hard state: %v", err)
		}
	}
	if err := d.get(bucket, baseKey, &contents.Base); err != nil {
		return err
	}
	var current snapshotRecord
	if err := d.get(bucket, snapshotKey, &current); err != nil {
		return err
	}
	contents.Snapshot = current.Meta
	d.lastSnapshotBucket.Store(current.Bucket)
	return nil
}

func deleteUnfinishedSnapshots(tx *bbolt.Tx, current uint64) error {
	var unfinished [][]byte
	err := tx.ForEach(func(name []byte, _ *bbolt.Bucket) error {
		if bytes.HasPrefix(name, []byte(snapshotBucketPrefix)) && !bytes.Equal(name, snapshotBucketName(current)) {
			unfinished = append(unfinished, bytes.Clone(name))
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, name := range unfinished {
		if err := tx.DeleteBucket(name); err != nil {
			return err
		}
	}
	return nil
}

// loadEntries reads the log, whose first entry must have an index.
func (d *Disk) loadEntries(log *bbolt.Bucket, first uint64) ([]*raftpb.Entry, error) {
	var entries []*raftpb.Entry
	index := first
	err := log.ForEach(func(key, sealed []byte) error {
		if !bytes.Equal(key, indexKey(index)) {
			return d.corrupted("entry %x in place of %d", key, index)
		}
		e, err := d.decodeEntry(index, sealed)
		if err != nil {
			return err
		}
		if e.GetIndex() != index {
			return d.corrupted("entry %d has the index %d", index, e.GetIndex())
		}
		entries = append(entries, e)
		index++
		return nil
	})
	return entries, err
}

func (d *Disk) decodeEntry(index uint64, sealed []byte) (*raftpb.Entry, error) {
	encoded, err := d.unseal(fmt.Sprintf("entry %d", index), sealed)
	if err != nil {
		return nil, err
	}
	e := &raftpb.Entry{}
	if err := proto.Unmarshal(encoded, e); err != nil {
		return nil, d.corrupted("entry %d: %v", index, err)
	}
	return e, nil
}

// indexOf returns the index that a key of the log encodes.
func indexOf(key []byte) uint64 { return binary.BigEndian.Uint64(key) }
