package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"golang.org/x/term"
)

// console holds the streams that a command prints on: results on out, errors and progress on errOut.
type console struct{ out, errOut io.Writer }

// isTerminal reports whether standard error is a terminal, on which lines can be overwritten.
func (c *console) isTerminal() bool {
	f, ok := c.errOut.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

// progress returns a function that shows how far a run is: on a terminal it overwrites one line, elsewhere it prints a
// line for every tenth second of the run.
func (c *console) progress(name string) func(second, requests int) {
	terminal := c.isTerminal()
	return func(second, requests int) {
		switch {
		case terminal:
			fmt.Fprintf(c.errOut, "\r%s: second %d, %d requests\x1b[K", name, second, requests)
		case second%10 == 0:
			fmt.Fprintf(c.errOut, "%s: second %d, %d requests\n", name, second, requests)
		}
	}
}

// runsProgress returns a function that shows how many runs of a total are done.
func (c *console) runsProgress(name string) func(done, total int) {
	terminal := c.isTerminal()
	return func(done, total int) {
		if terminal {
			fmt.Fprintf(c.errOut, "\r%s: %d of %d\x1b[K", name, done, total)
		} else {
			fmt.Fprintf(c.errOut, "%s: %d of %d\n", name, done, total)
		}
	}
}

// clear erases the progress line on a terminal.
func (c *console) clear() {
	if c.isTerminal() {
		fmt.Fprint(c.errOut, "\r\x1b[K")
	}
}

// writeJSON writes value as indented JSON to the file at path, or to out if path is "-".
func writeJSON(path string, value any, out io.Writer) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	text = append(text, '\n')
	if path == "-" {
		_, err = out.Write(text)
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

// readJSON decodes the JSON file at path into value.
func readJSON(path string, value any) error {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, value)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
