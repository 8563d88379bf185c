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

func settings() balancer.Settings {
	return balancer.Settings{Balancers: 2,
		Classes:  []balancer.Class{{Name: "look", LatencyObjective: 400_000, Timeout: 1_000_000, PriorityWeight: 1}},
		Fields:   []balancer.Field{balancer.FieldInflight},
		Limits:   balancer.Limits{Probes: true, Cancel: true, MaxAttempts: 3, MaxOpen: 1000},
		Contract: balancer.Contract{InitialCapacity: 0.2, SlowStartDuration: 1_000_000, OverloadMultiple: 2},
		Prices:   balancer.Prices{Probe: 1000}}
}

const began = 1_700_000_000_000_000

// recorder returns one over a started module of three servers.
func recorder(tb testing.TB, sink Sink, every balancer.Micros) *Recorder {
	tb.Helper()
	name := func(id uint32) string { return fmt.Sprint("s-", id) }
	begin := func(out balancer.Actions) (*balancer.Balancer, error) { return balancer.New(settings(), 7, out) }
	o := Options{Sidecar: "n0", SegmentInterval: every, Sink: sink, EndpointName: name}
	r, err := New(o, balancer.NoActions{}, begin)
	if err != nil {
		tb.Fatal(err)
	}
	r.Start(began)
	r.UpdateEndpoints(began, balancer.ListFull, []balancer.Endpoint{{ID: 1}, {ID: 2}, {ID: 3}})
	return r
}

// live has n requests come and go, a millisecond apart, and returns the instant of the last.
func live(r *Recorder, from uint64, n int) {
	for id := from; id < from+uint64(n); id++ {
		now := began + balancer.Micros(id)*1000
		r.Request(now, balancer.Request{ID: id, Key: 0xdead, Deadline: now + 500_000, Hint: 900, HasHint: id%2 == 0})
		for e := uint32(1); e <= 3; e++ {
			r.Outcome(now+500, balancer.Outcome{ID: id, Endpoint: e, Latency: 500, Answered: true, Load: []float32{2}})
		}
	}
}

func config(dir string) Config {
	return Config{Dir: dir, Name: "c", MaxBytes: 1 << 20, MaxFileBytes: 1 << 19, MaxFileAge: time.Hour,
		QueueLength: 8, RetryDelay: time.Second, Log: slog.New(slog.DiscardHandler), BlockWhenFull: true}
}

// capture returns the bytes of a small capture.
func captured(tb testing.TB, n int) []byte {
	tb.Helper()
	dir := tb.TempDir()
	w, err := Create(config(dir))
	if err != nil {
		tb.Fatal(err)
	}
	r := recorder(tb, w, 5_000)
	live(r, 1, n)
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

// read returns all records up to the first fault.
func read(data []byte) (list []Record, err error) {
	r, err := NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	for {
		x, err := r.Next()
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return list, err
		}
		list = append(list, x)
	}
}

func kindsOf(list []Record) map[Kind]int {
	n := map[Kind]int{}
	for _, x := range list {
		n[x.Kind]++
	}
	return n
}

func TestRecorderRecordsEventsAndActions(t *testing.T) {
	list, err := read(captured(t, 40))
	if err != nil {
		t.Fatal(err)
	}
	n := kindsOf(list)
	if n[KindRequest] != 40 || n[KindOutcome] != 120 || n[KindSend] != 40 || n[KindSnapshot] < 2 ||
		n[KindUpdateEndpoints] != 1 || n[KindGap] != 0 {
		t.Errorf("recorded %v", n)
	}
	if list[0].Kind != KindSnapshot || list[0].Flag {
		t.Errorf("it begins with %v", list[0].String())
	}
	for _, x := range list {
		if x.Request.Key != 0 {
			t.Fatal("a key was recorded")
		}
		if x.Kind == KindUpdateEndpoints && x.Names[2] != "s-3" {
			t.Errorf("names %v", x.Names)
		}
	}
}

// Of a file that is cut anywhere, all complete frames before the cut are read, and the rest is reported.
func TestReaderReadsAllFramesBeforeACut(t *testing.T) {
	data := captured(t, 10)
	whole, err := read(data)
	if err != nil {
		t.Fatal(err)
	}
	last := 0
	for n := range data {
		list, err := read(data[:n])
		if bad := (*Error)(nil); err != nil && (!errors.As(err, &bad) || !bad.Truncated) {
			t.Fatalf("cut at %d: %v", n, err)
		} else if err == nil && len(list) == len(whole) {
			t.Fatalf("cut at %d: all is there", n)
		}
		if len(list) < last {
			t.Fatalf("cut at %d: %d records, fewer than before", n, len(list))
		}
		if last == len(list) {
			continue
		}
		if last = len(list); !cmp.Equal(list, whole[:last]) {
			t.Fatalf("cut at %d: other records", n)
		}
	}
	if last == 0 {
		t.Error("no cut left anything")
	}
}

// A flipped bit anywhere is detected, and nothing but the records before its frame is returned.
func TestReaderDetectsEveryFlippedBit(t *testing.T) {
	data := captured(t, 3)
	whole, _ := read(data)
	for at := range 8 * len(data) {
		data[at/8] ^= 1 << (at % 8)
		list, err := read(data)
		if err == nil || len(list) >= len(whole) || !cmp.Equal(list, whole[:len(list)]) && len(list) > 0 {
			t.Fatalf("bit %d flipped: %d records, %v", at, len(list), err)
		}
		data[at/8] ^= 1 << (at % 8)
	}
}

func TestWriterKeepsFilesUnderTheBudget(t *testing.T) {
	dir := t.TempDir()
	c := config(dir)
	c.MaxFileBytes, c.MaxBytes = 4<<10, 20<<10
	other := filepath.Join(dir, "other-1.capture")
	if err := os.WriteFile(other, make([]byte, 99), 0o600); err != nil {
		t.Fatal(err)
	}
	w, err := Create(c)
	if err != nil {
		t.Fatal(err)
	}
	r := recorder(t, w, 10_000)
	live(r, 1, 3000)
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
		list, err := read(data)
		if err != nil || list[0].Kind != KindSnapshot {
			t.Errorf("%s does not stand alone: %v %s", f, err, list[0].String())
		}
	}
	// A file ends with the segment that fills it: each may be over by one segment.
	if made := w.Counts.Files.Load(); made < 10 || len(files) >= int(made) || total > c.MaxBytes+c.MaxFileBytes {
		t.Errorf("%d files made, %d left with %d bytes", made, len(files), total)
	}
	if _, err := os.Stat(other); err != nil {
		t.Error("another's file was removed:", err)
	}
}

// fullDisk takes so many bytes, and then no more until it is emptied.
type fullDisk struct {
	room  *int
	files *[]*bytes.Buffer
	b     *bytes.Buffer
}

var errFull = errors.New("no space left on device")

func (f fullDisk) Write(p []byte) (int, error) {
	n := min(len(p), *f.room)
	*f.room -= n
	f.b.Write(p[:n])
	if n < len(p) {
		return n, errFull
	}
	return n, nil
}
func (f fullDisk) Truncate(size int64) error { f.b.Truncate(int(size)); return nil }
func (f fullDisk) Close() error              { return nil }

// When the disk is full a complete stretch is missing, marked and counted, and what is there can be read.
func TestFullDiskLeavesARecordedGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		room, files := 20_000, []*bytes.Buffer{}
		c := config(t.TempDir())
		c.BlockWhenFull = false
		c.create = func(string) (file, error) {
			b := &bytes.Buffer{}
			files = append(files, b)
			return fullDisk{&room, &files, b}, nil
		}
		w, err := Create(c)
		if err != nil {
			t.Fatal(err)
		}
		r := recorder(t, w, 1_000_000)
		for i := range 40 {
			live(r, uint64(1+250*i), 250)
			synctest.Wait() // the disk is as fast as may be
		}
		if w.Counts.Lost.Load() == 0 || w.Ready() {
			t.Fatal("the disk is not full")
		}
		room = 1 << 20
		time.Sleep(c.RetryDelay + 1)
		synctest.Wait()
		live(r, 20_000, 250)
		r.Close()
		w.Close()
		if len(files) != 2 {
			t.Fatalf("%d files", len(files))
		}
		first, err := read(files[0].Bytes())
		if err != nil || len(first) == 0 {
			t.Errorf("before the gap: %d records, %v", len(first), err)
		}
		after, err := read(files[1].Bytes())
		if err != nil || after[0].Kind != KindGap || after[0].Count == 0 || after[1].Kind != KindSnapshot || after[1].Flag {
			t.Errorf("after the gap: %v, %v", after[0].String(), err)
		}
		n, m := kindsOf(first), kindsOf(after)
		if got := n[KindRequest] + m[KindRequest]; got >= 40*250+250 || m[KindRequest] != 250 {
			t.Errorf("%d requests recorded, %d of them after", got, m[KindRequest])
		}
	})
}

// slowDisk writes nothing until it is let.
type slowDisk struct{ let chan struct{} }

func (s slowDisk) Write(p []byte) (int, error) { <-s.let; return len(p), nil }
func (slowDisk) Truncate(int64) error          { return nil }
func (slowDisk) Close() error                  { return nil }

// A disk that hangs holds up nothing: the queue fills, and the rest is dropped.
func TestSlowDiskDoesNotBlockTheRecorder(t *testing.T) {
	c := config(t.TempDir())
	c.BlockWhenFull, c.QueueLength = false, 4
	let := make(chan struct{})
	c.create = func(string) (file, error) { return slowDisk{let}, nil }
	w, err := Create(c)
	if err != nil {
		t.Fatal(err)
	}
	r := recorder(t, w, 1_000_000)
	live(r, 1, 20_000) // would never return if it waited
	if w.Counts.Lost.Load() == 0 {
		t.Error("nothing was dropped")
	}
	close(let)
	r.Close()
	w.Close()
}

func FuzzReader(f *testing.F) {
	f.Add(captured(f, 5))
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = read(data) }) // any error will do: it must not panic
}

// The records of a frame, behind a checksum that holds.
func FuzzRecords(f *testing.F) {
	list, err := read(captured(f, 5))
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
		for p.at < len(p.in) {
			x := p.next(0)
			if p.err != nil {
				return
			}
			if back := (&parser{in: x.append(nil, 0)}).next(0); !bytes.Equal(back.Bytes(), x.Bytes()) {
				t.Fatalf("%s became %s", x.String(), back.String())
			}
		}
	})
}

// What recording costs the loop, by record.
func BenchmarkRecord(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("recorded=", on), func(b *testing.B) {
			c := config(b.TempDir())
			c.MaxFileBytes, c.MaxBytes = 64<<20, 256<<20
			w, err := Create(c)
			if err != nil {
				b.Fatal(err)
			}
			r := recorder(b, w, 60_000_000)
			r.closed = !on
			id := uint64(1)
			for b.Loop() {
				live(r, id, 1)
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
	w, err := Create(config(dir))
	if err != nil {
		t.Fatal(err)
	}
	r := recorder(t, w, 1_000_000)
	old := r.Rules()
	next := settings()
	next.Classes[0].Name = "other"
	if _, err := r.Reload(began+1, next); err != nil {
		t.Fatal(err)
	}
	r.Request(began+2, balancer.Request{ID: 1, Deadline: began + 1000, Rules: old})
	r.Request(began+3, balancer.Request{ID: 2, Deadline: began + 1000, Rules: r.Rules()})
	r.Close()
	w.Close()
	files, _ := Files(dir, "")
	data, _ := os.ReadFile(files[0])
	list, err := read(data)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		var s balancer.RulesState
		switch {
		case x.Kind == KindRequest && x.Request.ID == 1:
			if err := snapshot.Unmarshal(x.Rules, &s); err != nil || s.Settings.Classes[0].Name != "look" {
				t.Errorf("rules %+v, %v", s, err)
			}
		case x.Kind == KindRequest && x.Rules != nil:
			t.Error("the present rules were recorded")
		}
	}
}

func TestReaderRejectsForeignFiles(t *testing.T) {
	for data, want := range map[string]string{"": "cut", "{\"a\": 1}....": "foreign", "BMcapt\x00\x09": "version 9"} {
		if _, err := NewReader(strings.NewReader(data)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", data, err)
		}
	}
}

// A frame begins with an event, never with the answers to one: a process that is killed leaves none without them.
func TestFramesEndBetweenEvents(t *testing.T) {
	r, err := NewReader(bytes.NewReader(captured(t, 3000)))
	if err != nil {
		t.Fatal(err)
	}
	last, frames := int64(0), 0
	for {
		x, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		if r.Offset() != last {
			if last = r.Offset(); x.Kind.IsAction() {
				t.Fatalf("a frame begins with %s", x.String())
			}
			frames++
		}
	}
	if frames < 20 {
		t.Errorf("%d frames", frames)
	}
}
