package disk

import (
	"errors"
	"fmt"
	"io"

	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/usage"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	partBytes   = 256 << 10 // of a snapshot, in one value
	partsPerTxn = 8         // of a snapshot, so that Append waits for a short time only
)

// SaveSnapshot replaces the snapshot by what write writes.
func (d *Disk) SaveSnapshot(meta replica.SnapshotMeta, write func(io.Writer) error) error {
	return d.writeSnapshot(meta, write, func(*bbolt.Tx) error { return nil })
}

// Install replaces the snapshot by one of the leader, and the log by an empty one after it.
func (d *Disk) Install(meta replica.SnapshotMeta, hard *raftpb.HardState, data []byte) error {
	write := func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	}
	return d.writeSnapshot(meta, write, func(tx *bbolt.Tx) error {
		if err := putHardState(tx, hard); err != nil {
			return err
		}
		base := replica.SnapshotMeta{Index: meta.Index, Term: meta.Term}
		if err := d.put(tx.Bucket(stateBucket), baseKey, base); err != nil {
			return err
		}
		if err := tx.DeleteBucket(logBucket); err != nil {
			return err
		}
		_, err := tx.CreateBucket(logBucket)
		return err
	})
}

// writeSnapshot writes a snapshot, and calls finish in the transaction that makes it the current one.
func (d *Disk) writeSnapshot(meta replica.SnapshotMeta, write func(io.Writer) error,
	finish func(*bbolt.Tx) error) error {
	number := d.lastSnapshotBucket.Add(1)
	w := &snapshotWriter{disk: d, bucket: snapshotBucketName(number)}
	err := write(w)
	if err == nil {
		err = w.flush()
	}
	if err == nil {
		record := snapshotRecord{Bucket: number, Meta: meta, Parts: w.parts, Bytes: w.bytes}
		err = d.updateFile(usage.SnapshotFile, func(tx *bbolt.Tx) error {
			return d.replaceSnapshot(tx, record, finish)
		})
	}
	if err != nil {
		return fmt.Errorf("snapshot at entry %d: %w", meta.Index, err)
	}
	return nil
}

// replaceSnapshot makes a snapshot the current one and deletes the former. If the former is newer, because a snapshot
// of the leader was installed in the meantime, it stays, and the new one is deleted.
func (d *Disk) replaceSnapshot(tx *bbolt.Tx, record snapshotRecord, finish func(*bbolt.Tx) error) error {
	state := tx.Bucket(stateBucket)
	var former snapshotRecord
	if err := d.get(state, snapshotKey, &former); err != nil {
		return err
	}
	if former.Meta.Index > record.Meta.Index {
		return tx.DeleteBucket(snapshotBucketName(record.Bucket))
	}
	if former.Bucket != 0 {
		err := tx.DeleteBucket(snapshotBucketName(former.Bucket))
		if err != nil && !errors.Is(err, bolterrors.ErrBucketNotFound) {
			return err
		}
	}
	if err := d.put(state, snapshotKey, record); err != nil {
		return err
	}
	return finish(tx)
}

// Snapshot returns the current snapshot. There is none if the index of its meta is 0.
func (d *Disk) Snapshot() (replica.SnapshotMeta, []byte, error) {
	var record snapshotRecord
	var data []byte
	err := d.view(func(tx *bbolt.Tx) error {
		if err := d.get(tx.Bucket(stateBucket), snapshotKey, &record); err != nil {
			return err
		}
		if record.Bucket == 0 {
			return nil
		}
		var err error
		data, err = d.readSnapshot(tx.Bucket(snapshotBucketName(record.Bucket)), record)
		return err
	})
	return record.Meta, data, err
}

func (d *Disk) readSnapshot(bucket *bbolt.Bucket, record snapshotRecord) ([]byte, error) {
	if bucket == nil || record.Bytes < 0 || record.Bytes > int64(record.Parts)*partBytes {
		return nil, d.corrupted("the snapshot is missing")
	}
	data := make([]byte, 0, record.Bytes)
	for i := range record.Parts {
		part, err := d.unseal(fmt.Sprintf("part %d of the snapshot", i), bucket.Get(indexKey(uint64(i))))
		if err != nil {
			return nil, err
		}
		data = append(data, part...)
	}
	return data, nil
}

// snapshotWriter writes a snapshot into a bucket, in transactions of a few parts each. It is not durable until flush.
type snapshotWriter struct {
	disk    *Disk
	bucket  []byte
	parts   int   // written
	bytes   int64 // written
	pending [][]byte
	part    []byte // that is not complete
}

// Write implements io.Writer.
func (w *snapshotWriter) Write(b []byte) (int, error) {
	written := len(b)
	for len(b) > 0 {
		if w.part == nil {
			w.part = make([]byte, 0, partBytes)
		}
		n := min(len(b), partBytes-len(w.part))
		w.part, b = append(w.part, b[:n]...), b[n:]
		if len(w.part) == partBytes {
			w.pending, w.part = append(w.pending, w.part), nil
		}
		if len(w.pending) == partsPerTxn {
			if err := w.flush(); err != nil {
				return 0, err
			}
		}
	}
	return written, nil
}

// flush writes the pending parts, and the incomplete one.
func (w *snapshotWriter) flush() error {
	if len(w.part) > 0 {
		w.pending, w.part = append(w.pending, w.part), nil
	}
	err := w.disk.updateFile(usage.SnapshotFile, func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(w.bucket)
		if err != nil {
			return err
		}
		bucket.FillPercent = 1
		for i, part := range w.pending {
			if err := bucket.Put(indexKey(uint64(w.parts+i)), seal(part)); err != nil {
				return err
			}
			w.bytes += int64(len(part))
		}
		return nil
	})
	w.parts += len(w.pending)
	w.pending = w.pending[:0]
	return err
}
