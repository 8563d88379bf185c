package follower

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/usage"
)

const (
	copyFileName    = "copy"
	minSaveInterval = 2 * time.Second
	saveTimeFactor  = 100 // the interval between two saves is at least so many times as long as a save took

	maxEffectDelay = time.Second // by a disk that hangs, of what is to be saved before it takes effect
)

// Where a start got its copy from, as the status of a daemon says it.
const (
	fromOwnDisk        = "own disk"
	fromAnotherReplica = "another replica"
)

func (f *Follower) copyPath() string { return filepath.Join(f.cfg.Dir, copyFileName) }

// StartedFrom returns where the copy of this start came from, and when its file, if it was that, was written.
func (f *Follower) StartedFrom() (source string, written time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fileWrittenAt.IsZero() {
		return fromAnotherReplica, time.Time{}
	}
	return fromOwnDisk, f.fileWrittenAt
}

// restore takes the copy in the file, and reports whether there is one.
func (f *Follower) restore() (restored bool, err error) {
	file, err := os.ReadFile(f.copyPath())
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	state, err := store.LoadSubset(bytes.NewReader(file))
	if err != nil {
		return false, err
	}
	if state.Level() > store.Level {
		return false, fmt.Errorf("%w: level %d, and this build knows %d",
			store.ErrUnknownCommand, state.Level(), store.Level)
	}
	if info, err := os.Stat(f.copyPath()); err == nil {
		f.fileWrittenAt = info.ModTime()
	}
	f.mu.Lock()
	f.mirror.Restore(state)
	f.stateReplaced()
	f.mu.Unlock()
	f.cfg.Log.Info("starting with a saved copy of the store", "revision", state.Revision(), "keys", state.Len(),
		"written", time.Since(f.fileWrittenAt).Round(time.Second).String()+" ago by this host's clock")
	return true, nil
}

// saveLoop saves the copy whenever it has changed, until Close.
func (f *Follower) saveLoop() {
	interval := minSaveInterval
	failing := false
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-time.After(interval):
		}
		started := time.Now()
		err := f.save()
		interval = max(minSaveInterval, saveTimeFactor*time.Since(started))
		if err != nil && !failing {
			f.cfg.Log.Warn("cannot save the copy of the store", "error", err)
		}
		failing = err != nil
	}
}

// save writes the copy to the file, if that lacks something.
func (f *Follower) save() error {
	f.mu.Lock()
	if !f.unsaved || f.mirror.State() == nil {
		f.mu.Unlock()
		return nil
	}
	state, number := f.takeUnsaved()
	f.mu.Unlock()
	return f.writeCopy(state, number)
}

// saveBeforeEffect writes the copy to the file before the hooks are called, for what the next start has to know
// whenever this process did. If the disk fails or hangs, the hooks are called nevertheless. The lock is held, and
// released meanwhile.
func (f *Follower) saveBeforeEffect() {
	state, number := f.takeUnsaved()
	f.mu.Unlock()
	defer f.mu.Lock()
	saved := make(chan error, 1)
	f.background.Go(func() { saved <- f.writeCopy(state, number) })
	timeout := time.NewTimer(maxEffectDelay)
	defer timeout.Stop()
	select {
	case err := <-saved:
		if err != nil {
			f.cfg.Log.Warn("in effect, and not saved for the next start", "error", err)
		}
	case <-timeout.C:
		f.cfg.Log.Warn("in effect, and not saved yet for the next start", "waited", maxEffectDelay)
	}
}

// takeUnsaved returns what is to be written to the file, and its number, and counts it as saved. The lock is held.
func (f *Follower) takeUnsaved() (*store.State, uint64) {
	f.unsaved = false
	f.copyNumber++
	return f.mirror.Retained(f.subscription.Retained), f.copyNumber
}

// writeCopy replaces the file by a copy, unless it has a later one. A copy that cannot be written counts as
// unsaved again.
func (f *Follower) writeCopy(state *store.State, number uint64) error {
	err := f.writeLatest(state, number)
	if err != nil {
		f.mu.Lock()
		f.unsaved = true
		f.mu.Unlock()
	}
	return err
}

func (f *Follower) writeLatest(state *store.State, number uint64) error {
	f.fileMu.Lock()
	defer f.fileMu.Unlock()
	if number < f.writtenNumber {
		return nil
	}
	if err := writeFile(f.copyPath(), state, f.cfg.Usage); err != nil {
		return err
	}
	f.writtenNumber = number
	return nil
}

// writeFile replaces a file by a state, at once and completely or not at all.
func writeFile(path string, state *store.State, recorder *usage.Recorder) error {
	file, err := os.CreateTemp(filepath.Dir(path), ".copy-*")
	if err != nil {
		return fmt.Errorf("follower: %w", err)
	}
	err = state.Save(&countedWriter{file, recorder})
	err = errors.Join(err, file.Sync(), file.Close())
	recorder.CountWrite(usage.CopyFile, 1, 0)
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		_ = os.Remove(file.Name()) // so that it does not fill the disk
		return fmt.Errorf("follower: %w", err)
	}
	return nil
}

// countedWriter counts the bytes that are written to the file.
type countedWriter struct {
	io.Writer
	recorder *usage.Recorder
}

func (w *countedWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.recorder.CountWrite(usage.CopyFile, 0, n)
	return n, err
}
