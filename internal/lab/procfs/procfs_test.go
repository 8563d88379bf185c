package procfs

import (
	"os"
	"runtime"
	"testing"
)

// The figures of this process can be read, and those of a process that does not exist are 0.
func TestFiguresOfThisAndOfAMissingProcess(t *testing.T) {
	if now, most := MB(os.Getpid(), "VmRSS"), MB(os.Getpid(), "VmHWM"); now <= 0 || most < now/2 {
		t.Errorf("%v MB resident, %v at most", now, most)
	}
	before := CPU(os.Getpid())
	for CPU(os.Getpid()) == before {
		runtime.Gosched() // spins until some processor time has been used
	}
	if MB(-1, "VmRSS") != 0 || CPU(-1) != 0 {
		t.Error("a process that does not exist has figures")
	}
}
