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

// readRecords returns the values by key of testdata/records.tsv, which the build of commit 7105f7a wrote.
func readRecords(t *testing.T) map[string]string {
	t.Helper()
	content, err := os.ReadFile("testdata/records.tsv")
	if err != nil {
		t.Fatal(err)
	}
	records := map[string]string{}
	for line := range strings.Lines(string(content)) {
		key, value, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if !ok {
			t.Fatalf("testdata/records.tsv: line without a tab: %q", line)
		}
		records[key] = value
	}
	return records
}

func TestStoredRecordsKeepTheirFormat(t *testing.T) {
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
			t.Errorf("testdata/records.tsv: no record has the key %q", tc.key)
			continue
		}
		decoded := reflect.New(reflect.TypeOf(tc.value).Elem()).Interface()
		if err := json.Unmarshal([]byte(stored), decoded); err != nil || !reflect.DeepEqual(decoded, tc.value) {
			t.Errorf("stored record %s: decoded %+v, error %v, want %+v", tc.key, decoded, err, tc.value)
		}
		if encoded, err := json.Marshal(tc.value); err != nil || string(encoded) != stored {
			t.Errorf("stored record %s: encoded %s, error %v, want %s", tc.key, encoded, err, stored)
		}
	}
	if records[SuspendKey] != "restored" || len(records) != len(tests)+1 {
		t.Errorf("record %s is %q among %d records, want restored and no record that the test does not know",
			SuspendKey, records[SuspendKey], len(records))
	}
}

func TestTableReadsStoredRecords(t *testing.T) {
	table := NewTable(NoTableDefect)
	revisions := map[string]uint64{
		"task/place/reindex/host-a/00ff1": 5,
		"task/place/reindex/host-b/00ff2": 9,
		"task/order/reindex":              11,
	}
	for key, value := range readRecords(t) {
		item := store.Item{Key: key, Value: []byte(value), CreateRevision: revisions[key], ModRevision: revisions[key]}
		if !table.Event(store.Event{Item: item}) {
			t.Errorf("Event(%s) reports that the key is not one of tasks", key)
		}
	}
	want := []QueueEntry{
		{QueueRecord{77, 30000, "nightly"}, "task/place/reindex/host-a/00ff1", "reindex", "host-a", 5},
		{QueueRecord{78, 15000, ""}, "task/place/reindex/host-b/00ff2", "reindex", "host-b", 9},
	}
	if got := table.Queue("reindex"); !reflect.DeepEqual(got, want) {
		t.Errorf("queue of reindex: %+v, want %+v", got, want)
	}
	override, revision := table.Override("reindex")
	if !override.Pause || override.PreferredHost != "host-b" || revision != 11 {
		t.Errorf("override of reindex: %+v of revision %d, want a pause for host-b of revision 11", override, revision)
	}
	if table.Slots("reindex") != 2 || !table.Suspended() {
		t.Errorf("reindex has %d slots, suspended is %v, want 2 and true", table.Slots("reindex"), table.Suspended())
	}
}

func TestFenceFileKeepsItsFormat(t *testing.T) {
	stored, err := os.ReadFile("testdata/fence.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "fence.json")
	if err := os.WriteFile(path, stored, 0o600); err != nil {
		t.Fatal(err)
	}
	fence, err := OpenFence(path, NoFenceDefect)
	if err != nil {
		t.Fatal(err)
	}
	if fence.Admit("backup", 41) == nil || fence.Admit("reindex", 1234567890122) == nil {
		t.Error("the fence admitted a token below the stored one")
	}
	path = filepath.Join(t.TempDir(), "fence.json")
	if fence, err = OpenFence(path, NoFenceDefect); err != nil {
		t.Fatal(err)
	}
	if fence.Admit("reindex", 1234567890123) != nil || fence.Admit("backup", 42) != nil {
		t.Error("the fence rejected the first token of a task")
	}
	if written, err := os.ReadFile(path); err != nil || string(written) != string(stored) {
		t.Errorf("the fence wrote %s, read error %v, want %s", written, err, stored)
	}
}
