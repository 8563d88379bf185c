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

var program string // the sidecar, built once

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "chain-test-")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "sidecar")
	if out, err := exec.Command("go", "build", "-o", program, "birchmoor/cmd/sidecar").CombinedOutput(); err != nil {
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

// small is a row of three, with few calls.
func small(t *testing.T, class string, attempts int, fail How) Options {
	return Options{Bin: program, Dir: t.TempDir(), Depth: 3, Servers: 2, Rate: 40, For: time.Second / 2, Attempts: attempts, Class: class, Fail: fail, Share: 1, Seed: 1}
}

// faults are what a row is never to show, by counts and order alone.
func faults(x *Result) (all []string) {
	bad := func(format string, args ...any) { all = append(all, fmt.Sprintf(format, args...)) }
	answers := 0
	for code, n := range x.Answers {
		if answers += n; code == "0" {
			bad("%d calls had no answer", n)
		}
	}
	if answers != x.Calls || x.Broken+x.Surplus > 0 {
		bad("%d answers to %d calls, %d broken, %d with something behind them", answers, x.Calls, x.Broken, x.Surplus)
	}
	how := x.Fail
	if how == "" {
		how = Errors // one that is merely slow may be repeated as well
	}
	if most := Worst(Classes[x.Class], how, x.Attempts, x.Depth); float64(x.LeafMost) > most {
		bad("%d attempts at the leaf for one call, at most %v", x.LeafMost, most)
	}
	sidecars := 1
	if x.By != "processes" {
		sidecars = x.Servers
	}
	if most := Budgeted(Classes[x.Class], how, x.Attempts, x.Depth, x.Calls, sidecars); x.PerCall*float64(x.Calls) > most+0.5 {
		bad("%v attempts at the leaf a call, the budgets leave %v for all", x.PerCall, most)
	}
	for k, l := range x.Levels {
		if l.Rose > 0 {
			bad("level %d: %d attempts were told of no less time than the call came with", k+1, l.Rose)
		}
		if k > 0 && l.Attempts > 0 && l.LeftMax >= x.Levels[k-1].LeftMax {
			bad("level %d was told of up to %d ms, the one before of %d", k+1, l.LeftMax, x.Levels[k-1].LeftMax)
		}
	}
	return all
}

// Each call has one answer, no call becomes more attempts than the formulas say, and the time left falls from level to level. An
// application that calls twice shows, and one that passes on more time than it has.
func TestRow(t *testing.T) {
	for _, c := range []struct {
		class    string
		attempts int
		fail     How
		plant    plant
		want     string // part of a fault
	}{
		{"look", 3, "", plant{}, ""},
		{"look", 3, Errors, plant{}, ""},
		{"book", 2, Refuses, plant{}, ""},
		{"pay", 4, Errors, plant{}, ""},
		{"pay", 1, "", plant{twice: true}, "attempts at the leaf for one call"},
		{"book", 1, "", plant{keepsMs: true}, "no less time than the call came with"},
	} {
		t.Run(fmt.Sprintf("%s,%d,%s,%v", c.class, c.attempts, c.fail, c.plant), func(t *testing.T) {
			t.Parallel()
			o := small(t, c.class, c.attempts, c.fail)
			o.plant = c.plant
			x, err := Run(t.Context(), o)
			if err != nil {
				t.Fatal(err)
			}
			all := strings.Join(faults(x), "\n")
			if c.want == "" && all != "" || !strings.Contains(all, c.want) {
				t.Errorf("want a fault of %q, got:\n%s", c.want, all)
			}
			if x.Levels[0].Attempts == 0 {
				t.Error("nothing reached the first level")
			}
			if left, _ := os.ReadDir(o.Dir); len(left) > 0 {
				t.Errorf("left behind: %v", left)
			}
		})
	}
}

// A run that is stopped, or whose program does not start, leaves nothing behind: TestMain looks for goroutines, one a process.
func TestStopped(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	o := small(t, "look", 1, Silent)
	o.For, o.Say = time.Minute, func(string) { cancel() }
	if _, err := Run(ctx, o); !errors.Is(err, context.Canceled) {
		t.Errorf("stopped: %v", err)
	}
	o.Bin, o.Say = "/no/such/program", nil
	if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), "/no/such/program") {
		t.Errorf("no program: %v", err)
	}
	o.Bin = "/bin/false"
	if _, err := Run(t.Context(), o); err == nil || !strings.Contains(err.Error(), "ended before it was ready") {
		t.Errorf("a program that ends: %v", err)
	}
	if left, _ := os.ReadDir(o.Dir); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}
