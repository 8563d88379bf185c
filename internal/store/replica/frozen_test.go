package replica

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"birchmoor/internal/store"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
)

// frozenForm is a value that is stored or sent. Its encoding by commit 7105f7a is a line in testdata/frozen.
type frozenForm struct {
	name, encoding string
	value          any
	decoded        any // pointer to the zero value of the same type
}

func TestFrozenForms(t *testing.T) {
	text, err := os.ReadFile("testdata/frozen/forms.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	forms := frozenForms()
	if len(lines) != len(forms) {
		t.Fatalf("testdata/frozen/forms.txt has %d lines for %d forms", len(lines), len(forms))
	}
	for i, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			name, frozen, _ := strings.Cut(lines[i], ": ")
			if name != form.name {
				t.Fatalf("line %d of testdata/frozen/forms.txt is the form %q", i+1, name)
			}
			form.check(t, frozen)
		})
	}
}

func (f *frozenForm) check(t *testing.T, frozen string) {
	t.Helper()
	encoded, decode := []byte(frozen), json.Unmarshal
	marshal := json.Marshal
	if f.encoding == "cbor" {
		var err error
		encoded, err = hex.DecodeString(frozen)
		if err != nil {
			t.Fatal(err)
		}
		decode, marshal = cbor.Unmarshal, cbor.Marshal
	}
	if reencoded, err := marshal(f.value); err != nil || !bytes.Equal(reencoded, encoded) {
		t.Errorf("encoded as %q, want the frozen form %q: %v", reencoded, encoded, err)
	}
	if err := decode(encoded, f.decoded); err != nil {
		t.Fatal(err)
	}
	if reencoded, err := marshal(f.decoded); err != nil || !bytes.Equal(reencoded, encoded) {
		t.Errorf("decoded and encoded again as %q, want the frozen form %q: %v", reencoded, encoded, err)
	}
	if diff := cmp.Diff(reflect.ValueOf(f.decoded).Elem().Interface(), f.value); diff != "" {
		t.Error(diff)
	}
}

func frozenForms() []frozenForm {
	self := Identity{ClusterID: 0x99, MemberID: 2, DiskID: 77, Boot: 3}
	members := []store.Member{
		{ID: 1, Name: "one", Address: "10.0.0.1:7000", DiskID: 5, Boot: 1, Level: 3},
		{ID: 2, Name: "two", Address: "10.0.0.2:7000", DiskID: 77, Boot: 3, Level: 2, Learner: true},
	}
	meta := SnapshotMeta{Index: 9, Term: 4, Voters: []uint64{1, 2}, Learners: []uint64{3}}
	return []frozenForm{
		{"identity", "cbor", self, new(Identity)},
		{"snapshot meta", "cbor", meta, new(SnapshotMeta)},
		{"hello", "cbor", Hello{Identity: self, Name: "two", LastIndex: 12}, new(Hello)},
		{"status", "json", Status{
			Self: self, Name: "two", LeaderID: 1, Leading: true, Term: 4, Commit: 11, Applied: 10, Revision: 8,
			Keys: 7, Bytes: 600, Level: 3, MembershipStable: true, PendingRequests: 5,
			Peers: []PeerStatus{{Member: members[0], Leader: true, MatchIndex: 12, Active: true},
				{Member: members[1]}},
			Failed: "stopped",
		}, new(Status)},
	}
}
