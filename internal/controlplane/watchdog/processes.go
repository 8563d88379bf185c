package watchdog

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// killInterval is how long KillDescendants waits for killed processes before it looks for more.
const killInterval = time.Millisecond

// BecomeSubreaper makes orphaned descendants of this process its children.
func BecomeSubreaper() error { return unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0) }

// KillDescendants kills all descendants of this process, and those that they start meanwhile, until there are none.
func KillDescendants() {
	for signalDescendants(syscall.SIGKILL) > 0 {
		reapChildren()
		time.Sleep(killInterval)
	}
}

// reapChildren waits for the children that are dead, among them orphans of descendants.
func reapChildren() {
	for {
		var status syscall.WaitStatus
		pid, err := syscall.Wait4(-1, &status, syscall.WNOHANG, nil)
		if pid <= 0 || err != nil {
			return
		}
	}
}

// signalDescendants sends a signal to all descendants, and returns how many got it.
func signalDescendants(s syscall.Signal) (signaled int) {
	for _, pid := range descendants() {
		if syscall.Kill(pid, s) == nil {
			signaled++
		}
	}
	return signaled
}

// descendants returns the processes below this one that are not dead.
func descendants() (pids []int) {
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // the pattern is valid
	children := map[int][]int{}
	for _, path := range stats {
		stat, err := os.ReadFile(path)
		if err != nil {
			continue // the process is gone
		}
		if pid, parent, ok := parseStat(string(stat)); ok {
			children[parent] = append(children[parent], pid)
		}
	}
	for queue := children[os.Getpid()]; len(queue) > 0; queue = queue[1:] {
		pids = append(pids, queue[0])
		queue = append(queue, children[queue[0]]...)
	}
	return pids
}

// parseStat reads a process and its parent from the contents of /proc/PID/stat; ok is false if the process is dead.
func parseStat(stat string) (pid, parent int, ok bool) {
	// The second field, the command's name in brackets, may contain spaces and brackets.
	head, rest, found := strings.Cut(stat, " (")
	nameEnd := strings.LastIndex(rest, ") ")
	if !found || nameEnd < 0 {
		return 0, 0, false
	}
	fields := strings.Fields(rest[nameEnd+2:]) // state, parent, ...
	if len(fields) < 2 || fields[0] == "Z" || fields[0] == "X" {
		return 0, 0, false
	}
	pid, err := strconv.Atoi(head)
	if err != nil {
		return 0, 0, false
	}
	parent, err = strconv.Atoi(fields[1])
	return pid, parent, err == nil
}
