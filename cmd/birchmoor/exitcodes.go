package main

import (
	"errors"
	"fmt"
)

// Exit codes of all verbs.
const (
	exitFailure     = 1
	exitUsage       = 2
	exitInterrupted = 130
)

// Exit codes of the verb lock, which otherwise exits with the code of the command that it runs.
const (
	exitLockNotAcquired = 124
	exitLockLost        = 125
	exitCommandNotRun   = 126
)

// exitError ends the program with a code of its own.
type exitError struct {
	code int
	err  error // printed on standard error, or nil
}

// Error is the text of the wrapped error.
func (e *exitError) Error() string { return fmt.Sprint(e.err) }

// Unwrap returns the wrapped error, or nil.
func (e *exitError) Unwrap() error { return e.err }

// errRunFailed ends the program with exitFailure: a run missed its figures or broke a rule, which has been printed.
var errRunFailed = errors.New("missed")
