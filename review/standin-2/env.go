package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// env is one run of a case: its folders, its record and the processes that it started.
type env struct {
	trouble bool
	root    string // of the repository
	dir     string // temporary folder, removed at the end
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*sidecar
	broken []string // how the rule was broken
}

// fault ends a case that could not run.
type fault struct{ reason string }

func cannotRun(format string, args ...any) { panic(fault{fmt.Sprintf(format, args...)}) }

func must[T any](v T, err error) T {
	if err != nil {
		cannotRun("%v", err)
	}
	return v
}

// logf writes a line to the record, with the milliseconds since the start of the case.
func (e *env) logf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record != nil {
		fmt.Fprintf(e.record, "%9.3f "+format+"\n",
			append([]any{float64(time.Since(e.start).Microseconds()) / 1000}, args...)...)
	}
}

// breakf records that the rule was broken.
func (e *env) breakf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	e.logf("BROKEN %s", text)
	e.mu.Lock()
	e.broken = append(e.broken, text)
	e.mu.Unlock()
}

// listen opens a listener at a free port of the loopback address. The port is none that the system gives to connections,
// so that it stays free while nothing listens there.
func listen() *net.TCPListener {
	for range 1000 {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000)))
		if err == nil {
			return ln.(*net.TCPListener)
		}
	}
	cannotRun("no port is free")
	return nil
}

// freeAddr returns a loopback address at which nothing listens.
func freeAddr() string {
	ln := listen()
	defer ln.Close()
	return ln.Addr().String()
}

// sidecar is a process of the sidecar, with its configuration.
type sidecar struct {
	env    *env
	cmd    *exec.Cmd
	listen string
	mgmt   string
	config string
	ended  chan struct{}
}

// runCommand returns the command that deploy/balancer.toml has for one sidecar.
func (e *env) runCommand() string {
	text := must(os.ReadFile(filepath.Join(e.root, "deploy/balancer.toml")))
	m := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		cannotRun("deploy/balancer.toml has no run")
	}
	return string(m[1])
}

// writeConfig writes a configuration file and returns its path.
func (e *env) writeConfig(name, listen, mgmt, discovery string, known any, settings map[string]any) string {
	text := must(json.MarshalIndent(map[string]any{
		"name": "n0", "listen": listen, "discovery": discovery, "mgmt": mgmt, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known, "settings": settings,
	}, "", " "))
	path := filepath.Join(e.dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		cannotRun("%v", err)
	}
	return path
}

// startSidecar starts a process by the run line. inherited, unless nil, is the clients' socket, as descriptor 7.
func (e *env) startSidecar(config, listen, mgmt, tmp string, inherited *os.File) *sidecar {
	s := &sidecar{env: e, listen: listen, mgmt: mgmt, config: config, ended: make(chan struct{})}
	s.cmd = exec.Command("/bin/sh", "-c", e.runCommand())
	s.cmd.Dir = e.root
	s.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "ROUTER_CONFIG=" + config, "TMPDIR=" + tmp, "ROUTER_NAME=n0",
		"ROUTER_LISTEN=" + listen, "ROUTER_MGMT=" + mgmt}
	if inherited != nil {
		s.cmd.Env = append(s.cmd.Env, "ROUTER_FD=7")
		// descriptors 3 to 6 are not used
		null := must(os.Open(os.DevNull))
		s.cmd.ExtraFiles = []*os.File{null, null, null, null, inherited}
		defer null.Close()
	}
	log := must(os.OpenFile(filepath.Join(e.dir, "sidecar.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600))
	defer log.Close()
	s.cmd.Stdout, s.cmd.Stderr = log, log
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		cannotRun("%v", err)
	}
	e.logf("sidecar: process %d started", s.cmd.Process.Pid)
	e.mu.Lock()
	e.procs = append(e.procs, s)
	e.mu.Unlock()
	go func() {
		err := s.cmd.Wait()
		e.logf("sidecar: process %d ended: %v", s.cmd.Process.Pid, err)
		close(s.ended)
	}()
	return s
}

// awaitReady waits until GET /-/ready answers 200.
func (s *sidecar) awaitReady() {
	for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		select {
		case <-s.ended:
			cannotRun("the sidecar ended before it was ready")
		default:
		}
		c, err := net.DialTimeout("tcp", s.listen, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(c, "GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
		b := make([]byte, 64)
		n, _ := c.Read(b)
		c.Close()
		if strings.HasPrefix(string(b[:n]), "HTTP/1.1 200") {
			s.env.logf("sidecar: ready")
			return
		}
	}
	cannotRun("the sidecar is not ready within 30 s")
}

// call makes an operator's call at the second address, and returns its answer.
func (s *sidecar) call(line string) string {
	c, err := net.DialTimeout("tcp", s.mgmt, time.Second)
	if err != nil {
		return "no connection: " + err.Error()
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(c, "%s\n", line)
	var all []byte
	b := make([]byte, 4096)
	for {
		n, err := c.Read(b)
		all = append(all, b[:n]...)
		if err != nil {
			break
		}
	}
	return strings.TrimSpace(string(all))
}

func (s *sidecar) signal(sig syscall.Signal) {
	s.env.logf("sidecar: process %d gets signal %v", s.cmd.Process.Pid, sig)
	_ = s.cmd.Process.Signal(sig)
}

func (s *sidecar) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// end ends all processes and closes the record.
func (e *env) end() {
	for _, s := range e.procs {
		if !s.hasEnded() {
			_ = s.cmd.Process.Kill()
			<-s.ended
		}
	}
	if log, err := os.ReadFile(filepath.Join(e.dir, "sidecar.log")); err == nil {
		e.mu.Lock()
		lines := strings.Split(strings.TrimSpace(string(log)), "\n")
		fmt.Fprintf(e.record, "the sidecar's log, %d lines, at most 60 of them:\n%s\n", len(lines),
			strings.Join(lines[:min(60, len(lines))], "\n"))
		e.mu.Unlock()
	}
	os.RemoveAll(e.dir)
}
