package quotasync

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"birchmoor/internal/controlplane/quota"
)

// TestStatusFormatUnchanged decodes a JSON answer of source revision 7105f7a and checks that it is encoded as the same
// bytes again.
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
		t.Errorf("the status is encoded as %s, error %v, want the bytes of testdata/status.json", encoded, err)
	}
	process := status.Limits[0].NodeStatuses[0].Processes[0]
	wantProcess := quota.ProcessQuota{
		Process:    quota.Process{Host: "s51", Session: 53},
		Quota:      quota.Quota{Amount: 55, Previous: 56, Linger: 57},
		NodeDemand: quota.NodeDemand{Wanted: 59, InUse: 60, Admitted: 61, Rejected: 62},
		Committed:  63, Departed: true, AgeMs: 65, Seen: true,
	}
	if process != wantProcess {
		t.Errorf("decoded process quota %+v, want %+v", process, wantProcess)
	}
	here := quota.Process{Host: "s8", Session: 10}
	if status.Version != 3 || status.AllocatorHost != "s4" || status.TTLMs != 7 {
		t.Errorf("decoded status %+v, want version 3, allocator s4 and a TTL of 7 ms", status)
	}
	if status.Process != here || status.ValidForMs != 11 {
		t.Errorf("decoded status %+v, want process s8/10, valid for 11 ms", status)
	}
}
