// Command standin plays the cases of this review: it starts sidecars by the deploy file and stands in for clients, slot
// servers, discovery and the platform, all on loopback addresses.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// world is one run of a case.
type world struct {
	root     string // of the repository
	temp     string // folder of this run
	rec      *record
	trouble  bool
	sidecars int   // in the fleet; 0 stands for one
	push     bool  // lists are pushed
	known    *list // the list that a starting sidecar has; nil: the current one

	mu        sync.Mutex
	processes []*exec.Cmd
}

func (w *world) addProcess(c *exec.Cmd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes = append(w.processes, c)
}

// close ends all processes that the run started.
func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.processes {
		_ = c.Process.Kill()
	}
	time.Sleep(100 * time.Millisecond)
	_ = os.RemoveAll(w.temp)
}

// errBroken means that the rule was broken.
var errBroken = errors.New("rule broken")

var cases = map[string]func(*world) error{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		serverMain(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// findRoot returns the root of the repository that a folder is in: the nearest one that has the deploy file.
func findRoot(folder string) (string, error) {
	root, err := filepath.Abs(folder)
	for err == nil {
		if _, err := os.Stat(filepath.Join(root, "deploy/balancer.toml")); err == nil {
			return root, nil
		}
		if filepath.Dir(root) == root {
			return "", fmt.Errorf("%s is not in the repository", folder)
		}
		root = filepath.Dir(root)
	}
	return "", err
}

// play runs a case and returns the exit code: 0 the rule held, 1 it was broken, 2 the case couldn't run.
func play(name, folder string) int {
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	root, err := findRoot(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{root: root, temp: temp, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(2)
	}()
	result := cases[name](w)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = exec.Command("cp", "-r", w.temp, keep).Run()
	}
	w.close()
	switch {
	case result == nil:
		rec.say("the rule held")
		return 0
	case errors.Is(result, errBroken):
		rec.say("%v", result)
		return 1
	default:
		rec.say("the case could not run: %v", result)
		return 2
	}
}
