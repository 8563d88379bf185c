package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// process is a child process with stub sidecars or the links of a zone. It has a process group of its own and is killed
// when this process ends. Any goroutine may send it commands.
type process struct {
	name      string
	spec      Spec
	sidecars  []int // numbers of its stub sidecars
	zone      int
	linkAddrs []string // addresses at which its links listen, in the order of spec.Links

	cmd    *exec.Cmd
	stdin  io.WriteCloser
	ended  chan struct{} // closed when the process has ended
	lastID atomic.Uint64 // of a command

	mu         sync.Mutex
	pending    map[uint64]chan message // commands without an answer, by ID; 0 waits for the process to be ready
	onAdoption func(settingsAdoption)  // nil for links, which report none
}

// startProcess starts a child process and waits until it is ready. Its standard error goes to a log file next to the
// file with its spec.
func startProcess(
	ctx context.Context, o *Options, dir, name string, spec Spec, onAdoption func(settingsAdoption),
) (started *process, err error) {
	started = &process{name: name, spec: spec, ended: make(chan struct{}), pending: map[uint64]chan message{},
		onAdoption: onAdoption}
	text, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".spec")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(started.logPath(dir), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	started.cmd = exec.Command(o.Program, "lab", "hollow", path)
	started.cmd.Env = append(os.Environ(), o.Env...)
	if n := len(spec.Stubs); n > 0 { // above the estimate the heap is collected more often
		memoryMB := o.stubsMB() * float64(n) / float64(o.Sidecars-o.Real)
		started.cmd.Env = append(started.cmd.Env, fmt.Sprintf("GOMEMLIMIT=%dMiB", int(memoryMB)))
	}
	started.cmd.Stderr = logFile
	started.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if started.stdin, err = started.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := started.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := started.cmd.Start(); err != nil {
		return nil, err
	}
	ready := make(chan message, 1)
	started.pending[0] = ready
	go started.readMessages(out)
	select {
	case first := <-ready:
		started.linkAddrs = first.LinkAddrs
		return started, nil
	case <-started.ended:
		logged, _ := os.ReadFile(started.logPath(dir)) // may contain the reason
		return nil, fmt.Errorf("process %s ended before it was ready: %s", name, logged)
	case <-ctx.Done():
		started.kill()
		return nil, ctx.Err()
	}
}

// logPath returns the file for the standard error of the process.
func (p *process) logPath(dir string) string { return filepath.Join(dir, p.name+".log") }

// readMessages passes on the messages of the process until its output ends, and then waits for the process.
func (p *process) readMessages(out io.Reader) {
	lines := bufio.NewReaderSize(out, 1<<16)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			break
		}
		var received message
		if json.Unmarshal(line, &received) != nil {
			continue // not a message of the protocol
		}
		if received.Adopted != nil {
			p.onAdoption(*received.Adopted)
			continue
		}
		p.mu.Lock()
		waiter := p.pending[received.ID]
		delete(p.pending, received.ID)
		p.mu.Unlock()
		if waiter != nil {
			waiter <- received
		}
	}
	_ = p.cmd.Wait() // the log shows how it ended, unless it was killed
	close(p.ended)
}

var errProcessEnded = errors.New("the process has ended")

// call sends a command and waits for its answer.
func (p *process) call(ctx context.Context, cmd command) (message, error) {
	cmd.ID = p.lastID.Add(1)
	replies := make(chan message, 1)
	text, err := json.Marshal(cmd)
	if err != nil {
		return message{}, err
	}
	p.mu.Lock()
	p.pending[cmd.ID] = replies
	_, err = p.stdin.Write(append(text, '\n'))
	p.mu.Unlock()
	if err != nil {
		return message{}, fmt.Errorf("%s: %w", p.name, err)
	}
	select {
	case reply := <-replies:
		if reply.Error != "" {
			return reply, fmt.Errorf("%s: %s", p.name, reply.Error)
		}
		return reply, nil
	case <-p.ended:
		return message{}, fmt.Errorf("%s: %w", p.name, errProcessEnded)
	case <-ctx.Done():
		return message{}, ctx.Err()
	}
}

// running reports whether the process has not ended yet.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process group, unless it has ended.
func (p *process) signal(s syscall.Signal) { _ = syscall.Kill(-p.cmd.Process.Pid, s) }

// kill kills the process group and waits for the process.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// withShortTimeout returns a context for a command or a call that is answered without much work.
func withShortTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, 5*time.Second)
}
