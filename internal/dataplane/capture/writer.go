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
	maxFrameBytes    = 32 << 20 // of a frame's records, before and after compression; readers reject longer ones
	flagSegment      = 1
	fileSuffix       = ".capture"
)

// Config configures a Writer: where a capture is stored and how large it may become.
type Config struct {
	Dir           string
	Name          string        // prefix of the files' names
	MaxBytes      int64         // of all files of this name together; the oldest files are removed first
	MaxFileBytes  int64         // from this size on, the next segment begins a new file
	MaxFileAge    time.Duration // from this age on, the next segment begins a new file
	QueueLength   int           // in batches of about 24 KiB
	RetryDelay    time.Duration // after a failed write, until the next one
	Log           *slog.Logger
	BlockWhenFull bool // Offer blocks while the queue is full; for simulations, whose clock does not advance meanwhile

	create func(path string) (file, error) // creates a file; nil for files on disk
}

// file is a file that a Writer writes to. Tests replace it.
type file interface {
	io.WriteCloser
	Truncate(size int64) error
}

// Counts is what a Writer has written and lost so far. Any goroutine may read it.
type Counts struct {
	Records, Bytes, Frames, Files, Segments, Lost atomic.Uint64
}

// Writer is a Sink that queues batches, and writes them to files in a goroutine of its own.
type Writer struct {
	Counts Counts

	cfg                  Config
	queue                chan *batch
	nextSegmentInNewFile atomic.Bool // the file is full, and the next segment begins a new one
	paused               atomic.Bool // a write failed, and RetryDelay is not over
	running              sync.WaitGroup

	// Used by the goroutine of run only.
	file           file      // nil if no file is open
	size           int64     // bytes of file
	opened         time.Time // when file was created
	skipToSegment  bool      // a batch was lost, and the rest of its segment is dropped
	unreportedLoss uint64    // records lost since the last segment that was stored
	scratch        []byte    // buffer for the records of a batch that begins a segment
	packed         []byte    // buffer for a frame
}

// Create starts a Writer, and creates its folder if that does not exist. It creates files as segments are written.
// Close ends it.
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
	w.running.Go(w.run)
	return w, nil
}

// Offer implements Sink. It takes no batch while the queue is full or for RetryDelay after a failed write.
func (w *Writer) Offer(b *batch) bool {
	if w.paused.Load() {
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

// CountLost implements Sink. It adds to Counts.Lost.
func (w *Writer) CountLost(records uint64) { w.Counts.Lost.Add(records) }

// Ready implements Sink. At least half of the queue must be free, so that more than the first batch of a segment fits.
func (w *Writer) Ready() bool {
	return !w.paused.Load() && (w.cfg.BlockWhenFull || len(w.queue) <= cap(w.queue)/2)
}

// WantsSegment implements Sink. It returns true once the file is full, since only a segment can begin a new one.
func (w *Writer) WantsSegment() bool { return w.nextSegmentInNewFile.Load() }

// Close writes the queued batches and ends the writer. Offer must not be called any more.
func (w *Writer) Close() {
	close(w.queue)
	w.running.Wait()
}

// run writes batches until the queue is closed.
func (w *Writer) run() {
	defer w.closeFile()
	var retry <-chan time.Time
	for {
		select {
		case b, ok := <-w.queue:
			if !ok {
				return
			}
			if err := w.write(b); err != nil {
				w.cfg.Log.Error("capture: a write failed, and records are dropped until the next segment", "error", err)
				w.closeFile()
				w.paused.Store(true)
				w.skipToSegment = true
				retry = time.After(w.cfg.RetryDelay)
			}
			b.snapshot = nil
			if cap(b.data) <= 2*maxBatchBytes {
				batches.Put(b)
			}
		case <-retry:
			retry = nil
			w.paused.Store(false)
		}
	}
}

// write writes a batch to the file as a frame, and creates a file for a segment if none is open. After an error the
// file ends with the last complete frame.
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
		// An incomplete frame would be read as a truncated file.
		return errors.Join(err, w.file.Truncate(w.size))
	}
	w.countWritten(b, len(frame))
	if w.fileIsFull() {
		w.nextSegmentInNewFile.Store(true)
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
		w.cfg.Log.Warn("capture: records are missing before a new segment", "records", b.gap.Count,
			"reason", b.gap.Line)
	}
	w.Counts.Segments.Add(1)
	w.unreportedLoss = 0
}

// countLost counts the records of a batch that is not stored.
func (w *Writer) countLost(b *batch) {
	w.Counts.Lost.Add(b.records)
	w.unreportedLoss += b.records
}

// encodeFrame returns a batch as a frame: header and compressed records. The result is valid until the next call.
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
	maxBytes := frameHeaderBytes + s2.MaxEncodedLen(len(raw))
	if cap(w.packed) < maxBytes {
		w.packed = make([]byte, maxBytes)
	}
	w.packed = w.packed[:cap(w.packed)]
	body := s2.Encode(w.packed[frameHeaderBytes:], raw)
	frame := w.packed[:frameHeaderBytes+len(body)]
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	binary.BigEndian.PutUint32(frame[4:], uint32(len(raw)))
	binary.BigEndian.PutUint64(frame[8:], uint64(b.base))
	binary.BigEndian.PutUint32(frame[16:], flags)
	binary.BigEndian.PutUint32(frame[20:], uint32(b.records))
	binary.BigEndian.PutUint32(frame[24:], snapshot.Checksum(frame[:24], body))
	return frame, nil
}

// segmentRecords returns the encoded records of a batch that begins a segment: the gap before it, if any, the snapshot,
// and those of the batch. The result is valid until the next call.
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

// openFile creates a file that begins with batch b, and removes old files before.
func (w *Writer) openFile(b *batch) error {
	if err := w.removeOldFiles(); err != nil {
		return err
	}
	path := filepath.Join(w.cfg.Dir, fmt.Sprintf("%s-%020d-%06d%s", w.cfg.Name, b.base, w.Counts.Files.Load(),
		fileSuffix))
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
	w.nextSegmentInNewFile.Store(false)
	w.Counts.Files.Add(1)
	w.Counts.Bytes.Add(fileHeaderBytes)
	return nil
}

// removeOldFiles removes the oldest files until another file of MaxFileBytes fits into MaxBytes.
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

// Files returns the paths of a capture's files in a folder, in the order of their names. name is Config.Name; if it is
// empty, the files of all captures are returned. A folder that does not exist has none.
func Files(dir, name string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("capture: %w", err)
	}
	var list []string
	for _, e := range entries {
		fileName := e.Name()
		ofName := name == "" || strings.HasPrefix(fileName, name+"-")
		if ofName && strings.HasSuffix(fileName, fileSuffix) && !e.IsDir() {
			list = append(list, filepath.Join(dir, fileName))
		}
	}
	slices.Sort(list)
	return list, nil
}
