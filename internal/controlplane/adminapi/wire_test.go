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

// TestWireFormatsUnchanged decodes JSON that revision 7105f7a wrote for requests and answers with all fields set, and
// checks that encoding the values yields the same bytes.
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
			t.Errorf("%s: cannot be decoded: %v", name, err)
			continue
		}
		encoded, err := json.Marshal(value)
		if err != nil || !bytes.Equal(encoded, bytes.TrimSpace(fixture)) {
			t.Errorf("%s: encoded as %s, error %v", name, encoded, err)
		}
	}
	if status := lockStatus; *status.Position != 4 || status.Reason != "s4" || status.Token != 6 ||
		status.ValidUntil != 7 || !status.Ended {
		t.Errorf("unexpected lock status: %+v", status)
	}
	if request := taskRequest; request.Task != "s2" || !request.Pause || request.PreferredHost != "s5" ||
		request.Operator != "s6" || request.Note != "s7" {
		t.Errorf("unexpected task request: %+v", request)
	}
	if request := settingsRequest; request.Rollback != 4 || request.Note != "s4" || request.SettleMs != 10 ||
		request.AbortBy != "s10" {
		t.Errorf("unexpected settings request: %+v", request)
	}
}
