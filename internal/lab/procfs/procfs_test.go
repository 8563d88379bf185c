package procfs

import (
	"os"
	"testing"
)

// The system's own account of this process is read, and nothing of one that is not there.
func TestOwnProcess(t *testing.T) {
	if now, most := MB(os.Getpid(), "VmRSS"), MB(os.Getpid(), "VmHWM"); now <= 0 || most < now/2 {
		t.Errorf("%v MB resident, %v at most", now, most)
	}
	before := CPU(os.Getpid())
	for CPU(os.Getpid()) == before { // until the account goes on
	}
	if MB(-1, "VmRSS") != 0 || CPU(-1) != 0 {
		t.Error("a process that is not there has figures")
	}
}
