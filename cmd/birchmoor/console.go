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

// progress shows how far a run is: one line that changes on a terminal, a line now and then elsewhere.
func (c *console) progress(name string) func(second, asked int) {
	f, ok := c.err.(*os.File)
	live := ok && term.IsTerminal(int(f.Fd()))
	return func(second, asked int) {
		switch {
		case live:
			fmt.Fprintf(c.err, "\r%s: second %d, %d requests\x1b[K", name, second, asked)
		case second%10 == 0:
			fmt.Fprintf(c.err, "%s: second %d, %d requests\n", name, second, asked)
		}
	}
}

// count shows how many of a number of things are done.
func (c *console) count(name string) func(done, of int) {
	f, ok := c.err.(*os.File)
	live := ok && term.IsTerminal(int(f.Fd()))
	return func(done, of int) {
		if live {
			fmt.Fprintf(c.err, "\r%s: %d of %d\x1b[K", name, done, of)
		} else {
			fmt.Fprintf(c.err, "%s: %d of %d\n", name, done, of)
		}
	}
}

func (c *console) clear() {
	if f, ok := c.err.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		fmt.Fprint(c.err, "\r\x1b[K")
	}
}

func writeJSON(path string, x any, out io.Writer) error {
	text, err := json.MarshalIndent(x, "", " ")
	if err != nil {
		return err
	}
	if path == "-" {
		_, err = out.Write(append(text, '\n'))
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
