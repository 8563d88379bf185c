package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"birchmoor/balancer"
)

// newSaved returns what a sidecar with n endpoints knows, with requests under way.
func newSaved(t testing.TB, n int) *Saved {
	t.Helper()
	b, err := balancer.New(balancer.Settings{Balancers: 2, Classes: []balancer.Class{
		{Name: "look", LatencyObjective: 400_000, Timeout: 1_000_000, PriorityWeight: 1}}, Fields: []balancer.Field{balancer.FieldInflight},
		Limits:   balancer.Limits{Probes: true, MaxAttempts: 3, MaxOpen: 1000},
		Contract: balancer.Contract{InitialCapacity: 0.2, SlowStartDuration: 1_000_000, OverloadMultiple: 2}}, 5, balancer.NoActions{})
	if err != nil {
		t.Fatal(err)
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
		for e := range uint32(n) {
			if i%5 > 0 {
				b.Outcome(now+300, balancer.Outcome{ID: i + 1, Endpoint: e + 1, Status: balancer.Status(i % 2), Latency: 300})
				break
			}
		}
	}
	k.State = b.Snapshot(now+1000, true)
	return k
}

func encoded(t testing.TB, k *Saved) []byte {
	t.Helper()
	data, err := Encode(k)
	if err != nil {
		t.Fatal(err)
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
		t.Fatalf("not what was written:\n%s", diff)
	}
	if !bytes.Equal(data, encoded(t, back)) {
		t.Error("written again it has other bytes")
	}
	if _, err := balancer.Resume(back.State, balancer.NoActions{}); err != nil {
		t.Error(err)
	}
}

// Every cut and every flipped bit is found.
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
		t.Error("a byte more is not found")
	}
}

// encodeBody gives a body a head that holds.
func encodeBody(version uint32, body []byte) []byte {
	out := append([]byte(magic), make([]byte, 12)...)
	binary.BigEndian.PutUint32(out[4:], version)
	binary.BigEndian.PutUint32(out[8:], uint32(len(body)))
	binary.BigEndian.PutUint32(out[12:], Checksum(out[:12], body))
	return append(out, body...)
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
		{encodeBody(Version+1, whole[headSize:]), "byte 4: newer: of version 2"},
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
		{Clock{WallMicros: 1_000_003_210, BootID: "x", UptimeMicros: 50_000_000}, 3_210},              // finer than the grain
		{Clock{WallMicros: 1_000_000_000 + 3600e6, BootID: "x", UptimeMicros: 52_000_000}, 2_000_000}, // set forward
		{Clock{WallMicros: 0, BootID: "x", UptimeMicros: 52_000_000}, 2_000_000},                      // set back
		{Clock{WallMicros: 1_000_500_000, BootID: "y", UptimeMicros: 1}, 500_000},                     // the machine started again
		{Clock{WallMicros: 0}, -1_000_000_000},                                                        // nothing else to go by
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
		t.Error("nothing is kept:", k, err)
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
	os.WriteFile(f.Path+".77", []byte("half"), 0o600) // of a process that was killed
	if _, err := f.Load(); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(f.Path + ".77"); err == nil {
		t.Error("what a killed process left stays for ever")
	}
	os.WriteFile(f.Path, []byte("BMsn"), 0o600)
	if k, err := f.Load(); k != nil || err == nil || !strings.Contains(err.Error(), f.Path) {
		t.Errorf("a cut file: %v", err)
	}
	if err := (File{filepath.Join(dir, "no", "known")}).Save(nil); err == nil {
		t.Error("saved where nothing is")
	}
	if err := (File{}).Save(nil); err != nil {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	whole := encoded(f, newSaved(f, 2))
	f.Add(whole[headSize:])
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		// The checksum would keep nearly all away from what is to be tried.
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

// The time and size of a snapshot, by the number of endpoints. Only "take" holds the loop.
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
