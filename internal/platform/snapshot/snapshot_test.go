package snapshot

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"birchmoor/balancer"
)

// newSaved returns the snapshot of a sidecar with the given number of endpoints and with requests in flight.
func newSaved(tb testing.TB, endpoints int) *Saved {
	tb.Helper()
	settings := balancer.Settings{
		Balancers: 2,
		Classes:   []balancer.Class{{Name: "look", LatencyObjective: 400_000, Timeout: 1_000_000, PriorityWeight: 1}},
		Fields:    []balancer.Field{balancer.FieldInflight},
		Limits:    balancer.Limits{Probes: true, MaxAttempts: 3, MaxOpen: 1000},
		Contract:  balancer.Contract{InitialCapacity: 0.2, SlowStartDuration: 1_000_000, OverloadMultiple: 2},
	}
	b, err := balancer.New(settings, 5, balancer.NoActions{})
	if err != nil {
		tb.Fatal(err)
	}
	now := balancer.Micros(1_700_000_000_000_000)
	b.Start(now)
	list := make([]balancer.Endpoint, endpoints)
	saved := &Saved{Sidecar: "n3", Clock: Clock{WallMicros: now, BootID: "b", UptimeMicros: 77}}
	for i := range list {
		list[i] = balancer.Endpoint{ID: uint32(i + 1), Weight: 1}
		saved.Names = append(saved.Names, fmt.Sprint("s-", i))
	}
	b.UpdateEndpoints(now, balancer.ListFull, list)
	for i := range uint64(3 * endpoints) {
		now += 500
		b.Request(now, balancer.Request{ID: i + 1, Deadline: now + 1_000_000})
		b.ProbeCompleted(now, uint32(i)%uint32(endpoints)+1, balancer.OK, 900, []float32{1})
		if i%5 > 0 {
			outcome := balancer.Outcome{ID: i + 1, Endpoint: 1, Status: balancer.Status(i % 2), Latency: 300}
			b.Outcome(now+300, outcome)
		}
	}
	saved.State = b.Snapshot(now+1000, true)
	return saved
}

func mustEncode(tb testing.TB, saved *Saved) []byte {
	tb.Helper()
	data, err := Encode(saved)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

func TestDecodeReturnsWhatEncodeWrote(t *testing.T) {
	saved := newSaved(t, 6)
	data := mustEncode(t, saved)
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(saved, decoded); diff != "" {
		t.Fatalf("the decoded snapshot differs from the encoded one:\n%s", diff)
	}
	if !bytes.Equal(data, mustEncode(t, decoded)) {
		t.Error("encoding the decoded snapshot gives other bytes")
	}
	if _, err := balancer.Resume(decoded.State, balancer.NoActions{}); err != nil {
		t.Error(err)
	}
}

// Decode detects every truncation, every flipped bit and an additional byte.
func TestDecodeRejectsTruncationAndFlippedBits(t *testing.T) {
	data := mustEncode(t, newSaved(t, 2))
	for length := range data {
		if _, err := Decode(data[:length]); err == nil || !strings.Contains(err.Error(), "cut") {
			t.Fatalf("data truncated to %d bytes: error %v, want one with \"cut\"", length, err)
		}
	}
	for bit := range 8 * len(data) {
		data[bit/8] ^= 1 << (bit % 8)
		if saved, err := Decode(data); err == nil || saved != nil {
			t.Fatalf("bit %d flipped: the snapshot was decoded, error %v", bit, err)
		}
		data[bit/8] ^= 1 << (bit % 8)
	}
	if _, err := Decode(append(data, 0)); err == nil {
		t.Error("a byte after the body was not detected")
	}
}

func TestDecodeErrorNamesOffsetAndReason(t *testing.T) {
	validData := mustEncode(t, newSaved(t, 2))
	duplicateName := newSaved(t, 2)
	duplicateName.Names[1] = duplicateName.Names[0]
	for _, c := range []struct {
		data []byte
		want string
	}{
		{nil, "byte 0: cut"},
		{[]byte("{\"bans\": [\"s-1\"]}\n"), "byte 0: foreign"},
		{encodeBody(Version+1, validData[headerBytes:]), "byte 4: newer: of version 2"},
		{encodeBody(0, nil), "byte 4: damaged"},
		{encodeBody(Version, []byte{0xa1, 0x18, 99, 0}), "not readable"},      // unknown key
		{encodeBody(Version, []byte{0xa2, 1, 0x60, 1, 0x60}), "not readable"}, // repeated key
		{encodeBody(Version, []byte{0xbf, 0xff}), "not readable"},             // indefinite length
		{encodeBody(Version, []byte{0xa0}), "no state"},
		{mustEncode(t, duplicateName), "there twice"},
	} {
		_, err := Decode(c.data)
		var snapshotErr *Error
		if !errors.As(err, &snapshotErr) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("data that begins %.12q: error %v, want one with %q", c.data, err, c.want)
		}
	}
}

func TestRenumberGivesUnknownNamesUnusedNumbers(t *testing.T) {
	saved := newSaved(t, 3)
	saved.Renumber(func(name, _ string) (uint32, bool) { return 1, name == "s-2" })
	if endpoints := saved.State.Endpoints; endpoints[2].ID != 1 || endpoints[0].ID == endpoints[1].ID ||
		endpoints[0].ID < 1<<31 {
		t.Errorf("endpoints renumbered to %d, %d, %d; want two unused numbers and 1",
			endpoints[0].ID, endpoints[1].ID, endpoints[2].ID)
	}
	if _, err := balancer.Resume(saved.State, balancer.NoActions{}); err != nil {
		t.Error(err)
	}
}

func TestSinceIgnoresChangesOfWallClock(t *testing.T) {
	earlier := Clock{WallMicros: 1_000_000_000, BootID: "x", UptimeMicros: 50_000_000}
	for _, c := range []struct {
		now  Clock
		want int64
	}{
		// Both clocks agree, and the difference is below the uptime's resolution.
		{Clock{WallMicros: 1_000_003_210, BootID: "x", UptimeMicros: 50_000_000}, 3_210},
		// The wall clock was set forward.
		{Clock{WallMicros: 1_000_000_000 + 3600e6, BootID: "x", UptimeMicros: 52_000_000}, 2_000_000},
		// The wall clock was set back.
		{Clock{WallMicros: 0, BootID: "x", UptimeMicros: 52_000_000}, 2_000_000},
		// The host has rebooted.
		{Clock{WallMicros: 1_000_500_000, BootID: "y", UptimeMicros: 1}, 500_000},
		// The boot ID is unknown.
		{Clock{WallMicros: 0}, -1_000_000_000},
	} {
		if got := c.now.Since(earlier); got != c.want {
			t.Errorf("time from the earlier instant to %+v: %d µs, want %d", c.now, got, c.want)
		}
	}
	if now := ReadClock(); now.WallMicros == 0 || now.Since(now) != 0 {
		t.Errorf("ReadClock returned %+v", now)
	}
}

func TestSaveReplacesFileAtomically(t *testing.T) {
	dir := t.TempDir()
	f := File{filepath.Join(dir, "known")}
	if saved, err := f.Load(); saved != nil || err != nil {
		t.Error("load without a file:", saved, err)
	}
	for _, endpoints := range []int{4, 1} {
		if err := f.Save(mustEncode(t, newSaved(t, endpoints))); err != nil {
			t.Fatal(err)
		}
		if saved, err := f.Load(); err != nil || len(saved.Names) != endpoints {
			t.Error(saved, err)
		}
	}
	if files, _ := os.ReadDir(dir); len(files) != 1 {
		t.Errorf("%d files after two saves, want 1", len(files))
	}
	if err := os.WriteFile(f.Path+".77", []byte("half"), 0o600); err != nil { // temporary file of a killed process
		t.Fatal(err)
	}
	if _, err := f.Load(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(f.Path + ".77"); err == nil {
		t.Error("Load did not remove the temporary file of a killed process")
	}
	if err := os.WriteFile(f.Path, []byte("BMsn"), 0o600); err != nil {
		t.Fatal(err)
	}
	if saved, err := f.Load(); saved != nil || err == nil || !strings.Contains(err.Error(), f.Path) {
		t.Errorf("load of a truncated file: error %v, want one that names the file", err)
	}
	if err := (File{filepath.Join(dir, "no", "known")}).Save(nil); err == nil {
		t.Error("Save succeeded in a directory that does not exist")
	}
	if err := (File{}).Save(nil); err != nil {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	data := mustEncode(f, newSaved(f, 2))
	f.Add(data[headerBytes:])
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, body []byte) {
		// The header gets the right checksum: else Decode would reject nearly all inputs before decoding the body.
		saved, err := Decode(encodeBody(Version, body))
		if err != nil {
			return
		}
		module, err := balancer.Resume(saved.State, balancer.NoActions{})
		if err != nil {
			return
		}
		now := saved.State.At
		module.UpdateEndpoints(now, balancer.ListFull, []balancer.Endpoint{{ID: 1}, {ID: 2}})
		module.Request(now, balancer.Request{ID: 1 << 60, Deadline: now + 1000})
		module.Timer(now, 0)
		module.Snapshot(now, true)
	})
}

// BenchmarkSnapshot measures how long a snapshot takes and how large it is, by the number of endpoints. Only taking a
// snapshot runs on the event loop; encoding does not.
func BenchmarkSnapshot(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1000} {
		saved := newSaved(b, endpoints)
		module, err := balancer.Resume(saved.State, balancer.NoActions{})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("take/", endpoints), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				saved.State = module.Snapshot(saved.State.At, false)
			}
		})
		b.Run(fmt.Sprint("encode/", endpoints), func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = len(mustEncode(b, saved))
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
