package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"golang.org/x/term"
)

// console is where a command prints.
type console struct{ out, err io.Writer }

// terminal reports whether standard error is a terminal, on which lines can be overwritten.
func (c *console) terminal() bool {
	f, ok := c.err.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

// progress shows how far a run is: one line that changes on a terminal, a line every ten seconds elsewhere.
func (c *console) progress(name string) func(second, requests int) {
	terminal := c.terminal()
	return func(second, requests int) {
		switch {
		case terminal:
			fmt.Fprintf(c.err, "\r%s: second %d, %d requests\x1b[K", name, second, requests)
		case second%10 == 0:
			fmt.Fprintf(c.err, "%s: second %d, %d requests\n", name, second, requests)
		}
	}
}

// count shows how many runs of a total are done.
func (c *console) count(name string) func(done, total int) {
	terminal := c.terminal()
	return func(done, total int) {
		if terminal {
			fmt.Fprintf(c.err, "\r%s: %d of %d\x1b[K", name, done, total)
		} else {
			fmt.Fprintf(c.err, "%s: %d of %d\n", name, done, total)
		}
	}
}

// clear removes the line of progress from a terminal.
func (c *console) clear() {
	if c.terminal() {
		fmt.Fprint(c.err, "\r\x1b[K")
	}
}

// writeJSON writes x as indented JSON to a file, or to out if path is "-".
func writeJSON(path string, x any, out io.Writer) error {
	text, err := json.MarshalIndent(x, "", " ")
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

// readJSON decodes a file into x.
func readJSON(path string, x any) error {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, x)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
