package usage

import (
	"os"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"syscall"
)

// Process is how a whole process stands, whatever runs in it beside the control plane. What the system does not tell is -1.
type Process struct {
	CPUUserSeconds   float64 `json:"cpu_user_seconds"` // by getrusage, since its start
	CPUSystemSeconds float64 `json:"cpu_system_seconds"`
	HeapBytes        int64   `json:"heap_bytes"`     // in objects, live or not yet swept
	ResidentBytes    int64   `json:"resident_bytes"` // now, not the most that there were
	Descriptors      int64   `json:"descriptors"`
	Goroutines       int64   `json:"goroutines"`
}

// ReadProcess looks at the process that calls. It reads files of /proc and stops no goroutine.
func ReadProcess() Process {
	p := Process{CPUUserSeconds: -1, CPUSystemSeconds: -1, ResidentBytes: -1, Descriptors: -1, Goroutines: int64(runtime.NumGoroutine())}
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		p.CPUUserSeconds, p.CPUSystemSeconds = float64(u.Utime.Nano())/1e9, float64(u.Stime.Nano())/1e9
	}
	heap := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	if metrics.Read(heap); heap[0].Value.Kind() == metrics.KindUint64 {
		p.HeapBytes = int64(heap[0].Value.Uint64())
	}
	if b, err := os.ReadFile("/proc/self/statm"); err == nil {
		if f := strings.Fields(string(b)); len(f) > 1 {
			if n, err := strconv.ParseInt(f[1], 10, 64); err == nil {
				p.ResidentBytes = n * int64(os.Getpagesize())
			}
		}
	}
	if d, err := os.Open("/proc/self/fd"); err == nil {
		names, err := d.Readdirnames(-1)
		if d.Close(); err == nil {
			p.Descriptors = int64(len(names)) - 1 // without the one that looks
		}
	}
	return p
}
