package capture

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testSettings() balancer.Settings {
	return balancer.Settings{Balancers: 2,
		Classes:  []balancer.Class{{Name: "look", LatencyObjective: 400_000, Timeout: 1_000_000, PriorityWeight: 1}},
		Fields:   []balancer.Field{balancer.FieldInflight},
		Limits:   balancer.Limits{Probes: true, Cancel: true, MaxAttempts: 3, MaxOpen: 1000},
		Contract: balancer.Contract{InitialCapacity: 0.2, SlowStartDuration: 1_000_000, OverloadMultiple: 2},
		Prices:   balancer.Prices{Probe: 1000}}
}

const startMicros = 1_700_000_000_000_000

// newTestRecorder returns a recorder around a started module with endpoints s-1 to s-3.
func newTestRecorder(tb testing.TB, sink Sink, segmentInterval balancer.Micros) *Recorder {
	tb.Helper()
	name := func(id uint32) string { return fmt.Sprint("s-", id) }
	newBalancer := func(out balancer.Actions) (*balancer.Balancer, error) {
		return balancer.New(testSettings(), 7, out)
	}
	options := Options{Sidecar: "n0", SegmentInterval: segmentInterval, Sink: sink, EndpointName: name}
	r, err := New(options, balancer.NoActions{}, newBalancer)
	if err != nil {
		tb.Fatal(err)
	}
	r.Start(startMicros)
	r.UpdateEndpoints(startMicros, balancer.ListFull, []balancer.Endpoint{{ID: 1}, {ID: 2}, {ID: 3}})
	return r
}

// runRequests passes count requests to the module, a millisecond apart, and an outcome of each endpoint for each of
// them. Their IDs begin at from.
func runRequests(r *Recorder, from uint64, count int) {
	for id := from; id < from+uint64(count); id++ {
		now := startMicros + balancer.Micros(id)*1000
		r.Request(now, balancer.Request{ID: id, Key: 0xdead, Deadline: now + 500_000, Hint: 900, HasHint: id%2 == 0})
		for e := uint32(1); e <= 3; e++ {
			r.Outcome(now+500, balancer.Outcome{ID: id, Endpoint: e, Latency: 500, Answered: true, Load: []float32{2}})
		}
	}
}

func testConfig(dir string) Config {
	return Config{Dir: dir, Name: "c", MaxBytes: 1 << 20, MaxFileBytes: 1 << 19, MaxFileAge: time.Hour,
		QueueLength: 8, RetryDelay: time.Second, Log: slog.New(slog.DiscardHandler), BlockWhenFull: true}
}

// recordCapture returns the file of a capture of so many requests.
func recordCapture(tb testing.TB, requests int) []byte {
	tb.Helper()
	dir := tb.TempDir()
	w, err := Create(testConfig(dir))
	if err != nil {
		tb.Fatal(err)
	}
	r := newTestRecorder(tb, w, 5_000)
	runRequests(r, 1, requests)
	r.Close()
	w.Close()
	files, err := Files(dir, "c")
	if err != nil || len(files) != 1 {
		tb.Fatal(files, err)
	}
	data, err := os.ReadFile(files[0])
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

// readAll returns all records of a file up to the first error.
func readAll(data []byte) (list []Record, err error) {
	r, err := NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	for {
		rec, err := r.Next()
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return list, err
		}
		list = append(list, rec)
	}
}

func kindsOf(list []Record) map[Kind]int {
	counts := map[Kind]int{}
	for _, rec := range list {
		counts[rec.Kind]++
	}
	return counts
}

func TestRecorderRecordsEventsAndActions(t *testing.T) {
	list, err := readAll(recordCapture(t, 40))
	if err != nil {
		t.Fatal(err)
	}
	counts := kindsOf(list)
	if counts[KindRequest] != 40 || counts[KindOutcome] != 120 || counts[KindSend] != 40 || counts[KindSnapshot] < 2 ||
		counts[KindUpdateEndpoints] != 1 || counts[KindGap] != 0 {
		t.Errorf("recorded kinds %v; want 40 requests, 120 outcomes, 40 sends, snapshots, 1 endpoint list and no gap",
			counts)
	}
	if list[0].Kind != KindSnapshot || list[0].Flag {
		t.Errorf("the capture begins with %v, want a snapshot that continues nothing", list[0].String())
	}
	for _, rec := range list {
		if rec.Request.Key != 0 {
			t.Fatal("the key of a request was recorded")
		}
		if rec.Kind == KindUpdateEndpoints && rec.Names[2] != "s-3" {
			t.Errorf("recorded names %v, want s-3 as the third", rec.Names)
		}
	}
}

// TestReaderReadsAllFramesBeforeACut truncates a file at each byte. All complete frames before that must be read, and
// the truncation must be reported, unless it is between two frames.
func TestReaderReadsAllFramesBeforeACut(t *testing.T) {
	data := recordCapture(t, 10)
	complete, err := readAll(data)
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for n := range data {
		list, err := readAll(data[:n])
		if bad := (*Error)(nil); err != nil && (!errors.As(err, &bad) || !bad.Truncated) {
			t.Fatalf("truncated to %d bytes: error %v, want an *Error with Truncated set", n, err)
		} else if err == nil && len(list) == len(complete) {
			t.Fatalf("truncated to %d bytes: all records were read without an error", n)
		}
		if len(list) < last {
			t.Fatalf("truncated to %d bytes: %d records, fewer than with one byte less", n, len(list))
		}
		if last == len(list) {
			continue
		}
		if last = len(list); !cmp.Equal(list, complete[:last]) {
			t.Fatalf("truncated to %d bytes: the records differ from those of the complete file", n)
		}
	}
	if last == 0 {
		t.Error("no record was read from any truncated file")
	}
}

// TestReaderDetectsEveryFlippedBit flips each bit of a file. The reader must report an error, and return nothing but
// the records before the damaged frame.
func TestReaderDetectsEveryFlippedBit(t *testing.T) {
	data := recordCapture(t, 3)
	complete, _ := readAll(data)
	for bit := range 8 * len(data) {
		data[bit/8] ^= 1 << (bit % 8)
		list, err := readAll(data)
		if err == nil || len(list) >= len(complete) || !cmp.Equal(list, complete[:len(list)]) && len(list) > 0 {
			t.Fatalf("bit %d flipped: %d records and error %v, want fewer records and an error", bit, len(list), err)
		}
		data[bit/8] ^= 1 << (bit % 8)
	}
}

func TestWriterKeepsFilesUnderTheBudget(t *testing.T) {
	dir := t.TempDir()
	c := testConfig(dir)
	c.MaxFileBytes, c.MaxBytes = 4<<10, 20<<10
	other := filepath.Join(dir, "other-1.capture")
	if err := os.WriteFile(other, make([]byte, 99), 0o600); err != nil {
		t.Fatal(err)
	}
	w, err := Create(c)
	if err != nil {
		t.Fatal(err)
	}
	r := newTestRecorder(t, w, 10_000)
	runRequests(r, 1, 3000)
	r.Close()
	w.Close()
	files, _ := Files(dir, "c")
	total := int64(0)
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			t.Fatal(err)
		}
		total += info.Size()
		data, _ := os.ReadFile(f)
		list, err := readAll(data)
		if err != nil || list[0].Kind != KindSnapshot {
			t.Errorf("%s cannot be read alone: error %v, first record %s", f, err, list[0].String())
		}
	}
	// A file ends with a complete segment, so that it may exceed its limit by one.
	if created := w.Counts.Files.Load(); created < 10 || len(files) >= int(created) ||
		total > c.MaxBytes+c.MaxFileBytes {
		t.Errorf("%d files created, %d kept with %d bytes; want 10 or more, fewer, and a total within the budget",
			created, len(files), total)
	}
	if _, err := os.Stat(other); err != nil {
		t.Error("a file of another capture was removed:", err)
	}
}

// fullDisk is a file on a disk with freeBytes, which all of its files share. Writes beyond that fail.
type fullDisk struct {
	freeBytes *int
	files     *[]*bytes.Buffer
	content   *bytes.Buffer
}

var errFull = errors.New("no space left on device")

func (f fullDisk) Write(p []byte) (int, error) {
	n := min(len(p), *f.freeBytes)
	*f.freeBytes -= n
	f.content.Write(p[:n])
	if n < len(p) {
		return n, errFull
	}
	return n, nil
}
func (f fullDisk) Truncate(size int64) error { f.content.Truncate(int(size)); return nil }
func (f fullDisk) Close() error              { return nil }

// TestFullDiskLeavesARecordedGap fills the disk during a capture and frees it later. All records between the last frame
// that was written and the next segment must be missing, that segment must begin with a record of the gap, and the rest
// must be readable.
func TestFullDiskLeavesARecordedGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		freeBytes, files := 20_000, []*bytes.Buffer{}
		c := testConfig(t.TempDir())
		c.BlockWhenFull = false
		c.create = func(string) (file, error) {
			b := &bytes.Buffer{}
			files = append(files, b)
			return fullDisk{&freeBytes, &files, b}, nil
		}
		w, err := Create(c)
		if err != nil {
			t.Fatal(err)
		}
		r := newTestRecorder(t, w, 1_000_000)
		for i := range 40 {
			runRequests(r, uint64(1+250*i), 250)
			synctest.Wait() // until the queue is written
		}
		if w.Counts.Lost.Load() == 0 || w.Ready() {
			t.Fatal("the writer has lost nothing, or is ready, with a full disk")
		}
		freeBytes = 1 << 20
		time.Sleep(c.RetryDelay + 1)
		synctest.Wait()
		runRequests(r, 20_000, 250)
		r.Close()
		w.Close()
		if len(files) != 2 {
			t.Fatalf("%d files were created, want one before the gap and one after it", len(files))
		}
		first, err := readAll(files[0].Bytes())
		if err != nil || len(first) == 0 {
			t.Errorf("file before the gap: %d records, error %v", len(first), err)
		}
		after, err := readAll(files[1].Bytes())
		if err != nil || after[0].Kind != KindGap || after[0].Count == 0 || after[1].Kind != KindSnapshot || after[1].Flag {
			t.Errorf("file after the gap: begins with %v, error %v; want a gap and a snapshot", after[0].String(), err)
		}
		beforeGap, afterGap := kindsOf(first), kindsOf(after)
		if got := beforeGap[KindRequest] + afterGap[KindRequest]; got >= 40*250+250 || afterGap[KindRequest] != 250 {
			t.Errorf("%d requests recorded, %d of them after the gap; want some missing, and 250 after the gap",
				got, afterGap[KindRequest])
		}
	})
}

// slowDisk is a file whose writes block until mayWrite is closed.
type slowDisk struct{ mayWrite chan struct{} }

func (s slowDisk) Write(p []byte) (int, error) { <-s.mayWrite; return len(p), nil }
func (slowDisk) Truncate(int64) error          { return nil }
func (slowDisk) Close() error                  { return nil }

// TestSlowDiskDoesNotBlockTheRecorder records to a disk that hangs. The recorder must not block: it drops records once
// the queue is full.
func TestSlowDiskDoesNotBlockTheRecorder(t *testing.T) {
	c := testConfig(t.TempDir())
	c.BlockWhenFull, c.QueueLength = false, 4
	mayWrite := make(chan struct{})
	c.create = func(string) (file, error) { return slowDisk{mayWrite}, nil }
	w, err := Create(c)
	if err != nil {
		t.Fatal(err)
	}
	r := newTestRecorder(t, w, 1_000_000)
	runRequests(r, 1, 20_000) // does not return if the recorder blocks
	if w.Counts.Lost.Load() == 0 {
		t.Error("no record was dropped while the disk hung")
	}
	close(mayWrite)
	r.Close()
	w.Close()
}

func FuzzReader(f *testing.F) {
	f.Add(recordCapture(f, 5))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = readAll(data) }) // guards against panics; errors are expected
}

// FuzzRecords decodes arbitrary bytes as a frame's records, as if the checksum was right. What can be decoded must be
// the same after encoding and decoding it again.
func FuzzRecords(f *testing.F) {
	list, err := readAll(recordCapture(f, 5))
	if err != nil {
		f.Fatal(err)
	}
	var all []byte
	for i := range list {
		if list[i].Kind != KindSnapshot {
			all = list[i].append(all, list[i].At)
		}
	}
	f.Add(all)
	f.Fuzz(func(t *testing.T, data []byte) {
		p := parser{in: data}
		for p.offset < len(p.in) {
			rec := p.nextRecord(0)
			if p.err != nil {
				return
			}
			if decoded := (&parser{in: rec.append(nil, 0)}).nextRecord(0); !bytes.Equal(decoded.Bytes(), rec.Bytes()) {
				t.Fatalf("%s was encoded and decoded to %s", rec.String(), decoded.String())
			}
		}
	})
}

// BenchmarkRecord measures the time of a request in the event loop with and without recording, and the recorded bytes.
func BenchmarkRecord(b *testing.B) {
	for _, recording := range []bool{false, true} {
		b.Run(fmt.Sprint("recorded=", recording), func(b *testing.B) {
			c := testConfig(b.TempDir())
			c.MaxFileBytes, c.MaxBytes = 64<<20, 256<<20
			w, err := Create(c)
			if err != nil {
				b.Fatal(err)
			}
			r := newTestRecorder(b, w, 60_000_000)
			r.closed = !recording
			id := uint64(1)
			for b.Loop() {
				runRequests(r, id, 1)
				id++
			}
			r.Close()
			w.Close()
			b.ReportMetric(float64(w.Counts.Bytes.Load())/float64(id), "bytes/op")
		})
	}
}

func TestRulesOfAConcurrentReloadAreRecorded(t *testing.T) {
	dir := t.TempDir()
	w, err := Create(testConfig(dir))
	if err != nil {
		t.Fatal(err)
	}
	r := newTestRecorder(t, w, 1_000_000)
	old := r.Rules()
	next := testSettings()
	next.Classes[0].Name = "other"
	if _, err := r.Reload(startMicros+1, next); err != nil {
		t.Fatal(err)
	}
	r.Request(startMicros+2, balancer.Request{ID: 1, Deadline: startMicros + 1000, Rules: old})
	r.Request(startMicros+3, balancer.Request{ID: 2, Deadline: startMicros + 1000, Rules: r.Rules()})
	r.Close()
	w.Close()
	files, _ := Files(dir, "")
	data, _ := os.ReadFile(files[0])
	list, err := readAll(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, rec := range list {
		var s balancer.RulesState
		switch {
		case rec.Kind == KindRequest && rec.Request.ID == 1:
			if err := snapshot.Unmarshal(rec.Rules, &s); err != nil || s.Settings.Classes[0].Name != "look" {
				t.Errorf("rules of the request under earlier rules: %+v, error %v; want class look", s, err)
			}
		case rec.Kind == KindRequest && rec.Rules != nil:
			t.Error("the current rules were recorded with a request")
		}
	}
}

func TestReaderRejectsForeignFiles(t *testing.T) {
	for data, want := range map[string]string{"": "cut", "{\"a\": 1}....": "foreign", "BMcapt\x00\x09": "version 9"} {
		if _, err := NewReader(strings.NewReader(data)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("NewReader of %q: error %v, want one that names the reason", data, err)
		}
	}
}

// TestFramesEndBetweenEvents expects each frame to begin with an event, never with an action: a process that is killed
// must not leave an event without its actions.
func TestFramesEndBetweenEvents(t *testing.T) {
	r, err := NewReader(bytes.NewReader(recordCapture(t, 3000)))
	if err != nil {
		t.Fatal(err)
	}
	last, frames := int64(0), 0
	for {
		rec, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if r.Offset() != last {
			if last = r.Offset(); rec.Kind.IsAction() {
				t.Fatalf("a frame begins with %s", rec.String())
			}
			frames++
		}
	}
	if frames < 20 {
		t.Errorf("%d frames, want at least 20", frames)
	}
}
