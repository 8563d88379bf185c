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

// Config says where a capture is stored and how large it may become.
type Config struct {
	Dir           string
	Name          string        // begins the files' names
	MaxBytes      int64         // of all files of this name together; the oldest are removed first
	MaxFileBytes  int64         // after which the next segment begins another file
	MaxFileAge    time.Duration // likewise
	QueueLength   int           // batches; each is about 24 KiB
	RetryDelay    time.Duration // after a write failed
	Log           *slog.Logger
	BlockWhenFull bool // Offer blocks when the queue is full: for simulations, where time stands still meanwhile

	create func(path string) (file, error) // nil for the disk's
}

// file is what a writer needs of one.
type file interface {
	io.WriteCloser
	Truncate(size int64) error
}

// Counts is what a writer has done so far. Any goroutine may read it.
type Counts struct {
	Records, Bytes, Frames, Files, Segments, Lost atomic.Uint64
}

// Writer is a Sink that writes batches into files, in a goroutine of its own.
type Writer struct {
	Counts Counts

	cfg      Config
	queue    chan *batch
	fileFull atomic.Bool // the next segment begins another
	broken   atomic.Bool // a write failed, and RetryDelay is not over
	done     sync.WaitGroup

	// Used by the goroutine alone.
	file           file
	size           int64
	opened         time.Time
	skipToSegment  bool   // drop records up to the next segment, since the beginning of theirs is not stored
	unreportedLoss uint64 // records lost since the last segment that was stored
	scratch        []byte
	packed         []byte
}

// Create starts a writer, and creates the folder if it does not exist. Close ends it.
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

// Offer implements Sink.
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

// CountLost implements Sink.
func (w *Writer) CountLost(records uint64) { w.Counts.Lost.Add(records) }

// Ready implements Sink: half of the queue is free, so that more than the beginning of a segment fits.
func (w *Writer) Ready() bool {
	return !w.broken.Load() && (w.cfg.BlockWhenFull || len(w.queue) <= cap(w.queue)/2)
}

// WantsSegment implements Sink.
func (w *Writer) WantsSegment() bool { return w.fileFull.Load() }

// Close writes what is queued and ends the writer. Nothing may be offered any more.
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
			b.snapshot = nil
			if cap(b.data) <= 2*maxBatchBytes {
				batches.Put(b)
			}
		case <-again:
			again = nil
			w.broken.Store(false)
		}
	}
}

// write writes a batch into the file. On an error the file ends with the last complete frame.
func (w *Writer) write(b *batch) error {
	if w.skipToSegment && !b.beginsSegment {
		w.countLost(b)
		return nil
	}
	w.skipToSegment = false
	if b.beginsSegment && w.file != nil && w.fileIsFull() {
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
		// A part of a frame would be read as a truncated file.
		return errors.Join(err, w.file.Truncate(w.size))
	}
	w.countWritten(b, len(frame))
	if w.fileIsFull() {
		w.fileFull.Store(true)
	}
	return nil
}

func (w *Writer) fileIsFull() bool {
	return w.size >= w.cfg.MaxFileBytes || time.Since(w.opened) >= w.cfg.MaxFileAge
}

func (w *Writer) countWritten(b *batch, frameBytes int) {
	w.size += int64(frameBytes)
	w.Counts.Bytes.Add(uint64(frameBytes))
	w.Counts.Frames.Add(1)
	w.Counts.Records.Add(b.records)
	if !b.beginsSegment {
		return
	}
	if b.gap != nil {
		w.cfg.Log.Warn("capture: a gap", "records", b.gap.Count, "reason", b.gap.Line)
	}
	w.Counts.Segments.Add(1)
	w.unreportedLoss = 0
}

// countLost counts a batch that is not stored.
func (w *Writer) countLost(b *batch) {
	w.Counts.Lost.Add(b.records)
	w.unreportedLoss += b.records
}

// encodeFrame returns a batch as a frame, which is valid until the next call.
func (w *Writer) encodeFrame(b *batch) ([]byte, error) {
	raw := b.data
	flags := uint32(0)
	if b.beginsSegment {
		flags = flagSegment
		var err error
		if raw, err = w.segmentRecords(b); err != nil {
			return nil, err
		}
	}
	need := frameHeaderBytes + s2.MaxEncodedLen(len(raw))
	if cap(w.packed) < need {
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

// segmentRecords returns the records of a batch that begins a segment: the gap before it, the snapshot, and its own.
func (w *Writer) segmentRecords(b *batch) ([]byte, error) {
	w.scratch = w.scratch[:0]
	gap := b.gap
	if gap == nil && w.unreportedLoss > 0 {
		gap = &Record{Kind: KindGap, At: b.base, Line: "the disk failed"}
	}
	if gap != nil {
		gap.Count += w.unreportedLoss
		w.scratch = gap.append(w.scratch, b.base)
	}
	blob, err := snapshot.Marshal(b.snapshot)
	if err != nil {
		return nil, err
	}
	first := Record{Kind: KindSnapshot, At: b.base, Blob: blob, Flag: b.follows && gap == nil}
	w.scratch = first.append(w.scratch, b.base)
	w.scratch = append(w.scratch, b.data...)
	return w.scratch, nil
}

// openFile begins a file, after removing old ones for it.
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
		return errors.Join(err, f.Close(), os.Remove(path))
	}
	w.file = f
	w.size = fileHeaderBytes
	w.opened = time.Now()
	w.fileFull.Store(false)
	w.Counts.Files.Add(1)
	w.Counts.Bytes.Add(fileHeaderBytes)
	return nil
}

// removeOldFiles removes the oldest files until another one fits into MaxBytes.
func (w *Writer) removeOldFiles() error {
	list, err := Files(w.cfg.Dir, w.cfg.Name)
	if err != nil {
		return err
	}
	sizes := make([]int64, len(list))
	var total int64
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

// Files returns the paths of a capture's files in order. name is that of Config; empty for all captures.
func Files(dir, name string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("capture: %w", err)
	}
	var list []string
	for _, e := range entries {
		n := e.Name()
		ofName := name == "" || strings.HasPrefix(n, name+"-")
		if ofName && strings.HasSuffix(n, suffix) && !e.IsDir() {
			list = append(list, filepath.Join(dir, n))
		}
	}
	slices.Sort(list)
	return list, nil
}
