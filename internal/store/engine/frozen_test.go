package engine

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"

	"github.com/google/go-cmp/cmp"
)

// frozenForm is a value whose JSON is sent. testdata/frozen/forms.txt has the JSON as commit 7105f7a encoded it.
type frozenForm struct {
	name    string
	value   any
	decoded any // pointer to the zero value of the same type
}

func TestFrozenForms(t *testing.T) {
	text, err := os.ReadFile("testdata/frozen/forms.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	forms := frozenForms()
	if len(lines) != len(forms) {
		t.Fatalf("forms.txt has %d lines for %d forms", len(lines), len(forms))
	}
	for i, form := range forms {
		t.Run(form.name, func(t *testing.T) {
			name, frozen, _ := strings.Cut(lines[i], ": ")
			if name != form.name {
				t.Fatalf("line %d of forms.txt has the name %q of another form", i+1, name)
			}
			form.check(t, frozen)
		})
	}
}

func (f *frozenForm) check(t *testing.T, frozen string) {
	t.Helper()
	if b, err := json.Marshal(f.value); err != nil || string(b) != frozen {
		t.Errorf("encoded as %s, want %s as in forms.txt: %v", b, frozen, err)
	}
	if err := json.Unmarshal([]byte(frozen), f.decoded); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(reflect.ValueOf(f.decoded).Elem().Interface(), f.value); d != "" {
		t.Error(d)
	}
}

func frozenForms() []frozenForm {
	age := CopyAge{Revision: 8, Confirmed: true, Age: 1500, Stale: true}
	return []frozenForm{
		{"copy age", age, new(CopyAge)},
		{"status", Status{
			Status:        replica.Status{Self: replica.Identity{ClusterID: 9}, Name: "one", LeaderID: 1},
			WaitingToJoin: true, Follower: true, Following: "two", Interest: &store.Interest{Keys: []string{"k"}},
			CopyAge: age, DiskBytes: 1,
			PeersRejected: 2, ConnectionsRejected: 3, MessagesDropped: 4, MessagesSent: 5, MessagesReceived: 6,
		}, new(Status)},
	}
}
