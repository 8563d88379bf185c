package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/controlplane/watchdog"
	"birchmoor/internal/store/admin"
)

type lockCommand struct {
	Socket  string        `help:"Socket of a running daemon." default:"store.sock" env:"BIRCHMOOR_STORE" placeholder:"PATH"`
	Name    string        `arg:"" help:"Name of the task, which is held while the command runs."`
	TTL     time.Duration `help:"Time without contact to this host after which another holder can acquire the lock; 300ms to 1m." default:"5s"`
	Slots   int           `help:"Number of holders at once. All claims of the task must give the same number." default:"1"`
	Wait    time.Duration `help:"Maximum time to wait for the lock; 0: no limit." default:"0s"`
	JSON    bool          `help:"Print the status of the lock on standard error as lines of JSON."`
	Command []string      `arg:"" passthrough:"" help:"The command to run, after --."`
}

func (k *lockCommand) Help() string {
	return `Waits until the daemon at the socket holds the task for this command, runs the command, and then releases the
task. Processes that the command started and that still run when it ends are killed before the release. The environment
of the command has

  BIRCHMOOR_TASK    name of the task
  BIRCHMOOR_TOKEN   fencing token, above that of any earlier holder; what the command changes must reject lower ones
  BIRCHMOOR_UNTIL   end of the lease when the command starts, in nanoseconds of the boot clock; it is renewed later

If the lock is lost, the command and all processes that it started get SIGTERM, and then SIGKILL before another holder
can acquire the lock.

Exit codes: that of the command; 128 plus the number of the signal that ended it; 124 lock not acquired in time, 125
lock lost, 126 command cannot be run, 2 invalid input, 130 Ctrl-C.

Examples:
  birchmoor lock nightly --wait 30s -- ./report.sh
  birchmoor lock restarts --slots 2 -- systemctl restart app`
}

func (k *lockCommand) Run(ctx context.Context, c *console) error {
	k.Command = withoutSeparator(k.Command)
	if len(k.Command) == 0 {
		return errors.New("no command given")
	}
	if _, err := exec.LookPath(k.Command[0]); err != nil {
		return &exitError{exitCommandNotRun, err}
	}
	if err := watchdog.BecomeSubreaper(); err != nil {
		return err
	}
	defer watchdog.KillDescendants()

	// The daemon holds the lock for as long as the connection is open, which outlives ctx.
	connection, disconnect := context.WithCancel(context.WithoutCancel(ctx))
	defer disconnect()
	s := &lockSession{
		lockCommand: k,
		errs:        c.errOut,
		statuses:    make(chan adminapi.LockStatus, 16),
		failed:      make(chan error, 1),
		disconnect:  disconnect,
	}
	go s.connect(connection)

	granted, err := s.acquire(ctx)
	if err != nil {
		return err
	}
	return s.runCommand(ctx, granted)
}

// claim returns the claim that is sent to the daemon. Its note describes this process to operators.
func (k *lockCommand) claim() leasetask.Claim {
	host, _ := os.Hostname()
	note := fmt.Sprintf("lock: %.120s (pid %d, %.40s)", strings.Join(k.Command, " "), os.Getpid(), host)
	return leasetask.Claim{Task: k.Name, Slots: k.Slots, TTL: k.TTL, Note: note}
}

// lockSession is a connection to the daemon, which holds the lock while the connection is open, and the command that
// runs under the lock.
type lockSession struct {
	*lockCommand
	errs       io.Writer
	statuses   chan adminapi.LockStatus
	failed     chan error // receives the error that ended the connection; nil once runCommand has received it
	disconnect func()

	lastNotice string // text of the last status that showPosition got
	lostErr    error  // why the lock was lost, or nil
}

// connect claims the lock and sends the daemon's statuses to s.statuses, until ctx ends or the connection fails. It
// then sends the error to s.failed.
func (s *lockSession) connect(ctx context.Context) {
	s.failed <- adminapi.Dial(s.Socket).Lock(ctx, s.claim(), func(status adminapi.LockStatus) error {
		select {
		case s.statuses <- status:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}

// acquire waits until the daemon grants the lock, for at most the time of --wait, and returns the status with the
// grant.
func (s *lockSession) acquire(ctx context.Context) (adminapi.LockStatus, error) {
	wait, cancel := ctx, context.CancelFunc(func() {})
	if s.Wait > 0 {
		wait, cancel = context.WithTimeout(ctx, s.Wait)
	}
	defer cancel()
	for {
		select {
		case <-wait.Done():
			return adminapi.LockStatus{}, s.waitEnded(ctx)
		case err := <-s.failed:
			return adminapi.LockStatus{}, s.connectionFailed(err)
		case status := <-s.statuses:
			if status.Ended {
				return status, &exitError{exitLockNotAcquired, fmt.Errorf("%s: %s", s.Name, status.Reason)}
			}
			if status.Token != 0 {
				s.showJSON(status)
				return status, nil
			}
			s.showPosition(status)
		}
	}
}

// waitEnded returns the error of a wait for the lock that was interrupted or timed out.
func (s *lockSession) waitEnded(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	reason := strings.TrimPrefix(": "+s.lastNotice, ": "+s.Name)
	return &exitError{exitLockNotAcquired, fmt.Errorf("%s: not acquired within %v%s", s.Name, s.Wait, reason)}
}

// connectionFailed returns the error of a connection that ended before the lock was held. A claim that the daemon
// rejects as invalid ends the program with exitUsage.
func (s *lockSession) connectionFailed(err error) error {
	var response *admin.ResponseError
	if errors.As(err, &response) && response.Status == http.StatusBadRequest {
		return err
	}
	return &exitError{exitLockNotAcquired, fmt.Errorf("%s: the daemon at %s: %w", s.Name, s.Socket, err)}
}

// showPosition shows how many queue entries are ahead of this one, or why the lock is not granted. Without --json it
// shows that only when it has changed.
func (s *lockSession) showPosition(status adminapi.LockStatus) {
	if status.Position == nil {
		return
	}
	notice := fmt.Sprintf("%s: waits, %d ahead of it", s.Name, *status.Position)
	if status.Reason != "" {
		notice = fmt.Sprintf("%s: waits: %s", s.Name, status.Reason)
	}
	if s.JSON {
		s.showJSON(status)
	} else if notice != s.lastNotice {
		fmt.Fprintln(s.errs, "birchmoor:", notice)
	}
	s.lastNotice = notice
}

// showJSON prints a status as a line of JSON if --json is given.
func (s *lockSession) showJSON(status adminapi.LockStatus) {
	if !s.JSON {
		return
	}
	line, _ := json.Marshal(status) // cannot fail: its fields are numbers and strings
	fmt.Fprintf(s.errs, "%s\n", line)
}

const (
	maxGracePeriod = time.Second           // from SIGTERM to SIGKILL
	minKillMargin  = 50 * time.Millisecond // from SIGKILL to the end of the lease
	unlockTimeout  = time.Second
)

// newKeeper returns the keeper process, not yet started. It runs the command and reads the command's deadlines from
// deadlines. The process is not bound to a context, because it ends with its command.
func (s *lockSession) newKeeper(granted adminapi.LockStatus, deadlines *os.File) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	grace := min(maxGracePeriod, s.TTL/8)
	margin := killMarginWithDefect(max(minKillMargin, s.TTL/10))
	args := []string{"keeper", "--grace", grace.String(), "--early=" + margin.String(), "--"}
	cmd := exec.Command(self, append(args, s.Command...)...)
	cmd.Env = append(os.Environ(),
		"BIRCHMOOR_TASK="+s.Name,
		fmt.Sprintf("BIRCHMOOR_TOKEN=%d", granted.Token),
		fmt.Sprintf("BIRCHMOOR_UNTIL=%d", granted.ValidUntil))
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.ExtraFiles = []*os.File{deadlines}
	return cmd, nil
}

// runCommand runs the command while the lock is held. It releases the lock once the command and all its processes have
// ended, and returns the outcome.
func (s *lockSession) runCommand(ctx context.Context, granted adminapi.LockStatus) error {
	deadlines, pipe, err := os.Pipe()
	if err != nil {
		return err
	}
	defer pipe.Close()
	cmd, err := s.newKeeper(granted, deadlines)
	if err != nil {
		return err
	}
	if err := watchdog.ExtendDeadline(pipe, deadlineWithDefect(granted.ValidUntil)); err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	deadlines.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = cmd.Wait() // cmd.ProcessState has the exit code
	}()
	stop := ctx.Done()
	for {
		select {
		case <-ended:
			watchdog.KillDescendants() // processes left if the keeper was killed; they must end before the release
			s.unlock(ctx, granted.Token)
			return s.result(ctx, cmd.ProcessState.ExitCode())
		case <-stop:
			stop = nil
			_ = watchdog.RequestEnd(pipe) // fails only if the keeper has ended
		case err := <-s.failed:
			s.failed = nil
			s.lostErr = fmt.Errorf("the daemon: %w", err)
			_ = watchdog.RequestEnd(pipe)
		case status := <-s.statuses:
			s.applyStatus(status, pipe)
		}
	}
}

// applyStatus passes a status of the held lock on to the keeper through pipe. It ignores write errors: they mean that
// the keeper has ended.
func (s *lockSession) applyStatus(status adminapi.LockStatus, pipe *os.File) {
	switch {
	case status.Ended:
		s.lostErr = errors.New(status.Reason)
		if releasesLockEarly() {
			s.disconnect()
			time.Sleep(time.Second)
		}
		_ = watchdog.RequestEnd(pipe)
	case status.ValidUntil > 0:
		_ = watchdog.ExtendDeadline(pipe, deadlineWithDefect(status.ValidUntil))
	}
	s.showJSON(status)
}

// unlock releases the lock. If that fails, the lock ends with its TTL. It does nothing once runCommand
// has received the error that ended the connection.
func (s *lockSession) unlock(ctx context.Context, token uint64) {
	if s.failed == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), unlockTimeout)
	defer cancel()
	_ = adminapi.Dial(s.Socket).Unlock(ctx, s.Name, token)
}

// result returns the error that sets the exit code of lock, from the exit code of the keeper. That is below 0 if a
// signal ended the keeper.
func (s *lockSession) result(ctx context.Context, code int) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case s.lostErr != nil:
		return &exitError{exitLockLost, fmt.Errorf("%s is lost: %w", s.Name, s.lostErr)}
	case code == exitLockLost:
		return &exitError{exitLockLost, fmt.Errorf("%s is lost: it was not renewed in time", s.Name)}
	case code < 0:
		return &exitError{exitLockLost, fmt.Errorf("%s: the keeper process of the command was killed", s.Name)}
	case code != 0:
		return &exitError{code, nil}
	}
	return nil
}
