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
	partBytes   = 256 << 10 // size of a part of a snapshot, which is stored as one value
	partsPerTxn = 8         // parts that one transaction writes; few, so that Append does not wait long
)

// SaveSnapshot atomically replaces the current snapshot by the data that write writes.
func (d *Disk) SaveSnapshot(meta replica.SnapshotMeta, write func(io.Writer) error) error {
	return d.writeSnapshot(meta, write, func(*bbolt.Tx) error { return nil })
}

// Install atomically replaces the current snapshot by one that the leader sent, and the log by an empty log that begins
// after the snapshot. It writes the hard state unless it is nil.
func (d *Disk) Install(meta replica.SnapshotMeta, hardState *raftpb.HardState, data []byte) error {
	write := func(w io.Writer) error {
		_, err := w.Write(data)
		return err
	}
	return d.writeSnapshot(meta, write, func(tx *bbolt.Tx) error {
		if err := putHardState(tx, hardState); err != nil {
			return err
		}
		base := replica.SnapshotMeta{Index: meta.Index, Term: meta.Term}
		if err := d.putCBOR(tx.Bucket(stateBucket), baseKey, base); err != nil {
			return err
		}
		if err := tx.DeleteBucket(logBucket); err != nil {
			return err
		}
		_, err := tx.CreateBucket(logBucket)
		return err
	})
}

// writeSnapshot writes a snapshot to a new bucket, and then makes it the current one in a transaction in which it also
// calls finish.
func (d *Disk) writeSnapshot(meta replica.SnapshotMeta, write func(io.Writer) error,
	finish func(*bbolt.Tx) error) error {
	number := d.lastSnapshotNumber.Add(1)
	w := &snapshotWriter{disk: d, bucket: snapshotBucketName(number)}
	err := write(w)
	if err == nil {
		err = w.flush()
	}
	if err == nil {
		record := snapshotRecord{Bucket: number, Meta: meta, Parts: w.writtenParts, Bytes: w.writtenBytes}
		err = d.updateFile(usage.SnapshotFile, func(tx *bbolt.Tx) error {
			return d.replaceSnapshot(tx, record, finish)
		})
	}
	if err != nil {
		return fmt.Errorf("snapshot at entry %d: %w", meta.Index, err)
	}
	return nil
}

// replaceSnapshot makes a snapshot the current one, deletes the former one and calls finish. If the former one is
// newer, because a snapshot of the leader was installed in the meantime, it remains current, and replaceSnapshot only
// deletes the bucket of the given one.
func (d *Disk) replaceSnapshot(tx *bbolt.Tx, record snapshotRecord, finish func(*bbolt.Tx) error) error {
	state := tx.Bucket(stateBucket)
	var former snapshotRecord
	if err := d.getCBOR(state, snapshotKey, &former); err != nil {
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
	if err := d.putCBOR(state, snapshotKey, record); err != nil {
		return err
	}
	return finish(tx)
}

// Snapshot returns the current snapshot after it has verified its checksums. There is no snapshot if the index in the
// SnapshotMeta is 0.
func (d *Disk) Snapshot() (replica.SnapshotMeta, []byte, error) {
	var record snapshotRecord
	var data []byte
	err := d.view(func(tx *bbolt.Tx) error {
		if err := d.getCBOR(tx.Bucket(stateBucket), snapshotKey, &record); err != nil {
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

// readSnapshot returns the data of the snapshot in a bucket, which is nil if it is missing.
func (d *Disk) readSnapshot(bucket *bbolt.Bucket, record snapshotRecord) ([]byte, error) {
	if bucket == nil || record.Bytes < 0 || record.Bytes > int64(record.Parts)*partBytes {
		return nil, d.newCorruptedError("the snapshot is missing, or its record has an impossible size")
	}
	data := make([]byte, 0, record.Bytes)
	for i := range record.Parts {
		part, err := d.verifyChecksum(fmt.Sprintf("part %d of the snapshot", i), bucket.Get(indexKey(uint64(i))))
		if err != nil {
			return nil, err
		}
		data = append(data, part...)
	}
	return data, nil
}

// snapshotWriter is an io.Writer that writes a snapshot into a bucket, in transactions of up to partsPerTxn parts each.
// The data is durable only after flush.
type snapshotWriter struct {
	disk           *Disk
	bucket         []byte
	writtenParts   int      // number of parts in the bucket
	writtenBytes   int64    // size of the parts in the bucket
	pendingParts   [][]byte // complete parts that are not in the bucket
	incompletePart []byte   // shorter than partBytes
}

// Write implements io.Writer.
func (w *snapshotWriter) Write(b []byte) (int, error) {
	written := len(b)
	for len(b) > 0 {
		if w.incompletePart == nil {
			w.incompletePart = make([]byte, 0, partBytes)
		}
		n := min(len(b), partBytes-len(w.incompletePart))
		w.incompletePart, b = append(w.incompletePart, b[:n]...), b[n:]
		if len(w.incompletePart) == partBytes {
			w.pendingParts, w.incompletePart = append(w.pendingParts, w.incompletePart), nil
		}
		if len(w.pendingParts) == partsPerTxn {
			if err := w.flush(); err != nil {
				return 0, err
			}
		}
	}
	return written, nil
}

// flush writes the pending parts and the incomplete part to the bucket, in one transaction. It creates the bucket if
// needed, also for an empty snapshot.
func (w *snapshotWriter) flush() error {
	if len(w.incompletePart) > 0 {
		w.pendingParts, w.incompletePart = append(w.pendingParts, w.incompletePart), nil
	}
	err := w.disk.updateFile(usage.SnapshotFile, func(tx *bbolt.Tx) error {
		bucket, err := tx.CreateBucketIfNotExists(w.bucket)
		if err != nil {
			return err
		}
		bucket.FillPercent = 1
		for i, part := range w.pendingParts {
			if err := bucket.Put(indexKey(uint64(w.writtenParts+i)), addChecksum(part)); err != nil {
				return err
			}
			w.writtenBytes += int64(len(part))
		}
		return nil
	})
	w.writtenParts += len(w.pendingParts)
	w.pendingParts = w.pendingParts[:0]
	return err
}
