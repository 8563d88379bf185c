// Package procfs reads a process's use of processor time and memory from the kernel. All figures are 0 once the
// process has ended. Its functions are safe for concurrent use. The package imports only the standard library.
package procfs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	clockTick   = 10 * time.Millisecond // unit of processor time in /proc
	userField   = 11                    // index in /proc/PID/stat, where the state is field 0
	systemField = 12                    // index in /proc/PID/stat
	kBytesPerMB = 1024
)

// CPU returns the processor time, user and system, that a process has used, in units of 10 ms.
func CPU(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * clockTick
}

// MB returns a figure of a process's memory in MB by its name in /proc/PID/status, such as VmRSS or VmHWM.
func MB(pid int, name string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), name+":")
	kb, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	value, _ := strconv.ParseFloat(kb, 64)
	return value / kBytesPerMB
}
