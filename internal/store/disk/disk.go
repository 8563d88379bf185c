// Package disk stores a replica's log, hard state and snapshots in one bbolt file. A transaction of bbolt is atomic,
// and synced before it returns. Every value has a checksum, so that a changed bit is detected, named and never used.
//
// The file has these buckets: "identity" has the identity of the disk. "log" has the entries by their index, in eight
// bytes big endian. "state" has the hard state, the base of the log, and a record that names the bucket of the current
// snapshot. Each snapshot is in parts in a bucket of its own. It is written in several transactions, while the log is
// written, too, and becomes current with the one that writes its record.
//
// The package implements replica.Disk, and imports only packages replica and usage of the store.
package disk

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"time"

	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/usage"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// FileName is the name of the file in its directory.
const FileName = "store.db"

const (
	dirMode     = 0o700
	fileMode    = 0o600
	othersMode  = 0o077 // permissions of anyone but the owner
	lockTimeout = time.Second
)

// CorruptedError reports which part of a file is not what was written. The replica must not run on such a file: the
// member has to be removed and added anew.
type CorruptedError struct{ Path, What string }

// Error implements error.
func (e *CorruptedError) Error() string { return fmt.Sprintf("%s is corrupted: %s", e.Path, e.What) }

// ErrLocked reports that another process has the file open.
var ErrLocked = errors.New("another process has the store's file open")

// Options configure a disk. All but Usage are for tests.
type Options struct {
	// NoSync writes without syncs: the file may be lost with the power.
	NoSync bool
	// OnOpen is called with the file after it was opened, so that a test can have it fail.
	OnOpen func(*os.File)
	// Usage counts the writes, unless it is nil: those of snapshots' transactions, and all others as those of the log.
	// The bytes are those of bbolt's pages, and a commit waits for two syncs. Growth of the file is not counted.
	Usage *usage.Recorder
}

// Disk is an open file. It may be used concurrently as replica.Disk allows.
type Disk struct {
	db                 *bbolt.DB
	path               string
	identity           replica.Identity
	usage              *usage.Recorder
	pageBytes          int
	lastSnapshotBucket atomic.Uint64 // number
}

var _ replica.Disk = (*Disk)(nil)

// Open opens the file in a directory, which it creates if needed, and counts a start. The file must be accessible to
// its owner only.
func Open(dir string, o Options) (*Disk, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	path := filepath.Join(dir, FileName)
	if err := checkMode(path); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	db, err := openBolt(path, o)
	if err != nil {
		return nil, err
	}
	d := &Disk{db: db, path: path, usage: o.Usage, pageBytes: db.Info().PageSize}
	if err := d.initialize(); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return d, nil
}

// checkMode returns an error if others may read or write a file. It need not exist.
func checkMode(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if mode := info.Mode().Perm(); mode&othersMode != 0 {
		return fmt.Errorf("%s may be read or written by others (mode %04o): it must be %04o", path, mode, fileMode)
	}
	return nil
}

func openBolt(path string, o Options) (db *bbolt.DB, err error) {
	// bbolt panics or faults on some corruption.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = &CorruptedError{path, fmt.Sprint(r)}
		}
	}()
	db, err = bbolt.Open(path, fileMode, &bbolt.Options{
		Timeout: lockTimeout,
		NoSync:  o.NoSync,
		OpenFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
			f, err := os.OpenFile(name, flag, mode)
			if err == nil && o.OnOpen != nil {
				o.OnOpen(f)
			}
			return f, err
		},
		FreelistType: bbolt.FreelistMapType,
		// Otherwise bbolt rebuilds the free list in a goroutine, whose panics cannot be recovered here.
		NoFreelistSync: false,
	})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, fmt.Errorf("store: %s: %w", path, ErrLocked)
	case errors.Is(err, bolterrors.ErrInvalid),
		errors.Is(err, bolterrors.ErrChecksum),
		errors.Is(err, bolterrors.ErrVersionMismatch):
		return nil, &CorruptedError{path, err.Error()}
	case err != nil:
		return nil, fmt.Errorf("store: %w", err)
	}
	return db, nil
}

// initialize creates the buckets of a new file, or reads the identity of an old one, and counts the start.
func (d *Disk) initialize() error {
	return d.update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{identityBucket, logBucket, stateBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		bucket := tx.Bucket(identityBucket)
		if err := d.loadIdentity(bucket); err != nil {
			return err
		}
		d.identity.Boot++
		return d.put(bucket, identityKey, d.identity)
	})
}

// loadIdentity reads the identity of the disk, or draws the ID of a new one.
func (d *Disk) loadIdentity(bucket *bbolt.Bucket) error {
	format := bucket.Get(formatKey)
	if format == nil {
		if err := bucket.Put(formatKey, []byte{Format}); err != nil {
			return err
		}
		var id [8]byte
		if _, err := rand.Read(id[:]); err != nil {
			return err
		}
		d.identity.DiskID = binary.BigEndian.Uint64(id[:]) | 1
		return nil
	}
	if len(format) != 1 || format[0] > Format {
		return fmt.Errorf("%s has format %d, and this build knows %d", d.path, format, Format)
	}
	return d.get(bucket, identityKey, &d.identity)
}

// Identity returns to which member the disk belongs.
func (d *Disk) Identity() replica.Identity { return d.identity }

// SetIdentity makes the disk a member's, once. The disk keeps its ID and its number of starts.
func (d *Disk) SetIdentity(id replica.Identity) error {
	if d.identity.ClusterID != 0 {
		return fmt.Errorf("%s belongs to cluster %x already", d.path, d.identity.ClusterID)
	}
	id.DiskID, id.Boot = d.identity.DiskID, d.identity.Boot
	err := d.update(func(tx *bbolt.Tx) error { return d.put(tx.Bucket(identityBucket), identityKey, id) })
	if err != nil {
		return err
	}
	d.identity = id
	return nil
}

// Path returns the path of the file.
func (d *Disk) Path() string { return d.path }

// Size returns the size of the file in bytes, or 0 if it cannot be read.
func (d *Disk) Size() int64 {
	info, err := os.Stat(d.path)
	if err != nil {
		return 0
	}
	return info.Size()
}

// Close closes the file.
func (d *Disk) Close() error { return d.db.Close() }
