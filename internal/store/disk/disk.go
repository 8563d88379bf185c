// Package disk keeps a replica's log, hard state and snapshots in one bbolt file. A transaction of bbolt is whole or
// not at all, and synced before it returns; what a flipped bit makes of an entry is found by its checksum, named and
// never used.
//
// The file has four buckets. "identity" holds whose it is. "log" holds the entries by their index, eight bytes big
// endian, each behind the CRC-32C of its bytes. "state" holds the hard state, the base of the log and the name of the
// bucket of the snapshot that counts. A snapshot lies in a bucket of its own, in parts, each with its checksum; it is
// written in several transactions, beside the log, and counts from the one that names it.
package disk

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/usage"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Format is the version of the layout. A file of a newer one is not opened.
const Format = 1

const (
	partBytes   = 256 << 10 // of a snapshot, in one value
	partsPerTxn = 8         // of a snapshot, in one transaction
)

var (
	identityBucket = []byte("identity")
	logBucket      = []byte("log")
	stateBucket    = []byte("state")
	formatKey      = []byte("format")
	identityKey    = []byte("identity")
	hardStateKey   = []byte("hard")
	baseKey        = []byte("base")
	snapshotKey    = []byte("snapshot")
	kMeta          = []byte("meta")
	crcTable       = crc32.MakeTable(crc32.Castagnoli)
)

// CorruptedError names what of a file is not what was written. Such a replica must not go on: it is removed and added anew.
type CorruptedError struct{ Path, What string }

func (e *CorruptedError) Error() string { return fmt.Sprintf("%s is damaged: %s", e.Path, e.What) }

// ErrLocked says that another process has the file open.
var ErrLocked = errors.New("another process holds the store's file")

// Options are for tests, Meter excepted.
type Options struct {
	NoSync bool // the file does not outlive a loss of power
	// OnOpen is told of the file that was opened, so that a test can have it fail under the disk's hands.
	OnOpen func(*os.File)
	// Meter counts what is written; nil: nothing is counted. A snapshot is what its own transactions write, the log all else.
	// The bytes are those of bbolt's pages, and a commit waits for two syncs; those by which the file grows are not counted.
	Meter *usage.Recorder
}

// Disk is an open file. It is safe for concurrent use as replica.Disk asks.
type Disk struct {
	db                 *bbolt.DB
	path               string
	identity           replica.Identity
	meter              *usage.Recorder
	pageBytes          int           // bytes of a page
	lastSnapshotBucket atomic.Uint64 // number of the snapshot's bucket
}

var _ replica.Disk = (*Disk)(nil)

// FileName is the file's in its folder.
const FileName = "store.db"

// Open opens the file "store.db" in a folder, made if it is not there, and counts a start. The file is the owner's
// alone; one that others may read or write is refused.
func Open(dir string, o Options) (*Disk, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	path := filepath.Join(dir, FileName)
	if i, err := os.Stat(path); err == nil && i.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("store: %s may be read or written by others (mode %04o): it must be 0600", path, i.Mode().Perm())
	} else if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("store: %w", err)
	}
	db, err := openBolt(path, o)
	if err != nil {
		return nil, err
	}
	d := &Disk{db: db, path: path, meter: o.Meter, pageBytes: db.Info().PageSize}
	if err := d.initialize(); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return d, nil
}

func openBolt(path string, o Options) (db *bbolt.DB, err error) {
	// bbolt finds some damage by running into it.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = &CorruptedError{path, fmt.Sprint(r)}
		}
	}()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, NoSync: o.NoSync,
		OpenFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
			f, err := os.OpenFile(name, flag, mode)
			if err == nil && o.OnOpen != nil {
				o.OnOpen(f)
			}
			return f, err
		},
		FreelistType: bbolt.FreelistMapType}) // the free list is kept: to find it anew is done by a goroutine that may panic
	switch {
	case errors.Is(err, bbolt.ErrTimeout):
		return nil, fmt.Errorf("store: %s: %w", path, ErrLocked)
	case errors.Is(err, bbolt.ErrInvalid), errors.Is(err, bbolt.ErrChecksum), errors.Is(err, bbolt.ErrVersionMismatch):
		return nil, &CorruptedError{path, err.Error()}
	case err != nil:
		return nil, fmt.Errorf("store: %w", err)
	}
	return db, nil
}

// update runs a transaction that writes the log and what else is small.
func (d *Disk) update(f func(*bbolt.Tx) error) (err error) { return d.updateFile(usage.LogFile, f) }

// updateFile runs a transaction. What bbolt makes of a damaged page, a panic or a fault in its map, is an error. Each names
// the file.
func (d *Disk) updateFile(what usage.File, f func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer d.recoverFault(&err)
	var done *bbolt.Tx
	if err = d.db.Update(func(tx *bbolt.Tx) error { done = tx; return f(tx) }); err != nil {
		return err
	}
	// All pages that a transaction takes are written and synced, then the one that names its root.
	s, syncs := done.Stats(), 2
	if d.db.NoSync {
		syncs = 0
	}
	d.meter.CountWrite(what, syncs, int(s.GetPageAlloc())+d.pageBytes)
	return nil
}

func (d *Disk) view(f func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer d.recoverFault(&err)
	return d.db.View(f)
}

func (d *Disk) recoverFault(err *error) {
	if r := recover(); r != nil {
		*err = &CorruptedError{d.path, fmt.Sprint(r)}
	}
	switch {
	case *err == nil:
	case errors.Is(*err, syscall.ENOSPC):
		*err = fmt.Errorf("the disk of %s is full: %w", d.path, *err)
	case !strings.Contains((*err).Error(), d.path): // such as the bare number of a sync that failed
		*err = fmt.Errorf("the file %s: %w", d.path, *err)
	}
}

func (d *Disk) corrupted(format string, args ...any) error {
	return &CorruptedError{d.path, fmt.Sprintf(format, args...)}
}

// initialize makes the buckets, or reads whose they are.
func (d *Disk) initialize() error {
	return d.update(func(tx *bbolt.Tx) error {
		id, err := tx.CreateBucketIfNotExists(identityBucket)
		if err != nil {
			return err
		}
		if _, err = tx.CreateBucketIfNotExists(logBucket); err != nil {
			return err
		}
		if _, err = tx.CreateBucketIfNotExists(stateBucket); err != nil {
			return err
		}
		if v := id.Get(formatKey); v == nil {
			if err := id.Put(formatKey, []byte{Format}); err != nil {
				return err
			}
			var b [8]byte
			if _, err := rand.Read(b[:]); err != nil {
				return err
			}
			d.identity.DiskID = binary.BigEndian.Uint64(b[:]) | 1
		} else if len(v) != 1 || v[0] > Format {
			return fmt.Errorf("%s has format %d, and this build knows %d", d.path, v, Format)
		} else if err := d.get(id, identityKey, &d.identity); err != nil {
			return err
		}
		d.identity.Boot++
		return d.put(id, identityKey, d.identity)
	})
}

func seal(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, len(b)+4), crc32.Checksum(b, crcTable)), b...)
}

func (d *Disk) unseal(what string, v []byte) ([]byte, error) {
	if len(v) < 4 || crc32.Checksum(v[4:], crcTable) != binary.BigEndian.Uint32(v) {
		return nil, d.corrupted("the checksum of %s", what)
	}
	return v[4:], nil
}

func (d *Disk) put(b *bbolt.Bucket, key []byte, v any) error {
	enc, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	return b.Put(key, seal(enc))
}

// get reads a value; one that is not there leaves v as it is.
func (d *Disk) get(b *bbolt.Bucket, key []byte, v any) error {
	raw := b.Get(key)
	if raw == nil {
		return nil
	}
	enc, err := d.unseal(string(key), raw)
	if err != nil {
		return err
	}
	if err := cbor.Unmarshal(enc, v); err != nil {
		return d.corrupted("%s: %v", key, err)
	}
	return nil
}

// Identity is whose the disk is.
func (d *Disk) Identity() replica.Identity { return d.identity }

// Path is that of the file.
func (d *Disk) Path() string { return d.path }

// Size is the file's, in bytes.
func (d *Disk) Size() int64 {
	i, err := os.Stat(d.path)
	if err != nil {
		return 0
	}
	return i.Size()
}

// Close ends the use of the file.
func (d *Disk) Close() error { return d.db.Close() }

type snapshotRecord struct {
	Bucket uint64               `cbor:"1,keyasint"`
	Meta   replica.SnapshotMeta `cbor:"2,keyasint"`
	Parts  int                  `cbor:"3,keyasint"`
	Bytes  int64                `cbor:"4,keyasint"`
}

func snapshotBucketName(n uint64) []byte { return fmt.Appendf(nil, "snapshot-%d", n) }

// Load reads all but the snapshot's bytes, and checks it.
func (d *Disk) Load() (replica.DiskContents, error) {
	s := replica.DiskContents{Identity: d.identity}
	var snap snapshotRecord
	err := d.update(func(tx *bbolt.Tx) error {
		st := tx.Bucket(stateBucket)
		if raw := st.Get(hardStateKey); raw != nil {
			enc, err := d.unseal("the hard state", raw)
			if err != nil {
				return err
			}
			s.HardState = &raftpb.HardState{}
			if err := proto.Unmarshal(enc, s.HardState); err != nil {
				return d.corrupted("the hard state: %v", err)
			}
		}
		if err := d.get(st, baseKey, &s.Base); err != nil {
			return err
		}
		if err := d.get(st, snapshotKey, &snap); err != nil {
			return err
		}
		s.Snapshot = snap.Meta
		d.lastSnapshotBucket.Store(snap.Bucket)
		// Snapshots that were begun and not ended.
		var stray [][]byte
		if err := tx.ForEach(func(name []byte, _ *bbolt.Bucket) error {
			if bytes.HasPrefix(name, []byte("snapshot-")) && !bytes.Equal(name, snapshotBucketName(snap.Bucket)) {
				stray = append(stray, bytes.Clone(name))
			}
			return nil
		}); err != nil {
			return err
		}
		for _, name := range stray {
			if err := tx.DeleteBucket(name); err != nil {
				return err
			}
		}
		want := s.Base.Index + 1
		return tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
			if len(k) != 8 || binary.BigEndian.Uint64(k) != want {
				return d.corrupted("entry %x where %d belongs", k, want)
			}
			enc, err := d.unseal(fmt.Sprintf("entry %d", want), v)
			if err != nil {
				return err
			}
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(enc, e); err != nil || e.GetIndex() != want {
				return d.corrupted("entry %d: %v", want, err)
			}
			s.Entries = append(s.Entries, e)
			want++
			return nil
		})
	})
	if err == nil && s.HardState.GetCommit() > s.Base.Index+uint64(len(s.Entries)) {
		err = d.corrupted("the log ends at %d, and %d was agreed on", s.Base.Index+uint64(len(s.Entries)), s.HardState.GetCommit())
	}
	return s, err
}

// SetIdentity makes the disk a member's.
func (d *Disk) SetIdentity(id replica.Identity) error {
	if d.identity.ClusterID != 0 {
		return fmt.Errorf("%s belongs to cluster %x already", d.path, d.identity.ClusterID)
	}
	id.DiskID, id.Boot = d.identity.DiskID, d.identity.Boot
	if err := d.update(func(tx *bbolt.Tx) error { return d.put(tx.Bucket(identityBucket), identityKey, id) }); err != nil {
		return err
	}
	d.identity = id
	return nil
}

func indexKey(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

func (d *Disk) putHardState(tx *bbolt.Tx, hard *raftpb.HardState) error {
	if hard == nil {
		return nil
	}
	enc, err := proto.Marshal(hard)
	if err != nil {
		return err
	}
	return tx.Bucket(stateBucket).Put(hardStateKey, seal(enc))
}

// deleteEntries deletes entries of the log: those from an index on, or those up to it.
func deleteEntries(log *bbolt.Bucket, from, to uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Seek(indexKey(from)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Append writes to the log.
func (d *Disk) Append(hard *raftpb.HardState, entries []*raftpb.Entry) error {
	return d.update(func(tx *bbolt.Tx) error {
		if err := d.putHardState(tx, hard); err != nil || len(entries) == 0 {
			return err
		}
		log := tx.Bucket(logBucket)
		log.FillPercent = 0.9 // keys only grow
		if last, _ := log.Cursor().Last(); last != nil && binary.BigEndian.Uint64(last) >= entries[0].GetIndex() {
			if err := deleteEntries(log, entries[0].GetIndex(), 1<<63); err != nil {
				return err
			}
		}
		for _, e := range entries {
			enc, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			if err := log.Put(indexKey(e.GetIndex()), seal(enc)); err != nil {
				return err
			}
		}
		return nil
	})
}

// snapshotWriter writes a snapshot into a bucket, in transactions of a few parts each.
type snapshotWriter struct {
	d       *Disk
	bucket  []byte
	n       int
	bytes   int64
	pending [][]byte
	buf     []byte
}

func (p *snapshotWriter) Write(b []byte) (int, error) {
	n := len(b)
	for len(b) > 0 {
		if p.buf == nil {
			p.buf = make([]byte, 0, partBytes)
		}
		m := min(len(b), partBytes-len(p.buf))
		p.buf, b = append(p.buf, b[:m]...), b[m:]
		if len(p.buf) == partBytes {
			p.pending, p.buf = append(p.pending, p.buf), nil
		}
		if len(p.pending) == partsPerTxn {
			if err := p.flush(); err != nil {
				return 0, err
			}
		}
	}
	return n, nil
}

func (p *snapshotWriter) flush() error {
	if len(p.buf) > 0 {
		p.pending, p.buf = append(p.pending, p.buf), nil
	}
	err := p.d.updateFile(usage.SnapshotFile, func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists(p.bucket)
		if err != nil {
			return err
		}
		b.FillPercent = 1
		for i, part := range p.pending {
			if err := b.Put(indexKey(uint64(p.n+i)), seal(part)); err != nil {
				return err
			}
			p.bytes += int64(len(part))
		}
		return nil
	})
	p.n += len(p.pending)
	p.pending = p.pending[:0]
	return err
}

// writeSnapshot writes a snapshot and has finish do the rest in the transaction from which it counts.
func (d *Disk) writeSnapshot(meta replica.SnapshotMeta, write func(io.Writer) error, finish func(*bbolt.Tx) error) error {
	number := d.lastSnapshotBucket.Add(1)
	p := &snapshotWriter{d: d, bucket: snapshotBucketName(number)}
	err := write(p)
	if err == nil {
		err = p.flush()
	}
	if err == nil {
		err = d.updateFile(usage.SnapshotFile, func(tx *bbolt.Tx) error {
			st := tx.Bucket(stateBucket)
			var old snapshotRecord
			if err := d.get(st, snapshotKey, &old); err != nil {
				return err
			}
			if old.Meta.Index > meta.Index { // the leader's came first
				return tx.DeleteBucket(p.bucket)
			}
			if old.Bucket != 0 {
				if err := tx.DeleteBucket(snapshotBucketName(old.Bucket)); err != nil && !errors.Is(err, bbolt.ErrBucketNotFound) {
					return err
				}
			}
			if err := d.put(st, snapshotKey, snapshotRecord{Bucket: number, Meta: meta, Parts: p.n, Bytes: p.bytes}); err != nil {
				return err
			}
			return finish(tx)
		})
	}
	if err != nil {
		return fmt.Errorf("snapshot at entry %d: %w", meta.Index, err)
	}
	return nil
}

// SaveSnapshot replaces the snapshot.
func (d *Disk) SaveSnapshot(meta replica.SnapshotMeta, write func(io.Writer) error) error {
	return d.writeSnapshot(meta, write, func(*bbolt.Tx) error { return nil })
}

// Install replaces snapshot and log.
func (d *Disk) Install(meta replica.SnapshotMeta, hard *raftpb.HardState, data []byte) error {
	write := func(w io.Writer) error { _, err := w.Write(data); return err }
	return d.writeSnapshot(meta, write, func(tx *bbolt.Tx) error {
		if err := d.putHardState(tx, hard); err != nil {
			return err
		}
		if err := d.put(tx.Bucket(stateBucket), baseKey, replica.SnapshotMeta{Index: meta.Index, Term: meta.Term}); err != nil {
			return err
		}
		if err := tx.DeleteBucket(logBucket); err != nil {
			return err
		}
		_, err := tx.CreateBucket(logBucket)
		return err
	})
}

// Snapshot reads the snapshot.
func (d *Disk) Snapshot() (replica.SnapshotMeta, []byte, error) {
	var n snapshotRecord
	var data []byte
	err := d.view(func(tx *bbolt.Tx) error {
		if err := d.get(tx.Bucket(stateBucket), snapshotKey, &n); err != nil {
			return err
		}
		if n.Bucket == 0 {
			return nil
		}
		b := tx.Bucket(snapshotBucketName(n.Bucket))
		if b == nil || n.Bytes < 0 || n.Bytes > int64(n.Parts)*partBytes {
			return d.corrupted("the snapshot is not there")
		}
		data = make([]byte, 0, n.Bytes)
		for i := range n.Parts {
			part, err := d.unseal(fmt.Sprintf("part %d of the snapshot", i), b.Get(indexKey(uint64(i))))
			if err != nil {
				return err
			}
			data = append(data, part...)
		}
		return nil
	})
	return n.Meta, data, err
}

// maxCompactedPerTxn is how many entries a transaction lets go: few, so that what is to be written waits for a short time.
const maxCompactedPerTxn = 4096

// Compact lets go of the log up to an entry.
func (d *Disk) Compact(index, term uint64) error {
	for {
		more := false
		err := d.update(func(tx *bbolt.Tx) error {
			log := tx.Bucket(logBucket)
			first, _ := log.Cursor().First()
			if first == nil {
				return d.put(tx.Bucket(stateBucket), baseKey, replica.SnapshotMeta{Index: index, Term: term})
			}
			from := binary.BigEndian.Uint64(first)
			to := min(index, from+maxCompactedPerTxn-1)
			more = to < index
			// Each step ends at an entry whose term is known, so that any of them may be the last.
			raw, err := d.unseal("an entry", log.Get(indexKey(to)))
			if err != nil {
				return err
			}
			e := &raftpb.Entry{}
			if err := proto.Unmarshal(raw, e); err != nil {
				return d.corrupted("entry %d: %v", to, err)
			}
			if err := deleteEntries(log, from, to); err != nil {
				return err
			}
			return d.put(tx.Bucket(stateBucket), baseKey, replica.SnapshotMeta{Index: to, Term: e.GetTerm()})
		})
		if err != nil || !more {
			return err
		}
	}
}
