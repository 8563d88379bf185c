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
	Name    string        `arg:"" help:"Task that is held while the command runs."`
	TTL     time.Duration `help:"When this host falls silent another may have it after this; 300ms to 1m." default:"5s"`
	Slots   int           `help:"So many hold it at once; all who want it say the same." default:"1"`
	Wait    time.Duration `help:"For it, at most; 0: for ever." default:"0s"`
	JSON    bool          `help:"Tell on standard error what happens to the lock, as lines of JSON."`
	Command []string      `arg:"" passthrough:"" help:"The command, behind --."`
}

func (k *lockCommand) Help() string {
	return `Waits until the daemon at the socket holds the task for this command, runs it, and releases the task when the command and all that
it started have ended. What is left of that when the command ends is killed. In the command's environment are

  BIRCHMOOR_TASK    the task
  BIRCHMOOR_TOKEN   a number above that of any earlier holder: what is acted upon is to turn lower ones away
  BIRCHMOOR_UNTIL   until when it was held as the command began, in nanoseconds of the boot clock; it is renewed meanwhile

When the lock cannot be kept, the command and all that it started get SIGTERM, and SIGKILL before another may hold it.

Exit codes: the command's own; 128 and the signal that ended it; 124 not got in time, 125 lost, 126 the command cannot be run, 2 bad
input, 130 on Ctrl-C.

Examples:
  birchmoor lock nightly --wait 30s -- ./report.sh
  birchmoor lock restarts --slots 2 -- systemctl restart app`
}

func (k *lockCommand) Run(ctx context.Context, c *console) error {
	k.Command = withoutSeparator(k.Command)
	if len(k.Command) == 0 {
		return errors.New("no command is given")
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
		errs:        c.err,
		statuses:    make(chan adminapi.LockStatus, 16),
		failed:      make(chan error, 1),
		disconnect:  disconnect,
	}
	go s.connect(connection)

	held, err := s.acquire(ctx)
	if err != nil {
		return err
	}
	return s.runCommand(ctx, held)
}

// claim is what the daemon is asked for. Its note is for people alone.
func (k *lockCommand) claim() leasetask.Claim {
	host, _ := os.Hostname()
	note := fmt.Sprintf("lock: %.120s (pid %d, %.40s)", strings.Join(k.Command, " "), os.Getpid(), host)
	return leasetask.Claim{Task: k.Name, Slots: k.Slots, TTL: k.TTL, Note: note}
}

// lockSession is one connection to the daemon, and the command that runs while it holds the lock.
type lockSession struct {
	*lockCommand
	errs       io.Writer
	statuses   chan adminapi.LockStatus
	failed     chan error // gets the error that ended the connection; nil once that was handled
	disconnect func()

	lastNotice string // the latest status text shown
	lost       error  // why the lock was lost, or nil
}

// connect claims the lock and passes the daemon's statuses on until ctx ends or the connection fails.
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

// acquire waits until the daemon grants the lock, up to the time of --wait.
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

// waitEnded is the error of a wait that was interrupted or took too long.
func (s *lockSession) waitEnded(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	reason := strings.TrimPrefix(": "+s.lastNotice, ": "+s.Name)
	return &exitError{exitLockNotAcquired, fmt.Errorf("%s: not got within %v%s", s.Name, s.Wait, reason)}
}

// connectionFailed is the error of a connection that ended before the lock was held. A claim that the daemon finds
// invalid is bad input.
func (s *lockSession) connectionFailed(err error) error {
	var response *admin.ResponseError
	if errors.As(err, &response) && response.Status == http.StatusBadRequest {
		return err
	}
	return &exitError{exitLockNotAcquired, fmt.Errorf("%s: the daemon at %s: %w", s.Name, s.Socket, err)}
}

// showPosition shows how many are before this one, whenever that has changed.
func (s *lockSession) showPosition(status adminapi.LockStatus) {
	if status.Position == nil {
		return
	}
	notice := fmt.Sprintf("%s: waits, %d before it", s.Name, *status.Position)
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

// showJSON prints a status as a line of JSON if --json asks for that.
func (s *lockSession) showJSON(status adminapi.LockStatus) {
	if !s.JSON {
		return
	}
	line, _ := json.Marshal(status) // its fields are numbers and strings
	fmt.Fprintf(s.errs, "%s\n", line)
}

const (
	maxGracePeriod = time.Second           // between SIGTERM and SIGKILL
	minKillMargin  = 50 * time.Millisecond // between SIGKILL and the end of the lease
	unlockTimeout  = time.Second
)

// keeper is the process that runs the command. It is not bound to a context: it ends with its command.
func (s *lockSession) keeper(held adminapi.LockStatus, deadlines *os.File) (*exec.Cmd, error) {
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
		fmt.Sprintf("BIRCHMOOR_TOKEN=%d", held.Token),
		fmt.Sprintf("BIRCHMOOR_UNTIL=%d", held.ValidUntil))
	cmd.Stdin, cmd.Stdout, cmd.Stderr = os.Stdin, os.Stdout, os.Stderr
	cmd.ExtraFiles = []*os.File{deadlines}
	return cmd, nil
}

// runCommand runs the command for as long as the lock is held, and releases the lock.
func (s *lockSession) runCommand(ctx context.Context, held adminapi.LockStatus) error {
	deadlines, pipe, err := os.Pipe()
	if err != nil {
		return err
	}
	defer pipe.Close()
	cmd, err := s.keeper(held, deadlines)
	if err != nil {
		return err
	}
	if err := watchdog.ExtendDeadline(pipe, deadlineWithDefect(held.ValidUntil)); err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	deadlines.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = cmd.Wait() // its exit code is read below
	}()
	stop := ctx.Done()
	for {
		select {
		case <-ended:
			watchdog.KillDescendants() // what is left if the keeper was killed: only then may another hold the lock
			s.unlock(ctx, held.Token)
			return s.result(ctx, cmd.ProcessState.ExitCode())
		case <-stop:
			stop = nil
			_ = watchdog.RequestEnd(pipe) // fails if the keeper has ended
		case err := <-s.failed:
			s.failed = nil
			s.lost = fmt.Errorf("the daemon: %w", err)
			_ = watchdog.RequestEnd(pipe)
		case status := <-s.statuses:
			s.follow(status, pipe)
		}
	}
}

// follow passes a status of the held lock on to the keeper. A keeper that has ended makes the writes fail.
func (s *lockSession) follow(status adminapi.LockStatus, pipe *os.File) {
	switch {
	case status.Ended:
		s.lost = errors.New(status.Reason)
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

// unlock releases the lock at once. If that fails the lock ends with its TTL.
func (s *lockSession) unlock(ctx context.Context, token uint64) {
	if s.failed == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), unlockTimeout)
	defer cancel()
	_ = adminapi.Dial(s.Socket).Unlock(ctx, s.Name, token)
}

// result is the command's outcome by the keeper's exit code, which is below 0 if a signal ended the keeper.
func (s *lockSession) result(ctx context.Context, code int) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case s.lost != nil:
		return &exitError{exitLockLost, fmt.Errorf("%s is lost: %w", s.Name, s.lost)}
	case code == exitLockLost:
		return &exitError{exitLockLost, fmt.Errorf("%s is lost: it was not renewed in time", s.Name)}
	case code < 0:
		return &exitError{exitLockLost, fmt.Errorf("%s: what kept the command was killed", s.Name)}
	case code != 0:
		return &exitError{code, nil}
	}
	return nil
}
