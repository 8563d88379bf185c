package tasklab

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"

	"birchmoor/internal/controlplane/quota"
)

// ClockRateEnv is the environment variable with the rate of a process's clock and ticks, relative to the host's clock.
const ClockRateEnv = "BIRCHMOOR_BENCH_PACE"

// QuotaDefectEnv is the environment variable with the number of an injected defect of a process's quotas, a
// quota.Defect.
const QuotaDefectEnv = "BIRCHMOOR_BENCH_LIMIT"

// ProcessFaults are the faults that a fault run injects within a process: another clock rate, a defect of its quotas
// and, from a SIGUSR1 on, a disk that fails all syncs. Only builds with the tag planted read them.
type ProcessFaults struct {
	ClockRate   float64        // clock rate relative to the host's clock; 0: 1
	File        func(*os.File) // must be called with each file whose syncs are to fail; safe for concurrent use
	QuotaDefect quota.Defect   // injected defect of its quotas
}

// ReadProcessFaults reads the faults from the environment, and prepares File to wait for the signal. It exits the
// process if a value is invalid, because a fault run that injects nothing would pass for the wrong reason.
func ReadProcessFaults() ProcessFaults {
	var faults ProcessFaults
	if text := os.Getenv(ClockRateEnv); text != "" {
		pace, err := strconv.ParseFloat(text, 64)
		if err != nil || pace < 0.1 || pace > 10 {
			fmt.Fprintf(os.Stderr, "%s: %q is not a clock rate within 0.1 and 10\n", ClockRateEnv, text)
			os.Exit(2)
		}
		faults.ClockRate = pace
	}
	if text := os.Getenv(QuotaDefectEnv); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %q is not the number of a defect\n", QuotaDefectEnv, text)
			os.Exit(2)
		}
		faults.QuotaDefect = quota.Defect(n)
	}
	var mu sync.Mutex
	var open []*os.File
	faults.File = func(f *os.File) {
		mu.Lock()
		defer mu.Unlock()
		if open = append(open, f); len(open) > 1 {
			return
		}
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, syscall.SIGUSR1)
		go func() {
			<-signals
			mu.Lock()
			defer mu.Unlock()
			for _, f := range open {
				failSyncs(f)
			}
		}()
	}
	return faults
}

// failSyncs replaces an open file by /dev/null under the same descriptor. Writes to it succeed and are lost, and syncs
// fail with EINVAL.
func failSyncs(f *os.File) {
	devNull, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		return
	}
	defer devNull.Close()
	_ = syscall.Dup3(int(devNull.Fd()), int(f.Fd()), syscall.O_CLOEXEC) // fails for a closed file, which needs no sync
}
