package lease

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"birchmoor/internal/store"
)

// readRecords returns the keys and values of testdata/records.tsv, which version 7105f7a wrote.
func readRecords(t *testing.T) map[string]string {
	t.Helper()
	b, err := os.ReadFile("testdata/records.tsv")
	if err != nil {
		t.Fatal(err)
	}
	records := map[string]string{}
	for line := range strings.Lines(string(b)) {
		key, value, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if !ok {
			t.Fatalf("line without a tab: %q", line)
		}
		records[key] = value
	}
	return records
}

func TestStoredRecordsKeepTheirForm(t *testing.T) {
	records := readRecords(t)
	tests := []struct {
		key   string
		value any // a pointer to the expected value
	}{
		{QueueEntryKey("reindex", "host-a", "00ff1"), &QueueRecord{Session: 77, TTLMillis: 30000, Note: "nightly"}},
		{QueueEntryKey("reindex", "host-b", "00ff2"), &QueueRecord{Session: 78, TTLMillis: 15000}},
		{TaskConfigPrefix + "reindex", &TaskConfig{Slots: 2}},
		{
			OverridePrefix + "reindex",
			&TaskOverride{Pause: true, PreferredHost: "host-b", Operator: "ops", Note: "disk swap"},
		},
		{OverridePrefix + "backup", &TaskOverride{PreferredHost: "host-a"}},
	}
	for _, tc := range tests {
		stored, ok := records[tc.key]
		if !ok {
			t.Errorf("no stored record has the key %q", tc.key)
			continue
		}
		decoded := reflect.New(reflect.TypeOf(tc.value).Elem()).Interface()
		if err := json.Unmarshal([]byte(stored), decoded); err != nil || !reflect.DeepEqual(decoded, tc.value) {
			t.Errorf("%s: decoded %+v, %v, want %+v", tc.key, decoded, err, tc.value)
		}
		if encoded, err := json.Marshal(tc.value); err != nil || string(encoded) != stored {
			t.Errorf("%s: encoded %s, %v, want %s", tc.key, encoded, err, stored)
		}
	}
	if records[SuspendKey] != "restored" || len(records) != len(tests)+1 {
		t.Errorf("%s is %q among %d records", SuspendKey, records[SuspendKey], len(records))
	}
}

func TestTableReadsStoredRecords(t *testing.T) {
	table := NewTable(NoTableDefect)
	revision := map[string]uint64{
		"task/place/reindex/host-a/00ff1": 5,
		"task/place/reindex/host-b/00ff2": 9,
		"task/order/reindex":              11,
	}
	for key, value := range readRecords(t) {
		item := store.Item{Key: key, Value: []byte(value), CreateRevision: revision[key], ModRevision: revision[key]}
		if !table.Event(store.Event{Item: item}) {
			t.Errorf("%s is not taken for a key of tasks", key)
		}
	}
	want := []QueueEntry{
		{QueueRecord{77, 30000, "nightly"}, "task/place/reindex/host-a/00ff1", "reindex", "host-a", 5},
		{QueueRecord{78, 15000, ""}, "task/place/reindex/host-b/00ff2", "reindex", "host-b", 9},
	}
	if got := table.Queue("reindex"); !reflect.DeepEqual(got, want) {
		t.Errorf("queue %+v, want %+v", got, want)
	}
	override, revised := table.Override("reindex")
	if !override.Pause || override.PreferredHost != "host-b" || revised != 11 {
		t.Errorf("override %+v of %d", override, revised)
	}
	if table.Slots("reindex") != 2 || !table.Suspended() {
		t.Errorf("%d slots, suspended %v", table.Slots("reindex"), table.Suspended())
	}
}

func TestFenceKeepsFormOfItsFile(t *testing.T) {
	stored, err := os.ReadFile("testdata/fence.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "fence.json")
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := OpenFence(path, NoFenceDefect)
	if err != nil {
		t.Fatal(err)
	}
	if f.Admit("backup", 41) == nil || f.Admit("reindex", 1234567890122) == nil {
		t.Error("a token below the stored one is admitted")
	}
	path = filepath.Join(t.TempDir(), "fence.json")
	if f, err = OpenFence(path, NoFenceDefect); err != nil {
		t.Fatal(err)
	}
	if f.Admit("reindex", 1234567890123) != nil || f.Admit("backup", 42) != nil {
		t.Error("a first token is rejected")
	}
	if written, err := os.ReadFile(path); err != nil || string(written) != string(stored) {
		t.Errorf("wrote %s, %v, want %s", written, err, stored)
	}
}
