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

// newSaved returns the snapshot of a sidecar with n endpoints and requests in flight.
func newSaved(tb testing.TB, n int) *Saved {
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
	list := make([]balancer.Endpoint, n)
	k := &Saved{Sidecar: "n3", Clock: Clock{WallMicros: now, BootID: "b", UptimeMicros: 77}}
	for i := range list {
		list[i] = balancer.Endpoint{ID: uint32(i + 1), Weight: 1}
		k.Names = append(k.Names, fmt.Sprint("s-", i))
	}
	b.UpdateEndpoints(now, balancer.ListFull, list)
	for i := range uint64(3 * n) {
		now += 500
		b.Request(now, balancer.Request{ID: i + 1, Deadline: now + 1_000_000})
		b.ProbeCompleted(now, uint32(i)%uint32(n)+1, balancer.OK, 900, []float32{1})
		if i%5 > 0 {
			outcome := balancer.Outcome{ID: i + 1, Endpoint: 1, Status: balancer.Status(i % 2), Latency: 300}
			b.Outcome(now+300, outcome)
		}
	}
	k.State = b.Snapshot(now+1000, true)
	return k
}

func encoded(tb testing.TB, k *Saved) []byte {
	tb.Helper()
	data, err := Encode(k)
	if err != nil {
		tb.Fatal(err)
	}
	return data
}

func TestDecodeReturnsWhatEncodeWrote(t *testing.T) {
	k := newSaved(t, 6)
	data := encoded(t, k)
	back, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(k, back); diff != "" {
		t.Fatalf("decoded other than encoded:\n%s", diff)
	}
	if !bytes.Equal(data, encoded(t, back)) {
		t.Error("encoded again it has other bytes")
	}
	if _, err := balancer.Resume(back.State, balancer.NoActions{}); err != nil {
		t.Error(err)
	}
}

// Every truncation and every flipped bit is detected.
func TestDecodeRejectsCutsAndFlippedBits(t *testing.T) {
	data := encoded(t, newSaved(t, 2))
	for n := range data {
		if _, err := Decode(data[:n]); err == nil || !strings.Contains(err.Error(), "cut") {
			t.Fatalf("cut at %d: %v", n, err)
		}
	}
	for at := range 8 * len(data) {
		data[at/8] ^= 1 << (at % 8)
		if k, err := Decode(data); err == nil || k != nil {
			t.Fatalf("bit %d flipped: %v", at, err)
		}
		data[at/8] ^= 1 << (at % 8)
	}
	if _, err := Decode(append(data, 0)); err == nil {
		t.Error("an additional byte is not detected")
	}
}

func TestDecodeErrorNamesOffsetAndReason(t *testing.T) {
	whole := encoded(t, newSaved(t, 2))
	twice := newSaved(t, 2)
	twice.Names[1] = twice.Names[0]
	for _, c := range []struct {
		data []byte
		want string
	}{
		{nil, "byte 0: cut"},
		{[]byte("{\"bans\": [\"s-1\"]}\n"), "byte 0: foreign"},
		{encodeBody(Version+1, whole[headerBytes:]), "byte 4: newer: of version 2"},
		{encodeBody(0, nil), "byte 4: damaged"},
		{encodeBody(Version, []byte{0xa1, 0x18, 99, 0}), "not readable"},      // a key that is not known
		{encodeBody(Version, []byte{0xa2, 1, 0x60, 1, 0x60}), "not readable"}, // a key twice
		{encodeBody(Version, []byte{0xbf, 0xff}), "not readable"},             // of open length
		{encodeBody(Version, []byte{0xa0}), "no state"},
		{encoded(t, twice), "there twice"},
	} {
		_, err := Decode(c.data)
		var bad *Error
		if !errors.As(err, &bad) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%.12q: %v, want %s", c.data, err, c.want)
		}
	}
}

func TestRenumberGivesUnknownNamesUnusedNumbers(t *testing.T) {
	k := newSaved(t, 3)
	k.Renumber(func(name, _ string) (uint32, bool) { return 1, name == "s-2" })
	if s := k.State.Endpoints; s[2].ID != 1 || s[0].ID == s[1].ID || s[0].ID < 1<<31 {
		t.Errorf("numbers %d %d %d", s[0].ID, s[1].ID, s[2].ID)
	}
	if _, err := balancer.Resume(k.State, balancer.NoActions{}); err != nil {
		t.Error(err)
	}
}

func TestSinceIgnoresChangesOfWallClock(t *testing.T) {
	then := Clock{WallMicros: 1_000_000_000, BootID: "x", UptimeMicros: 50_000_000}
	for _, c := range []struct {
		now  Clock
		want int64
	}{
		// finer than the resolution.
		{Clock{WallMicros: 1_000_003_210, BootID: "x", UptimeMicros: 50_000_000}, 3_210},
		// set forward.
		{Clock{WallMicros: 1_000_000_000 + 3600e6, BootID: "x", UptimeMicros: 52_000_000}, 2_000_000},
		// set back.
		{Clock{WallMicros: 0, BootID: "x", UptimeMicros: 52_000_000}, 2_000_000},
		// the machine rebooted.
		{Clock{WallMicros: 1_000_500_000, BootID: "y", UptimeMicros: 1}, 500_000},
		// no boot id.
		{Clock{WallMicros: 0}, -1_000_000_000},
	} {
		if got := c.now.Since(then); got != c.want {
			t.Errorf("%+v: %d, want %d", c.now, got, c.want)
		}
	}
	if now := ReadClock(); now.WallMicros == 0 || now.Since(now) != 0 {
		t.Errorf("now is %+v", now)
	}
}

func TestSaveReplacesFileAtomically(t *testing.T) {
	dir := t.TempDir()
	f := File{filepath.Join(dir, "known")}
	if k, err := f.Load(); k != nil || err != nil {
		t.Error("without a file:", k, err)
	}
	for _, n := range []int{4, 1} {
		if err := f.Save(encoded(t, newSaved(t, n))); err != nil {
			t.Fatal(err)
		}
		if k, err := f.Load(); err != nil || len(k.Names) != n {
			t.Error(k, err)
		}
	}
	if left, _ := os.ReadDir(dir); len(left) != 1 {
		t.Errorf("%d files are left", len(left))
	}
	if err := os.WriteFile(f.Path+".77", []byte("half"), 0o600); err != nil { // of a process that was killed
		t.Fatal(err)
	}
	if _, err := f.Load(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(f.Path + ".77"); err == nil {
		t.Error("the file of a killed process is not removed")
	}
	if err := os.WriteFile(f.Path, []byte("BMsn"), 0o600); err != nil {
		t.Fatal(err)
	}
	if k, err := f.Load(); k != nil || err == nil || !strings.Contains(err.Error(), f.Path) {
		t.Errorf("a truncated file: %v", err)
	}
	if err := (File{filepath.Join(dir, "no", "known")}).Save(nil); err == nil {
		t.Error("saved in a directory that does not exist")
	}
	if err := (File{}).Save(nil); err != nil {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	whole := encoded(f, newSaved(f, 2))
	f.Add(whole[headerBytes:])
	f.Add([]byte{0xa0})
	f.Fuzz(func(_ *testing.T, body []byte) {
		// The right checksum, or else next to no input would reach what is under test.
		k, err := Decode(encodeBody(Version, body))
		if err != nil {
			return
		}
		b, err := balancer.Resume(k.State, balancer.NoActions{})
		if err != nil {
			return
		}
		now := k.State.At
		b.UpdateEndpoints(now, balancer.ListFull, []balancer.Endpoint{{ID: 1}, {ID: 2}})
		b.Request(now, balancer.Request{ID: 1 << 60, Deadline: now + 1000})
		b.Timer(now, 0)
		b.Snapshot(now, true)
	})
}

// BenchmarkSnapshot measures time and size of a snapshot by the number of endpoints. Only "take" runs on the event
// loop.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		k := newSaved(b, n)
		m, err := balancer.Resume(k.State, balancer.NoActions{})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("take/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				k.State = m.Snapshot(k.State.At, false)
			}
		})
		b.Run(fmt.Sprint("encode/", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = len(encoded(b, k))
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
