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
	saveTimeFactor  = 100 // minimum ratio of the interval between two saves to the duration of a save

	// maxSaveDelay is how long the hooks wait for a change to be saved, so that a hanging disk does not block them.
	maxSaveDelay = time.Second
)

// Sources of the first copy of a process, as the daemon's status reports them.
const (
	fromOwnDisk        = "own disk"
	fromAnotherReplica = "another replica"
)

func (f *Follower) copyPath() string { return filepath.Join(f.cfg.Dir, copyFileName) }

// StartedFrom returns the source of this process's first copy. If the source is its own disk, written is when the file
// was written; else it is zero.
func (f *Follower) StartedFrom() (source string, written time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fileWrittenAt.IsZero() {
		return fromAnotherReplica, time.Time{}
	}
	return fromOwnDisk, f.fileWrittenAt
}

// restore loads the copy from the file, and calls OnReset with it. It returns false without an error if there is no
// file.
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
		return false, fmt.Errorf("%w: the saved copy has level %d, and this build knows levels up to %d",
			store.ErrUnknownCommand, state.Level(), store.Level)
	}
	if info, err := os.Stat(f.copyPath()); err == nil {
		f.fileWrittenAt = info.ModTime()
	}
	f.mu.Lock()
	f.mirror.Restore(state)
	f.stateReplaced()
	f.mu.Unlock()
	f.cfg.Log.Info("starting with the saved copy of the store", "revision", state.Revision(), "keys", state.Len(),
		"written", time.Since(f.fileWrittenAt).Round(time.Second).String()+" ago by this host's clock")
	return true, nil
}

// saveLoop saves the copy at intervals, if it has changed, until Close. It logs only the first of consecutive failures.
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
			f.cfg.Log.Warn("saving the copy of the store failed", "error", err)
		}
		failing = err != nil
	}
}

// save writes the copy to the file, if the file lacks a change.
func (f *Follower) save() error {
	f.mu.Lock()
	if !f.unsaved || f.mirror.State() == nil {
		f.mu.Unlock()
		return nil
	}
	state, number := f.takeCopyToSave()
	f.mu.Unlock()
	return f.writeCopy(state, number)
}

// saveBeforeEffect writes the copy to the file before the hooks are called with a change of a durable key: a process
// that acted on such a change must know it after a restart. If the disk fails, or does not finish within maxSaveDelay,
// it returns anyway. The caller holds the lock, which is released while the disk writes.
func (f *Follower) saveBeforeEffect() {
	state, number := f.takeCopyToSave()
	f.mu.Unlock()
	defer f.mu.Lock()
	saved := make(chan error, 1)
	f.background.Go(func() { saved <- f.writeCopy(state, number) })
	timeout := time.NewTimer(maxSaveDelay)
	defer timeout.Stop()
	select {
	case err := <-saved:
		if err != nil {
			f.cfg.Log.Warn("a change takes effect although saving it failed", "error", err)
		}
	case <-timeout.C:
		f.cfg.Log.Warn("a change takes effect before it is saved", "waited", maxSaveDelay)
	}
}

// takeCopyToSave returns the part of the copy that is written to the file, and its number, and marks the copy as saved.
// The caller holds the lock.
func (f *Follower) takeCopyToSave() (*store.State, uint64) {
	f.unsaved = false
	f.copyNumber++
	return f.mirror.Retained(f.subscription.Retained), f.copyNumber
}

// writeCopy replaces the file by a copy, unless the file has one with a higher number. If it fails, it marks the copy
// as unsaved again.
func (f *Follower) writeCopy(state *store.State, number uint64) error {
	err := f.writeLatest(state, number)
	if err != nil {
		f.mu.Lock()
		f.unsaved = true
		f.mu.Unlock()
	}
	return err
}

// writeLatest replaces the file by a copy, unless the file has one with a higher number.
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

// writeFile replaces a file by a state atomically. A nil recorder is valid.
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
		_ = os.Remove(file.Name()) // temporary files must not fill the disk
		return fmt.Errorf("follower: %w", err)
	}
	return nil
}

// countedWriter counts the bytes that are written to the copy's file.
type countedWriter struct {
	io.Writer
	recorder *usage.Recorder
}

func (w *countedWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.recorder.CountWrite(usage.CopyFile, 0, n)
	return n, err
}
