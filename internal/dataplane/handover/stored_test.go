package handover

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"birchmoor/internal/dataplane/maintenance"
)

// The form of messages must not change, because the two processes may be of different versions.
// testdata/messages.jsonl has the messages of a conversation as version 7105f7a sends them, and the later message ids.
func TestMessagesKeepTheirForm(t *testing.T) {
	text, err := os.ReadFile("testdata/messages.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	want := []message{
		{Op: "join", Seq: 1},
		{Op: "reply", Seq: 1, State: &State{
			Overrides:      []maintenance.Override{{ID: "s-1", Drained: true, UnixMicros: 5}},
			List:           json.RawMessage(`{"generation":3}`),
			Snapshot:       []byte("abc"),
			OtherProtocols: map[string][]byte{"dns": []byte("de")},
		}},
		{Op: "reply", Seq: 2, State: &State{List: json.RawMessage(`{}`)}},
		{Op: "mark", Seq: 3, Override: &maintenance.Override{ID: "s-2", UnixMicros: 6}},
		{Op: "eject", Seq: 4, Ejections: []Ejection{{ID: "s-3", RemainingMicros: 900}}},
		{Op: "reply", Seq: 5, Error: "unknown id"},
		{Op: "take", Seq: 6},
		{Op: "ids", Seq: 7, Requests: []string{"0a", "0b"}},
	}
	if len(lines) != len(want) {
		t.Fatalf("testdata/messages.jsonl has %d lines, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		var decoded message
		if err := json.Unmarshal([]byte(line), &decoded); err != nil || !reflect.DeepEqual(decoded, want[i]) {
			t.Errorf("%s: decoded %+v, error %v, want %+v", line, decoded, err, want[i])
		}
		if encoded, err := json.Marshal(want[i]); err != nil || string(encoded) != line {
			t.Errorf("encoded %s, error %v, want %s", encoded, err, line)
		}
	}
}
