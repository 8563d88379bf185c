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

// process is a child of the run: hollow sidecars, or a zone's links. It is in a process group of its own, and ends with this process.
type process struct {
	name  string
	spec  Spec
	of    []int // hollow sidecars
	zone  int
	ready []string // where links listen

	cmd  *exec.Cmd
	in   io.WriteCloser
	over chan struct{}
	next atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]chan word
	set     func(inForce)
}

// start runs a child and waits until it is ready. What it logs goes to a file beside its spec.
func start(ctx context.Context, o *Options, dir, name string, spec Spec, set func(inForce)) (p *process, err error) {
	p = &process{name: name, spec: spec, over: make(chan struct{}), waiting: map[uint64]chan word{}, set: set}
	text, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name+".spec")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(p.log(dir), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(o.Program, "lab", "hollow", path)
	p.cmd.Env = append(os.Environ(), o.Env...)
	if n := len(spec.Hollow); n > 0 { // beyond what is reckoned its heap is collected more often
		part := o.hollowsMB() * float64(n) / float64(o.Sidecars-o.Real)
		p.cmd.Env = append(p.cmd.Env, fmt.Sprintf("GOMEMLIMIT=%dMiB", int(part)))
	}
	p.cmd.Stderr = log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	ready := make(chan word, 1)
	p.waiting[0] = ready
	go p.hear(out)
	select {
	case w := <-ready:
		p.ready = w.Ready
		return p, nil
	case <-p.over:
		said, _ := os.ReadFile(p.log(dir)) // which may say why
		return nil, fmt.Errorf("%s has ended: %s", name, said)
	case <-ctx.Done():
		p.kill()
		return nil, ctx.Err()
	}
}

func (p *process) log(dir string) string { return filepath.Join(dir, p.name+".log") }

func (p *process) hear(out io.Reader) {
	lines := bufio.NewReaderSize(out, 1<<16)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			break
		}
		var w word
		if json.Unmarshal(line, &w) != nil {
			continue // no word of ours
		}
		if w.Set != nil {
			p.set(*w.Set)
			continue
		}
		p.mu.Lock()
		to := p.waiting[w.ID]
		delete(p.waiting, w.ID)
		p.mu.Unlock()
		if to != nil {
			to <- w
		}
	}
	_ = p.cmd.Wait() // how it ended shows in its log, or it was killed
	close(p.over)
}

var errOver = errors.New("the process has ended")

// tell gives an order and waits for its answer.
func (p *process) tell(ctx context.Context, o order) (word, error) {
	o.ID = p.next.Add(1)
	answer := make(chan word, 1)
	text, err := json.Marshal(o)
	if err != nil {
		return word{}, err
	}
	p.mu.Lock()
	p.waiting[o.ID] = answer
	_, err = p.in.Write(append(text, '\n'))
	p.mu.Unlock()
	if err != nil {
		return word{}, fmt.Errorf("%s: %w", p.name, err)
	}
	select {
	case w := <-answer:
		if w.Error != "" {
			return w, fmt.Errorf("%s: %s", p.name, w.Error)
		}
		return w, nil
	case <-p.over:
		return word{}, fmt.Errorf("%s: %w", p.name, errOver)
	case <-ctx.Done():
		return word{}, ctx.Err()
	}
}

// runs says whether it does.
func (p *process) runs() bool {
	select {
	case <-p.over:
		return false
	default:
		return true
	}
}

// signal sends one to the process's group.
func (p *process) signal(s syscall.Signal) { _ = syscall.Kill(-p.cmd.Process.Pid, s) } // it may have ended

// kill ends it with all in its group, and waits.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.over
}

// soon bounds the answer to what costs little.
func soon(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, 5*time.Second)
}
