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

// A daemon that is killed must not forget a drain that it acted on, even if the store did not have the drain yet or, at
// a follower, the file of its copy was not written yet. It therefore logs the drains in effect to a small file, with a
// line for each drain that begins (+) or ends (-). A separate goroutine writes the file without fsync, since the log
// has to outlive the process, not the machine. The drains that a restarted daemon reads from it take effect like the
// uncommitted end of a replica's log (serverstate.Guard.Uncommitted).
const (
	drainLogName       = "words" // within the store's directory; earlier builds read this name
	drainLogQueueSize  = 4096    // lines
	drainBegins        = '+'
	drainEnds          = '-'
	minCompactionBytes = 64 << 10 // a smaller file is not compacted
	typicalEntryBytes  = 64       // length of a typical line
	compactionFactor   = 4        // the file is compacted above this multiple of the size of its entries
)

// drainLog writes the file of the drains in effect. The lock of Drains guards queued; only the goroutine of run uses
// the fields after it.
type drainLog struct {
	path   string
	log    *slog.Logger
	lines  chan string
	queued map[string]bool // keys of the drains in effect once all queued lines are written

	file    *os.File        // nil after a failed write, until the file is rewritten
	bytes   int             // size of the file
	written map[string]bool // keys of the drains in effect by the lines written so far
	failing bool            // the last write failed
}

// OpenDrainLog opens the drain log in dir, and puts into effect the drains that an earlier process logged there. It is
// called before the store is opened. If the log exists but cannot be read, OpenDrainLog returns an error and leaves it
// unchanged. Without a call of it no log is kept.
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

// restore applies a line that an earlier process wrote. It ignores invalid lines, such as the last one of a process
// that was killed while writing it, and drains over maxDrains.
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

// logDrain queues a line if the drain of a key has begun or ended since its last line. The caller holds the lock.
// logDrain does not block: if the queue is full the line is left out, and the next event of that drain queues it.
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

// run writes queued lines until done is closed, and then those left in the queue.
func (l *drainLog) run(done <-chan struct{}) {
	defer l.close()
	l.rewrite() // drops an incomplete last line and the ended drains of an earlier process
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

// flush writes the lines that are in the queue, without waiting for more.
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
	if l.bytes > minCompactionBytes && l.bytes > compactionFactor*typicalEntryBytes*len(l.written) {
		l.rewrite()
	}
}

// rewrite replaces the file by one with a line for each drain in effect, and opens that for appending.
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
	newPath := l.path + ".new"
	if err := os.WriteFile(newPath, []byte(text), 0o600); err != nil {
		return err
	}
	if err := os.Rename(newPath, l.path); err != nil {
		return err
	}
	var err error
	l.file, err = os.OpenFile(l.path, os.O_APPEND|os.O_WRONLY, 0o600)
	return err
}

// reportFailure logs the first of several failures in a row, and the first success after them.
func (l *drainLog) reportFailure(err error) {
	failing := err != nil
	if failing == l.failing {
		return
	}
	l.failing = failing
	if failing {
		l.log.Error("cannot write the drain log: drains are forgotten if this process is killed",
			"file", l.path, "error", err)
		return
	}
	l.log.Info("the drain log can be written again", "file", l.path)
}

func (l *drainLog) close() {
	if l.file == nil {
		return
	}
	_ = l.file.Close() // no write is buffered that could fail
	l.file = nil
}
