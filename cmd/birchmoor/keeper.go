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

// deadlineFD is the descriptor of the pipe through which lock sends its keeper the deadlines of the command.
const deadlineFD = 3

// keeperCommand is the process that lock starts to run its command. It ends the command at its deadline even while the
// lock process itself is stopped, and it does not outlive that process.
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

// reportOverrun prints that the command may have run past its deadline by so many nanoseconds. Task torture finds this
// line in the logs of its locks by " with token " and "past its time".
func reportOverrun(nanos int64) {
	fmt.Fprintf(os.Stderr, "birchmoor: %s with token %s: the command may have run %v past its time:"+
		" this host did not schedule its keeper in time\n",
		os.Getenv("BIRCHMOOR_TASK"), os.Getenv("BIRCHMOOR_TOKEN"), time.Duration(nanos).Round(time.Millisecond))
}

// withoutSeparator returns a passed-through command without the leading "--".
func withoutSeparator(command []string) []string {
	if len(command) > 0 && command[0] == "--" {
		return command[1:]
	}
	return command
}
