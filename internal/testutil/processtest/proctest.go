// Package processtest is how tests start processes of this program, wait for them, stop them and clean up. docs/testing.md says how
// such a test is written.
//
// No process outlives its test: it ends with the test, also one that fails or panics, and it is killed by the system when the
// test's own process ends, however that happens. What it wrote is shown when it fails.
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

// Soon bounds every wait for what must come. It is long: a busy machine may stop a process for seconds, and nothing that a test
// judges is to depend on that.
const Soon = time.Minute

// pollEvery is between two looks at what another process is to have done.
const pollEvery = 5 * time.Millisecond

// Until looks again and again whether what must come has come. explain, if it is not nil, says more when it does not.
func Until(t testing.TB, what string, done func() bool, explain ...func() string) {
	t.Helper()
	for end := time.Now().Add(Soon); !done(); time.Sleep(pollEvery) {
		if time.Now().After(end) {
			for _, f := range explain {
				t.Log(f())
			}
			t.Fatalf("%s does not come", what)
		}
	}
}

// Address is one on loopback that nobody listens at, for a process that is to be told where to listen, and to listen there again
// after a kill.
func Address(t testing.TB) string {
	t.Helper()
	return address.Next()
}

// Process is one that a test started.
type Process struct {
	t    testing.TB
	cmd  *exec.Cmd
	log  *Log
	over chan struct{}
	err  error // how it ended, once over is closed
}

// Log is what processes wrote, in a buffer that can be read meanwhile.
type Log struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write is of io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Start runs a command until the test ends or Kill is called. Its standard error, and its output if that goes nowhere else, is
// added to the log.
func Start(t testing.TB, cmd *exec.Cmd, log *Log) *Process {
	t.Helper()
	cmd.Stderr = log
	if cmd.Stdout == nil {
		cmd.Stdout = log
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &Process{t: t, cmd: cmd, log: log, over: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.over)
	}()
	t.Cleanup(p.Kill)
	return p
}

// Self is a command that runs the test's own binary, with another environment besides.
func Self(t testing.TB, env []string, args ...string) *exec.Cmd {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self, args...)
	cmd.Env = append(os.Environ(), env...)
	return cmd
}

// Signal sends a signal to the process; one that has ended takes none.
func (p *Process) Signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Fatal(err)
	}
}

// Kill ends the process, and what it started in its group, with SIGKILL, and waits for it.
func (p *Process) Kill() {
	syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL) // of a group that is gone nobody is left
	<-p.over
}

// Freeze stops the process between any two of its instructions; Thaw has it go on.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw has a frozen process go on.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Over is closed when the process has ended.
func (p *Process) Over() <-chan struct{} { return p.over }

// Code waits for the end and returns the exit code, -1 after a signal.
func (p *Process) Code() int {
	p.t.Helper()
	select {
	case <-p.over:
	case <-time.After(Soon):
		p.t.Fatalf("%v does not end:\n%s", p.cmd.Args, p.log)
	}
	return p.cmd.ProcessState.ExitCode()
}

// Log is what it wrote.
func (p *Process) Log() string { return p.log.String() }
