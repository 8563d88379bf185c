// Package watchdog runs a command that must be over by a deadline which is put off again and again, and that must not outlive the one
// who puts it off. It ends the command with all that it started, whether or not that left its group: the keeper is the reaper of its
// descendants (PR_SET_CHILD_SUBREAPER), so that none gets away from it by its parent's death.
//
// The deadlines come as lines on a pipe, so that a keeper finds the other end's death by the pipe's end, and goes by what it was last
// told when the other end is stopped.
package watchdog

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"birchmoor/internal/platform/bootclock"

	"golang.org/x/sys/unix"
)

// Command is what is run.
type Command struct {
	Args        []string
	Env         []string
	GracePeriod time.Duration   // between SIGTERM and SIGKILL, at most
	KillMargin  time.Duration   // SIGKILL comes so long before the deadline, at the latest
	Clock       bootclock.Clock // of the deadlines
	OnOverrun   func(by int64)  // is told if the command may have gone on past its deadline, in nanoseconds: this process did not run in time
}

// How a command ended.
var (
	ErrDeadlinePassed = errors.New("its time was up")
	ErrParentGone     = errors.New("who keeps it in time is gone")
	ErrEndRequested   = errors.New("it was told to end")
)

// Lines of the pipe: a deadline in nanoseconds, or this.
const endLine = "end"

// ExtendDeadline writes a deadline to a keeper's pipe.
func ExtendDeadline(w io.Writer, until int64) error {
	return writeLine(w, strconv.FormatInt(until, 10))
}

// RequestEnd tells a keeper to end its command.
func RequestEnd(w io.Writer) error { return writeLine(w, endLine) }

func writeLine(w io.Writer, s string) error {
	_, err := io.WriteString(w, s+"\n")
	return err
}

// BecomeSubreaper has orphans of this process's descendants become its children.
func BecomeSubreaper() error { return unix.Prctl(unix.PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0) }

// Run runs the command until it ends by itself, or must. The first deadline is to be on the pipe already. It returns the command's
// exit code, 128 and the number of the signal if that ended it, and why it was ended if it was. Nothing that it started is left.
func (c Command) Run(pipe io.Reader) (code int, why error) {
	if err := BecomeSubreaper(); err != nil {
		return 0, err
	}
	lines := bufio.NewScanner(pipe)
	if !lines.Scan() {
		return 0, ErrParentGone
	}
	until, err := strconv.ParseInt(lines.Text(), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("deadline: %w", err)
	}
	type told struct {
		until int64
		why   error
	}
	news := make(chan told)
	go func() {
		for lines.Scan() {
			n, err := strconv.ParseInt(lines.Text(), 10, 64)
			if err != nil {
				news <- told{why: ErrEndRequested}
				continue
			}
			news <- told{until: n}
		}
		news <- told{why: ErrParentGone}
	}()
	cmd := exec.Command(c.Args[0], c.Args[1:]...)
	cmd.Env, cmd.Stdin, cmd.Stdout, cmd.Stderr = c.Env, os.Stdin, os.Stdout, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if c.Clock.Now() >= until-int64(c.KillMargin) {
		return 0, ErrDeadlinePassed
	}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	deadline := until // as it was last told
	defer func() {
		KillDescendants()
		if by := c.Clock.Now() - deadline; by > 0 && c.KillMargin >= 0 && c.OnOverrun != nil {
			c.OnOverrun(by)
		}
	}()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for termed := false; ; {
		now, kill := c.Clock.Now(), until-int64(c.KillMargin)
		term := kill - int64(c.GracePeriod)
		if why == nil && now >= term {
			why = ErrDeadlinePassed
		}
		if why != nil && !termed {
			termed = true
			signalDescendants(syscall.SIGTERM)
			kill = min(kill, now+int64(c.GracePeriod))
			until = kill + int64(c.KillMargin) // and no longer, whatever else is told
		}
		if termed && now >= kill || why == ErrParentGone {
			KillDescendants()
		}
		next := term
		if termed {
			next = kill
		}
		t := time.NewTimer(max(time.Millisecond, c.Clock.Span(next-now)))
		select {
		case <-ended:
			t.Stop()
			return exitCode(cmd.ProcessState), why
		case x := <-news:
			if x.why != nil && (why == nil || x.why == ErrParentGone) {
				why = x.why
			}
			if x.until > until && !termed {
				until, deadline = x.until, x.until
			}
		case <-t.C:
		}
		t.Stop()
	}
}

func exitCode(s *os.ProcessState) int {
	if s == nil { // Clear was there first
		return 128 + int(syscall.SIGKILL)
	}
	if w, ok := s.Sys().(syscall.WaitStatus); ok && w.Signaled() {
		return 128 + int(w.Signal())
	}
	return s.ExitCode()
}

// signalDescendants sends a signal to all descendants.
func signalDescendants(s syscall.Signal) (n int) {
	for _, pid := range descendants() {
		if syscall.Kill(pid, s) == nil {
			n++
		}
	}
	return n
}

// KillDescendants kills all descendants, and those that they start meanwhile, until there are none.
func KillDescendants() {
	for signalDescendants(syscall.SIGKILL) > 0 {
		for { // orphans come to this process, which has to wait for them
			var w syscall.WaitStatus
			pid, err := syscall.Wait4(-1, &w, syscall.WNOHANG, nil)
			if pid <= 0 || err != nil {
				break
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// descendants are the processes below this one that are not dead yet.
func descendants() (below []int) {
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	children := map[int][]int{}
	for _, path := range stats {
		b, err := os.ReadFile(path)
		if err != nil {
			continue // it is gone
		}
		// The name in brackets may hold anything.
		head, rest, ok := strings.Cut(string(b), " (")
		at := strings.LastIndex(rest, ") ")
		if !ok || at < 0 {
			continue
		}
		fields := strings.Fields(rest[at+2:])
		pid, bad := strconv.Atoi(head)
		if bad != nil || len(fields) < 2 || fields[0] == "Z" || fields[0] == "X" {
			continue
		}
		if parent, err := strconv.Atoi(fields[1]); err == nil {
			children[parent] = append(children[parent], pid)
		}
	}
	for list := children[os.Getpid()]; len(list) > 0; list = list[1:] {
		below = append(below, list[0])
		list = append(list, children[list[0]]...)
	}
	return below
}
