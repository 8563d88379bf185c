// Package procfs reads what the kernel tells of a process of the lab's. All of it is 0 where the process is over. Any goroutine may ask.
package procfs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const tick = 10 * time.Millisecond // of the kernel's accounts of processor time

// CPU is the processor time that a process has had, its own and the system's for it, to 10 ms.
func CPU(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * tick
}

// MB is a figure of a process's memory in MB, by its name in the kernel's status, such as VmRSS or VmHWM.
func MB(pid int, name string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), name+":")
	kb, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	n, _ := strconv.ParseFloat(kb, 64)
	return n / 1024
}
