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
	fileMagic        = "BMcapt"
	fileVersion      = 1
	fileHeaderBytes  = 8
	frameHeaderBytes = 28
	maxFrameBytes    = 32 << 20 // bytes of a frame, before compression
	flagSegment      = 1
	suffix           = ".capture"
)

// Config says where a capture goes and how large it may become.
type Config struct {
	Dir           string
	Name          string        // begins the files' names
	MaxBytes      int64         // all files of this name together; the oldest go first
	MaxFileBytes  int64         // a file begins anew beyond this
	MaxFileAge    time.Duration // or after this
	QueueLength   int           // batches on their way, at most; each is about 24 KiB
	RetryDelay    time.Duration // after the disk failed
	Log           *slog.Logger
	BlockWhenFull bool // offers wait for room: for simulations, where time stands still meanwhile

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

	cfg      Config
	queue    chan *batch
	fileFull atomic.Bool // the file is full: the next segment begins another
	broken   atomic.Bool // the disk failed, and it is not yet time to try again
	done     sync.WaitGroup

	// The goroutine's own.
	file           file
	size           int64
	opened         time.Time
	skipToSegment  bool   // until the next segment: its beginning is not on the disk
	unreportedLoss uint64 // records lost since the last segment on the disk
	scratch        []byte
	packed         []byte
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
	w := &Writer{cfg: c, queue: make(chan *batch, c.QueueLength)}
	w.done.Go(w.run)
	return w, nil
}

// Offer is Sink's.
func (w *Writer) Offer(b *batch) bool {
	if w.broken.Load() {
		return false
	}
	if w.cfg.BlockWhenFull {
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

// CountLost is Sink's.
func (w *Writer) CountLost(records uint64) { w.Counts.Lost.Add(records) }

// Ready is Sink's: half of the queue is free, so that a segment begun now is more than its beginning.
func (w *Writer) Ready() bool {
	return !w.broken.Load() && (w.cfg.BlockWhenFull || len(w.queue) <= cap(w.queue)/2)
}

// WantsSegment is Sink's.
func (w *Writer) WantsSegment() bool { return w.fileFull.Load() }

// Close writes what is queued and ends. Nothing may be offered any more.
func (w *Writer) Close() {
	close(w.queue)
	w.done.Wait()
}

// run writes batches until the queue is closed.
func (w *Writer) run() {
	defer w.closeFile()
	var again <-chan time.Time
	for {
		select {
		case b, ok := <-w.queue:
			if !ok {
				return
			}
			if err := w.write(b); err != nil {
				w.cfg.Log.Error("capture: a stretch is lost", "error", err)
				w.closeFile()
				w.broken.Store(true)
				w.skipToSegment = true
				again = time.After(w.cfg.RetryDelay)
			}
			if b.snapshot = nil; cap(b.data) <= 2*maxBatchBytes {
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
	if w.skipToSegment && !b.beginsSegment {
		w.countLost(b)
		return nil
	}
	w.skipToSegment = false
	if b.beginsSegment && w.file != nil && (w.size >= w.cfg.MaxFileBytes || time.Since(w.opened) >= w.cfg.MaxFileAge) {
		w.closeFile()
	}
	if w.file == nil {
		if !b.beginsSegment {
			w.countLost(b)
			return nil
		}
		if err := w.openFile(b); err != nil {
			w.countLost(b)
			return err
		}
	}
	frame, err := w.encodeFrame(b)
	if err == nil {
		_, err = w.file.Write(frame)
	}
	if err != nil {
		w.countLost(b)
		// What stands there of the frame would be reported as cut.
		return errors.Join(err, w.file.Truncate(w.size))
	}
	w.size += int64(len(frame))
	w.Counts.Bytes.Add(uint64(len(frame)))
	w.Counts.Frames.Add(1)
	w.Counts.Records.Add(b.records)
	if b.beginsSegment {
		if b.gap != nil {
			w.cfg.Log.Warn("capture: a gap", "records", b.gap.Count, "reason", b.gap.Line)
		}
		w.Counts.Segments.Add(1)
		w.unreportedLoss = 0
	}
	if w.size >= w.cfg.MaxFileBytes || time.Since(w.opened) >= w.cfg.MaxFileAge {
		w.fileFull.Store(true)
	}
	return nil
}

func (w *Writer) countLost(b *batch) {
	w.Counts.Lost.Add(b.records)
	w.unreportedLoss += b.records
}

// encodeFrame returns a batch as bytes. They are good until the next call.
func (w *Writer) encodeFrame(b *batch) ([]byte, error) {
	raw, flags := b.data, uint32(0)
	if b.beginsSegment {
		flags = flagSegment
		w.scratch = w.scratch[:0]
		if gap := b.gap; gap != nil || w.unreportedLoss > 0 {
			if gap == nil {
				gap = &Record{Kind: KindGap, At: b.base, Line: "the disk failed"}
			}
			gap.Count += w.unreportedLoss
			w.scratch = gap.append(w.scratch, b.base)
		}
		blob, err := snapshot.Marshal(b.snapshot)
		if err != nil {
			return nil, err
		}
		first := Record{Kind: KindSnapshot, At: b.base, Blob: blob, Flag: b.follows && len(w.scratch) == 0}
		w.scratch = first.append(w.scratch, b.base)
		w.scratch = append(w.scratch, b.data...)
		raw = w.scratch
	}
	if need := frameHeaderBytes + s2.MaxEncodedLen(len(raw)); cap(w.packed) < need {
		w.packed = make([]byte, need)
	}
	w.packed = w.packed[:cap(w.packed)]
	body := s2.Encode(w.packed[frameHeaderBytes:], raw)
	out := w.packed[:frameHeaderBytes+len(body)]
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	binary.BigEndian.PutUint32(out[4:], uint32(len(raw)))
	binary.BigEndian.PutUint64(out[8:], uint64(b.base))
	binary.BigEndian.PutUint32(out[16:], flags)
	binary.BigEndian.PutUint32(out[20:], uint32(b.records))
	binary.BigEndian.PutUint32(out[24:], snapshot.Checksum(out[:24], body))
	return out, nil
}

// openFile begins a file, after old ones have made room.
func (w *Writer) openFile(b *batch) error {
	if err := w.removeOldFiles(); err != nil {
		return err
	}
	path := filepath.Join(w.cfg.Dir, fmt.Sprintf("%s-%020d-%06d%s", w.cfg.Name, b.base, w.Counts.Files.Load(), suffix))
	f, err := w.cfg.create(path)
	if err != nil {
		return err
	}
	head := append([]byte(fileMagic), 0, fileVersion)
	if _, err := f.Write(head); err != nil {
		f.Close()
		os.Remove(path)
		return err
	}
	w.file, w.size, w.opened = f, fileHeaderBytes, time.Now()
	w.fileFull.Store(false)
	w.Counts.Files.Add(1)
	w.Counts.Bytes.Add(fileHeaderBytes)
	return nil
}

// removeOldFiles removes the oldest files until another one finds room under the budget.
func (w *Writer) removeOldFiles() error {
	list, err := Files(w.cfg.Dir, w.cfg.Name)
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
		if total+w.cfg.MaxFileBytes <= w.cfg.MaxBytes {
			break
		}
		if err := os.Remove(path); err != nil {
			return err
		}
		total -= sizes[i]
	}
	return nil
}

func (w *Writer) closeFile() {
	if w.file != nil {
		if err := w.file.Close(); err != nil {
			w.cfg.Log.Error("capture", "error", err)
		}
		w.file = nil
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
