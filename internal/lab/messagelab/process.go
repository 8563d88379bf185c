package messagelab

import (
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
	"sync"
	"syscall"
	"time"

	"birchmoor/internal/lab/address"
	"birchmoor/internal/lab/procfs"
)

const (
	memoryMB         = 96 // half of the largest limit of the platform
	maxDescriptors   = 512
	readyTimeout     = time.Minute
	pollInterval     = 10 * time.Millisecond
	killDelay        = longestTimeout + 700*time.Millisecond // from SIGTERM, at the earliest
	upgradeTimeout   = 6 * time.Second
	seriesSpan       = 100 * time.Millisecond
	maxSignals       = 4
	memoryPollPeriod = 50 * time.Millisecond
)

// sidecar runs the processes of one sidecar, one after the other or two during an upgrade. They inherit the clients'
// listening socket and share a folder.
type sidecar struct {
	run      *run
	number   int
	dir      string
	listener *os.File
	addr     string
	current  *process // used by the goroutine that plays the sidecar's faults only
}

// process is one process of a sidecar.
type process struct {
	cmd      *exec.Cmd
	mgmt     string
	ended    chan struct{}
	mu       sync.Mutex
	expected bool // the lab ends it
}

func (r *run) newSidecar(dir string, number int) (*sidecar, error) {
	s := &sidecar{run: r, number: number, dir: filepath.Join(dir, fmt.Sprintf("n%d", number))}
	if err := os.MkdirAll(filepath.Join(s.dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	ln, err := address.Listen()
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	s.addr = ln.Addr().String()
	s.listener, err = ln.(*net.TCPListener).File()
	return s, err
}

// writeConfig writes the configuration of a process.
func (s *sidecar) writeConfig(mgmt string) (path string, err error) {
	var instances []map[string]any
	for i, ln := range s.run.servers.listeners {
		instances = append(instances, map[string]any{
			"instanceId": fmt.Sprintf("s-%d", i), "hostPort": ln.Addr().String(), "zone": "a", "machineType": "m1",
			"cell": 1, "lifecycle": "up", "weight": 1.0, "startedAtMs": 0,
		})
	}
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprintf("n%d", s.number), "listen": s.addr, "discovery": s.run.discovery, "mgmt": mgmt,
		"seed":     fmt.Sprintf("%016x", s.run.Seed),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": maxDescriptors},
		"known":    map[string]any{"generation": 1, "reset": true, "instances": instances},
		"settings": json.RawMessage(settings),
	})
	if err != nil {
		return "", err
	}
	path = filepath.Join(s.dir, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}

// start starts a process, which the kernel kills when the lab ends.
func (s *sidecar) start() (*process, error) {
	p := &process{mgmt: address.Next(), ended: make(chan struct{})}
	config, err := s.writeConfig(p.mgmt)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(s.run.Program, s.run.Args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.ExtraFiles = []*os.File{s.listener}
	p.cmd.Env = append(os.Environ(), s.run.Env...)
	p.cmd.Env = append(p.cmd.Env, "ROUTER_CONFIG="+config, "ROUTER_FD=3", "TMPDIR="+filepath.Join(s.dir, "tmp"))
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	s.run.processes.Go(func() {
		runtime.LockOSThread() // Pdeathsig is sent when the thread ends that started the process
		defer runtime.UnlockOSThread()
		err := p.cmd.Start()
		started <- err
		if err != nil {
			return
		}
		_ = p.cmd.Wait() // how it ended does not matter: that it did is judged
		close(p.ended)
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.expected {
			s.run.violate(Crash, fmt.Sprintf("n%d ended by itself: %s", s.number, s.lastLines()))
		}
	})
	if err := <-started; err != nil {
		return nil, err
	}
	s.run.processes.Go(func() { s.watchMemory(p) })
	return p, nil
}

// lastLines returns the end of the sidecar's log.
func (s *sidecar) lastLines() string {
	text, err := os.ReadFile(filepath.Join(s.dir, "log.txt"))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}

// watchMemory records the largest memory of a process until it ends.
func (s *sidecar) watchMemory(p *process) {
	for {
		mb := procfs.MB(p.cmd.Process.Pid, "VmHWM")
		s.run.update(func() { s.run.result.MemoryMB = max(s.run.result.MemoryMB, mb) })
		select {
		case <-p.ended:
			return
		case <-time.After(memoryPollPeriod):
		}
	}
}

// expectEnd records that the lab ends the process.
func (p *process) expectEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = true
}

func (p *process) signal(signal syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Signal(signal) // it may have ended in the meantime
	}
}

// series sends a signal several times within seriesSpan.
func (p *process) series(ctx context.Context, signal syscall.Signal, times int) {
	for range times {
		p.signal(signal)
		pause(ctx, seriesSpan/maxSignals)
	}
}

// kill ends a process at once.
func (p *process) kill() {
	p.expectEnd()
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// terminate ends a process as the platform does, and reports whether SIGKILL ended it.
func (p *process) terminate(ctx context.Context, times int) (killed bool) {
	p.expectEnd()
	timer := time.After(killDelay)
	p.series(ctx, syscall.SIGTERM, times)
	select {
	case <-p.ended:
		return false
	case <-timer: // also after the end of the run's load, since requests are still open then
	}
	p.kill()
	return true
}

// waitReady waits until a process answers the readiness check or, if it is not the only one, says yes to operators.
func (s *sidecar) waitReady(ctx context.Context, p *process, ready func(context.Context, *process) bool,
	timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !ready(ctx, p) {
		if ctx.Err() != nil {
			return fmt.Errorf("n%d is not ready: %w\n%s", s.number, ctx.Err(), s.lastLines())
		}
		select {
		case <-p.ended:
			return errors.New("it ended before it was ready: " + s.lastLines())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// answersReady reports whether the process at the clients' address is ready.
func (s *sidecar) answersReady(ctx context.Context, _ *process) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.addr+"/-/ready", nil)
	if err != nil {
		return false
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// saysYes reports whether a process answers an operator's status call with yes.
func saysYes(ctx context.Context, p *process) bool {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", p.mgmt)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second)) // fails on a closed connection, as the calls below do
	reply := make([]byte, 3)
	if _, err := conn.Write([]byte("status\n")); err != nil {
		return false
	}
	n, _ := conn.Read(reply)
	return string(reply[:n]) == "YES"
}
