package capture

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/s2"

	"birchmoor/internal/platform/snapshot"
)

const (
	fileMagic   = "BMcapt"
	fileVersion = 1
	fileHead    = 8
	frameHead   = 28
	frameMost   = 32 << 20 // bytes of a frame, before compression
	flagSegment = 1
	suffix      = ".capture"
)

// Config says where a capture goes and how large it may become.
type Config struct {
	Dir       string
	Name      string        // begins the files' names
	Bytes     int64         // all files of this name together; the oldest go first
	FileBytes int64         // a file begins anew beyond this
	FileAge   time.Duration // or after this
	Queue     int           // batches on their way, at most; each is about 24 KiB
	Retry     time.Duration // after the disk failed
	Log       *slog.Logger
	Wait      bool // offers wait for room: for simulations, where time stands still meanwhile

	create func(path string) (file, error) // nil for the disk's
}

// file is what a writer needs of one.
type file interface {
	io.WriteCloser
	Truncate(size int64) error
}

// Counts is what a writer has done. They may be read at any time.
type Counts struct {
	Records, Bytes, Frames, Files, Segments, Lost atomic.Uint64
}

// Writer puts batches into files, by a goroutine of its own. It is a Sink.
type Writer struct {
	Counts Counts

	c      Config
	queue  chan *batch
	fresh  atomic.Bool // the file is full: the next segment begins another
	broken atomic.Bool // the disk failed, and it is not yet time to try again
	done   sync.WaitGroup

	// The goroutine's own.
	f       file
	size    int64
	opened  time.Time
	skip    bool   // until the next segment: its beginning is not on the disk
	pending uint64 // records lost since the last segment on the disk
	scratch []byte
	packed  []byte
}

// Create returns a writer. It makes the folder if it is not there.
func Create(c Config) (*Writer, error) {
	if c.create == nil {
		if err := os.MkdirAll(c.Dir, 0o755); err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		c.create = func(path string) (file, error) {
			return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
		}
	}
	w := &Writer{c: c, queue: make(chan *batch, c.Queue)}
	w.done.Go(w.run)
	return w, nil
}

// Offer is Sink's.
func (w *Writer) Offer(b *batch) bool {
	if w.broken.Load() {
		return false
	}
	if w.c.Wait {
		w.queue <- b
		return true
	}
	select {
	case w.queue <- b:
		return true
	default:
		return false
	}
}

// Lose is Sink's.
func (w *Writer) Lose(records uint64) { w.Counts.Lost.Add(records) }

// Ready is Sink's: half of the queue is free, so that a segment begun now is more than its beginning.
func (w *Writer) Ready() bool {
	return !w.broken.Load() && (w.c.Wait || len(w.queue) <= cap(w.queue)/2)
}

// Fresh is Sink's.
func (w *Writer) Fresh() bool { return w.fresh.Load() }

// Close writes what is queued and ends. Nothing may be offered any more.
func (w *Writer) Close() {
	close(w.queue)
	w.done.Wait()
}

// run writes batches until the queue is closed.
func (w *Writer) run() {
	defer w.shut()
	var again <-chan time.Time
	for {
		select {
		case b, ok := <-w.queue:
			if !ok {
				return
			}
			if err := w.write(b); err != nil {
				w.c.Log.Error("capture: a stretch is lost", "error", err)
				w.shut()
				w.broken.Store(true)
				w.skip = true
				again = time.After(w.c.Retry)
			}
			if b.kept = nil; cap(b.data) <= 2*batchBytes {
				batches.Put(b)
			}
		case <-again:
			again = nil
			w.broken.Store(false)
		}
	}
}

// write puts a batch into the file, or says why not and leaves there what was whole.
func (w *Writer) write(b *batch) error {
	if w.skip && !b.segment {
		w.lose(b)
		return nil
	}
	w.skip = false
	if b.segment && w.f != nil && (w.size >= w.c.FileBytes || time.Since(w.opened) >= w.c.FileAge) {
		w.shut()
	}
	if w.f == nil {
		if !b.segment {
			w.lose(b)
			return nil
		}
		if err := w.open(b); err != nil {
			w.lose(b)
			return err
		}
	}
	frame, err := w.frame(b)
	if err == nil {
		_, err = w.f.Write(frame)
	}
	if err != nil {
		w.lose(b)
		// What stands there of the frame would be reported as cut.
		return errors.Join(err, w.f.Truncate(w.size))
	}
	w.size += int64(len(frame))
	w.Counts.Bytes.Add(uint64(len(frame)))
	w.Counts.Frames.Add(1)
	w.Counts.Records.Add(b.records)
	if b.segment {
		if b.gap != nil {
			w.c.Log.Warn("capture: a gap", "records", b.gap.Count, "reason", b.gap.Line)
		}
		w.Counts.Segments.Add(1)
		w.pending = 0
	}
	if w.size >= w.c.FileBytes || time.Since(w.opened) >= w.c.FileAge {
		w.fresh.Store(true)
	}
	return nil
}

func (w *Writer) lose(b *batch) {
	w.Counts.Lost.Add(b.records)
	w.pending += b.records
}

// frame returns a batch as bytes. They are good until the next call.
func (w *Writer) frame(b *batch) ([]byte, error) {
	raw, flags := b.data, uint32(0)
	if b.segment {
		flags = flagSegment
		w.scratch = w.scratch[:0]
		if gap := b.gap; gap != nil || w.pending > 0 {
			if gap == nil {
				gap = &Record{Kind: KindGap, At: b.base, Line: "the disk failed"}
			}
			gap.Count += w.pending
			w.scratch = gap.append(w.scratch, b.base)
		}
		blob, err := snapshot.Marshal(b.kept)
		if err != nil {
			return nil, err
		}
		first := Record{Kind: KindSnapshot, At: b.base, Blob: blob, Flag: b.follows && len(w.scratch) == 0}
		w.scratch = first.append(w.scratch, b.base)
		w.scratch = append(w.scratch, b.data...)
		raw = w.scratch
	}
	if need := frameHead + s2.MaxEncodedLen(len(raw)); cap(w.packed) < need {
		w.packed = make([]byte, need)
	}
	w.packed = w.packed[:cap(w.packed)]
	body := s2.Encode(w.packed[frameHead:], raw)
	out := w.packed[:frameHead+len(body)]
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	binary.BigEndian.PutUint32(out[4:], uint32(len(raw)))
	binary.BigEndian.PutUint64(out[8:], uint64(b.base))
	binary.BigEndian.PutUint32(out[16:], flags)
	binary.BigEndian.PutUint32(out[20:], uint32(b.records))
	binary.BigEndian.PutUint32(out[24:], snapshot.Checksum(out[:24], body))
	return out, nil
}

// open begins a file, after old ones have made room.
func (w *Writer) open(b *batch) error {
	if err := w.trim(); err != nil {
		return err
	}
	path := filepath.Join(w.c.Dir, fmt.Sprintf("%s-%020d-%06d%s", w.c.Name, b.base, w.Counts.Files.Load(), suffix))
	f, err := w.c.create(path)
	if err != nil {
		return err
	}
	head := append([]byte(fileMagic), 0, fileVersion)
	if _, err := f.Write(head); err != nil {
		f.Close()
		os.Remove(path)
		return err
	}
	w.f, w.size, w.opened = f, fileHead, time.Now()
	w.fresh.Store(false)
	w.Counts.Files.Add(1)
	w.Counts.Bytes.Add(fileHead)
	return nil
}

// trim removes the oldest files until another one finds room under the budget.
func (w *Writer) trim() error {
	list, err := Files(w.c.Dir, w.c.Name)
	if err != nil {
		return err
	}
	sizes, total := make([]int64, len(list)), int64(0)
	for i, path := range list {
		if info, err := os.Stat(path); err == nil {
			sizes[i] = info.Size()
			total += sizes[i]
		}
	}
	for i, path := range list {
		if total+w.c.FileBytes <= w.c.Bytes {
			break
		}
		if err := os.Remove(path); err != nil {
			return err
		}
		total -= sizes[i]
	}
	return nil
}

func (w *Writer) shut() {
	if w.f != nil {
		if err := w.f.Close(); err != nil {
			w.c.Log.Error("capture", "error", err)
		}
		w.f = nil
	}
}

// Files returns the files of a capture in their order. name is that of Config; empty for all.
func Files(dir, name string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("capture: %w", err)
	}
	var list []string
	for _, e := range entries {
		if n := e.Name(); strings.HasSuffix(n, suffix) && (name == "" || strings.HasPrefix(n, name+"-")) && !e.IsDir() {
			list = append(list, filepath.Join(dir, n))
		}
	}
	slices.Sort(list)
	return list, nil
}
