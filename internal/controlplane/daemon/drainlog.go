package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"birchmoor/internal/store"
)

// A daemon that acted on a drain and is killed must not forget it, also where the store had not heard of it yet, or, at a
// follower, the copy's file not been written. So the drains that bind here are kept in a small file of the daemon's own: a line
// for each that begins (+) or ends (-). It is written behind the words, by a goroutine of its own, and not synced: what must
// outlive is the process, not the machine. What a start finds there binds like the log's end (policy.Guard.Unsettled).
const (
	drainLogName       = "words"
	drainLogQueueSize  = 4096
	minCompactionBytes = 64 << 10 // bytes from which on the file is written anew,
	compactionFactor   = 4        // once it is so many times what it says
)

// drainLog keeps which drains bind. The part's lock guards held; the rest belongs to its goroutine.
type drainLog struct {
	path   string
	queued map[string]bool // as queued
	lines  chan string
	log    *slog.Logger

	file    *os.File
	bytes   int
	written map[string]bool // as written
	failing bool
}

// OpenDrainLog has drains kept in a file within dir, and binds those that an earlier process kept there. It is to be
// called before the store is opened. A file that is not readable is an error, and is left as it is.
func (d *Drains) OpenDrainLog(dir string) error {
	j := &drainLog{path: filepath.Join(dir, drainLogName), queued: map[string]bool{}, lines: make(chan string, drainLogQueueSize), log: d.log,
		written: map[string]bool{}}
	text, err := os.ReadFile(j.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("journal: %w", err)
	}
	for line := range bytes.Lines(text) {
		key, whole := strings.CutSuffix(string(line[1:]), "\n")
		if _, ok := parseDrainKey(key); !whole || !ok || line[0] != '+' && line[0] != '-' {
			continue // the last one, in which the process died
		}
		if line[0] == '+' && len(j.written) < maxDrains {
			j.written[key] = true
		} else {
			delete(j.written, key)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainLog = j
	for key := range j.written {
		j.queued[key] = true
		d.guard.Uncommitted(&store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key}}}})
	}
	d.markAllDirty()
	return nil
}

// logDrain keeps whether a drain binds here now. The part's lock is held. It does not wait: where the queue is full the line is
// left out, and comes with the next change of that drain.
func (d *Drains) logDrain(key string) {
	j := d.drainLog
	if j == nil {
		return
	}
	p, _ := parseDrainKey(key)
	binds := d.schedule.Observes(key) || d.guard.IsDraining(p)
	if binds == j.queued[key] {
		return
	}
	line := "-" + key + "\n"
	if binds {
		line = "+" + key + "\n"
	}
	select {
	case j.lines <- line:
		if j.queued[key] = binds; !binds {
			delete(j.queued, key)
		}
	default:
	}
}

// run writes what is queued until done is closed, and then what is left.
func (j *drainLog) run(done <-chan struct{}) {
	defer j.close()
	j.rewrite() // what an earlier process left may be long, and cut
	retry := time.NewTicker(sweepInterval)
	defer retry.Stop()
	for {
		select {
		case line := <-j.lines:
			j.write(line)
		case <-retry.C:
			if j.file == nil {
				j.rewrite()
			}
		case <-done:
			for {
				select {
				case line := <-j.lines:
					j.write(line)
				default:
					return
				}
			}
		}
	}
}

func (j *drainLog) write(line string) {
	key := strings.TrimSuffix(line[1:], "\n")
	if line[0] == '+' {
		j.written[key] = true
	} else {
		delete(j.written, key)
	}
	if j.file == nil {
		return // it is written anew before long
	}
	if _, err := j.file.WriteString(line); err != nil {
		j.reportFailure(err)
		j.close()
		return
	}
	j.bytes += len(line)
	if j.bytes > minCompactionBytes && j.bytes > compactionFactor*64*len(j.written) {
		j.rewrite()
	}
}

// rewrite puts what binds in the place of the file.
func (j *drainLog) rewrite() {
	j.close()
	var text strings.Builder
	for key := range j.written {
		text.WriteString("+" + key + "\n")
	}
	fresh := j.path + ".new"
	err := os.MkdirAll(filepath.Dir(j.path), 0o700)
	if err == nil {
		err = os.WriteFile(fresh, []byte(text.String()), 0o600)
	}
	if err == nil {
		err = os.Rename(fresh, j.path)
	}
	if err == nil {
		j.file, err = os.OpenFile(j.path, os.O_APPEND|os.O_WRONLY, 0o600)
	}
	j.reportFailure(err)
	j.bytes = text.Len()
}

// reportFailure says once that the file cannot be written, and once that it can again.
func (j *drainLog) reportFailure(err error) {
	if (err != nil) != j.failing {
		if j.failing = err != nil; j.failing {
			j.log.Error("drains that bind here would be forgotten by a kill", "file", j.path, "error", err)
		} else {
			j.log.Info("drains that bind here are kept again", "file", j.path)
		}
	}
}

func (j *drainLog) close() {
	if j.file != nil {
		j.file.Close()
		j.file = nil
	}
}
