package store

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func init() {
	// A fixed seed makes the properties deterministic; a flag on the command line overrides it.
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}

var small = Limits{KeyBytes: 8, ValueBytes: 16, TotalBytes: 2000, TxnOps: 4, HistoryEvents: 12, HistoryBytes: 4000,
	Leases: 3, Results: 6, Members: 3}

func drawCommand(t *rapid.T, seq uint64) *Command {
	key := rapid.SampledFrom([]string{"a", "b", "bb", "c", "d", "toolongakey"})
	ops := func(name string) []Op {
		var all []Op
		for i := range rapid.IntRange(0, 5).Draw(t, name) {
			o := Op{Key: key.Draw(t, fmt.Sprint(name, i)), Delete: rapid.Bool().Draw(t, "delete")}
			if !o.Delete {
				o.Value = []byte{byte(seq)}
				o.LeaseID = rapid.Uint64Range(0, 4).Draw(t, "lease") * rapid.Uint64Range(0, 1).Draw(t, "leased")
			} else if rapid.Bool().Draw(t, "range") {
				o.RangeEnd = o.Key + "z"
			}
			all = append(all, o)
		}
		return all
	}
	c := &Command{ID: RequestID{1, seq}, SinceIndex: rapid.Uint64Range(0, seq).Draw(t, "since")}
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		c.GrantLease = &GrantLease{TTLMillis: 1000}
	case 1:
		id := rapid.Uint64Range(1, 6).Draw(t, "end")
		c.RevokeLease = &RevokeLease{LeaseID: id, Expired: rapid.Bool().Draw(t, "silent")}
	case 2:
		c.AddMember = &AddMember{Name: key.Draw(t, "join"), Address: "x"}
	case 3:
		c.RemoveMember = &RemoveMember{MemberID: rapid.Uint64Range(1, 6).Draw(t, "leave")}
	case 4:
		c.RenewLease = &RenewLease{LeaseID: rapid.Uint64Range(1, 6).Draw(t, "renew")}
	default:
		c.Txn = &Txn{Then: ops("then"), Else: ops("else")}
		if rapid.Bool().Draw(t, "if") {
			c.Txn.If = []Compare{{Key: "a", ModRevision: rapid.Uint64Range(0, seq).Draw(t, "modified")}}
		}
	}
	return c
}

func saved(t interface{ Fatal(...any) }, s *State) []byte {
	var b bytes.Buffer
	if err := s.Save(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// A state that was saved and loaded behaves exactly as the original, also with commands that were encoded and decoded.
// A reader of its changes rebuilds it unless they were compacted. A retried request changes nothing.
func TestStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(9, small)
		s.Bootstrap("one", "x", 5)
		seen := map[string]string{}
		var at uint64
		n := rapid.IntRange(1, 60).Draw(t, "commands")
		for i := uint64(1); i <= uint64(n); i++ {
			c := drawCommand(t, i)
			b, err := c.Encode()
			if err != nil {
				t.Fatal(err)
			}
			twin, err := Load(bytes.NewReader(saved(t, s)))
			if err != nil {
				t.Fatal(err)
			}
			again, err := DecodeCommand(b)
			if err != nil {
				t.Fatal(err)
			}
			r, q := s.Apply(i, c), twin.Apply(i, again)
			if r != q {
				t.Fatalf("%+v, and after a load %+v", r, q)
			}
			if !bytes.Equal(saved(t, s), saved(t, twin)) {
				t.Fatal("the loaded state differs after the command")
			}
			if r.Err != nil && !errors.Is(r.Err, ErrRequestExpired) {
				if x := s.Apply(i, c); !x.Duplicate || !errors.Is(x.Err, r.Err) {
					t.Fatalf("retried: %+v, first %+v", x, r)
				}
			}
			size := 0
			s.Range("", "", func(i Item) bool { size += i.size(); return true })
			events, cached := s.history.len(), s.results.ring.len()
			if size != s.Size() || size > small.TotalBytes || events > small.HistoryEvents || cached > small.Results ||
				len(s.results.byID) != cached || len(s.leases) > small.Leases {
				t.Fatalf("size %d, counted %d; %d events, %d results", s.Size(), size, events, cached)
			}
			if rapid.IntRange(0, 3).Draw(t, "follow") > 0 {
				continue
			}
			changes, to, err := s.Changes(nil, "", at, rapid.IntRange(1, 5).Draw(t, "some"))
			var gone *CompactedError
			if errors.As(err, &gone) {
				clear(seen)
				s.Range("", "", func(i Item) bool { seen[i.Key] = string(i.Value); return true })
				at = s.Revision()
				continue
			}
			for _, e := range changes {
				seen[e.Item.Key] = string(e.Item.Value)
				if e.Deleted {
					delete(seen, e.Item.Key)
				}
			}
			at = to
			if to == s.Revision() {
				all := map[string]string{}
				s.Range("", "", func(i Item) bool { all[i.Key] = string(i.Value); return true })
				if d := cmp.Diff(all, seen); d != "" {
					t.Fatal(d)
				}
			}
		}
	})
}

func example(tb testing.TB) []byte {
	tb.Helper()
	s := New(3, small)
	s.Bootstrap("one", "x", 5)
	s.Apply(1, &Command{ID: RequestID{1, 1}, GrantLease: &GrantLease{TTLMillis: 5}})
	puts := []Op{{Key: "a", Value: []byte("v"), LeaseID: 2}, {Key: "b"}}
	s.Apply(2, &Command{ID: RequestID{1, 2}, Txn: &Txn{Then: puts}})
	s.Apply(3, &Command{ID: RequestID{1, 3}, Txn: &Txn{Then: []Op{{Key: "b", Delete: true}}}})
	return saved(tb, s)
}

func TestLoadDetectsTruncationAndBitFlips(t *testing.T) {
	complete := example(t)
	var corrupted *CorruptedError
	for n := range complete {
		if _, err := Load(bytes.NewReader(complete[:n])); !errors.As(err, &corrupted) {
			t.Fatalf("cut at %d: %v", n, err)
		}
		for bit := range 8 {
			b := slices.Clone(complete)
			b[n] ^= 1 << bit
			if _, err := Load(bytes.NewReader(b)); !errors.As(err, &corrupted) {
				t.Fatalf("bit %d of byte %d: %v", bit, n, err)
			}
		}
	}
	if _, err := Load(bytes.NewReader(append(complete, 0))); err == nil {
		t.Fatal("data after the footer was accepted")
	}
}

func TestDecodeCommandRejectsLaterLevels(t *testing.T) {
	b, err := (&Command{GrantLease: &GrantLease{}, Newer: 1}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range [][]byte{b, append([]byte{Level + 1}, b[1:]...)} {
		if _, err := DecodeCommand(x); !errors.Is(err, ErrUnknownCommand) {
			t.Fatal(err)
		}
	}
}

func FuzzLoad(f *testing.F) {
	f.Add(example(f))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Load(bytes.NewReader(b)); err == nil && s.Size() > s.limits.TotalBytes {
			t.Fatal("more than TotalBytes was loaded")
		}
	})
}

func FuzzDecodeCommand(f *testing.F) {
	b, _ := (&Command{ID: RequestID{1, 2}, Txn: &Txn{Then: []Op{{Key: "a", Value: []byte("v")}}}}).Encode()
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		if c, err := DecodeCommand(b); err == nil {
			New(1, small).Apply(1, c)
		}
	})
}

func TestTxnEnforcesKeyLimits(t *testing.T) {
	s := New(1, DefaultLimits)
	s.Bootstrap("a", "a", 1)
	put := func(index uint64, key string, deleted bool) error {
		limits := []KeyLimit{{Prefix: "p/", MaxKeys: 2}}
		return s.Apply(index, &Command{Txn: &Txn{Then: []Op{{Key: key, Delete: deleted}}, KeyLimits: limits}}).Err
	}
	if err := put(1, "p/1", false); !errors.Is(err, ErrLevel) || s.Len() != 0 {
		t.Fatal("before the cluster uses its level:", err)
	}
	if r := s.Apply(2, &Command{RaiseLevel: &RaiseLevel{Level: Level}}); r.Err != nil {
		t.Fatal(r.Err)
	}
	for i, tc := range []struct {
		key     string
		deleted bool
		want    error
	}{
		{"p/1", false, nil},
		{"p/2", false, nil},
		{"p/3", false, ErrFull},
		{"p/2", false, nil},
		{"q", false, nil},
		{"p/1", true, nil},
		{"p/3", false, nil},
	} {
		before := s.Revision()
		err := put(uint64(i+3), tc.key, tc.deleted)
		if !errors.Is(err, tc.want) || (err == nil) != (s.Revision() > before) {
			t.Errorf("%d: %s: %v", i, tc.key, err)
		}
	}
}

// A copy that follows event by event equals the state, and rejects events out of order.
func TestMirroredCopyEqualsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(1, DefaultLimits)
		var events []Event
		s.OnEvent(func(e Event) { events = append(events, e) })
		copied := New(1, DefaultLimits)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			s.Apply(uint64(i+1), drawCommand(t, uint64(i+1)))
		}
		for _, e := range events {
			if err := copied.ApplyEvent(e); err != nil {
				t.Fatal(err)
			}
		}
		list := func(s *State) (all []string) {
			s.Range("", "", func(i Item) bool {
				all = append(all, fmt.Sprintf("%s %q %d %d", i.Key, i.Value, i.ModRevision, i.Version))
				return true
			})
			return all
		}
		want, got := list(s), list(copied)
		if fmt.Sprint(want) != fmt.Sprint(got) || copied.Size() != s.Size() || copied.Revision() != s.Revision() {
			t.Fatalf("%v\n%v, %d and %d bytes", want, got, s.Size(), copied.Size())
		}
		back, err := Load(bytes.NewReader(saved(t, copied)))
		if err != nil || back.Revision() != s.Revision() {
			t.Fatal(err)
		}
		if len(events) > 0 && s.Revision() > 1 {
			if err := copied.ApplyEvent(Event{Revision: 1, Item: Item{Key: "a"}}); !errors.Is(err, ErrOutOfOrder) {
				t.Fatal(err)
			}
		}
	})
}

// A reinitialized state reuses no revision or ID that the old cluster may have assigned, keeps none of its leases, and
// can be seeded with a key that suspends tasks.
func TestReinitializeReusesNoIDs(t *testing.T) {
	s := New(1, DefaultLimits)
	s.Bootstrap("a", "a", 1)
	apply := func(c *Command) Result {
		r := s.Apply(s.Index()+1, c)
		if r.Err != nil {
			t.Fatal(r.Err)
		}
		return r
	}
	apply(&Command{RaiseLevel: &RaiseLevel{Level: Level}})
	own := apply(&Command{GrantLease: &GrantLease{TTLMillis: 5000, Owner: "h"}})
	apply(&Command{Txn: &Txn{Owner: "h", Then: []Op{{Key: "k", LeaseID: own.LeaseID}}}})
	for _, c := range []*Command{
		{RenewLease: &RenewLease{LeaseID: own.LeaseID, Owner: "x"}},
		{RenewLease: &RenewLease{LeaseID: own.LeaseID}},
		{RevokeLease: &RevokeLease{LeaseID: own.LeaseID, Owner: "x"}},
		{Txn: &Txn{Owner: "x", Then: []Op{{Key: "j", LeaseID: own.LeaseID}}}},
	} {
		if r := s.Apply(s.Index()+1, c); !errors.Is(r.Err, ErrLeaseNotFound) {
			t.Errorf("lease of another owner: %v", r.Err)
		}
	}
	before, last := s.Revision(), s.LastID()
	s.Reinitialize(2, before+1_000_000)
	s.Seed("hold", nil, 60_000)
	if _, there := s.Get("k"); there || s.Revision() <= before+1_000_000 || s.LastID() <= last+1_000_000-1 {
		t.Errorf("revision %d, last id %d", s.Revision(), s.LastID())
	}
	s.Bootstrap("b", "b", 2)
	var b bytes.Buffer
	if err := s.Save(&b); err != nil {
		t.Fatal(err)
	}
	again, err := Load(&b)
	if err != nil {
		t.Fatal(err)
	}
	if _, there := again.Get("hold"); !there || len(again.Leases()) != 1 || again.Revision() != s.Revision() {
		t.Errorf("after a save: %d leases, revision %d", len(again.Leases()), again.Revision())
	}
	if r := again.Apply(1, &Command{Txn: &Txn{Then: []Op{{Key: "n"}}}}); r.Revision <= s.Revision() {
		t.Errorf("revision %d after %d", r.Revision, s.Revision())
	}
}
