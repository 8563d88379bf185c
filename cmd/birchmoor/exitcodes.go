package main

import (
	"errors"
	"fmt"
)

// Exit codes of all commands.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitInterrupted = 130
)

// Exit codes of the lock command, which otherwise exits with the code of the command that it runs.
const (
	exitLockNotAcquired = 124
	exitLockLost        = 125
	exitCommandNotRun   = 126
)

// exitError is an error that sets the exit code of the program.
type exitError struct {
	code int
	err  error // exitCode prints it on standard error; nil prints nothing
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string { return fmt.Sprint(e.err) }

// Unwrap returns the wrapped error, or nil.
func (e *exitError) Unwrap() error { return e.err }

// errRunFailed ends the program with exitFailure: a run missed its figures or broke a rule, or a request found nothing
// or did not meet its condition. The command that returns it has printed the reason.
var errRunFailed = errors.New("missed")
