package usage

import (
	"os"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"syscall"
)

// unknownFigure replaces a figure that the system does not provide.
const unknownFigure = -1

// Process has the resources that a process uses, not only its control plane. A figure that the system does not
// provide is -1.
type Process struct {
	CPUUserSeconds   float64 `json:"cpu_user_seconds"` // since the start of the process, by getrusage
	CPUSystemSeconds float64 `json:"cpu_system_seconds"`
	HeapBytes        int64   `json:"heap_bytes"`     // live objects, and dead ones that are not swept yet
	ResidentBytes    int64   `json:"resident_bytes"` // resident set size
	Descriptors      int64   `json:"descriptors"`    // open file descriptors
	Goroutines       int64   `json:"goroutines"`
}

// ReadProcess returns the resources that this process uses. It reads files in /proc and does not stop other goroutines.
func ReadProcess() Process {
	user, system := readCPUSeconds()
	return Process{
		CPUUserSeconds:   user,
		CPUSystemSeconds: system,
		HeapBytes:        readHeapBytes(),
		ResidentBytes:    readResidentBytes(),
		Descriptors:      countDescriptors(),
		Goroutines:       int64(runtime.NumGoroutine()),
	}
}

func readCPUSeconds() (user, system float64) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return unknownFigure, unknownFigure
	}
	const nanosPerSecond = 1e9
	return float64(usage.Utime.Nano()) / nanosPerSecond, float64(usage.Stime.Nano()) / nanosPerSecond
}

// readHeapBytes returns 0 if the runtime does not have the metric.
func readHeapBytes() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(samples[0].Value.Uint64())
}

func readResidentBytes() int64 {
	statm, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return unknownFigure
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return unknownFigure
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return unknownFigure
	}
	return pages * int64(os.Getpagesize())
}

func countDescriptors() int64 {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return unknownFigure
	}
	names, err := dir.Readdirnames(-1)
	_ = dir.Close() // nothing was written to it
	if err != nil {
		return unknownFigure
	}
	return int64(len(names)) - 1 // not counting that of dir
}
