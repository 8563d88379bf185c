package chain

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"birchmoor/internal/lab/procfs"
)

const (
	readyMost = 30 * time.Second
	readyPoll = 20 * time.Millisecond
	stopMost  = 3 * time.Second // for a process to end when it is asked to
)

// sidecar is a process of the program.
type sidecar struct {
	cmd   *exec.Cmd
	addr  string
	log   string
	ended chan struct{}
}

// start runs the program for a level. The kernel ends it with the lab, however that ends.
func (r *row) start(k int, dir string, servers []string) (*sidecar, error) {
	// The process inherits its listening socket, so that nobody else takes the port.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	socket, err := ln.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	defer socket.Close()
	addr := ln.Addr().String()
	config, err := r.configure(k, dir, addr, servers)
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(dir, fmt.Sprintf("tmp-%d", k))
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	p := &sidecar{cmd: exec.Command(r.o.Bin), addr: addr, log: filepath.Join(dir, fmt.Sprintf("log-%d.txt", k)), ended: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	for _, e := range os.Environ() {
		if !strings.HasPrefix(e, "ROUTER_") && !strings.HasPrefix(e, "TMPDIR=") {
			p.cmd.Env = append(p.cmd.Env, e)
		}
	}
	p.cmd.Env = append(p.cmd.Env, "ROUTER_CONFIG="+config, "TMPDIR="+tmp, "ROUTER_FD=3")
	p.cmd.ExtraFiles = []*os.File{socket}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	begun := make(chan error, 1)
	r.wg.Go(func() {
		// The kernel's signal comes when the thread that started the process ends: this one stays for so long.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		defer close(p.ended)
		err := p.cmd.Start()
		begun <- err
		if err == nil {
			p.cmd.Wait()
		}
	})
	if err := <-begun; err != nil {
		return nil, fmt.Errorf("%s: %w", r.o.Bin, err)
	}
	return p, nil
}

func (p *sidecar) stop() {
	if p == nil {
		return
	}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		select {
		case <-p.ended:
			return
		default:
			syscall.Kill(-p.cmd.Process.Pid, s)
		}
		select {
		case <-p.ended:
		case <-time.After(stopMost):
		}
	}
}

// ready waits until the program answers that it can serve.
func (p *sidecar) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyMost)
	defer cancel()
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.addr+"/-/ready", nil)
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
		case <-time.After(readyPoll):
		case <-p.ended:
			text, _ := os.ReadFile(p.log)
			return fmt.Errorf("a sidecar ended before it was ready: %s", strings.TrimSpace(string(text)))
		case <-ctx.Done():
			return fmt.Errorf("a sidecar is not ready: %w", ctx.Err())
		}
	}
}

// usage is what a sidecar's process and its probes have cost so far.
type usage struct {
	cpu               time.Duration
	probes            uint64
	probeIn, probeOut int64
}

func (r *row) usage() (all []usage) {
	for _, l := range r.levels {
		all = append(all, usage{l.side.cpu(), l.probes.Load(), l.probeIn.Load(), l.probeOut.Load()})
	}
	return all
}

// figures are a level's between two readings.
func (l *level) figures(a, b usage, took time.Duration) Level {
	s := took.Seconds()
	v := Level{Attempts: l.attempts.Load(), Rose: l.rose.Load(), Over: l.over.Load(), Open: l.open.Load(), Opened: l.opened.Load(),
		Probes: float64(b.probes-a.probes) / s, ProbeIn: float64(b.probeIn-a.probeIn) / s, ProbeOut: float64(b.probeOut-a.probeOut) / s,
		CPU: (b.cpu - a.cpu).Seconds() / s, RSS: l.side.rss()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leftSeen > 0 {
		v.LeftMin, v.LeftMax, v.LeftMean = l.leftMin, l.leftMax, float64(l.leftSum)/float64(l.leftSeen)
	}
	return v
}

func (p *sidecar) cpu() time.Duration { return procfs.CPU(p.cmd.Process.Pid) }

func (p *sidecar) rss() float64 { return procfs.MB(p.cmd.Process.Pid, "VmRSS") }
