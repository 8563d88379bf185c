package store

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The tests of this file compare the stored and sent formats with the files in testdata/frozen, which commit 7105f7a
// wrote. Their contents must decode to the same values, and these must encode to the same bytes.

// storedCommand is a command with its name in commands.txt.
type storedCommand struct {
	name    string
	command Command
}

func frozenFile(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile("testdata/frozen/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func frozenLines(t *testing.T, name string) []string {
	t.Helper()
	return strings.Split(strings.TrimSpace(string(frozenFile(t, name))), "\n")
}

func TestFrozenCommands(t *testing.T) {
	lines := frozenLines(t, "commands.txt")
	want := storedCommands()
	if len(lines) != len(want) {
		t.Fatalf("commands.txt has %d lines for %d commands", len(lines), len(want))
	}
	for i, c := range want {
		name, digits, _ := strings.Cut(lines[i], ": ")
		frozen, err := hex.DecodeString(digits)
		if err != nil || name != c.name {
			t.Fatalf("line %d of commands.txt is named %q, want %q; decoding its digits: %v", i+1, name, c.name, err)
		}
		t.Run(name, func(t *testing.T) {
			got, err := DecodeCommand(frozen)
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(&c.command, got); d != "" {
				t.Error(d)
			}
			encoded, err := c.command.Encode()
			if err != nil || !bytes.Equal(encoded, frozen) {
				t.Errorf("command is encoded as %x, want %x as in commands.txt: %v", encoded, frozen, err)
			}
		})
	}
}

func TestFrozenSnapshots(t *testing.T) {
	subset := Interest{Prefixes: []string{"b/"}, Keys: []string{"a"}}
	for _, tc := range []struct {
		name  string
		state *State
	}{
		{"complete.bin", storedState()},
		{"subset.bin", storedState().SubsetWithHistory(subset)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			frozen := frozenFile(t, tc.name)
			if b := savedBytes(t, tc.state); !bytes.Equal(b, frozen) {
				t.Errorf("state is saved as\n%x\nwant, as in the frozen file,\n%x", b, frozen)
			}
			loaded, err := LoadSubset(bytes.NewReader(frozen))
			if err != nil {
				t.Fatal(err)
			}
			if b := savedBytes(t, loaded); !bytes.Equal(b, frozen) {
				t.Errorf("state loaded from the frozen file is saved as\n%x\nwant\n%x", b, frozen)
			}
			if d := cmp.Diff(summarize(tc.state), summarize(loaded), summaryCompareOptions...); d != "" {
				t.Error(d)
			}
		})
	}
	if _, err := Load(bytes.NewReader(frozenFile(t, "subset.bin"))); err == nil {
		t.Error("Load accepted a subset as a complete state")
	}
}

// summaryCompareOptions have cmp.Diff compare errors with errors.Is, and take empty and nil values as equal.
var summaryCompareOptions = []cmp.Option{
	cmp.Comparer(bytes.Equal),
	cmp.Comparer(func(a, b error) bool { return errors.Is(a, b) }),
}

// stateSummary contains everything that can be read from a state.
type stateSummary struct {
	Cluster, Revision, Index, Level, LastID, Oldest uint64

	Limits   Limits
	Interest *Interest
	Members  []Member
	Leases   []Lease
	Items    []Item
	Events   []Event
	Results  []Result
}

func summarize(s *State) stateSummary {
	summary := stateSummary{
		Cluster: s.Cluster(), Revision: s.Revision(), Index: s.Index(), Level: s.Level(), LastID: s.LastID(),
		Oldest: s.OldestRevision(), Limits: s.Limits(), Interest: s.Interest(), Members: s.Members(),
		Leases: s.Leases(),
	}
	s.Range("", "", func(i Item) bool {
		summary.Items = append(summary.Items, i)
		return true
	})
	for i := range s.history.len() {
		summary.Events = append(summary.Events, *s.history.at(i))
	}
	for i := range s.results.ring.len() {
		summary.Results = append(summary.Results, s.results.ring.at(i).Result)
	}
	return summary
}

func TestFrozenJSON(t *testing.T) {
	lines := frozenLines(t, "types.jsonl")
	values := storedJSON()
	if len(lines) != len(values) {
		t.Fatalf("types.jsonl has %d lines for %d values", len(lines), len(values))
	}
	for i, v := range values {
		b, err := json.Marshal(v)
		if err != nil || string(b) != lines[i] {
			t.Errorf("%T is encoded as\n%s\nwant, as in types.jsonl,\n%s: %v", v, b, lines[i], err)
		}
	}
}

func storedCommands() []storedCommand {
	id := RequestID{Client: 0x1122334455667788, Seq: 7}
	return []storedCommand{
		{"txn at level 1", Command{ID: id, SinceIndex: 3, Txn: &Txn{
			If:   []Compare{{Key: "a", ModRevision: 9}},
			Then: []Op{{Key: "a", Value: []byte("v"), LeaseID: 4}, {Key: "b", Delete: true, RangeEnd: "c"}},
			Else: []Op{{Key: "a", Delete: true}},
		}}},
		{"txn at level 2", Command{ID: id, Txn: &Txn{
			Then:      []Op{{Key: "p/1"}},
			KeyLimits: []KeyLimit{{Prefix: "p/", MaxKeys: 5}},
		}}},
		{"txn at level 3", Command{ID: id, Txn: &Txn{
			Then:  []Op{{Key: "k", Value: []byte{0, 255}, LeaseID: 4}},
			Owner: "process",
		}}},
		{"grant at level 1", Command{ID: id, GrantLease: &GrantLease{TTLMillis: 5000}}},
		{"grant at level 3", Command{ID: id, GrantLease: &GrantLease{TTLMillis: 5000, Owner: "process"}}},
		{"renew at level 1", Command{ID: id, RenewLease: &RenewLease{LeaseID: 4}}},
		{"renew at level 3", Command{ID: id, RenewLease: &RenewLease{LeaseID: 4, Owner: "process"}}},
		{"revoke at level 1", Command{ID: id, RevokeLease: &RevokeLease{LeaseID: 4}}},
		{"revoke expired", Command{RevokeLease: &RevokeLease{LeaseID: 4, Expired: true, Renewals: 2}}},
		{"revoke at level 3", Command{ID: id, RevokeLease: &RevokeLease{LeaseID: 4, Owner: "process"}}},
		{"add member", Command{ID: id, AddMember: &AddMember{Name: "two", Address: "10.0.0.2:7000"}}},
		{"register start", Command{RegisterStart: &RegisterStart{MemberID: 2, DiskID: 77, Boot: 3, Level: 3}}},
		{"remove member", Command{ID: id, RemoveMember: &RemoveMember{MemberID: 2}}},
		{"raise level", Command{RaiseLevel: &RaiseLevel{Level: 3}}},
	}
}

func storedState() *State {
	limits := Limits{
		KeyBytes: 24, ValueBytes: 64, TotalBytes: 4000, TxnOps: 4, HistoryEvents: 12, HistoryBytes: 4000,
		Leases: 3, Results: 20, Members: 3,
	}
	s := New(0x99, limits)
	s.Bootstrap("one", "10.0.0.1:7000", 5)
	seq := uint64(0)
	apply := func(c *Command) {
		seq++
		c.ID, c.SinceIndex = RequestID{Client: 1, Seq: seq}, 1
		s.Apply(seq+1, c)
	}
	put := func(k string, lease uint64) *Command {
		return &Command{Txn: &Txn{Then: []Op{{Key: k, Value: []byte("v" + k), LeaseID: lease}}}}
	}
	apply(&Command{GrantLease: &GrantLease{TTLMillis: 5000, Owner: "p"}}) // ErrUnsupportedLevel
	apply(&Command{RaiseLevel: &RaiseLevel{Level: 3}})
	apply(&Command{GrantLease: &GrantLease{TTLMillis: 5000, Owner: "p"}})
	apply(&Command{RenewLease: &RenewLease{LeaseID: 2, Owner: "p"}})
	apply(&Command{GrantLease: &GrantLease{TTLMillis: 7000}})
	apply(&Command{AddMember: &AddMember{Name: "two", Address: "10.0.0.2:7000"}})
	apply(&Command{RegisterStart: &RegisterStart{MemberID: 4, DiskID: 77, Boot: 3, Level: 3}})
	apply(put("a", 2))
	apply(put("b/1", 3))
	apply(put("b/2", 0))
	apply(put("b/2", 0))
	apply(&Command{Txn: &Txn{
		If:   []Compare{{Key: "a", ModRevision: 9}},
		Else: []Op{{Key: "b/2", Delete: true}, {Key: "c"}},
	}})
	apply(put("a key of more than 24 bytes", 0)) // ErrTooLarge
	apply(&Command{Txn: &Txn{                    // ErrFull
		Then:      []Op{{Key: "b/3"}},
		KeyLimits: []KeyLimit{{Prefix: "b/", MaxKeys: 1}},
	}})
	apply(&Command{RenewLease: &RenewLease{LeaseID: 9}})      // ErrLeaseNotFound
	apply(put("", 0))                                         // ErrBadKey
	apply(&Command{RemoveMember: &RemoveMember{MemberID: 9}}) // ErrInvalidMember
	apply(&Command{})                                         // ErrUnknownCommand
	return s
}

func storedJSON() []any {
	return []any{
		Txn{
			If:        []Compare{{Key: "a", ModRevision: 9}},
			Then:      []Op{{Key: "a", Value: []byte("v"), LeaseID: 4, Delete: true, RangeEnd: "b"}},
			Else:      []Op{{Key: "b"}},
			KeyLimits: []KeyLimit{{Prefix: "p/", MaxKeys: 5}},
			Owner:     "p",
		},
		Item{Key: "k", Value: []byte("v"), CreateRevision: 1, ModRevision: 2, Version: 3, LeaseID: 4},
		Event{Revision: 1, Deleted: true, Item: Item{Key: "k"}},
		Lease{ID: 1, TTLMillis: 2, Renewals: 3, Owner: "p"},
		Member{ID: 1, Name: "one", Address: "x", Learner: true, DiskID: 2, Boot: 3, Level: 4},
		Interest{Prefixes: []string{"p/"}, Keys: []string{"k"}},
		PrefixSize{Keys: 1, Bytes: 2},
	}
}
