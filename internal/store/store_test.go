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
	// A fixed seed makes the property tests deterministic. The flag -rapid.seed on the command line overrides it.
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}

// smallLimits are low enough for drawn commands to reach most of them.
var smallLimits = Limits{
	KeyBytes: 8, ValueBytes: 16, TotalBytes: 2000, TxnOps: 4, HistoryEvents: 12, HistoryBytes: 4000,
	Leases: 3, Results: 6, Members: 3,
}

// drawCommand draws a command, valid or not, for request seq of client 1.
func drawCommand(t *rapid.T, seq uint64) *Command {
	key := rapid.SampledFrom([]string{"a", "b", "bb", "c", "d", "toolongakey"})
	ops := func(name string) []Op {
		var drawn []Op
		for i := range rapid.IntRange(0, 5).Draw(t, name) {
			op := Op{Key: key.Draw(t, fmt.Sprint(name, i)), Delete: rapid.Bool().Draw(t, "delete")}
			if !op.Delete {
				op.Value = []byte{byte(seq)}
				op.LeaseID = rapid.Uint64Range(0, 4).Draw(t, "lease") * rapid.Uint64Range(0, 1).Draw(t, "leased")
			} else if rapid.Bool().Draw(t, "range") {
				op.RangeEnd = op.Key + "z"
			}
			drawn = append(drawn, op)
		}
		return drawn
	}
	command := &Command{ID: RequestID{1, seq}, SinceIndex: rapid.Uint64Range(0, seq).Draw(t, "since")}
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		command.GrantLease = &GrantLease{TTLMillis: 1000}
	case 1:
		id := rapid.Uint64Range(1, 6).Draw(t, "end")
		command.RevokeLease = &RevokeLease{LeaseID: id, Expired: rapid.Bool().Draw(t, "silent")}
	case 2:
		command.AddMember = &AddMember{Name: key.Draw(t, "join"), Address: "x"}
	case 3:
		command.RemoveMember = &RemoveMember{MemberID: rapid.Uint64Range(1, 6).Draw(t, "leave")}
	case 4:
		command.RenewLease = &RenewLease{LeaseID: rapid.Uint64Range(1, 6).Draw(t, "renew")}
	default:
		command.Txn = &Txn{Then: ops("then"), Else: ops("else")}
		if rapid.Bool().Draw(t, "if") {
			command.Txn.If = []Compare{{Key: "a", ModRevision: rapid.Uint64Range(0, seq).Draw(t, "modified")}}
		}
	}
	return command
}

func savedBytes(t interface{ Fatal(...any) }, s *State) []byte {
	var b bytes.Buffer
	if err := s.Save(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// TestStateProperties applies drawn commands and checks after each of them that a state that was saved and loaded gives
// the same result and has the same bytes if it applies the encoded and decoded command, that a retry of a failed
// request returns the cached error, that the limits hold, and that a reader of the changes rebuilds the items unless
// the changes were compacted.
func TestStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(9, smallLimits)
		s.Bootstrap("one", "x", 5)
		rebuilt := map[string]string{}
		var rebuiltRevision uint64
		commands := rapid.IntRange(1, 60).Draw(t, "commands")
		for i := uint64(1); i <= uint64(commands); i++ {
			command := drawCommand(t, i)
			encoded, err := command.Encode()
			if err != nil {
				t.Fatal(err)
			}
			loaded, err := Load(bytes.NewReader(savedBytes(t, s)))
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := DecodeCommand(encoded)
			if err != nil {
				t.Fatal(err)
			}
			result, loadedResult := s.Apply(i, command), loaded.Apply(i, decoded)
			if result != loadedResult {
				t.Fatalf("result %+v, but the loaded state returned %+v", result, loadedResult)
			}
			if !bytes.Equal(savedBytes(t, s), savedBytes(t, loaded)) {
				t.Fatal("the loaded state is saved as other bytes than the original after the same command")
			}
			if result.Err != nil && !errors.Is(result.Err, ErrRequestExpired) {
				if retried := s.Apply(i, command); !retried.Duplicate || !errors.Is(retried.Err, result.Err) {
					t.Fatalf("retry returned %+v, the first attempt %+v", retried, result)
				}
			}
			size := 0
			s.Range("", "", func(i Item) bool { size += i.size(); return true })
			events, cached := s.history.len(), s.results.ring.len()
			if size != s.Size() || size > smallLimits.TotalBytes || events > smallLimits.HistoryEvents ||
				cached > smallLimits.Results || len(s.results.byID) != cached || len(s.leases) > smallLimits.Leases {
				t.Fatalf("size %d, but the items have %d bytes; %d events in the history, %d cached results",
					s.Size(), size, events, cached)
			}
			if rapid.IntRange(0, 3).Draw(t, "follow") > 0 {
				continue
			}
			changes, changesRevision, err := s.Changes(nil, "", rebuiltRevision, rapid.IntRange(1, 5).Draw(t, "some"))
			var compacted *CompactedError
			if errors.As(err, &compacted) {
				clear(rebuilt)
				s.Range("", "", func(i Item) bool { rebuilt[i.Key] = string(i.Value); return true })
				rebuiltRevision = s.Revision()
				continue
			}
			for _, e := range changes {
				rebuilt[e.Item.Key] = string(e.Item.Value)
				if e.Deleted {
					delete(rebuilt, e.Item.Key)
				}
			}
			rebuiltRevision = changesRevision
			if changesRevision == s.Revision() {
				stored := map[string]string{}
				s.Range("", "", func(i Item) bool { stored[i.Key] = string(i.Value); return true })
				if d := cmp.Diff(stored, rebuilt); d != "" {
					t.Fatal(d)
				}
			}
		}
	})
}

// savedExample returns a saved state with a member, a lease, an item, events and cached results.
func savedExample(tb testing.TB) []byte {
	tb.Helper()
	s := New(3, smallLimits)
	s.Bootstrap("one", "x", 5)
	s.Apply(1, &Command{ID: RequestID{1, 1}, GrantLease: &GrantLease{TTLMillis: 5}})
	puts := []Op{{Key: "a", Value: []byte("v"), LeaseID: 2}, {Key: "b"}}
	s.Apply(2, &Command{ID: RequestID{1, 2}, Txn: &Txn{Then: puts}})
	s.Apply(3, &Command{ID: RequestID{1, 3}, Txn: &Txn{Then: []Op{{Key: "b", Delete: true}}}})
	return savedBytes(tb, s)
}

func TestLoadDetectsTruncationAndBitFlips(t *testing.T) {
	complete := savedExample(t)
	var corrupted *CorruptedError
	for offset := range complete {
		if _, err := Load(bytes.NewReader(complete[:offset])); !errors.As(err, &corrupted) {
			t.Fatalf("Load of the first %d bytes: %v, want a CorruptedError", offset, err)
		}
		for bit := range 8 {
			flipped := slices.Clone(complete)
			flipped[offset] ^= 1 << bit
			if _, err := Load(bytes.NewReader(flipped)); !errors.As(err, &corrupted) {
				t.Fatalf("Load after bit %d of byte %d was flipped: %v, want a CorruptedError", bit, offset, err)
			}
		}
	}
	if _, err := Load(bytes.NewReader(append(complete, 0))); err == nil {
		t.Fatal("Load accepted data after the footer")
	}
}

func TestDecodeCommandRejectsLaterLevels(t *testing.T) {
	unknownField, err := (&Command{GrantLease: &GrantLease{}, Newer: 1}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, encoded := range [][]byte{unknownField, append([]byte{Level + 1}, unknownField[1:]...)} {
		if _, err := DecodeCommand(encoded); !errors.Is(err, ErrUnknownCommand) {
			t.Fatal(err)
		}
	}
}

func FuzzLoad(f *testing.F) {
	f.Add(savedExample(f))
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := Load(bytes.NewReader(b)); err == nil && s.Size() > s.limits.TotalBytes {
			t.Fatal("Load accepted a state larger than its limit TotalBytes")
		}
	})
}

func FuzzDecodeCommand(f *testing.F) {
	b, _ := (&Command{ID: RequestID{1, 2}, Txn: &Txn{Then: []Op{{Key: "a", Value: []byte("v")}}}}).Encode()
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		if c, err := DecodeCommand(b); err == nil {
			New(1, smallLimits).Apply(1, c)
		}
	})
}

func TestTxnEnforcesKeyLimits(t *testing.T) {
	s := New(1, DefaultLimits)
	s.Bootstrap("a", "a", 1)
	apply := func(index uint64, key string, deleted bool) error {
		limits := []KeyLimit{{Prefix: "p/", MaxKeys: 2}}
		return s.Apply(index, &Command{Txn: &Txn{Then: []Op{{Key: key, Delete: deleted}}, KeyLimits: limits}}).Err
	}
	if err := apply(1, "p/1", false); !errors.Is(err, ErrUnsupportedLevel) || s.Len() != 0 {
		t.Fatal("a key limit was not rejected before its level was enabled:", err)
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
		err := apply(uint64(i+3), tc.key, tc.deleted)
		if !errors.Is(err, tc.want) || (err == nil) != (s.Revision() > before) {
			t.Errorf("transaction %d on key %s: %v", i, tc.key, err)
		}
	}
}

// TestMirroredCopyEqualsState checks that a copy to which ApplyEvent applied all events of a state has the same items,
// size and revision, and that it rejects an event out of order.
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
		describeItems := func(s *State) (described []string) {
			s.Range("", "", func(i Item) bool {
				described = append(described, fmt.Sprintf("%s %q %d %d", i.Key, i.Value, i.ModRevision, i.Version))
				return true
			})
			return described
		}
		want, got := describeItems(s), describeItems(copied)
		if fmt.Sprint(want) != fmt.Sprint(got) || copied.Size() != s.Size() || copied.Revision() != s.Revision() {
			t.Fatalf("items of the state %v\nitems of the copy %v, sizes %d and %d bytes",
				want, got, s.Size(), copied.Size())
		}
		reloaded, err := Load(bytes.NewReader(savedBytes(t, copied)))
		if err != nil || reloaded.Revision() != s.Revision() {
			t.Fatal(err)
		}
		if len(events) > 0 && s.Revision() > 1 {
			if err := copied.ApplyEvent(Event{Revision: 1, Item: Item{Key: "a"}}); !errors.Is(err, ErrOutOfOrder) {
				t.Fatal(err)
			}
		}
	})
}

// TestReinitializeReusesNoIDs checks that leases reject other owners, and that after Reinitialize the state assigns no
// revision or ID that the old cluster may have assigned, has no lease of the old cluster, and keeps a seeded key.
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
	granted := apply(&Command{GrantLease: &GrantLease{TTLMillis: 5000, Owner: "h"}})
	apply(&Command{Txn: &Txn{Owner: "h", Then: []Op{{Key: "k", LeaseID: granted.LeaseID}}}})
	for _, c := range []*Command{
		{RenewLease: &RenewLease{LeaseID: granted.LeaseID, Owner: "x"}},
		{RenewLease: &RenewLease{LeaseID: granted.LeaseID}},
		{RevokeLease: &RevokeLease{LeaseID: granted.LeaseID, Owner: "x"}},
		{Txn: &Txn{Owner: "x", Then: []Op{{Key: "j", LeaseID: granted.LeaseID}}}},
	} {
		if r := s.Apply(s.Index()+1, c); !errors.Is(r.Err, ErrLeaseNotFound) {
			t.Errorf("command on a lease of another owner: %v, want ErrLeaseNotFound", r.Err)
		}
	}
	revision, lastID := s.Revision(), s.LastID()
	s.Reinitialize(2, revision+1_000_000)
	s.Seed("hold", nil, 60_000)
	if _, found := s.Get("k"); found || s.Revision() <= revision+1_000_000 || s.LastID() <= lastID+1_000_000-1 {
		t.Errorf("after Reinitialize: revision %d, last ID %d, or the key of the old lease exists",
			s.Revision(), s.LastID())
	}
	s.Bootstrap("b", "b", 2)
	var b bytes.Buffer
	if err := s.Save(&b); err != nil {
		t.Fatal(err)
	}
	loaded, err := Load(&b)
	if err != nil {
		t.Fatal(err)
	}
	if _, found := loaded.Get("hold"); !found || len(loaded.Leases()) != 1 || loaded.Revision() != s.Revision() {
		t.Errorf("after a save and a load: %d leases, revision %d, or the seeded key is missing",
			len(loaded.Leases()), loaded.Revision())
	}
	if r := loaded.Apply(1, &Command{Txn: &Txn{Then: []Op{{Key: "n"}}}}); r.Revision <= s.Revision() {
		t.Errorf("the next transaction has revision %d, after %d", r.Revision, s.Revision())
	}
}
