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

// killRetryInterval is the time for which KillDescendants lets killed processes end before it looks for descendants
// again.
const killRetryInterval = time.Millisecond

// BecomeSubreaper makes this process the parent of descendants whose own parent dies, so that they stay its
// descendants.
func BecomeSubreaper() error { return unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0) }

// KillDescendants kills all descendants of this process, including those that are started meanwhile, and returns once
// no living one is left. Descendants with a dead parent are found only after BecomeSubreaper.
func KillDescendants() {
	for signalDescendants(syscall.SIGKILL) > 0 {
		reapChildren()
		time.Sleep(killRetryInterval)
	}
}

// reapChildren reaps all dead children of this process, including orphans that it adopted as subreaper. It does not
// block.
func reapChildren() {
	for {
		var status syscall.WaitStatus
		pid, err := syscall.Wait4(-1, &status, syscall.WNOHANG, nil)
		if pid <= 0 || err != nil {
			return
		}
	}
}

// signalDescendants sends a signal to all descendants of this process, and returns to how many it could be sent.
func signalDescendants(signal syscall.Signal) (signaled int) {
	for _, pid := range descendants() {
		if syscall.Kill(pid, signal) == nil {
			signaled++
		}
	}
	return signaled
}

// descendants returns the process IDs of all living descendants of this process.
func descendants() (pids []int) {
	stats, _ := filepath.Glob("/proc/[0-9]*/stat") // the pattern is valid
	children := map[int][]int{}
	for _, path := range stats {
		stat, err := os.ReadFile(path)
		if err != nil {
			continue // the process has ended meanwhile
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

// parseStat parses the process ID and that of the parent from the contents of /proc/PID/stat. ok is false if the
// process is dead or the contents are invalid.
func parseStat(stat string) (pid, parent int, ok bool) {
	// The second field is the name of the command in brackets, which may itself contain spaces and brackets.
	pidField, rest, found := strings.Cut(stat, " (")
	nameEnd := strings.LastIndex(rest, ") ")
	if !found || nameEnd < 0 {
		return 0, 0, false
	}
	fields := strings.Fields(rest[nameEnd+2:]) // state, parent, ...
	if len(fields) < 2 || fields[0] == "Z" || fields[0] == "X" {
		return 0, 0, false
	}
	pid, err := strconv.Atoi(pidField)
	if err != nil {
		return 0, 0, false
	}
	parent, err = strconv.Atoi(fields[1])
	return pid, parent, err == nil
}
