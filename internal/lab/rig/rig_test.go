package rig

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"

	"birchmoor/internal/lab/figures"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

var program string // the sidecar, built once

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rig-test-")
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

// small is a short scenario at a pace that leaves a busy machine time: 2 sidecars, 4 servers, 20 requests a second.
func small(t *testing.T, length, more string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("small.toml", []byte(fmt.Sprintf(`name = "small"
length = %q
[[servers]]
count = 4
cores = 4
cold_for = "2s"
[[class]]
name = "slot-search"
work = "5ms"
aim = "1s"
give_up = "3s"
[[class]]
name = "confirm"
work = "5ms"
aim = "1s"
give_up = "3s"
unsafe = true
[load]
rate = 20.0
[discovery]
notice = "100ms"
add = "100ms"
`, length)+more))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func play(t *testing.T, s *scenario.Scenario, sinks ...trace.Sink) *figures.Result {
	t.Helper()
	x, err := Run(context.Background(), s, Options{Seed: 3, Bin: program, Dir: t.TempDir(), Sinks: sinks})
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// The rules hold on sockets whatever goes wrong, and every request has an end. How fast answers come is not asked:
// the machine that runs the tests may be busy.
func TestRulesHold(t *testing.T) {
	for name, faults := range map[string]string{
		"upgrade": "[[fault]]\nkind = \"upgrade\"\nat = \"1s\"\nfor = \"1s\"\n",
		"operators and a crash": "[[fault]]\nkind = \"maintain\"\nat = \"500ms\"\nfor = \"1500ms\"\nlag = \"700ms\"\nservers = [0]\n" +
			"[[fault]]\nkind = \"crash\"\nat = \"1s\"\nfor = \"1s\"\nservers = [1]\n",
		"links": "[[fault]]\nkind = \"black-hole\"\nat = \"1s\"\nfor = \"1s\"\nservers = [2]\n" +
			"[[fault]]\nkind = \"reset\"\nat = \"1s\"\nfor = \"1s\"\nevery = \"100ms\"\nservers = [3]\n" +
			"[[fault]]\nkind = \"drain\"\nat = \"500ms\"\nfor = \"1s\"\nservers = [0]\n",
		"slow links": "[[fault]]\nkind = \"bandwidth\"\nat = \"500ms\"\nfor = \"1s\"\nfactor = 20000.0\n" +
			"[[fault]]\nkind = \"pieces\"\nat = \"1s\"\nfor = \"1s\"\nfactor = 50.0\nlag = \"1ms\"\nservers = [0, 1]\n" +
			"[[fault]]\nkind = \"half-close\"\nat = \"1500ms\"\nfor = \"1s\"\nservers = [2]\n",
		"asked to end": "[[fault]]\nkind = \"stop\"\nat = \"1s\"\nfor = \"700ms\"\nsidecars = [0]\n",
		"killed, discovery down": "[[fault]]\nkind = \"kill\"\nat = \"1s\"\nfor = \"500ms\"\nsidecars = [1]\n" +
			"[[fault]]\nkind = \"discovery-down\"\nat = \"500ms\"\nfor = \"1s\"\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := play(t, small(t, "3s", faults))
			v := x.Verdict
			if n := v.Counts; n.Requests < 30 || n.Served < n.Requests/2 || n.Served+n.Rejected+n.Failed+n.Abandoned != n.Requests {
				t.Errorf("counts: %+v", n)
			}
			if x.Void == "" && (!v.Passed() || len(x.Missed) > 0) {
				t.Errorf("%s: %v, %v", x.Line(), v.Violations, x.Missed)
			}
		})
	}
}

// The same seed asks the same on sockets as in the simulation, whoever is late.
func TestAsksWhatWasPlanned(t *testing.T) {
	var mu sync.Mutex
	asked := map[uint64]trace.Event{}
	x := play(t, small(t, "1s", ""), trace.Func(func(e trace.Event) {
		if e.Kind == trace.RequestSent && !e.Retry {
			mu.Lock()
			defer mu.Unlock()
			asked[e.Task] = e
		}
	}))
	if len(asked) < 10 || x.Figures["service"] < 0.5 {
		t.Errorf("%d were asked; %s", len(asked), x.Line())
	}
}

// A program that ends by itself, or never becomes ready, does not leave the lab waiting.
func TestBadPrograms(t *testing.T) {
	dir := t.TempDir()
	script := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte("#!/bin/sh\n"+text+"\n"), 0o755); err != nil {
			t.Fatal(err)
		}
		return path
	}
	s := small(t, "2s", "")
	for name, c := range map[string]struct{ bin, want string }{
		"ends at once": {script("ends", "exit 3"), "exit status 3"},
		"is not there": {filepath.Join(dir, "none"), "no such file"},
	} {
		if _, err := Run(context.Background(), s, Options{Bin: c.bin}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("a program that %s: %v", name, err)
		}
	}
	// Killed by somebody else in the middle: the run goes on to its verdict and names it.
	killer := script("killer", program+" & pid=$!; (while ! grep -q serving "+dir+"/n0/log.txt; do :; done; kill -9 $pid) & wait $pid")
	x, err := Run(context.Background(), s, Options{Bin: killer, Dir: dir})
	if err != nil {
		if !strings.Contains(err.Error(), "ended before it was ready") {
			t.Error(err)
		}
	} else if x.Passed() || !strings.Contains(strings.Join(x.Missed, " "), "ended by itself") {
		t.Errorf("a program that was killed: %s, missed %v", x.Line(), x.Missed)
	}
}

// Ctrl-C ends a run at once; that no goroutine, process or port is left is seen by the check of leaks in TestMain.
func TestStops(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var once sync.Once
	_, err := Run(ctx, small(t, "1h", "[[fault]]\nkind = \"upgrade\"\nat = \"100ms\"\nfor = \"1s\"\n"), Options{Bin: program,
		Sinks: []trace.Sink{trace.Func(func(e trace.Event) {
			if e.Kind == trace.RequestAnswered {
				once.Do(cancel)
			}
		})}})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("the run ended with %v", err)
	}
}

func TestTooLarge(t *testing.T) {
	s := small(t, "1s", "[fleet]\nsidecars = 200\n")
	if _, err := Run(context.Background(), s, Options{Bin: program}); err == nil || !strings.Contains(err.Error(), "use lab sim") {
		t.Errorf("800 links: %v", err)
	}
}
