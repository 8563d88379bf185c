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

var program string // path of the sidecar program, which TestMain builds

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

// parseSmallScenario returns a short scenario with 2 sidecars, 4 servers and 20 requests a second, a rate that also a
// busy machine sustains. extra is appended to its text.
func parseSmallScenario(t *testing.T, length, extra string) *scenario.Scenario {
	t.Helper()
	parsed, err := scenario.Parse("small.toml", []byte(fmt.Sprintf(`name = "small"
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
`, length)+extra))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func runScenario(t *testing.T, sc *scenario.Scenario, sinks ...trace.Sink) *figures.Result {
	t.Helper()
	result, err := Run(context.Background(), sc, Options{Seed: 3, Bin: program, Dir: t.TempDir(), Sinks: sinks})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// Checks that the rules hold on sockets under each fault and that every request ends. The speed of answers is not
// checked, since the machine that runs the tests may be busy.
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
			result := runScenario(t, parseSmallScenario(t, "3s", faults))
			verdict := result.Verdict
			if counts := verdict.Counts; counts.Requests < 30 || counts.Served < counts.Requests/2 ||
				counts.Served+counts.Rejected+counts.Failed+counts.Abandoned != counts.Requests {
				t.Errorf("too few requests, or too few of them served, or the counts do not balance: %+v", counts)
			}
			if result.Void == "" && (!verdict.Passed() || len(result.Missed) > 0) {
				t.Errorf("%s; violations: %v; incidents: %v", result.Line(), verdict.Violations, result.Missed)
			}
		})
	}
}

// Checks that the clients on sockets send the requests that the scenario schedules, and that at least half of their
// worth is answered within the latency objective.
func TestClientsSendScheduledRequests(t *testing.T) {
	var mu sync.Mutex
	requested := map[uint64]trace.Event{}
	result := runScenario(t, parseSmallScenario(t, "1s", ""), trace.Func(func(e trace.Event) {
		if e.Kind == trace.RequestSent && !e.Retry {
			mu.Lock()
			defer mu.Unlock()
			requested[e.Task] = e
		}
	}))
	if len(requested) < 10 || result.Figures["service"] < 0.5 {
		t.Errorf("clients sent %d requests, want at least 10, half of them in time; %s", len(requested), result.Line())
	}
}

// Guards against a lab that waits for ever if the program cannot be started or ends by itself.
func TestRunReportsProgramThatEnds(t *testing.T) {
	dir := t.TempDir()
	script := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte("#!/bin/sh\n"+text+"\n"), 0o755); err != nil {
			t.Fatal(err)
		}
		return path
	}
	sc := parseSmallScenario(t, "2s", "")
	for name, c := range map[string]struct{ bin, want string }{
		"ends at once": {script("ends", "exit 3"), "exit status 3"},
		"is not there": {filepath.Join(dir, "none"), "no such file"},
	} {
		if _, err := Run(context.Background(), sc, Options{Bin: c.bin}); err == nil ||
			!strings.Contains(err.Error(), c.want) {
			t.Errorf("a program that %s is reported with another error: %v", name, err)
		}
	}
	// If something else kills the process, the run continues to its verdict and reports the end of the process.
	killer := script("killer", program+
		" & pid=$!; (while ! grep -q serving "+dir+"/n0/log.txt; do :; done; kill -9 $pid) & wait $pid")
	result, err := Run(context.Background(), sc, Options{Bin: killer, Dir: dir})
	if err != nil {
		if !strings.Contains(err.Error(), "ended before it was ready") {
			t.Error(err)
		}
	} else if result.Passed() || !strings.Contains(strings.Join(result.Missed, " "), "ended by itself") {
		t.Errorf("the end of a killed program was not reported: %s; incidents: %v", result.Line(), result.Missed)
	}
}

// Checks that a cancelled run, as by Ctrl-C, ends at once. The leak check in TestMain finds goroutines that are left.
func TestRunEndsWhenCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var once sync.Once
	_, err := Run(ctx,
		parseSmallScenario(t, "1h", "[[fault]]\nkind = \"upgrade\"\nat = \"100ms\"\nfor = \"1s\"\n"), Options{
			Bin: program,
			Sinks: []trace.Sink{trace.Func(func(e trace.Event) {
				if e.Kind == trace.RequestAnswered {
					once.Do(cancel)
				}
			})}})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("the cancelled run returned %v, want context.Canceled", err)
	}
}

func TestRunRefusesTooManyLinks(t *testing.T) {
	sc := parseSmallScenario(t, "1s", "[fleet]\nsidecars = 200\n")
	if _, err := Run(context.Background(), sc, Options{Bin: program}); err == nil ||
		!strings.Contains(err.Error(), "use lab sim") {
		t.Errorf("a run with 800 links returned %v, want an error that names lab sim", err)
	}
}
