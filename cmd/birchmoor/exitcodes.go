package main

import (
	"errors"
	"fmt"
)

// Exit codes.
const (
	exitMissed = 1
	exitInput  = 2
	exitStop   = 130
)

// Exit codes of lock, beside those of the command that it runs.
const (
	exitNotGot = 124
	exitLost   = 125
	exitNotRun = 126
)

// exitError ends the program with a code of its own.
type exitError struct {
	code int
	err  error // told on standard error, or nil
}

func (e *exitError) Error() string { return fmt.Sprint(e.err) }

// errMissed says that a run was judged, and not kindly; what is wrong has been printed.
var errMissed = errors.New("missed")
