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

// update runs a transaction that writes anything but a snapshot.
func (d *Disk) update(f func(*bbolt.Tx) error) error { return d.updateFile(usage.LogFile, f) }

// updateFile runs a transaction and counts what it writes. If bbolt panics or faults on a corrupted page, that is an
// error. All errors name the file.
func (d *Disk) updateFile(purpose usage.File, f func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer d.recoverFault(&err)
	var committed *bbolt.Tx
	err = d.db.Update(func(tx *bbolt.Tx) error {
		committed = tx
		return f(tx)
	})
	if err != nil {
		return err
	}
	// bbolt writes and syncs the transaction's pages, and then the page that names their root.
	syncs := 2
	if d.db.NoSync {
		syncs = 0
	}
	stats := committed.Stats()
	d.usage.CountWrite(purpose, syncs, int(stats.GetPageAlloc())+d.pageBytes)
	return nil
}

// view runs a transaction that only reads. Its errors are as those of updateFile.
func (d *Disk) view(f func(*bbolt.Tx) error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer d.recoverFault(&err)
	return d.db.View(f)
}

// recoverFault turns a panic into a *CorruptedError, and adds the file's path to an error that lacks it. It must be
// deferred.
func (d *Disk) recoverFault(err *error) {
	if r := recover(); r != nil {
		*err = &CorruptedError{d.path, fmt.Sprint(r)}
	}
	switch {
	case *err == nil:
	case errors.Is(*err, syscall.ENOSPC):
		*err = fmt.Errorf("the disk of %s is full: %w", d.path, *err)
	case !strings.Contains((*err).Error(), d.path): // such as the error number of a failed sync
		*err = fmt.Errorf("the file %s: %w", d.path, *err)
	}
}
