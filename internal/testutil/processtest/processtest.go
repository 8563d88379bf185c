// Package processtest helps tests to start processes of this program, wait for them, stop them and clean up.
// docs/testing.md describes how to write such a test.
//
// No process outlives its test: it is killed when the test ends, also if the test fails or panics, and the operating
// system kills it when the test binary ends. Its output can be logged when the test fails.
package processtest

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"birchmoor/internal/lab/address"
)

// WaitTimeout is the timeout of every wait for an expected event. It is long because a process may not run for seconds
// on a busy machine, and no test result may depend on that.
const WaitTimeout = time.Minute

const pollInterval = 5 * time.Millisecond

// Until polls done until it returns true, and fails the test after WaitTimeout. condition describes what the test waits
// for. Before the failure, the results of explain are logged.
func Until(tb testing.TB, condition string, done func() bool, explain ...func() string) {
	tb.Helper()
	for deadline := time.Now().Add(WaitTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			for _, f := range explain {
				tb.Log(f())
			}
			tb.Fatalf("timed out waiting for %s", condition)
		}
	}
}

// Address returns an unused loopback address, at which a process can listen, also again after a restart.
func Address(tb testing.TB) string {
	tb.Helper()
	return address.Next()
}

// Process is a process that a test has started.
type Process struct {
	tb      testing.TB
	cmd     *exec.Cmd
	log     *Log
	ended   chan struct{} // closed when the process has ended
	waitErr error         // result of cmd.Wait; valid once ended is closed
}

// Log collects the output of processes. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

// String returns the output so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// Start starts a command, which runs until it ends, Kill is called or the test ends. Its standard error goes to the
// log, and so does its standard output unless cmd.Stdout is set.
func Start(tb testing.TB, cmd *exec.Cmd, log *Log) *Process {
	tb.Helper()
	cmd.Stderr = log
	if cmd.Stdout == nil {
		cmd.Stdout = log
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		tb.Fatal(err)
	}
	p := &Process{tb: tb, cmd: cmd, log: log, ended: make(chan struct{})}
	go func() {
		p.waitErr = cmd.Wait()
		close(p.ended)
	}()
	tb.Cleanup(p.Kill)
	return p
}

// Self returns a command that runs the test binary itself, with the given variables added to the environment.
func Self(tb testing.TB, env []string, args ...string) *exec.Cmd {
	tb.Helper()
	self, err := os.Executable()
	if err != nil {
		tb.Fatal(err)
	}
	cmd := exec.Command(self, args...)
	cmd.Env = append(os.Environ(), env...)
	return cmd
}

// Signal sends a signal to the process. It has no effect if the process has ended.
func (p *Process) Signal(s syscall.Signal) {
	p.tb.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.tb.Fatal(err)
	}
}

// Kill ends the process and its process group with SIGKILL, and returns once the process has ended.
func (p *Process) Kill() {
	_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL) // fails if no process of the group is left
	<-p.ended
}

// Pause suspends the process, at any of its instructions, until Resume.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// ExitCode waits for the end of the process and returns its exit code, or -1 if a signal ended it. It fails the test
// after WaitTimeout.
func (p *Process) ExitCode() int {
	p.tb.Helper()
	select {
	case <-p.ended:
	case <-time.After(WaitTimeout):
		p.tb.Fatalf("timed out waiting for the end of %v:\n%s", p.cmd.Args, p.log)
	}
	return p.cmd.ProcessState.ExitCode()
}

// Log returns the output of the process so far.
func (p *Process) Log() string { return p.log.String() }
