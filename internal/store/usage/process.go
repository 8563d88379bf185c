package usage

import (
	"os"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"syscall"
)

// unknown is a figure that the system does not provide.
const unknown = -1

// Process is the resources of a process, whatever runs in it besides the control plane. A figure that the
// system does not provide is -1.
type Process struct {
	CPUUserSeconds   float64 `json:"cpu_user_seconds"` // since its start, by getrusage
	CPUSystemSeconds float64 `json:"cpu_system_seconds"`
	HeapBytes        int64   `json:"heap_bytes"`     // in objects, live or not yet swept
	ResidentBytes    int64   `json:"resident_bytes"` // at present
	Descriptors      int64   `json:"descriptors"`
	Goroutines       int64   `json:"goroutines"`
}

// ReadProcess reads the resources of this process. It reads files of /proc and stops no goroutine.
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
		return unknown, unknown
	}
	const nanosPerSecond = 1e9
	return float64(usage.Utime.Nano()) / nanosPerSecond, float64(usage.Stime.Nano()) / nanosPerSecond
}

// readHeapBytes is 0 where the runtime has no such metric.
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
		return unknown
	}
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return unknown
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return unknown
	}
	return pages * int64(os.Getpagesize())
}

func countDescriptors() int64 {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return unknown
	}
	names, err := dir.Readdirnames(-1)
	_ = dir.Close() // opened for reading alone
	if err != nil {
		return unknown
	}
	return int64(len(names)) - 1 // without the one of dir
}
