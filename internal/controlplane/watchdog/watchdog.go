// Package watchdog runs a command that must end by a deadline, which a controlling process extends repeatedly, and that
// must not outlive the controller. The watchdog ends the command together with all processes that the command started,
// even if they have left its process group: the watchdog is the subreaper of its descendants
// (PR_SET_CHILD_SUBREAPER), so that a process whose parent dies remains a descendant.
//
// The controller sends deadlines as lines on a pipe. The end of the pipe tells the watchdog that the controller has
// ended. While the controller is suspended, the last deadline stays in force. The package may import the platform's
// clock.
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

// Reasons for which Command.Run ends a command.
var (
	ErrDeadlinePassed   = errors.New("the deadline passed")
	ErrControllerExited = errors.New("the process that extends the deadline has ended")
	ErrEndRequested     = errors.New("the command was requested to end")
)

// minCheckInterval is the minimum delay between two checks of the deadline.
const minCheckInterval = time.Millisecond

// signalExitBase is added to the number of the signal that ended a command to form its exit code, as in shells.
const signalExitBase = 128

// Command is a command to run under a watchdog.
type Command struct {
	Args        []string          // Args[0] is the program
	Env         []string          // see exec.Cmd.Env
	GracePeriod time.Duration     // maximum time between SIGTERM and SIGKILL
	KillMargin  time.Duration     // SIGKILL is sent at least this long before the deadline
	Clock       bootclock.Clock   // clock of the deadlines
	OnOverrun   func(nanos int64) // see Run; may be nil
}

// execution is a running command. Instants are nanoseconds of the Clock.
type execution struct {
	Command
	cmd          *exec.Cmd
	ended        chan struct{}  // closed when the command has ended
	controls     <-chan control // see readControls
	killDeadline int64          // SIGKILL is due KillMargin before this; it may be earlier than deadline after SIGTERM
	deadline     int64          // last deadline that extended the time of the command
	terminating  bool           // SIGTERM was sent
	reason       error          // why the command is being ended, or nil
}

// Run runs the command until it ends by itself or must be ended, and makes this process a subreaper. It reads controls
// from the pipe, where it waits for the first deadline before it starts the command. When Run returns, no descendant of
// this process is left.
//
// code is the exit code of the command, or 128 plus the number of the signal that ended it. reason is nil if the
// command ended by itself, and ErrDeadlinePassed, ErrControllerExited or ErrEndRequested if Run ended it or did not
// start it. Any other reason is an error for which the command could not be started. If the command may have run past
// its deadline, because this process was not scheduled in time, Run calls OnOverrun with the nanoseconds past the
// deadline.
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
		_ = x.cmd.Wait() // exitCode reads the outcome from ProcessState
		close(x.ended)
	}()
	x.supervise()
	return exitCode(x.cmd.ProcessState), x.reason
}

// command returns the command with the standard streams of this process. The kernel kills the command if this process
// dies.
func (c Command) command() *exec.Cmd {
	cmd := exec.Command(c.Args[0], c.Args[1:]...)
	cmd.Env = c.Env
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// supervise applies controls and sends due signals until the command has ended.
func (x *execution) supervise() {
	for {
		now, nextCheck := x.enforce()
		timer := time.NewTimer(max(minCheckInterval, x.Clock.TimerDuration(nextCheck-now)))
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

// enforce sends the signals that are due to the command and all other descendants. It returns the current instant and
// the one at which it must be called again. If the controller has ended, SIGKILL follows SIGTERM at once.
func (x *execution) enforce() (now, nextCheck int64) {
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
	if x.terminating && now >= killAt || errors.Is(x.reason, ErrControllerExited) {
		KillDescendants()
	}
	if x.terminating {
		return now, killAt
	}
	return now, termAt
}

// apply applies a control from the pipe. After SIGTERM was sent, the deadline is not extended any more. The end of the
// controller overrides an earlier reason.
func (x *execution) apply(c control) {
	if c.endReason != nil && (x.reason == nil || errors.Is(c.endReason, ErrControllerExited)) {
		x.reason = c.endReason
	}
	if c.deadline > x.killDeadline && !x.terminating {
		x.killDeadline, x.deadline = c.deadline, c.deadline
	}
}

// cleanUp kills all descendants that are left, and reports an overrun of the deadline. With a negative KillMargin,
// which only an injected defect sets, it reports none.
func (x *execution) cleanUp() {
	KillDescendants()
	overrun := x.Clock.Now() - x.deadline
	if overrun > 0 && x.KillMargin >= 0 && x.OnOverrun != nil {
		x.OnOverrun(overrun)
	}
}

// exitCode returns the exit code of an ended process, in the form that Run returns.
func exitCode(state *os.ProcessState) int {
	if state == nil { // KillDescendants reaped the process before Wait did
		return signalExitBase + int(syscall.SIGKILL)
	}
	if status, ok := state.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		return signalExitBase + int(status.Signal())
	}
	return state.ExitCode()
}
