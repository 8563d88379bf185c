package discovery

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

// testdata/lists.jsonl has lists in the form that version 7105f7a reads and passes on.
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
		t.Fatalf("%d lines, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		var decoded List
		if err := json.Unmarshal([]byte(line), &decoded); err != nil || !reflect.DeepEqual(decoded, want[i]) {
			t.Errorf("%s: decoded %+v, %v, want %+v", line, decoded, err, want[i])
		}
		if encoded, err := json.Marshal(want[i]); err != nil || string(encoded) != line {
			t.Errorf("encoded %s, %v, want %s", encoded, err, line)
		}
	}
}
