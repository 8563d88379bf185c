// Package processtest helps tests to start processes of this program, wait for them, stop them and clean up.
// docs/testing.md says how such a test is written.
//
// No process outlives its test: it ends with the test, also one that fails or panics, and the system kills it when
// the test's own process ends. What it wrote is shown when the test fails.
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

// WaitTimeout bounds every wait for an expected event. It is long, since a busy machine may stop a process for
// seconds, and no verdict may depend on that.
const WaitTimeout = time.Minute

const pollInterval = 5 * time.Millisecond

// Until polls until done, and fails the test after WaitTimeout. The results of explain are logged then.
func Until(tb testing.TB, what string, done func() bool, explain ...func() string) {
	tb.Helper()
	for end := time.Now().Add(WaitTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			for _, f := range explain {
				tb.Log(f())
			}
			tb.Fatalf("%s does not come", what)
		}
	}
}

// Address returns an unused loopback address, for a process that listens there, and again after a restart.
func Address(tb testing.TB) string {
	tb.Helper()
	return address.Next()
}

// Process is a process that a test started.
type Process struct {
	tb    testing.TB
	cmd   *exec.Cmd
	log   *Log
	ended chan struct{}
	err   error // how it ended; valid once ended is closed
}

// Log collects what processes write. It may be read at any time.
type Log struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns what was written so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Start runs a command until the test ends or Kill is called. Its standard error, and its standard output unless
// that is set, go to the log.
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
		p.err = cmd.Wait()
		close(p.ended)
	}()
	tb.Cleanup(p.Kill)
	return p
}

// Self returns a command that runs the test's own binary, with additions to the environment.
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

// Signal sends a signal to the process, unless it has ended.
func (p *Process) Signal(s syscall.Signal) {
	p.tb.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.tb.Fatal(err)
	}
}

// Kill ends the process and its process group with SIGKILL, and waits for it.
func (p *Process) Kill() {
	_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL) // fails if no process of the group is left
	<-p.ended
}

// Pause stops the process between any two of its instructions; Thaw has it go on.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// ExitCode waits for the end of the process and returns its exit code, -1 after a signal.
func (p *Process) ExitCode() int {
	p.tb.Helper()
	select {
	case <-p.ended:
	case <-time.After(WaitTimeout):
		p.tb.Fatalf("%v does not end:\n%s", p.cmd.Args, p.log)
	}
	return p.cmd.ProcessState.ExitCode()
}

// Log returns what the process wrote so far.
func (p *Process) Log() string { return p.log.String() }
