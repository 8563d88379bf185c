package disk

import (
	"math"

	"birchmoor/internal/store/replica"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// maxCompactedPerTxn bounds the entries that one transaction of Compact deletes, so that Append does not wait long.
	maxCompactedPerTxn = 4096
	// logFillPercent is the share to which bbolt fills a page of the log before it splits the page. It exceeds bbolt's
	// default, because entries are only appended and no space is needed between them.
	logFillPercent = 0.9
)

// Append writes the hard state, unless it is nil, and appends entries to the log. Entries in the log with the index of
// the first of them, or a higher one, are replaced.
func (d *Disk) Append(hardState *raftpb.HardState, entries []*raftpb.Entry) error {
	return d.update(func(tx *bbolt.Tx) error {
		if err := putHardState(tx, hardState); err != nil {
			return err
		}
		return appendEntries(tx.Bucket(logBucket), entries)
	})
}

func putHardState(tx *bbolt.Tx, hardState *raftpb.HardState) error {
	if hardState == nil {
		return nil
	}
	encoded, err := proto.Marshal(hardState)
	if err != nil {
		return err
	}
	return tx.Bucket(stateBucket).Put(hardStateKey, addChecksum(encoded))
}

func appendEntries(log *bbolt.Bucket, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	log.FillPercent = logFillPercent
	first := entries[0].GetIndex()
	if lastKey, _ := log.Cursor().Last(); lastKey != nil && indexOfKey(lastKey) >= first {
		if err := deleteEntries(log, first, math.MaxUint64); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		encoded, err := proto.Marshal(entry)
		if err != nil {
			return err
		}
		if err := log.Put(indexKey(entry.GetIndex()), addChecksum(encoded)); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries deletes the entries with indices from first to last, inclusive.
func deleteEntries(log *bbolt.Bucket, first, last uint64) error {
	cursor := log.Cursor()
	for k, _ := cursor.Seek(indexKey(first)); k != nil && indexOfKey(k) <= last; k, _ = cursor.Seek(indexKey(first)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Compact deletes the entries of the log up to the one with an index and a term, inclusive. It uses several
// transactions if there are many entries.
func (d *Disk) Compact(index, term uint64) error {
	for {
		finished, err := d.compactStep(index, term)
		if err != nil || finished {
			return err
		}
	}
}

// compactStep deletes up to maxCompactedPerTxn entries in one transaction, and reports whether Compact is finished.
// Each step writes the last entry that it deletes as the base of the log, so that the file is valid after each of them.
func (d *Disk) compactStep(index, term uint64) (finished bool, err error) {
	err = d.update(func(tx *bbolt.Tx) error {
		log, state := tx.Bucket(logBucket), tx.Bucket(stateBucket)
		firstKey, _ := log.Cursor().First()
		if firstKey == nil {
			finished = true
			return d.putCBOR(state, baseKey, replica.SnapshotMeta{Index: index, Term: term})
		}
		firstIndex := indexOfKey(firstKey)
		lastIndex := min(index, firstIndex+maxCompactedPerTxn-1)
		finished = lastIndex >= index
		lastEntry, err := d.decodeEntry(lastIndex, log.Get(indexKey(lastIndex)))
		if err != nil {
			return err
		}
		if err := deleteEntries(log, firstIndex, lastIndex); err != nil {
			return err
		}
		return d.putCBOR(state, baseKey, replica.SnapshotMeta{Index: lastIndex, Term: lastEntry.GetTerm()})
	})
	return finished, err
}
