package disk

import (
	"errors"
	"fmt"
	"runtime/debug"
	"strings"
	"syscall"

	"birchmoor/internal/store/usage"

	"go.etcd.io/bbolt"
)

// update runs a transaction that writes anything but snapshots.
func (d *Disk) update(f func(*bbolt.Tx) error) error { return d.updateFile(usage.LogFile, f) }

// updateFile runs a transaction and counts its writes for a purpose. It returns a *CorruptedError if bbolt panics or
// faults on a corrupted page. All errors contain the path of the file.
func (d *Disk) updateFile(purpose usage.File, f func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer d.recoverFault(&err)
	var committedTx *bbolt.Tx
	err = d.db.Update(func(tx *bbolt.Tx) error {
		committedTx = tx
		return f(tx)
	})
	if err != nil {
		return err
	}
	// bbolt writes and syncs the transaction's pages, and then the meta page that refers to their root.
	syncs := 2
	if d.db.NoSync {
		syncs = 0
	}
	stats := committedTx.Stats()
	d.usage.CountWrite(purpose, syncs, int(stats.GetPageAlloc())+d.pageBytes)
	return nil
}

// view runs a read-only transaction. It returns errors as updateFile does.
func (d *Disk) view(f func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer d.recoverFault(&err)
	return d.db.View(f)
}

// recoverFault turns a panic into a *CorruptedError, and adds the file's path to an error that does not contain it. It
// must be deferred directly, because it calls recover.
func (d *Disk) recoverFault(err *error) {
	if r := recover(); r != nil {
		*err = &CorruptedError{d.path, fmt.Sprint(r)}
	}
	switch {
	case *err == nil:
	case errors.Is(*err, syscall.ENOSPC):
		*err = fmt.Errorf("the disk of %s is full: %w", d.path, *err)
	case !strings.Contains((*err).Error(), d.path): // for example the errno of a failed sync
		*err = fmt.Errorf("file %s: %w", d.path, *err)
	}
}
