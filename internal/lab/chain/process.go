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
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	stopTimeout       = 3 * time.Second // after each signal to stop
)

// sidecar is a process of the sidecar program.
type sidecar struct {
	cmd     *exec.Cmd
	addr    string
	logFile string
	ended   chan struct{}
}

// startSidecar starts the sidecar of a level. The kernel kills the process if the lab's process ends first.
func (r *row) startSidecar(number int, dir string, servers []string) (*sidecar, error) {
	// The process inherits its listening socket, so that no other process can take the port.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	listener, err := ln.(*net.TCPListener).File()
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	addr := ln.Addr().String()
	config, err := r.writeConfig(number, dir, addr, servers)
	if err != nil {
		return nil, err
	}
	tempDir := filepath.Join(dir, fmt.Sprintf("tmp-%d", number))
	if err := os.MkdirAll(tempDir, 0o700); err != nil {
		return nil, err
	}
	process := &sidecar{cmd: exec.Command(r.options.Program), addr: addr, logFile: filepath.Join(dir,
		fmt.Sprintf("log-%d.txt",
			number)), ended: make(chan struct{})}
	log, err := os.Create(process.logFile)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	process.cmd.Stdout, process.cmd.Stderr = log, log
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "ROUTER_") && !strings.HasPrefix(variable, "TMPDIR=") {
			process.cmd.Env = append(process.cmd.Env, variable)
		}
	}
	process.cmd.Env = append(process.cmd.Env, "ROUTER_CONFIG="+config, "TMPDIR="+tempDir, "ROUTER_FD=3")
	process.cmd.ExtraFiles = []*os.File{listener}
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	r.wg.Go(func() {
		// The kernel sends Pdeathsig when the thread ends that started the process, so the thread has to outlive it.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		defer close(process.ended)
		err := process.cmd.Start()
		started <- err
		if err == nil {
			process.cmd.Wait()
		}
	})
	if err := <-started; err != nil {
		return nil, fmt.Errorf("%s: %w", r.options.Program, err)
	}
	return process, nil
}

// stop ends the process and its group, by SIGTERM and then by SIGKILL.
func (s *sidecar) stop() {
	if s == nil {
		return
	}
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		select {
		case <-s.ended:
			return
		default:
			syscall.Kill(-s.cmd.Process.Pid, signal)
		}
		select {
		case <-s.ended:
		case <-time.After(stopTimeout):
		}
	}
}

// waitReady waits until the process reports that it is ready, or returns an error when it ends or the timeout is over.
func (s *sidecar) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.addr+"/-/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(readyPollInterval):
		case <-s.ended:
			text, _ := os.ReadFile(s.logFile)
			return fmt.Errorf("a sidecar ended before it was ready: %s", strings.TrimSpace(string(text)))
		case <-ctx.Done():
			return fmt.Errorf("a sidecar is not ready: %w", ctx.Err())
		}
	}
}

// usage is the cost of a sidecar's process and its probes so far.
type usage struct {
	cpu                         time.Duration
	probes                      uint64
	probeBytesIn, probeBytesOut int64
}

// usages returns the usage of all levels.
func (r *row) usages() (all []usage) {
	for _, l := range r.levels {
		all = append(all, usage{l.sidecar.cpu(), l.probes.Load(), l.probeBytesIn.Load(), l.probeBytesOut.Load()})
	}
	return all
}

// figures returns the figures of a level, with rates between two readings of its usage.
func (l *level) figures(before, after usage, took time.Duration) Level {
	seconds := took.Seconds()
	figures := Level{Attempts: l.attempts.Load(), NotReduced: l.notReduced.Load(), BeyondRoot: l.beyondRoot.Load(),
		Open: l.openConns.Load(), Opened: l.openedConns.Load(),
		Probes:   float64(after.probes-before.probes) / seconds,
		ProbeIn:  float64(after.probeBytesIn-before.probeBytesIn) / seconds,
		ProbeOut: float64(after.probeBytesOut-before.probeBytesOut) / seconds,
		CPU:      (after.cpu - before.cpu).Seconds() / seconds, RSS: l.sidecar.rss()}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.timeLeftCount > 0 {
		figures.TimeLeftMin, figures.TimeLeftMax, figures.TimeLeftMean = l.timeLeftMin, l.timeLeftMax,
			float64(l.timeLeftSum)/float64(l.timeLeftCount)
	}
	return figures
}

func (s *sidecar) cpu() time.Duration { return procfs.CPU(s.cmd.Process.Pid) }

func (s *sidecar) rss() float64 { return procfs.MB(s.cmd.Process.Pid, "VmRSS") }
