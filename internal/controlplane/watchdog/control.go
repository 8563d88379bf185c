package watchdog

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
)

// endLine is the line of the pipe by which the controller requests the end of the command. Every other valid line is a
// deadline.
const endLine = "end"

// control is a message from the controller, or the end of the pipe. At most one of its fields is set.
type control struct {
	deadline  int64 // in nanoseconds of the boot clock; 0: none
	endReason error // why the command must end, or nil
}

// ExtendDeadline writes a deadline, in nanoseconds of the boot clock, to the pipe w of a watchdog. The watchdog
// ignores a deadline that is not later than its current one.
func ExtendDeadline(w io.Writer, deadline int64) error {
	return writeLine(w, strconv.FormatInt(deadline, 10))
}

// RequestEnd asks the watchdog at the other end of the pipe w to end its command.
func RequestEnd(w io.Writer) error { return writeLine(w, endLine) }

func writeLine(w io.Writer, line string) error {
	_, err := io.WriteString(w, line+"\n")
	return err
}

// readControls reads the first deadline from the pipe, and returns a channel with all further controls. The last
// control is ErrControllerExited for the end of the pipe. After stop is closed, controls are read and dropped.
func readControls(pipe io.Reader, stop <-chan struct{}) (deadline int64, controls <-chan control, err error) {
	lines := bufio.NewScanner(pipe)
	if !lines.Scan() {
		return 0, nil, ErrControllerExited
	}
	deadline, err = strconv.ParseInt(lines.Text(), 10, 64)
	if err != nil {
		return 0, nil, fmt.Errorf("first deadline on the pipe: %w", err)
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
		send(control{endReason: ErrControllerExited})
	}()
	return deadline, received, nil
}

// parseControl parses a line of the pipe. A line that is not a number counts as a request to end the command.
func parseControl(line string) control {
	deadline, err := strconv.ParseInt(line, 10, 64)
	if err != nil {
		return control{endReason: ErrEndRequested}
	}
	return control{deadline: deadline}
}
