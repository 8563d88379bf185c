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

// PaceEnv names the pace of a process's boot clock and ticks, by the host's.
const PaceEnv = "BIRCHMOOR_BENCH_PACE"

// LimitEnv names a fault of a process's shares of limits, by its number.
const LimitEnv = "BIRCHMOOR_BENCH_LIMIT"

// Inside is what the bench does within a process of a build for tests: its clock runs at another pace, and from a SIGUSR1 on its disk
// fails every sync. No other build reads it.
type Inside struct {
	Pace  float64 // 0: 1
	File  func(*os.File)
	Limit quota.Defect // a fault of its shares of limits
}

// ReadInside reads the environment, and heeds the signal. What cannot be read ends the process: a bench that plays nothing shows nothing.
func ReadInside() Inside {
	var in Inside
	if text := os.Getenv(PaceEnv); text != "" {
		pace, err := strconv.ParseFloat(text, 64)
		if err != nil || pace < 0.1 || pace > 10 {
			fmt.Fprintf(os.Stderr, "%s: %q is not a pace\n", PaceEnv, text)
			os.Exit(2)
		}
		in.Pace = pace
	}
	if text := os.Getenv(LimitEnv); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %q is not a fault\n", LimitEnv, text)
			os.Exit(2)
		}
		in.Limit = quota.Defect(n)
	}
	var mu sync.Mutex
	var open []*os.File
	in.File = func(f *os.File) {
		mu.Lock()
		defer mu.Unlock()
		if open = append(open, f); len(open) > 1 {
			return
		}
		told := make(chan os.Signal, 1)
		signal.Notify(told, syscall.SIGUSR1)
		go func() {
			<-told
			mu.Lock()
			defer mu.Unlock()
			for _, f := range open {
				noSync(f)
			}
		}()
	}
	return in
}

// noSync puts /dev/null in the place of an open file, under the same descriptor: it takes all, keeps nothing, and says so when it is
// synced (EINVAL).
func noSync(f *os.File) {
	null, err := os.OpenFile(os.DevNull, os.O_RDWR, 0)
	if err != nil {
		return
	}
	defer null.Close()
	_ = syscall.Dup3(int(null.Fd()), int(f.Fd()), syscall.O_CLOEXEC) // a file that is closed by now syncs nothing
}
