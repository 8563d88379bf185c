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

// A daemon that is killed must not forget a drain that it acted on, even if the store did not have it yet or, at a
// follower, the copy's file was not written yet. So the drains in effect here are logged to a small file: a line for
// each that begins (+) or ends (-). A goroutine of its own writes it without fsync, since it has to outlive the
// process, not the machine. What a start finds there takes effect like the uncommitted end of the log
// (serverstate.Guard.Uncommitted).
const (
	drainLogName       = "words" // within the store's directory; earlier builds read this name
	drainLogQueueSize  = 4096    // lines
	drainBegins        = '+'
	drainEnds          = '-'
	minCompactionBytes = 64 << 10 // below this the file is not compacted
	entryBytes         = 64       // of a typical line
	compactionFactor   = 4        // size of the file, relative to its entries, from which it is compacted
)

// drainLog is the file of the drains in effect. The lock of Drains guards queued; the other fields belong to run.
type drainLog struct {
	path   string
	log    *slog.Logger
	lines  chan string
	queued map[string]bool // keys in effect once the queue is written

	file    *os.File // nil after a failure, until it is rewritten
	bytes   int      // of the file
	written map[string]bool
	failing bool
}

// OpenDrainLog logs drains to a file in dir, and puts those into effect that an earlier process logged there. It is
// called before the store is opened. A file that cannot be read is an error and is left as it is.
func (d *Drains) OpenDrainLog(dir string) error {
	l := &drainLog{
		path:    filepath.Join(dir, drainLogName),
		log:     d.log,
		lines:   make(chan string, drainLogQueueSize),
		queued:  map[string]bool{},
		written: map[string]bool{},
	}
	text, err := os.ReadFile(l.path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("read drain log: %w", err)
	}
	for line := range bytes.Lines(text) {
		l.restore(string(line))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drainLog = l
	for key := range l.written {
		l.queued[key] = true
		d.guard.Uncommitted(&store.Command{Txn: &store.Txn{Then: []store.Op{{Key: key}}}})
	}
	d.markAllDirty()
	return nil
}

// restore applies a line of an earlier process. It ignores one that is cut off, since the process was killed writing
// it.
func (l *drainLog) restore(line string) {
	key, complete := strings.CutSuffix(line[1:], "\n")
	if _, ok := parseDrainKey(key); !complete || !ok {
		return
	}
	switch {
	case line[0] == drainBegins && len(l.written) < maxDrains:
		l.written[key] = true
	case line[0] == drainBegins, line[0] == drainEnds:
		delete(l.written, key)
	}
}

// logDrain queues a line if it has changed whether a drain is in effect. The lock is held. It does not block: if the
// queue is full the line is written with the next change of that drain.
func (d *Drains) logDrain(key string) {
	l := d.drainLog
	if l == nil {
		return
	}
	p, _ := parseDrainKey(key)
	inEffect := d.schedule.Observes(key) || d.guard.IsDraining(p)
	if inEffect == l.queued[key] {
		return
	}
	select {
	case l.lines <- formatDrainLine(key, inEffect):
	default:
		return
	}
	if inEffect {
		l.queued[key] = true
	} else {
		delete(l.queued, key)
	}
}

func formatDrainLine(key string, inEffect bool) string {
	if inEffect {
		return string(drainBegins) + key + "\n"
	}
	return string(drainEnds) + key + "\n"
}

// run writes queued lines until done is closed, and then what is left in the queue.
func (l *drainLog) run(done <-chan struct{}) {
	defer l.close()
	l.rewrite() // an earlier process may have left a long file with a line cut off
	retry := time.NewTicker(sweepInterval)
	defer retry.Stop()
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-retry.C:
			if l.file == nil {
				l.rewrite()
			}
		case <-done:
			l.flush()
			return
		}
	}
}

// flush writes the lines that are queued now.
func (l *drainLog) flush() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			return
		}
	}
}

func (l *drainLog) write(line string) {
	key := strings.TrimSuffix(line[1:], "\n")
	if line[0] == drainBegins {
		l.written[key] = true
	} else {
		delete(l.written, key)
	}
	if l.file == nil {
		return // the next rewrite includes it
	}
	if _, err := l.file.WriteString(line); err != nil {
		l.reportFailure(err)
		l.close()
		return
	}
	l.bytes += len(line)
	if l.bytes > minCompactionBytes && l.bytes > compactionFactor*entryBytes*len(l.written) {
		l.rewrite()
	}
}

// rewrite replaces the file by one of the drains in effect, and opens that.
func (l *drainLog) rewrite() {
	l.close()
	var text strings.Builder
	for key := range l.written {
		text.WriteString(formatDrainLine(key, true))
	}
	err := l.replaceFile(text.String())
	l.reportFailure(err)
	l.bytes = text.Len()
}

func (l *drainLog) replaceFile(text string) error {
	if err := os.MkdirAll(filepath.Dir(l.path), 0o700); err != nil {
		return err
	}
	next := l.path + ".new"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	if err := os.Rename(next, l.path); err != nil {
		return err
	}
	var err error
	l.file, err = os.OpenFile(l.path, os.O_APPEND|os.O_WRONLY, 0o600)
	return err
}

// reportFailure logs the first failure, and the first success after one.
func (l *drainLog) reportFailure(err error) {
	failing := err != nil
	if failing == l.failing {
		return
	}
	l.failing = failing
	if failing {
		l.log.Error("cannot write the drain log: a kill would forget drains", "file", l.path, "error", err)
		return
	}
	l.log.Info("the drain log is written again", "file", l.path)
}

func (l *drainLog) close() {
	if l.file == nil {
		return
	}
	_ = l.file.Close() // nothing is buffered
	l.file = nil
}
