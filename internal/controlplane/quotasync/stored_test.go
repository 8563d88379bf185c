package quotasync

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"birchmoor/internal/controlplane/quota"
)

// TestStatusFormatUnchanged decodes the JSON that revision 7105f7a answered with and encodes the same bytes again.
func TestStatusFormatUnchanged(t *testing.T) {
	fixture, err := os.ReadFile("testdata/status.json")
	if err != nil {
		t.Fatal(err)
	}
	var status Status
	decoder := json.NewDecoder(bytes.NewReader(fixture))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&status); err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(status)
	if err != nil || !bytes.Equal(encoded, bytes.TrimSpace(fixture)) {
		t.Errorf("encoded as %s, error %v", encoded, err)
	}
	process := status.Limits[0].NodeStatuses[0].Processes[0]
	wantProcess := quota.ProcessQuota{
		Process:    quota.Process{Host: "s51", Session: 53},
		Quota:      quota.Quota{Amount: 55, Previous: 56, Linger: 57},
		NodeDemand: quota.NodeDemand{Wanted: 59, InUse: 60, Admitted: 61, Rejected: 62},
		Committed:  63, Gone: true, AgeMs: 65, Seen: true,
	}
	if process != wantProcess {
		t.Errorf("decoded %+v, not %+v", process, wantProcess)
	}
	here := quota.Process{Host: "s8", Session: 10}
	if status.Version != 3 || status.AllocatorHost != "s4" || status.TTLMs != 7 {
		t.Errorf("decoded %+v", status)
	}
	if status.Process != here || status.ValidForMs != 11 {
		t.Errorf("decoded %+v", status)
	}
}
