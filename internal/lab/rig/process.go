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
	readyTimeout        = 30 * time.Second
	operatorCallTimeout = time.Second
	upgradeTimeout      = 6 * time.Second // from the start of the new process until its status is YES
	terminateMargin     = 700 * time.Millisecond
	pollInterval        = 20 * time.Millisecond
	pollTimeout         = time.Second // the kernel also accepts connections while no process serves the socket
)

// process is one process of the sidecar program.
type process struct {
	cmd         *exec.Cmd
	mgmt        string        // address for operators' calls
	ended       chan struct{} // closed when it has ended
	endExpected bool          // the lab ends it; used only on the queue's goroutine
	cpuTime     time.Duration // valid once ended is closed, as the fields below
	peakRSSKiB  int64
	exitState   string
}

// sidecarHost runs the processes of one sidecar, one after the other. It keeps the listening socket and the folder. But
// for kills, its fields are used only on the queue's goroutine once the load has started.
type sidecarHost struct {
	rig          *rig
	number       int
	dir          string
	listenerFile *os.File // the clients' listening socket, which each process inherits
	addr         string
	current      *process // the newest process; nil while none runs
	previous     *process // a process that still serves its open requests, or nil
	starts       int
	kills        atomic.Int32 // number of killed processes; their open requests may have been executed
}

func newSidecarHost(r *rig, number int) (*sidecarHost, error) {
	h := &sidecarHost{rig: r, number: number, dir: filepath.Join(r.dir, fmt.Sprintf("n%d", number))}
	if err := os.MkdirAll(h.dir, 0o700); err != nil {
		return nil, err
	}
	listener, err := address.Listen()
	if err != nil {
		return nil, err
	}
	h.addr = listener.Addr().String()
	h.listenerFile, err = listener.(*net.TCPListener).File()
	listener.Close()
	return h, err
}

// tempDir returns the folder that the processes may write in.
func (h *sidecarHost) tempDir() string { return filepath.Join(h.dir, "tmp") }

// writeConfig writes the configuration of the next process, with the current endpoint list, and returns its path.
func (h *sidecarHost) writeConfig(mgmt string) (string, error) {
	r := h.rig
	h.starts++
	known := r.discoveryList(h.number, r.world.Discovery.FullList(h.number))
	text, err := json.Marshal(map[string]any{
		"name":      fmt.Sprintf("n%d", h.number),
		"listen":    h.addr,
		"discovery": r.discoveries[h.number].listener.Addr().String(),
		"mgmt":      mgmt,
		"seed": fmt.Sprintf("%016x",
			r.world.Seed.Stream("sidecar", uint64(h.number), uint64(h.starts)).Uint64()),
		"limits": map[string]any{
			"cores":     1.0,
			"memory_mb": r.scenario.Fleet.MemoryMB,
			"sockets":   r.scenario.Fleet.Sockets,
		},
		"known":    known,
		"settings": told.Settings(r.scenario, h.number),
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(h.dir, fmt.Sprintf("config-%d.json", h.starts))
	return path, os.WriteFile(path, text, 0o600)
}

// start starts a process. The kernel kills it when the lab ends, in whatever way.
func (h *sidecarHost) start() (*process, error) {
	p := &process{mgmt: address.Next(), ended: make(chan struct{})}
	configPath, err := h.writeConfig(p.mgmt)
	if err != nil {
		return nil, err
	}
	if h.current == nil && h.previous == nil && h.rig.scenario.Fleet.StateTransfer != "kept" {
		// The platform gives a process an empty folder, unless it starts while another one runs.
		if err := os.RemoveAll(h.tempDir()); err != nil {
			return nil, err
		}
	}
	if err := os.MkdirAll(h.tempDir(), 0o700); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(h.dir, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	p.cmd = exec.Command(h.rig.bin)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.ExtraFiles = []*os.File{h.listenerFile}
	p.cmd.Env = append(sidecarEnvironment(), "ROUTER_CONFIG="+configPath, "ROUTER_FD=3", "TMPDIR="+h.tempDir())
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	h.rig.wg.Go(func() {
		// Pdeathsig is sent when the thread ends that started the process, so this goroutine keeps its thread until
		// the process has ended.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := p.cmd.Start()
		started <- err
		if err != nil {
			return
		}
		waitErr := p.cmd.Wait()
		if state := p.cmd.ProcessState; state != nil {
			p.cpuTime = state.UserTime() + state.SystemTime()
			if usage, ok := state.SysUsage().(*syscall.Rusage); ok {
				p.peakRSSKiB = usage.Maxrss
			}
			p.exitState = state.String()
		}
		if waitErr != nil && p.exitState == "" {
			p.exitState = waitErr.Error()
		}
		close(p.ended)
		h.rig.post(func() { h.handleExit(p) })
	})
	if err := <-started; err != nil {
		return nil, fmt.Errorf("%s: %w", h.rig.bin, err)
	}
	return p, nil
}

// sidecarEnvironment returns the environment of the lab without the variables that configure the sidecar.
func sidecarEnvironment() []string {
	var env []string
	for _, variable := range os.Environ() {
		if !strings.HasPrefix(variable, "ROUTER_") && !strings.HasPrefix(variable, "TMPDIR=") {
			env = append(env, variable)
		}
	}
	return env
}

// signal sends a signal to the process and its children, unless the process has ended.
func (p *process) signal(signal syscall.Signal) {
	select {
	case <-p.ended:
	default:
		syscall.Kill(-p.cmd.Process.Pid, signal) // the process is the leader of its process group
	}
}

// handleExit records that a process has ended, and reports it as an incident if the lab did not end it. It is called on
// the queue's goroutine.
func (h *sidecarHost) handleExit(p *process) {
	h.rig.cpuTime += p.cpuTime
	h.rig.peakRSSKiB = max(h.rig.peakRSSKiB, p.peakRSSKiB)
	if h.previous == p {
		h.previous = nil
	}
	if h.current == p {
		h.current = nil
	}
	if !p.endExpected && h.rig.ctx.Err() == nil {
		h.rig.incidents = append(h.rig.incidents, fmt.Sprintf("sidecar %d ended by itself: %s (its log: %s)",
			h.number, p.exitState, filepath.Join(h.dir, "log.txt")))
	}
}

// waitReady waits until the sidecar answers the readiness check, for at most readyTimeout.
func (h *sidecarHost) waitReady(ctx context.Context, p *process) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: pollTimeout}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.addr+"/-/ready", nil)
		if err != nil {
			return err
		}
		if response, err := client.Do(request); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ticker.C:
		case <-p.ended:
			return fmt.Errorf("sidecar %d ended before it was ready: %s (its log: %s)",
				h.number, p.exitState, filepath.Join(h.dir, "log.txt"))
		case <-ctx.Done():
			return fmt.Errorf("sidecar %d is not ready after %v", h.number, readyTimeout)
		}
	}
}

// errNotYes is returned for an operator's call that the sidecar refused.
var errNotYes = errors.New("answered no")

// callOperator sends an operator's command to a sidecar and returns the reply, which begins with YES unless there is an
// error.
func callOperator(ctx context.Context, addr, line string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	if _, err := conn.Write([]byte(line + "\n")); err != nil {
		return "", err
	}
	reply, err := bufio.NewReader(conn).ReadString('\n')
	if reply = strings.TrimSpace(reply); err == nil && !strings.HasPrefix(reply, "YES") {
		err = fmt.Errorf("%w: %s", errNotYes, reply)
	}
	return reply, err
}

// upgrade starts a new process beside the current one, and terminates that once the status of the new one is YES or
// after upgradeTimeout. It does nothing if no process runs or if an earlier one is still ending.
func (h *sidecarHost) upgrade() {
	previous := h.current
	if previous == nil || h.previous != nil {
		return
	}
	next, err := h.start()
	if err != nil {
		h.rig.voidRun("upgrade of sidecar %d: %v", h.number, err)
		return
	}
	h.previous, h.current = previous, next
	previous.endExpected = true
	r := h.rig
	r.wg.Go(func() {
		deadline := time.Now().Add(upgradeTimeout)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for time.Now().Before(deadline) {
			if _, err := callOperator(r.ctx, next.mgmt, "status"); err == nil {
				break
			}
			select {
			case <-ticker.C:
			case <-r.ctx.Done():
				return
			}
		}
		h.terminate(previous)
	})
}

// terminate sends SIGTERM, and SIGKILL if the process is still running terminateMargin after the longest request
// timeout, which is at least 3 s.
func (h *sidecarHost) terminate(p *process) {
	p.signal(syscall.SIGTERM)
	longest := 3 * time.Second
	for i := range h.rig.scenario.Classes {
		longest = max(longest, time.Duration(h.rig.scenario.Classes[i].Timeout))
	}
	select {
	case <-p.ended:
	case <-time.After(longest + terminateMargin):
		p.signal(syscall.SIGKILL)
	case <-h.rig.ctx.Done():
	}
}
