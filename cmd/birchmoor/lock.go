package main

import (
	"context"
	"errors"
	"fmt"
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
	if len(k.Command) > 0 && k.Command[0] == "--" {
		k.Command = k.Command[1:]
	}
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
	wait, cancel := ctx, context.CancelFunc(func() {})
	if k.Wait > 0 {
		wait, cancel = context.WithTimeout(ctx, k.Wait)
	}
	defer cancel()
	host, _ := os.Hostname() // for people alone
	want := leasetask.Claim{Task: k.Name, Slots: k.Slots, TTL: k.TTL, Note: fmt.Sprintf("lock: %.120s (pid %d, %.40s)", strings.Join(k.Command, " "), os.Getpid(), host)}
	hold, drop := context.WithCancel(context.WithoutCancel(ctx)) // the connection, by which it is held
	defer drop()
	lines, failed := make(chan adminapi.LockStatus, 16), make(chan error, 1)
	go func() {
		failed <- adminapi.Dial(k.Socket).Lock(hold, want, func(l adminapi.LockStatus) error {
			select {
			case lines <- l:
				return nil
			case <-hold.Done():
				return hold.Err()
			}
		})
	}()
	told := ""
	say := func(l adminapi.LockStatus, text string) {
		switch {
		case k.JSON:
			b, _ := encodeJSON(l)
			fmt.Fprintf(c.err, "%s\n", b)
		case text != told:
			fmt.Fprintln(c.err, "birchmoor:", text)
		}
		told = text
	}
	for {
		select {
		case <-wait.Done():
			if ctx.Err() != nil {
				return ctx.Err()
			}
			return &exitError{exitLockNotAcquired, fmt.Errorf("%s: not got within %v%s", k.Name, k.Wait, strings.TrimPrefix(": "+told, ": "+k.Name))}
		case err := <-failed:
			var told *admin.ResponseError
			if errors.As(err, &told) && told.Status == 400 {
				return err
			}
			return &exitError{exitLockNotAcquired, fmt.Errorf("%s: the daemon at %s: %w", k.Name, k.Socket, err)}
		case l := <-lines:
			switch {
			case l.Ended:
				return &exitError{exitLockNotAcquired, fmt.Errorf("%s: %s", k.Name, l.Reason)}
			case l.Token == 0:
				if l.Position != nil {
					text := fmt.Sprintf("%s: waits, %d before it", k.Name, *l.Position)
					if l.Reason != "" {
						text = fmt.Sprintf("%s: waits: %s", k.Name, l.Reason)
					}
					say(l, text)
				}
			default:
				if k.JSON {
					say(l, "")
				}
				return k.hold(ctx, l, lines, failed, say, drop)
			}
		}
	}
}

// hold runs the command for as long as the lock is held.
func (k *lockCommand) hold(ctx context.Context, l adminapi.LockStatus, lines <-chan adminapi.LockStatus, failed <-chan error, say func(adminapi.LockStatus, string), drop func()) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	out, pipe, err := os.Pipe()
	if err != nil {
		return err
	}
	defer pipe.Close()
	// No exec.CommandContext: the keeper ends with its command.
	cmd := exec.Command(self, append([]string{"keeper", "--grace", min(time.Second, k.TTL/8).String(), "--early=" + killMarginWithDefect(max(50*time.Millisecond, k.TTL/10)).String(),
		"--"}, k.Command...)...)
	cmd.Env = append(os.Environ(), "BIRCHMOOR_TASK="+k.Name, fmt.Sprintf("BIRCHMOOR_TOKEN=%d", l.Token), fmt.Sprintf("BIRCHMOOR_UNTIL=%d", l.ValidUntil))
	cmd.Stdin, cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = os.Stdin, os.Stdout, os.Stderr, []*os.File{out}
	if err := watchdog.ExtendDeadline(pipe, deadlineWithDefect(l.ValidUntil)); err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	out.Close()
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	stop := ctx.Done()
	var lost error
	for {
		select {
		case <-ended:
			code := cmd.ProcessState.ExitCode()
			watchdog.KillDescendants() // what is left if the keeper was killed: only then may another have it
			if said, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second); failed != nil {
				_ = adminapi.Dial(k.Socket).Unlock(said, k.Name, l.Token) // or it has it once the time is up
				cancel()
			} else {
				cancel()
			}
			switch {
			case ctx.Err() != nil:
				return ctx.Err()
			case lost != nil:
				return &exitError{exitLockLost, fmt.Errorf("%s is lost: %w", k.Name, lost)}
			case code == exitLockLost:
				return &exitError{exitLockLost, fmt.Errorf("%s is lost: it was not renewed in time", k.Name)}
			case code < 0:
				return &exitError{exitLockLost, fmt.Errorf("%s: what kept the command was killed", k.Name)}
			case code != 0:
				return &exitError{code, nil}
			}
			return nil
		case <-stop:
			stop = nil
			_ = watchdog.RequestEnd(pipe) // one that is gone ends
		case err := <-failed:
			failed = nil
			lost = fmt.Errorf("the daemon: %w", err)
			_ = watchdog.RequestEnd(pipe)
		case l := <-lines:
			if l.Ended {
				if lost = errors.New(l.Reason); releasesLockEarly() {
					drop()
					time.Sleep(time.Second)
				}
				_ = watchdog.RequestEnd(pipe)
			} else if l.ValidUntil > 0 {
				_ = watchdog.ExtendDeadline(pipe, deadlineWithDefect(l.ValidUntil))
			}
			if say != nil && k.JSON {
				say(l, "")
			}
		}
	}
}
