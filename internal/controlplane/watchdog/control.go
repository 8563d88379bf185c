package watchdog

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
)

// endLine is the line that requests the end of the command; every other line of the pipe is a deadline.
const endLine = "end"

// control is what the controller sends, or that it is gone.
type control struct {
	deadline int64 // in nanoseconds of the clock; 0: none
	end      error // why the command is to end, or nil
}

// ExtendDeadline writes a deadline, in nanoseconds of the boot clock, to a watchdog's pipe.
func ExtendDeadline(w io.Writer, deadline int64) error {
	return writeLine(w, strconv.FormatInt(deadline, 10))
}

// RequestEnd asks a watchdog to end its command.
func RequestEnd(w io.Writer) error { return writeLine(w, endLine) }

func writeLine(w io.Writer, s string) error {
	_, err := io.WriteString(w, s+"\n")
	return err
}

// readControls reads the first deadline, and returns a channel of what follows until stop is closed.
func readControls(pipe io.Reader, stop <-chan struct{}) (deadline int64, controls <-chan control, err error) {
	lines := bufio.NewScanner(pipe)
	if !lines.Scan() {
		return 0, nil, ErrParentGone
	}
	deadline, err = strconv.ParseInt(lines.Text(), 10, 64)
	if err != nil {
		return 0, nil, fmt.Errorf("deadline: %w", err)
	}
	received := make(chan control)
	send := func(c control) {
		select {
		case received <- c:
		case <-stop:
		}
	}
	go func() {
		for lines.Scan() {
			send(parseControl(lines.Text()))
		}
		send(control{end: ErrParentGone})
	}()
	return deadline, received, nil
}

// parseControl takes whatever is no deadline for a request to end.
func parseControl(line string) control {
	deadline, err := strconv.ParseInt(line, 10, 64)
	if err != nil {
		return control{end: ErrEndRequested}
	}
	return control{deadline: deadline}
}
