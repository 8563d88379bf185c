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

// Load returns the contents of the file, except for the data of the snapshot. It verifies everything that it returns,
// and deletes the buckets of snapshots that were not completed.
func (d *Disk) Load() (replica.DiskContents, error) {
	contents := replica.DiskContents{Identity: d.identity}
	err := d.update(func(tx *bbolt.Tx) error {
		if err := d.loadState(tx.Bucket(stateBucket), &contents); err != nil {
			return err
		}
		if err := deleteUnfinishedSnapshots(tx, d.lastSnapshotNumber.Load()); err != nil {
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
		return contents, d.newCorruptedError("the log ends at entry %d, but entry %d is committed", last, commit)
	}
	return contents, nil
}

// loadState reads the hard state, the base of the log, and the record of the current snapshot into contents.
func (d *Disk) loadState(bucket *bbolt.Bucket, contents *replica.DiskContents) error {
	if checksummed := bucket.Get(hardStateKey); checksummed != nil {
		encoded, err := d.verifyChecksum("the hard state", checksummed)
		if err != nil {
			return err
		}
		contents.HardState = &raftpb.HardState{}
		if err := proto.Unmarshal(encoded, contents.HardState); err != nil {
			return d.newCorruptedError("the hard state: %v", err)
		}
	}
	if err := d.getCBOR(bucket, baseKey, &contents.Base); err != nil {
		return err
	}
	var current snapshotRecord
	if err := d.getCBOR(bucket, snapshotKey, &current); err != nil {
		return err
	}
	contents.Snapshot = current.Meta
	d.lastSnapshotNumber.Store(current.Bucket)
	return nil
}

// deleteUnfinishedSnapshots deletes the buckets of all snapshots but that of the current one.
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

// loadEntries reads the entries of the log. Their indices must start at first and have no gap.
func (d *Disk) loadEntries(log *bbolt.Bucket, first uint64) ([]*raftpb.Entry, error) {
	var entries []*raftpb.Entry
	index := first
	err := log.ForEach(func(key, checksummed []byte) error {
		if !bytes.Equal(key, indexKey(index)) {
			return d.newCorruptedError("the log has key %x where entry %d is expected", key, index)
		}
		entry, err := d.decodeEntry(index, checksummed)
		if err != nil {
			return err
		}
		if entry.GetIndex() != index {
			return d.newCorruptedError("the value of entry %d has the index %d", index, entry.GetIndex())
		}
		entries = append(entries, entry)
		index++
		return nil
	})
	return entries, err
}

func (d *Disk) decodeEntry(index uint64, checksummed []byte) (*raftpb.Entry, error) {
	encoded, err := d.verifyChecksum(fmt.Sprintf("entry %d", index), checksummed)
	if err != nil {
		return nil, err
	}
	entry := &raftpb.Entry{}
	if err := proto.Unmarshal(encoded, entry); err != nil {
		return nil, d.newCorruptedError("entry %d: %v", index, err)
	}
	return entry, nil
}

// indexOfKey returns the index of the entry with a key of the log, which indexKey returned.
func indexOfKey(key []byte) uint64 { return binary.BigEndian.Uint64(key) }
