package disk

import (
	"math"

	"birchmoor/internal/store/replica"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// maxCompactedPerTxn bounds the entries that one transaction drops, so that Append waits for a short time only.
	maxCompactedPerTxn = 4096
	// logFillPercent is how full bbolt makes the pages of the log: keys are only appended.
	logFillPercent = 0.9
)

// Append writes the hard state, unless it is nil, and entries, which replace those of the log from the first of them
// on.
func (d *Disk) Append(hard *raftpb.HardState, entries []*raftpb.Entry) error {
	return d.update(func(tx *bbolt.Tx) error {
		if err := putHardState(tx, hard); err != nil {
			return err
		}
		return appendEntries(tx.Bucket(logBucket), entries)
	})
}

func putHardState(tx *bbolt.Tx, hard *raftpb.HardState) error {
	if hard == nil {
		return nil
	}
	encoded, err := proto.Marshal(hard)
	if err != nil {
		return err
	}
	return tx.Bucket(stateBucket).Put(hardStateKey, seal(encoded))
}

func appendEntries(log *bbolt.Bucket, entries []*raftpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	log.FillPercent = logFillPercent
	first := entries[0].GetIndex()
	if last, _ := log.Cursor().Last(); last != nil && indexOf(last) >= first {
		if err := deleteEntries(log, first, math.MaxUint64); err != nil {
			return err
		}
	}
	for _, e := range entries {
		encoded, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		if err := log.Put(indexKey(e.GetIndex()), seal(encoded)); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries deletes the entries from one index up to and including another.
func deleteEntries(log *bbolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(from)); k != nil && indexOf(k) <= to; k, _ = c.Seek(indexKey(from)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Compact drops the entries of the log up to one with an index and a term, in transactions of a bounded size.
func (d *Disk) Compact(index, term uint64) error {
	for {
		finished, err := d.compactStep(index, term)
		if err != nil || finished {
			return err
		}
	}
}

// compactStep drops some of the entries. Each step records the last entry that it drops as the base of the log, so
// that the file is valid after any of them.
func (d *Disk) compactStep(index, term uint64) (finished bool, err error) {
	err = d.update(func(tx *bbolt.Tx) error {
		log, state := tx.Bucket(logBucket), tx.Bucket(stateBucket)
		first, _ := log.Cursor().First()
		if first == nil {
			finished = true
			return d.put(state, baseKey, replica.SnapshotMeta{Index: index, Term: term})
		}
		from := indexOf(first)
		to := min(index, from+maxCompactedPerTxn-1)
		finished = to >= index
		last, err := d.decodeEntry(to, log.Get(indexKey(to)))
		if err != nil {
			return err
		}
		if err := deleteEntries(log, from, to); err != nil {
			return err
		}
		return d.put(state, baseKey, replica.SnapshotMeta{Index: to, Term: last.GetTerm()})
	})
	return finished, err
}
