package replica

import (
	"fmt"
	"log/slog"
)

// raftLogger implements raft.Logger on top of a slog.Logger. It discards raft's debug messages, logs info messages and
// warnings at the debug level, because raft emits them in normal operation, and logs errors as warnings. Fatal messages
// panic, as raft expects; catchPanic turns that into an error.
type raftLogger struct{ log *slog.Logger }

// Debug implements raft.Logger.
func (raftLogger) Debug(...any) {}

// Debugf implements raft.Logger.
func (raftLogger) Debugf(string, ...any) {}

// Info implements raft.Logger.
func (l raftLogger) Info(v ...any) { l.log.Debug(fmt.Sprint(v...)) }

// Infof implements raft.Logger.
func (l raftLogger) Infof(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }

// Warning implements raft.Logger.
func (l raftLogger) Warning(v ...any) { l.log.Debug(fmt.Sprint(v...)) }

// Warningf implements raft.Logger.
func (l raftLogger) Warningf(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }

// Error implements raft.Logger.
func (l raftLogger) Error(v ...any) { l.log.Warn(fmt.Sprint(v...)) }

// Errorf implements raft.Logger.
func (l raftLogger) Errorf(format string, v ...any) { l.log.Warn(fmt.Sprintf(format, v...)) }

// Fatal implements raft.Logger.
func (raftLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf implements raft.Logger.
func (raftLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic implements raft.Logger.
func (raftLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf implements raft.Logger.
func (raftLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
