package main

import (
	"errors"
	"fmt"
)

// Exit codes.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitInterrupted = 130
)

// Exit codes of lock, beside those of the command that it runs.
const (
	exitLockNotAcquired = 124
	exitLockLost        = 125
	exitCommandNotRun   = 126
)

// exitError ends the program with a code of its own.
type exitError struct {
	code int
	err  error // told on standard error, or nil
}

func (e *exitError) Error() string { return fmt.Sprint(e.err) }

// errRunFailed says that a run was judged, and not kindly; what is wrong has been printed.
var errRunFailed = errors.New("missed")
