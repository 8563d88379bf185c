package leasetask

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"

	"birchmoor/internal/controlplane/lease"
)

// The build of commit 7105f7a wrote the files in testdata: reports as stored, and the status of a task as shown in
// JSON.
func TestStoredReportsAndTaskStatusKeepTheirFormat(t *testing.T) {
	failed := ActionReport{Token: 9, Host: "host-a", Completed: 3, Error: "no disk"}
	tests := []struct {
		file string
		key  string // precedes the value and a tab in the file; empty: the file has no keys
		want any    // a pointer to the expected value
	}{
		{"reports.tsv", ReportPrefix + "reindex", &failed},
		{"reports.tsv", ReportPrefix + "backup", &ActionReport{Token: 10, Host: "host-b"}},
		{"status.json", "", &TaskStatus{
			Task: "reindex", Slots: 2,
			Override: lease.TaskOverride{Pause: true, PreferredHost: "host-b", Operator: "ops", Note: "disk swap"},
			Queue: []QueueEntryStatus{
				{
					Host: "host-a", Token: 9, Holds: true, TTLMillis: 30000, Note: "nightly",
					AgeMillis: -1, Local: true, ValidMillis: 1500,
				},
				{Host: "host-b", Token: 12, TTLMillis: 15000, AgeMillis: 20},
			},
			NoHolderReason: "it is paused by ops", LastReport: &failed, LastReportAgeMillis: 250,
			LocalState: "waits, 0 before it",
		}},
	}
	for _, tc := range tests {
		stored, err := os.ReadFile("testdata/" + tc.file)
		if err != nil {
			t.Fatal(err)
		}
		if tc.key != "" {
			_, rest, ok := bytes.Cut(stored, []byte(tc.key+"\t"))
			if !ok {
				t.Errorf("testdata/%s: no line has the key %q", tc.file, tc.key)
			}
			stored, _, _ = bytes.Cut(rest, []byte("\n"))
		}
		stored = bytes.TrimSuffix(stored, []byte("\n"))
		decoded := reflect.New(reflect.TypeOf(tc.want).Elem()).Interface()
		if err := json.Unmarshal(stored, decoded); err != nil || !reflect.DeepEqual(decoded, tc.want) {
			t.Errorf("testdata/%s, key %q: decoded %+v, error %v, want %+v", tc.file, tc.key, decoded, err, tc.want)
		}
		if encoded, err := json.Marshal(tc.want); err != nil || !bytes.Equal(encoded, stored) {
			t.Errorf("testdata/%s, key %q: encoded %s, error %v, want %s", tc.file, tc.key, encoded, err, stored)
		}
	}
}
