package main

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"birchmoor/internal/controlplane/watchdog"
	"birchmoor/internal/platform/bootclock"
)

// keeperCommand is how lock runs itself around the command, so that the command is ended in time also while lock is
// stopped, and does not outlive it.
type keeperCommand struct {
	GracePeriod time.Duration `name:"grace" required:""`
	KillMargin  time.Duration `name:"early" required:""`
	Command     []string      `arg:"" passthrough:""`
}

func (k *keeperCommand) Run() error {
	if len(k.Command) > 0 && k.Command[0] == "--" {
		k.Command = k.Command[1:]
	}
	syscall.CloseOnExec(3)
	code, why := watchdog.Command{Args: k.Command, Env: os.Environ(), GracePeriod: k.GracePeriod, KillMargin: k.KillMargin, Clock: bootclock.Clock{Rate: processFaults.Pace}, OnOverrun: func(by int64) {
		fmt.Fprintf(os.Stderr, "birchmoor: %s with token %s: what it ran may have gone on %v past its time: this host did not run its keeper in time\n", os.Getenv("BIRCHMOOR_TASK"), os.Getenv("BIRCHMOOR_TOKEN"), time.Duration(by).Round(time.Millisecond))
	}}.Run(os.NewFile(3, "deadlines"))
	switch {
	case errors.Is(why, watchdog.ErrDeadlinePassed), errors.Is(why, watchdog.ErrParentGone):
		return &exitError{exitLockLost, nil}
	case errors.Is(why, watchdog.ErrEndRequested):
		return &exitError{code, nil}
	case why != nil:
		return &exitError{exitCommandNotRun, why}
	case code != 0:
		return &exitError{code, nil}
	}
	return nil
}
