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

// deadlineFD is the descriptor by which lock hands its keeper the deadlines of the command.
const deadlineFD = 3

// keeperCommand is the process that lock runs around its command: it ends the command in time even while lock
// itself is stopped, and does not outlive lock.
type keeperCommand struct {
	GracePeriod time.Duration `name:"grace" required:""`
	KillMargin  time.Duration `name:"early" required:""`
	Command     []string      `arg:"" passthrough:""`
}

func (k *keeperCommand) Run() error {
	syscall.CloseOnExec(deadlineFD)
	command := watchdog.Command{
		Args:        withoutSeparator(k.Command),
		Env:         os.Environ(),
		GracePeriod: k.GracePeriod,
		KillMargin:  k.KillMargin,
		Clock:       bootclock.Clock{Rate: processFaults.ClockRate},
		OnOverrun:   reportOverrun,
	}
	code, err := command.Run(os.NewFile(deadlineFD, "deadlines"))
	switch {
	case errors.Is(err, watchdog.ErrDeadlinePassed), errors.Is(err, watchdog.ErrControllerExited):
		return &exitError{exitLockLost, nil}
	case errors.Is(err, watchdog.ErrEndRequested):
		return &exitError{code, nil}
	case err != nil:
		return &exitError{exitCommandNotRun, err}
	case code != 0:
		return &exitError{code, nil}
	}
	return nil
}

// reportOverrun says that the command may have run past its deadline by so many nanoseconds.
func reportOverrun(nanos int64) {
	fmt.Fprintf(os.Stderr, "birchmoor: %s with token %s: what it ran may have gone on %v past its time:"+
		" this host did not run its keeper in time\n",
		os.Getenv("BIRCHMOOR_TASK"), os.Getenv("BIRCHMOOR_TOKEN"), time.Duration(nanos).Round(time.Millisecond))
}

// withoutSeparator removes the "--" that stands before a passed-through command.
func withoutSeparator(command []string) []string {
	if len(command) > 0 && command[0] == "--" {
		return command[1:]
	}
	return command
}
