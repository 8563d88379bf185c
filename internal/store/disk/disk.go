// Package disk stores a replica's log, hard state and snapshots in one bbolt file. Transactions are atomic and synced
// before they return. Every value but the format version has a checksum, so that a changed bit is detected and reported
// with the name of the value, and the value is not used.
//
// The file has these buckets:
//   - "identity" contains the format version and the identity of the disk.
//   - "log" contains the entries of the log. The key of an entry is its index in eight bytes, big endian.
//   - "state" contains the hard state, the base of the log, and a record that describes the current snapshot.
//   - Each snapshot is stored, in parts, in a bucket of its own. Several transactions write it while others write the
//     log. It becomes the current snapshot with the transaction that writes its record.
//
// The package implements replica.Disk. Of the store's packages it imports only replica and usage.
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

// FileName is the name of the file in the directory that is passed to Open.
const FileName = "store.db"

const (
	dirMode          = 0o700
	fileMode         = 0o600
	nonOwnerModeBits = 0o077 // permission bits of the group and of others
	lockTimeout      = time.Second
)

// CorruptedError reports that a part of the file at Path, which What names, is not as it was written. A replica must
// not run on such a file; its member has to be removed and added again.
type CorruptedError struct{ Path, What string }

// Error implements error.
func (e *CorruptedError) Error() string { return fmt.Sprintf("%s is corrupted: %s", e.Path, e.What) }

// ErrLocked reports that the file is open already, usually in another process.
var ErrLocked = errors.New("another process has the store's file open")

// Options configure a disk. All but Usage are for tests.
type Options struct {
	// NoSync omits syncs after writes. A loss of power may then corrupt the file.
	NoSync bool
	// OnOpen, unless nil, is called with the file after it was opened, so that a test can make the file fail.
	OnOpen func(*os.File)
	// Usage, unless nil, counts the bytes and syncs of writes: those of transactions that write snapshots as
	// usage.SnapshotFile, all others as usage.LogFile. The bytes are those of the pages that bbolt writes, and a commit
	// waits for two syncs. Growth of the file is not counted.
	Usage *usage.Recorder
}

// Disk is the open file of a replica. Its methods may be called concurrently as far as replica.Disk allows.
type Disk struct {
	db                 *bbolt.DB
	path               string
	identity           replica.Identity
	usage              *usage.Recorder
	pageBytes          int
	lastSnapshotNumber atomic.Uint64 // number of the last snapshot's bucket; the next one is one higher
}

var _ replica.Disk = (*Disk)(nil)

// Open opens the file in a directory, creates both if needed, and increments the number of starts in the disk's
// identity. The file must be accessible to its owner only. The error wraps ErrLocked if the file is open already, and
// is a *CorruptedError if the file is damaged.
func Open(dir string, options Options) (*Disk, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	path := filepath.Join(dir, FileName)
	if err := checkMode(path); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	db, err := openBolt(path, options)
	if err != nil {
		return nil, err
	}
	d := &Disk{db: db, path: path, usage: options.Usage, pageBytes: db.Info().PageSize}
	if err := d.initialize(); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return d, nil
}

// checkMode returns an error if anyone but its owner may access a file. A file that does not exist is accepted.
func checkMode(path string) error {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	if mode := info.Mode().Perm(); mode&nonOwnerModeBits != 0 {
		return fmt.Errorf("%s is accessible to others than its owner: mode %04o, must be %04o", path, mode, fileMode)
	}
	return nil
}

// openBolt opens a bbolt file, and creates it if it does not exist.
func openBolt(path string, options Options) (db *bbolt.DB, err error) {
	// bbolt panics on some corrupted pages, or accesses memory outside the mapped file.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = &CorruptedError{path, fmt.Sprint(r)}
		}
	}()
	db, err = bbolt.Open(path, fileMode, &bbolt.Options{
		Timeout: lockTimeout,
		NoSync:  options.NoSync,
		OpenFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
			f, err := os.OpenFile(name, flag, mode)
			if err == nil && options.OnOpen != nil {
				options.OnOpen(f)
			}
			return f, err
		},
		FreelistType: bbolt.FreelistMapType,
		// With NoFreelistSync, bbolt rebuilds the free list in a goroutine, whose panics cannot be recovered here.
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

// initialize creates the buckets of a new file, loads the identity of the disk and increments its number of starts.
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
		return d.putCBOR(bucket, identityKey, d.identity)
	})
}

// loadIdentity reads the identity of the disk from the bucket. For a new file, it writes the format version and draws a
// random disk ID.
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
		return fmt.Errorf("%s has format %d, but this build supports formats up to %d", d.path, format, Format)
	}
	return d.getCBOR(bucket, identityKey, &d.identity)
}

// Identity returns the identity of the disk, which says to which member of which cluster it belongs.
func (d *Disk) Identity() replica.Identity { return d.identity }

// SetIdentity writes the cluster and the member to which the disk belongs. It fails if the disk belongs to a cluster
// already. The disk keeps its ID and its number of starts.
func (d *Disk) SetIdentity(id replica.Identity) error {
	if d.identity.ClusterID != 0 {
		return fmt.Errorf("%s already belongs to cluster %x", d.path, d.identity.ClusterID)
	}
	id.DiskID, id.Boot = d.identity.DiskID, d.identity.Boot
	err := d.update(func(tx *bbolt.Tx) error { return d.putCBOR(tx.Bucket(identityBucket), identityKey, id) })
	if err != nil {
		return err
	}
	d.identity = id
	return nil
}

// Path returns the path of the file, including FileName.
func (d *Disk) Path() string { return d.path }

// Size returns the size of the file in bytes, or 0 if it cannot be read.
func (d *Disk) Size() int64 {
	info, err := os.Stat(d.path)
	if err != nil {
		return 0
	}
	return info.Size()
}

// Close closes the file and releases its lock.
func (d *Disk) Close() error { return d.db.Close() }
