// Package bench compares the sidecar in one run with direct connections and with Go's httputil.ReverseProxy, over
// servers that answer at once. Each party is a process of its own with GOMAXPROCS=1.
package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"birchmoor/internal/lab/procfs"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/told"
)

// Options of a benchmark.
type Options struct {
	PartyCommand []string      // command that runs a party; the role and its configuration are appended
	Conns        []int         // numbers of connections, each with one request at a time
	Sizes        []int         // numbers of servers in the endpoint list
	Duration     time.Duration // of each measurement
	Rounds       int
	Profile      string             // folder for CPU profiles of the sidecar, one a number of connections; "" for none
	Progress     func(done, of int) // called before each measurement; may be nil
}

// Row is one measurement.
type Row struct {
	Party       string  `json:"party"` // "direct", "reverse-proxy" or "sidecar"
	Conns       int     `json:"connections"`
	Servers     int     `json:"servers"`
	Requests    int     `json:"requests"`
	Rate        float64 `json:"requests_per_s"`
	P50         float64 `json:"p50_us"`
	P99         float64 `json:"p99_us"`
	P999        float64 `json:"p999_us"`
	CPU         float64 `json:"cpu_us_per_request"` // processor time of the party's process
	Allocs      float64 `json:"allocs_per_request"`
	Bytes       float64 `json:"bytes_per_request"`
	PeakMB      float64 `json:"peak_mb"` // peak resident memory since the party's start
	Rejected    int     `json:"refused"` // answers that were not 200
	BrokenConns int     `json:"broken"`  // connections that failed
}

const (
	warmUpDuration = 500 * time.Millisecond
)

// party is a process of the benchmark, which Peer runs.
type party struct {
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	stdout *bufio.Reader
	addrs  []string
}

// startParty starts a party and waits for its first line, which contains its addresses.
func startParty(ctx context.Context, self []string, role, config string) (*party, error) {
	p := &party{cmd: exec.CommandContext(ctx, self[0], append(append([]string{}, self[1:]...), role, config)...)}
	p.cmd.Stderr = os.Stderr
	// A party ends at the end of its input, which also comes when this process is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	var err error
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	p.stdout = bufio.NewReaderSize(out, 1<<20)
	line, err := p.stdout.ReadString('\n')
	if err != nil {
		p.stop()
		return nil, fmt.Errorf("%s did not start: %w", role, err)
	}
	p.addrs = strings.Fields(line)
	return p, nil
}

func (p *party) stop() {
	p.stdin.Close()
	p.cmd.Wait()
}

// command sends a line to the party and returns the line that it answers.
func (p *party) command(line string) (string, error) {
	if _, err := io.WriteString(p.stdin, line+"\n"); err != nil {
		return "", err
	}
	return p.stdout.ReadString('\n')
}

func (p *party) memory() (m Memory, err error) {
	line, err := p.command("memory")
	if err == nil {
		err = json.Unmarshal([]byte(line), &m)
	}
	return m, err
}

// cpu returns the processor time that the process has used.
func (p *party) cpu() time.Duration { return procfs.CPU(p.cmd.Process.Pid) }

func (p *party) peakMB() float64 { return procfs.MB(p.cmd.Process.Pid, "VmHWM") }

// Run measures all parties with each number of connections over 10 servers, and both proxies with 16 connections over
// each other number of servers. Within a round the parties take turns, so that other load on the machine affects all
// of them.
func Run(ctx context.Context, opts Options) ([]Row, error) {
	dir, err := os.MkdirTemp("", "birchmoor-bench-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	type job struct {
		role           string
		conns, servers int
	}
	var jobs []job
	for range opts.Rounds {
		for _, c := range opts.Conns {
			for _, role := range []string{"direct", "reverse-proxy", "sidecar"} {
				jobs = append(jobs, job{role, c, 10})
			}
		}
		for _, n := range opts.Sizes {
			if n != 10 {
				for _, role := range []string{"reverse-proxy", "sidecar"} {
					jobs = append(jobs, job{role, 16, n})
				}
			}
		}
	}
	var rows []Row
	for i, next := range jobs {
		if opts.Progress != nil {
			opts.Progress(i, len(jobs))
		}
		row, err := measure(ctx, &opts, dir, next.role, next.conns, next.servers)
		if err != nil {
			return rows, err
		}
		rows = append(rows, *row)
	}
	return rows, nil
}

// measure starts one party and its servers, and takes one measurement.
func measure(ctx context.Context, opts *Options, dir, role string, conns, servers int) (*Row, error) {
	backend, err := startParty(ctx, opts.PartyCommand, "servers", strconv.Itoa(servers))
	if err != nil {
		return nil, err
	}
	defer backend.stop()
	frontend := backend
	switch role {
	case "reverse-proxy":
		text, _ := json.Marshal(backend.addrs)
		frontend, err = startParty(ctx, opts.PartyCommand, role, string(text))
	case "sidecar":
		path := filepath.Join(dir, "config.json")
		if err := writeConfig(path, backend.addrs); err != nil {
			return nil, err
		}
		frontend, err = startParty(ctx, opts.PartyCommand, role, path)
	}
	if err != nil {
		return nil, err
	}
	if frontend != backend {
		defer frontend.stop()
	}
	if role == "sidecar" {
		if err := waitReady(ctx, frontend.addrs[0]); err != nil {
			return nil, err
		}
	}
	addrs := frontend.addrs
	if role != "direct" {
		addrs = addrs[:1]
	}
	generator := &loadGenerator{addrs: addrs, stop: make(chan struct{})}
	generator.run(conns, warmUpDuration)
	row := &Row{Party: role, Conns: conns, Servers: servers}
	profile := opts.Profile != "" && role == "sidecar" && servers == 10
	if profile {
		if _, err := io.WriteString(frontend.stdin,
			"profile "+filepath.Join(opts.Profile, fmt.Sprintf("sidecar-%d.pprof", conns))+"\n"); err != nil {
			return nil, err
		}
	}
	memoryBefore, err := frontend.memory()
	if err != nil {
		return nil, err
	}
	cpuBefore := frontend.cpu()
	took := generator.run(conns, opts.Duration)
	cpuAfter := frontend.cpu()
	memoryAfter, err := frontend.memory()
	if err != nil {
		return nil, err
	}
	if profile {
		if _, err := frontend.command("profiled"); err != nil {
			return nil, err
		}
	}
	requests := float64(max(1, generator.requests))
	row.Requests, row.Rejected, row.BrokenConns = generator.requests, generator.rejected, generator.brokenConns
	row.Rate = float64(generator.requests) / took.Seconds()
	row.P50, row.P99, row.P999 = quantileMicros(generator.histogram, 50),
		quantileMicros(generator.histogram, 99), quantileMicros(generator.histogram, 99.9)
	row.CPU = float64((cpuAfter - cpuBefore).Microseconds()) / requests
	row.Allocs, row.Bytes = float64(memoryAfter.Mallocs-memoryBefore.Mallocs)/requests,
		float64(memoryAfter.Bytes-memoryBefore.Bytes)/requests
	row.PeakMB = frontend.peakMB()
	return row, nil
}

func quantileMicros(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

// writeConfig writes a configuration of the sidecar with a list of servers. Nothing listens on its discovery address.
func writeConfig(path string, addrs []string) error {
	sc, err := scenario.Parse("bench", []byte(`name = "bench"
[fleet]
sidecars = 1
zones = ["a"]
[[servers]]
[[class]]
name = "look"
work = "1ms"
aim = "400ms"
give_up = "1s"
[discovery]
mode = "push"
`))
	if err != nil {
		return err
	}
	var instances []map[string]any
	for i, addr := range addrs {
		instances = append(instances, map[string]any{
			"instanceId":  fmt.Sprintf("s%d", i),
			"hostPort":    addr,
			"zone":        "a",
			"machineType": "kind-0",
			"cell":        0,
			"lifecycle":   "up",
			"weight":      1,
			"startedAtMs": 0,
		})
	}
	text, err := json.Marshal(map[string]any{
		"name":      "n0",
		"listen":    "127.0.0.1:0",
		"discovery": "127.0.0.1:1",
		"seed":      "1",
		"limits":    map[string]any{"memory_mb": 192, "sockets": 4096},
		"settings":  told.Settings(sc, 0),
		"known":     map[string]any{"generation": 1, "reset": true, "instances": instances},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// waitReady waits until the sidecar answers its readiness check.
func waitReady(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/-/ready", nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultTransport.RoundTrip(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("the sidecar is not ready: %w", ctx.Err())
		}
	}
}

// loadGenerator sends requests without a pause, one at a time on each connection. Its counts are those of the last run.
type loadGenerator struct {
	addrs       []string
	stop        chan struct{}
	histogram   *hdrhistogram.Histogram // of nanoseconds
	requests    int
	rejected    int    // answers that were not 200
	brokenConns int    // connections that failed
	runs        uint64 // part of the IDs of requests
}

// run sends requests for a duration, and returns how long it took until the last answer.
func (g *loadGenerator) run(conns int, duration time.Duration) time.Duration {
	g.histogram, g.requests, g.rejected, g.brokenConns = hdrhistogram.New(1, int64(time.Minute), 3), 0, 0, 0
	g.runs++
	var wg sync.WaitGroup
	var mu sync.Mutex
	startedAt := time.Now()
	end := startedAt.Add(duration)
	for conn := range conns {
		wg.Go(func() {
			w := worker{histogram: hdrhistogram.New(1, int64(time.Minute), 3), id: g.runs<<56 | uint64(conn)<<32}
			for time.Now().Before(end) {
				if w.sendRequests(g.addrs[conn%len(g.addrs)], end) != nil {
					w.brokenConns++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			g.histogram.Merge(w.histogram)
			g.requests += w.requests
			g.rejected += w.rejected
			g.brokenConns += w.brokenConns
		})
	}
	wg.Wait()
	return time.Since(startedAt)
}

// worker sends the requests of one connection of a loadGenerator.
type worker struct {
	histogram                       *hdrhistogram.Histogram
	id                              uint64
	requests, rejected, brokenConns int
}

// sendRequests sends requests on one new connection until an instant.
func (w *worker) sendRequests(addr string, end time.Time) error {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(end.Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	request := make([]byte, 0, 256)
	for time.Now().Before(end) {
		w.id++
		request = append(request[:0],
			"GET /look/1 HTTP/1.1\r\nHost: origin.svc\r\nX-Qos: look\r\nX-Expires-In-Ms: 1000\r\nX-Trace-Id: "...)
		request = strconv.AppendUint(request, w.id, 16)
		request = append(request, "\r\n\r\n"...)
		sentAt := time.Now()
		if _, err := conn.Write(request); err != nil {
			return err
		}
		status, err := readAnswer(reader)
		if err != nil {
			return err
		}
		w.histogram.RecordValue(max(1, time.Since(sentAt).Nanoseconds()))
		w.requests++
		if status != http.StatusOK {
			w.rejected++
		}
	}
	return nil
}

// readAnswer reads a response with a Content-Length, and returns its status.
func readAnswer(reader *bufio.Reader) (status int, err error) {
	line, err := reader.ReadSlice('\n')
	if err != nil || len(line) < 12 {
		return 0, fmt.Errorf("no answer: %w", err)
	}
	status, _ = strconv.Atoi(string(line[9:12]))
	length := 0
	for {
		if line, err = reader.ReadSlice('\n'); err != nil {
			return 0, err
		}
		if len(line) <= 2 {
			break
		}
		if name, value, ok := strings.Cut(string(line), ":"); ok && strings.EqualFold(name, "Content-Length") {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
	}
	_, err = reader.Discard(length)
	return status, err
}
