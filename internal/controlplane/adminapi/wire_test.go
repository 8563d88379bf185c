package adminapi

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/controlplane/rollout"
	"birchmoor/internal/store/serverstate"
	"birchmoor/internal/store/usage"
)

// TestWireFormatsUnchanged decodes the JSON of requests and answers that revision 7105f7a wrote, every field of
// them set, and encodes the same bytes again.
func TestWireFormatsUnchanged(t *testing.T) {
	lockStatus, taskRequest, settingsRequest := new(LockStatus), new(OverrideRequest), new(SettingsRequest)
	for name, value := range map[string]any{
		"settings-request": settingsRequest,
		"settings-history": new([]daemon.Version),
		"plan":             new(rollout.Plan),
		"status":           new(Status),
		"servers":          new([]daemon.ServerFact),
		"out":              new([]serverstate.Exclusion),
		"meter":            new(usage.Reading),
		"tasks":            new([]leasetask.TaskStatus),
		"task-request":     taskRequest,
		"lock-line":        lockStatus,
	} {
		fixture, err := os.ReadFile(filepath.Join("testdata", name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		decoder := json.NewDecoder(bytes.NewReader(fixture))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(value); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		encoded, err := json.Marshal(value)
		if err != nil || !bytes.Equal(encoded, bytes.TrimSpace(fixture)) {
			t.Errorf("%s: encoded as %s, error %v", name, encoded, err)
		}
	}
	if l := lockStatus; *l.Position != 4 || l.Reason != "s4" || l.Token != 6 || l.ValidUntil != 7 || !l.Ended {
		t.Errorf("lock status: %+v", l)
	}
	if r := taskRequest; r.Task != "s2" || !r.Pause || r.PreferredHost != "s5" || r.Operator != "s6" || r.Note != "s7" {
		t.Errorf("task request: %+v", r)
	}
	if r := settingsRequest; r.Rollback != 4 || r.Note != "s4" || r.SettleMs != 10 || r.AbortBy != "s10" {
		t.Errorf("settings request: %+v", r)
	}
}
