package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// settings are those of the small deployment bratislava-booking, in the form of WIRE, with the names of its classes. The
// figures lie inside the ranges of the site file. sidecars is their number in the fleet.
func settings(sidecars int) map[string]any {
	class := func(name, repeat string, aim, giveUp int, worth float64) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "group": "all", "window": 5000000, "target": aim,
			"give-up": giveUp, "credit": worth, "late-value": 0.0, "stream": false}
	}
	return map[string]any{
		"areas": []string{"petrzalka", "trnava"}, "skus": []string{"fast-2", "mid-3", "slow-3"},
		"callers": map[string]any{"marks-retry": false},
		"classes": []any{
			class("slot-search", "pure", 400000, 1200000, 5),
			class("confirm", "side_effect", 600000, 1500000, 10),
			class("reschedule", "side_effect", 500000, 1000000, 5),
			class("cancel", "side_effect", 600000, 1500000, 5),
		},
		"contract": map[string]any{"answer-slack": 20000, "ask-within": 10000000, "cold-from": 0.13,
			"drain-grace": 500000, "fall-multiple": 3.0, "overload-for": 3000000, "ramp-time": 24000000},
		"discovery":   "subscribe",
		"family-info": map[string]any{"warm-keys": false},
		"goal": map[string]any{"whole": 0.75, "worst-class": 0.1, "worst-tenant": 0.0,
			"worst-window": 0.15},
		"kind-of-service": "mesh",
		"limits": map[string]any{"cancel": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 12000,
			"dial-timeout": 200000, "keepalive": 60000000, "max-retry-after": 750000, "may-tell": false,
			"most-held": 30000, "most-tries": 4, "multiplex": 1, "probes": true, "retry-after": true,
			"second-copies": true},
		"over-share-worth": 0.1, "peers-total": sidecars, "position": 0,
		"prices": map[string]any{"connection": 0.04, "cross-zone": 0.03, "discovery": 0.0, "handshake": 0.04,
			"late-fail": 0.025, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0029, "waste": 0.047},
		"reporting": map[string]any{"fields": []string{"busy_reqs", "cpu_share", "served_ps"}, "how": "probe"},
		"stages":    []string{"slot-servers"}, "tenants": []any{}, "tick": 5000, "tier": 0,
		"value-by": "work", "weight-kind": "rough", "zone": 0,
	}
}

// sidecar is one sidecar as the platform starts it, by `run` of the deploy file.
type sidecar struct {
	listen  string
	process *exec.Cmd
	ended   chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*?)"`)

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func writeConfig(path string, config map[string]any) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// startNew starts a sidecar at free addresses, with a list as discovery has it now.
func (w *world) startNew(d *discovery, limits map[string]any) (*sidecar, error) {
	return w.startNamed("n0", d, limits)
}

// startNamed does the same for a sidecar with a name, in a folder of its own.
func (w *world) startNamed(name string, d *discovery, limits map[string]any) (*sidecar, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	mgmt, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return w.startSidecar(name, listen, mgmt, d, limits)
}

// startSidecar starts a sidecar and waits until it is ready.
func (w *world) startSidecar(name, listen, mgmt string, d *discovery, limits map[string]any) (*sidecar, error) {
	deploy, err := os.ReadFile(filepath.Join(w.root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, fmt.Errorf("deploy/balancer.toml has no line run")
	}
	s := &sidecar{listen: listen, ended: make(chan struct{})}
	tmp, path := filepath.Join(w.temp, name, "tmpdir"), filepath.Join(w.temp, name, "config.json")
	known, settings := d.snapshot(), settings(max(1, w.sidecars))
	if w.known != nil {
		known = *w.known
	}
	if w.push {
		settings["discovery"] = "automatic"
	}
	config := map[string]any{"name": name, "listen": listen, "mgmt": mgmt, "discovery": d.addr,
		"seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "limits": limits, "known": known,
		"settings": settings}
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	if err := writeConfig(path, config); err != nil {
		return nil, err
	}
	s.process = exec.Command("/bin/sh", "-c", string(run[1]))
	s.process.Dir = w.root
	s.process.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + tmp, "ROUTER_CONFIG=" + path,
		"ROUTER_NAME=" + name, "ROUTER_LISTEN=" + listen, "ROUTER_DISCOVERY=" + d.addr,
		"ROUTER_MGMT=" + mgmt}
	s.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logFile, err := os.Create(filepath.Join(w.temp, name, "sidecar.log"))
	if err != nil {
		return nil, err
	}
	s.process.Stdout, s.process.Stderr = logFile, logFile
	if err := s.process.Start(); err != nil {
		return nil, err
	}
	_ = logFile.Close()
	w.addProcess(s.process)
	w.rec.add("sidecar %s started, pid %d", name, s.process.Process.Pid)
	go func() {
		err := s.process.Wait()
		w.rec.add("sidecar pid %d ended: %v", s.process.Process.Pid, err)
		close(s.ended)
	}()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		resp, err := http.Get("http://" + listen + "/-/ready")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return s, nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, fmt.Errorf("the sidecar is not ready after 10 s")
}

func (s *sidecar) signal(sig syscall.Signal) { _ = s.process.Process.Signal(sig) }

// end stops a sidecar as a planned restart does: SIGTERM, and SIGKILL after the longest deadline and 0.7 s.
func (s *sidecar) end() {
	s.signal(syscall.SIGTERM)
	select {
	case <-s.ended:
	case <-time.After(2200 * time.Millisecond):
		s.signal(syscall.SIGKILL)
		<-s.ended
	}
}
