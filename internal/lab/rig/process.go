package rig

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"birchmoor/internal/lab/address"
	"birchmoor/internal/lab/told"
)

const (
	readyMost  = 30 * time.Second // for a process to become ready
	callMost   = time.Second      // for an operator's call
	upgradeFor = 6 * time.Second  // for a new process to say yes
	restFor    = 700 * time.Millisecond
	pollEvery  = 20 * time.Millisecond
	pollMost   = time.Second // the socket takes connections also while no process does
)

// process is a running sidecar program.
type process struct {
	cmd    *exec.Cmd
	mgmt   string
	ended  chan struct{} // closed when it has ended
	wanted bool          // its end was asked for; belongs to the queue's goroutine
	cpu    time.Duration // valid once ended
	rss    int64         // KiB, likewise
	state  string
}

// home is what stays of a sidecar while its processes come and go.
type home struct {
	r      *rig
	number int
	dir    string
	ln     *os.File // the clients' listening socket, which each process inherits
	addr   string
	now    *process // that clients reach; nil while none runs
	old    *process // one that finishes
	starts int
	kills  atomic.Int32 // how often a process was killed: what it had taken may have run
}

func newHome(r *rig, number int) (*home, error) {
	h := &home{r: r, number: number, dir: filepath.Join(r.dir, fmt.Sprintf("n%d", number))}
	if err := os.MkdirAll(h.dir, 0o700); err != nil {
		return nil, err
	}
	ln, err := address.Listen()
	if err != nil {
		return nil, err
	}
	h.addr = ln.Addr().String()
	h.ln, err = ln.(*net.TCPListener).File()
	ln.Close()
	return h, err
}

// tmp is the folder that its processes may write in.
func (h *home) tmp() string { return filepath.Join(h.dir, "tmp") }

// configure writes the configuration of the next process, with the list as it is now.
func (h *home) configure(mgmt string) (string, error) {
	r := h.r
	h.starts++
	known := r.list(h.number, r.w.Discovery.FullList(h.number))
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", h.number), "listen": h.addr, "discovery": r.desks[h.number].ln.Addr().String(),
		"mgmt": mgmt, "seed": fmt.Sprintf("%016x", r.w.Seed.Stream("sidecar", uint64(h.number), uint64(h.starts)).Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": r.s.Fleet.MemoryMB, "sockets": r.s.Fleet.Sockets},
		"known":  known, "settings": told.Settings(r.s, h.number)})
	if err != nil {
		return "", err
	}
	path := filepath.Join(h.dir, fmt.Sprintf("config-%d.json", h.starts))
	return path, os.WriteFile(path, text, 0o600)
}

// start runs the program. The kernel ends it with the lab, however that ends.
func (h *home) start() (*process, error) {
	p := &process{mgmt: address.Next(), ended: make(chan struct{})}
	config, err := h.configure(p.mgmt)
	if err != nil {
		return nil, err
	}
	if h.now == nil && h.old == nil && h.r.s.Fleet.StateTransfer != "kept" {
		// The platform gives a process that starts alone an empty folder.
		if err := os.RemoveAll(h.tmp()); err != nil {
			return nil, err
		}
	}
	if err := os.MkdirAll(h.tmp(), 0o700); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(h.dir, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(h.r.bin)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.ExtraFiles = []*os.File{h.ln}
	p.cmd.Env = append(environment(), "ROUTER_CONFIG="+config, "ROUTER_FD=3", "TMPDIR="+h.tmp())
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	begun := make(chan error, 1)
	h.r.wg.Go(func() {
		// The kernel's signal comes when the thread that started the process ends: this one stays for so long.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := p.cmd.Start()
		begun <- err
		if err != nil {
			return
		}
		werr := p.cmd.Wait()
		if s := p.cmd.ProcessState; s != nil {
			p.cpu = s.UserTime() + s.SystemTime()
			if u, ok := s.SysUsage().(*syscall.Rusage); ok {
				p.rss = u.Maxrss
			}
			p.state = s.String()
		}
		if werr != nil && p.state == "" {
			p.state = werr.Error()
		}
		close(p.ended)
		h.r.post(func() { h.over(p) })
	})
	if err := <-begun; err != nil {
		return nil, fmt.Errorf("%s: %w", h.r.bin, err)
	}
	return p, nil
}

// environment is the lab's own but for what would steer the program.
func environment() []string {
	var env []string
	for _, e := range os.Environ() {
		if !strings.HasPrefix(e, "ROUTER_") && !strings.HasPrefix(e, "TMPDIR=") {
			env = append(env, e)
		}
	}
	return env
}

func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		syscall.Kill(-p.cmd.Process.Pid, s) // and those that it started, if any
	}
}

// over notes a process's end, on the queue's goroutine.
func (h *home) over(p *process) {
	h.r.cpu += p.cpu
	h.r.rss = max(h.r.rss, p.rss)
	if h.old == p {
		h.old = nil
	}
	if h.now == p {
		h.now = nil
	}
	if !p.wanted && h.r.ctx.Err() == nil {
		h.r.crashed = append(h.r.crashed, fmt.Sprintf("sidecar %d ended by itself: %s (its log: %s)", h.number, p.state,
			filepath.Join(h.dir, "log.txt")))
	}
}

// ready waits until the program answers that it can serve.
func (h *home) ready(ctx context.Context, p *process) error {
	ctx, cancel := context.WithTimeout(ctx, readyMost)
	defer cancel()
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: pollMost}
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.addr+"/-/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := c.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-tick.C:
		case <-p.ended:
			return fmt.Errorf("sidecar %d ended before it was ready: %s (its log: %s)", h.number, p.state, filepath.Join(h.dir, "log.txt"))
		case <-ctx.Done():
			return fmt.Errorf("sidecar %d is not ready after %v", h.number, readyMost)
		}
	}
}

var errNo = errors.New("answered no")

// call makes an operator's call and returns its answer.
func call(ctx context.Context, addr, line string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callMost)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return "", err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if _, err := c.Write([]byte(line + "\n")); err != nil {
		return "", err
	}
	text, err := bufio.NewReader(c).ReadString('\n')
	if text = strings.TrimSpace(text); err == nil && !strings.HasPrefix(text, "YES") {
		err = fmt.Errorf("%w: %s", errNo, text)
	}
	return text, err
}

// upgrade starts a new process beside the old one and ends that once the new one serves.
func (h *home) upgrade() {
	old := h.now
	if old == nil || h.old != nil {
		return
	}
	next, err := h.start()
	if err != nil {
		h.r.spoil("upgrade of sidecar %d: %v", h.number, err)
		return
	}
	h.old, h.now = old, next
	old.wanted = true
	r := h.r
	r.wg.Go(func() {
		deadline := time.Now().Add(upgradeFor)
		tick := time.NewTicker(pollEvery)
		defer tick.Stop()
		for time.Now().Before(deadline) {
			if _, err := call(r.ctx, next.mgmt, "status"); err == nil {
				break
			}
			select {
			case <-tick.C:
			case <-r.ctx.Done():
				return
			}
		}
		h.end(old)
	})
}

// end asks a process to end, and kills it when it has had the longest deadline.
func (h *home) end(p *process) {
	p.signal(syscall.SIGTERM)
	longest := 3 * time.Second
	for i := range h.r.s.Classes {
		longest = max(longest, time.Duration(h.r.s.Classes[i].Timeout))
	}
	select {
	case <-p.ended:
	case <-time.After(longest + restFor):
		p.signal(syscall.SIGKILL)
	case <-h.r.ctx.Done():
	}
}
