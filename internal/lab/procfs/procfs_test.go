package procfs

import (
	"os"
	"runtime"
	"testing"
)

// The figures of this process can be read, and those of a process that does not exist are 0.
func TestFiguresOfThisAndOfMissingProcess(t *testing.T) {
	if current, peak := MB(os.Getpid(), "VmRSS"), MB(os.Getpid(), "VmHWM"); current <= 0 || peak < current/2 {
		t.Errorf("MB returns %v MB resident and a peak of %v MB", current, peak)
	}
	before := CPU(os.Getpid())
	for CPU(os.Getpid()) == before {
		runtime.Gosched() // spins until some processor time has been used
	}
	if MB(-1, "VmRSS") != 0 || CPU(-1) != 0 {
		t.Error("MB or CPU returns a figure other than 0 for a process that does not exist")
	}
}
