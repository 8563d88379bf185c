// Package watchdog runs a command that must end by a deadline which its controller extends again and again, and
// that must not outlive the controller. It ends the command with everything that it started, whether or not that
// left its process group: the watchdog is the reaper of its descendants (PR_SET_CHILD_SUBREAPER), so that none
// escapes by the death of its parent.
//
// Deadlines come as lines on a pipe. The end of the pipe tells the watchdog that the controller has died; while the
// controller is suspended, the last deadline holds. The package may import the platform's clock.
package watchdog

import (
	"errors"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"birchmoor/internal/platform/bootclock"
)

// Why a command was ended.
var (
	ErrDeadlinePassed = errors.New("the deadline passed")
	ErrParentGone     = errors.New("the process that extends the deadline is gone")
	ErrEndRequested   = errors.New("the command was requested to end")
)

// minTimer bounds how often Run looks at its deadline.
const minTimer = time.Millisecond

// signalExitBase is added to the number of the signal that ended a command, as shells do.
const signalExitBase = 128

// Command is a command to run.
type Command struct {
	Args        []string
	Env         []string
	GracePeriod time.Duration   // between SIGTERM and SIGKILL, at most
	KillMargin  time.Duration   // SIGKILL is sent so long before the deadline, at the latest
	Clock       bootclock.Clock // of the deadlines
	OnOverrun   func(nanos int64)
}

// execution is a running command. Instants are nanoseconds of the Clock.
type execution struct {
	Command
	cmd          *exec.Cmd
	ended        chan struct{}
	controls     <-chan control
	killDeadline int64 // SIGKILL is due KillMargin before it
	deadline     int64 // as last received
	terminating  bool  // SIGTERM was sent
	reason       error // why the command is ended
}

// Run runs the command until it ends by itself, or has to be ended. The first deadline must be on the pipe already.
// It returns the command's exit code, or 128 plus the number of the signal that ended it, and why it was ended if
// it was. Nothing that the command started is left. If the command may have run past its deadline, because this
// process was not scheduled in time, Run calls OnOverrun with by how many nanoseconds.
func (c Command) Run(pipe io.Reader) (code int, reason error) {
	if err := BecomeSubreaper(); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	deadline, controls, err := readControls(pipe, stop)
	if err != nil {
		return 0, err
	}
	if c.Clock.Now() >= deadline-int64(c.KillMargin) {
		return 0, ErrDeadlinePassed
	}
	x := &execution{
		Command:      c,
		cmd:          c.command(),
		ended:        make(chan struct{}),
		controls:     controls,
		killDeadline: deadline,
		deadline:     deadline,
	}
	if err := x.cmd.Start(); err != nil {
		return 0, err
	}
	defer x.cleanUp()
	go func() {
		_ = x.cmd.Wait() // ProcessState has the outcome
		close(x.ended)
	}()
	x.supervise()
	return exitCode(x.cmd.ProcessState), x.reason
}

func (c Command) command() *exec.Cmd {
	cmd := exec.Command(c.Args[0], c.Args[1:]...)
	cmd.Env = c.Env
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// supervise returns once the command has ended, and signals it when it has to.
func (x *execution) supervise() {
	for {
		now, next := x.enforce()
		timer := time.NewTimer(max(minTimer, x.Clock.TimerDuration(next-now)))
		select {
		case <-x.ended:
			timer.Stop()
			return
		case c := <-x.controls:
			x.apply(c)
		case <-timer.C:
		}
		timer.Stop()
	}
}

// enforce sends the signals that are due, and returns the time and when it is to be called again.
func (x *execution) enforce() (now, next int64) {
	now = x.Clock.Now()
	killAt := x.killDeadline - int64(x.KillMargin)
	termAt := killAt - int64(x.GracePeriod)
	if x.reason == nil && now >= termAt {
		x.reason = ErrDeadlinePassed
	}
	if x.reason != nil && !x.terminating {
		x.terminating = true
		signalDescendants(syscall.SIGTERM)
		killAt = min(killAt, now+int64(x.GracePeriod))
		x.killDeadline = killAt + int64(x.KillMargin)
	}
	if x.terminating && now >= killAt || errors.Is(x.reason, ErrParentGone) {
		KillDescendants()
	}
	if x.terminating {
		return now, killAt
	}
	return now, termAt
}

// apply takes a control from the pipe. A command that is being ended gets no later deadline.
func (x *execution) apply(c control) {
	if c.end != nil && (x.reason == nil || errors.Is(c.end, ErrParentGone)) {
		x.reason = c.end
	}
	if c.deadline > x.killDeadline && !x.terminating {
		x.killDeadline, x.deadline = c.deadline, c.deadline
	}
}

// cleanUp kills what the command left, and reports an overrun.
func (x *execution) cleanUp() {
	KillDescendants()
	overrun := x.Clock.Now() - x.deadline
	if overrun > 0 && x.KillMargin >= 0 && x.OnOverrun != nil {
		x.OnOverrun(overrun)
	}
}

// exitCode returns the exit code of a process as Run returns it.
func exitCode(s *os.ProcessState) int {
	if s == nil { // KillDescendants reaped it before Wait did
		return signalExitBase + int(syscall.SIGKILL)
	}
	if w, ok := s.Sys().(syscall.WaitStatus); ok && w.Signaled() {
		return signalExitBase + int(w.Signal())
	}
	return s.ExitCode()
}
