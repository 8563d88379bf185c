package discovery

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

// The JSON encoding of lists must not change: discovery sends it, and a process passes it to its successor during a
// handover. testdata/lists.jsonl has lists as version 7105f7a reads and writes them.
func TestListsKeepTheirForm(t *testing.T) {
	text, err := os.ReadFile("testdata/lists.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	want := []List{
		{Generation: 3, Reset: true, Instances: []Instance{
			{
				ID: "s-1", Addr: "10.0.0.1:80", Zone: "a", Kind: "m1", Cell: 7, Lifecycle: "up",
				Weight: 0.5, StartedMs: 1700000000000,
			},
			{
				ID: "s-2", Addr: "10.0.0.2:53", Zone: "b", Kind: "m2", Lifecycle: "draining",
				Weight: 1, StartedMs: 5, Protocol: "dns",
			},
		}},
		{Generation: 4, Instances: []Instance{{ID: "s-1", Lifecycle: "removed"}}},
		{Generation: 5},
	}
	if len(lines) != len(want) {
		t.Fatalf("testdata/lists.jsonl has %d lines, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		var decoded List
		if err := json.Unmarshal([]byte(line), &decoded); err != nil || !reflect.DeepEqual(decoded, want[i]) {
			t.Errorf("%s: decoded %+v, error %v, want %+v", line, decoded, err, want[i])
		}
		if encoded, err := json.Marshal(want[i]); err != nil || string(encoded) != line {
			t.Errorf("encoded %s, error %v, want %s", encoded, err, line)
		}
	}
}
