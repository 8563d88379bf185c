package core

import (
	"context"
	"time"

	"birchmoor/internal/platform/snapshot"
)

const (
	minSaveInterval       = 2 * time.Second
	saveTimeFactor        = 200      // minimum ratio of the interval between saves to the time that a save takes
	maxSaveBytesPerSecond = 64 << 10 // on average
)

// SnapshotSaver saves the state of a loop's decision module to a file.
type SnapshotSaver struct {
	Loop *EventLoop
	File snapshot.File
}

// Run saves the state repeatedly until ctx ends. While paused returns true it saves nothing, because another process
// does. It returns at once if File has no path.
func (s SnapshotSaver) Run(ctx context.Context, paused func() bool) {
	if s.File.Path == "" {
		return
	}
	interval := minSaveInterval
	failing := false
	for {
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if paused() {
			continue
		}
		started := time.Now()
		size, err := s.save(ctx)
		interval = saveInterval(time.Since(started), size)
		if err != nil && ctx.Err() == nil && !failing {
			s.Loop.log.Warn("cannot save a snapshot", "error", err)
		}
		failing = err != nil
	}
}

// save saves the state once and returns the size of the encoded snapshot in bytes.
func (s SnapshotSaver) save(ctx context.Context) (size int, err error) {
	data, err := s.Loop.Snapshot(ctx)
	if err != nil {
		return len(data), err
	}
	return len(data), s.File.Save(data)
}

// saveInterval returns the time until the next save, given the time that the last one took and its size in bytes.
func saveInterval(saveTime time.Duration, size int) time.Duration {
	return max(minSaveInterval, saveTimeFactor*saveTime, time.Duration(size)*time.Second/maxSaveBytesPerSecond)
}
