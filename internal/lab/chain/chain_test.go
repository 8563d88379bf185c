package chain

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

var sidecarProgram string // path of the sidecar program, which TestMain builds

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "chain-test-")
	if err != nil {
		panic(err)
	}
	sidecarProgram = filepath.Join(dir, "sidecar")
	if out, err := exec.Command("go", "build", "-o", sidecarProgram,
		"birchmoor/cmd/sidecar").CombinedOutput(); err != nil {
		fmt.Println(string(out))
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Println(err)
		code = 1
	}
	os.Exit(code)
}

// smallOptions returns the options of a row of three levels with few calls, where all attempts at the leaf fail.
func smallOptions(t *testing.T, class string, attempts int, fail LeafFailure) Options {
	return Options{Program: sidecarProgram, Dir: t.TempDir(), Depth: 3, Servers: 2, Rate: 40, Duration: time.Second / 2,
		Attempts: attempts, Class: class, LeafFailure: fail, FailureShare: 1, Seed: 1}
}

// violations describes the violated bounds of a result. They hold whatever the speed of the machine.
func violations(result *Result) (found []string) {
	add := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	answers := 0
	for code, n := range result.Answers {
		if answers += n; code == "0" {
			add("%d calls got no answer", n)
		}
	}
	if answers != result.Calls || result.Broken+result.ExcessAnswers > 0 {
		add("%d answers to %d calls, %d calls broken, %d answers followed by more bytes", answers, result.Calls,
			result.Broken,
			result.ExcessAnswers)
	}
	failure := result.LeafFailure
	if failure == "" {
		failure = LeafErrors // a sidecar may also retry a call that is merely slow
	}
	if maxTotal := MaxLeafAttempts(Classes[result.Class], failure, result.Attempts,
		result.Depth); float64(result.MaxLeafAttempts) > maxTotal {
		add("%d attempts at the leaf for one call, want at most %v", result.MaxLeafAttempts, maxTotal)
	}
	sidecars := 1
	if result.Clock != "processes" {
		sidecars = result.Servers
	}
	if maxTotal := BudgetedLeafAttempts(Classes[result.Class], failure, result.Attempts, result.Depth, result.Calls,
		sidecars); result.MeanLeafAttempts*float64(result.Calls) > maxTotal+0.5 {
		add("%v attempts at the leaf per call, the budgets allow %v for all calls", result.MeanLeafAttempts, maxTotal)
	}
	for number, figures := range result.Levels {
		if figures.NotReduced > 0 {
			add("level %d: %d attempts had no less time left than the call before them", number+1, figures.NotReduced)
		}
		if number > 0 && figures.Attempts > 0 && figures.TimeLeftMax >= result.Levels[number-1].TimeLeftMax {
			add("level %d had up to %d ms left, the one before up to %d ms", number+1, figures.TimeLeftMax,
				result.Levels[number-1].TimeLeftMax)
		}
	}
	return found
}

// Each call gets one answer, no call becomes more attempts than the formulas allow, and the time left falls from level
// to level. An application that calls twice or passes on more time than it has left is found.
func TestRowKeepsAttemptsAndTimeLeftWithinBounds(t *testing.T) {
	for _, c := range []struct {
		class    string
		attempts int
		fail     LeafFailure
		plant    injectedDefect
		want     string // part of a violation, or empty for none
	}{
		{"look", 3, "", injectedDefect{}, ""},
		{"look", 3, LeafErrors, injectedDefect{}, ""},
		{"book", 2, LeafRejects, injectedDefect{}, ""},
		{"pay", 4, LeafErrors, injectedDefect{}, ""},
		{"pay", 1, "", injectedDefect{callsTwice: true}, "attempts at the leaf for one call"},
		{"book", 1, "", injectedDefect{keepsRootTimeout: true}, "no less time left than the call before them"},
	} {
		t.Run(fmt.Sprintf("%s,%d,%s,%v", c.class, c.attempts, c.fail, c.plant), func(t *testing.T) {
			t.Parallel()
			options := smallOptions(t, c.class, c.attempts, c.fail)
			options.defect = c.plant
			result, err := Run(t.Context(), options)
			if err != nil {
				t.Fatal(err)
			}
			found := strings.Join(violations(result), "\n")
			if c.want == "" && found != "" || !strings.Contains(found, c.want) {
				t.Errorf("violations want %q, got:\n%s", c.want, found)
			}
			if result.Levels[0].Attempts == 0 {
				t.Error("no attempt reached the first level")
			}
			if left, _ := os.ReadDir(options.Dir); len(left) > 0 {
				t.Errorf("the run left files behind: %v", left)
			}
		})
	}
}

// A run that is stopped, or whose program does not start, leaves no files and no processes. TestMain checks for leaked
// goroutines, of which each process has one.
func TestRunLeavesNothingBehindWhenStopped(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	options := smallOptions(t, "look", 1, LeafSilent)
	options.Duration, options.Progress = time.Minute, func(string) { cancel() }
	if _, err := Run(ctx, options); !errors.Is(err, context.Canceled) {
		t.Errorf("stopped run: error %v, want a canceled context", err)
	}
	options.Program, options.Progress = "/no/such/program", nil
	if _, err := Run(t.Context(), options); err == nil || !strings.Contains(err.Error(), "/no/such/program") {
		t.Errorf("missing program: error %v, want its path", err)
	}
	options.Program = "/bin/false"
	if _, err := Run(t.Context(), options); err == nil || !strings.Contains(err.Error(), "ended before it was ready") {
		t.Errorf("program that exits at once: error %v", err)
	}
	if left, _ := os.ReadDir(options.Dir); len(left) > 0 {
		t.Errorf("the runs left files behind: %v", left)
	}
}
