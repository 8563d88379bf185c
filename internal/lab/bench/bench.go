// Package bench measures the sidecar beside no proxy and beside Go's httputil.ReverseProxy, in one run, over the same
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
	Self     []string // this command, to run a party: the role and its configuration are added
	Conns    []int    // connections, each with one request at a time
	Sizes    []int    // servers in the list, for the growth
	For      time.Duration
	Rounds   int
	Profile  string // folder for CPU profiles of the sidecar, by connections; empty for none
	Progress func(done, of int)
}

// Row is one measurement.
type Row struct {
	Party    string  `json:"party"` // "direct", "reverse-proxy", "sidecar"
	Conns    int     `json:"connections"`
	Servers  int     `json:"servers"`
	Requests int     `json:"requests"`
	Rate     float64 `json:"requests_per_s"`
	P50      float64 `json:"p50_us"`
	P99      float64 `json:"p99_us"`
	P999     float64 `json:"p999_us"`
	CPU      float64 `json:"cpu_us_per_request"` // of the party's process
	Allocs   float64 `json:"allocs_per_request"`
	Bytes    float64 `json:"bytes_per_request"`
	PeakMB   float64 `json:"peak_mb"` // resident, since the party's start
	Refused  int     `json:"refused"` // answers that were not 200
	Broken   int     `json:"broken"`  // connections that ended
}

const (
	warmUp = 500 * time.Millisecond
)

// party is a process under measurement.
type party struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *bufio.Reader
	addrs []string
}

func start(ctx context.Context, self []string, role, config string) (*party, error) {
	p := &party{cmd: exec.CommandContext(ctx, self[0], append(append([]string{}, self[1:]...), role, config)...)}
	p.cmd.Stderr = os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // ends when its input does, whatever becomes of us
	var err error
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
	p.out = bufio.NewReaderSize(out, 1<<20)
	line, err := p.out.ReadString('\n')
	if err != nil {
		p.stop()
		return nil, fmt.Errorf("%s did not start: %w", role, err)
	}
	p.addrs = strings.Fields(line)
	return p, nil
}

func (p *party) stop() {
	p.in.Close()
	p.cmd.Wait()
}

func (p *party) ask(line string) (string, error) {
	if _, err := io.WriteString(p.in, line+"\n"); err != nil {
		return "", err
	}
	return p.out.ReadString('\n')
}

func (p *party) memory() (m Memory, err error) {
	line, err := p.ask("memory")
	if err == nil {
		err = json.Unmarshal([]byte(line), &m)
	}
	return m, err
}

// cpu is the processor time that the process has had.
func (p *party) cpu() time.Duration { return procfs.CPU(p.cmd.Process.Pid) }

func (p *party) peakMB() float64 { return procfs.MB(p.cmd.Process.Pid, "VmHWM") }

// Run measures all parties at all numbers of connections over ten servers, then the sidecar's growth with the number
// of servers. Within a round the parties take turns, so that what else the machine does meets all of them.
func Run(ctx context.Context, o Options) ([]Row, error) {
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
	for range o.Rounds {
		for _, c := range o.Conns {
			for _, role := range []string{"direct", "reverse-proxy", "sidecar"} {
				jobs = append(jobs, job{role, c, 10})
			}
		}
		for _, n := range o.Sizes {
			if n != 10 {
				for _, role := range []string{"reverse-proxy", "sidecar"} {
					jobs = append(jobs, job{role, 16, n})
				}
			}
		}
	}
	var rows []Row
	for i, j := range jobs {
		if o.Progress != nil {
			o.Progress(i, len(jobs))
		}
		row, err := measure(ctx, &o, dir, j.role, j.conns, j.servers)
		if err != nil {
			return rows, err
		}
		rows = append(rows, *row)
	}
	return rows, nil
}

func measure(ctx context.Context, o *Options, dir, role string, conns, count int) (*Row, error) {
	behind, err := start(ctx, o.Self, "servers", strconv.Itoa(count))
	if err != nil {
		return nil, err
	}
	defer behind.stop()
	front := behind
	switch role {
	case "reverse-proxy":
		text, _ := json.Marshal(behind.addrs)
		front, err = start(ctx, o.Self, role, string(text))
	case "sidecar":
		path := filepath.Join(dir, "config.json")
		if err := configure(path, behind.addrs); err != nil {
			return nil, err
		}
		front, err = start(ctx, o.Self, role, path)
	}
	if err != nil {
		return nil, err
	}
	if front != behind {
		defer front.stop()
	}
	if role == "sidecar" {
		if err := ready(ctx, front.addrs[0]); err != nil {
			return nil, err
		}
	}
	addrs := front.addrs
	if role != "direct" {
		addrs = addrs[:1]
	}
	l := &load{addrs: addrs, stop: make(chan struct{})}
	l.run(conns, warmUp)
	row := &Row{Party: role, Conns: conns, Servers: count}
	profile := o.Profile != "" && role == "sidecar" && count == 10
	if profile {
		if _, err := io.WriteString(front.in, "profile "+filepath.Join(o.Profile, fmt.Sprintf("sidecar-%d.pprof", conns))+"\n"); err != nil {
			return nil, err
		}
	}
	m0, err := front.memory()
	if err != nil {
		return nil, err
	}
	c0 := front.cpu()
	took := l.run(conns, o.For)
	c1 := front.cpu()
	m1, err := front.memory()
	if err != nil {
		return nil, err
	}
	if profile {
		if _, err := front.ask("profiled"); err != nil {
			return nil, err
		}
	}
	n := float64(max(1, l.requests))
	row.Requests, row.Refused, row.Broken = l.requests, l.refused, l.broken
	row.Rate = float64(l.requests) / took.Seconds()
	row.P50, row.P99, row.P999 = us(l.hist, 50), us(l.hist, 99), us(l.hist, 99.9)
	row.CPU = float64((c1 - c0).Microseconds()) / n
	row.Allocs, row.Bytes = float64(m1.Mallocs-m0.Mallocs)/n, float64(m1.Bytes-m0.Bytes)/n
	row.PeakMB = front.peakMB()
	return row, nil
}

func us(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

// configure writes a configuration of the sidecar that knows these servers; nobody answers as discovery.
func configure(path string, addrs []string) error {
	s, err := scenario.Parse("bench", []byte(`name = "bench"
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
	var list []map[string]any
	for i, a := range addrs {
		list = append(list, map[string]any{"instanceId": fmt.Sprintf("s%d", i), "hostPort": a, "zone": "a", "machineType": "kind-0",
			"cell": 0, "lifecycle": "up", "weight": 1, "startedAtMs": 0})
	}
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1",
		"limits": map[string]any{"memory_mb": 192, "sockets": 4096}, "settings": told.Settings(s, 0),
		"known": map[string]any{"generation": 1, "reset": true, "instances": list}})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

func ready(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/-/ready", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
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

// load asks as fast as answers come, one request at a time on each connection.
type load struct {
	addrs    []string
	stop     chan struct{}
	hist     *hdrhistogram.Histogram // of nanoseconds
	requests int
	refused  int
	broken   int
	ids      uint64
}

func (l *load) run(conns int, d time.Duration) time.Duration {
	l.hist, l.requests, l.refused, l.broken = hdrhistogram.New(1, int64(time.Minute), 3), 0, 0, 0
	l.ids++
	var wg sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	end := began.Add(d)
	for n := range conns {
		wg.Go(func() {
			w := worker{hist: hdrhistogram.New(1, int64(time.Minute), 3), id: l.ids<<56 | uint64(n)<<32}
			for time.Now().Before(end) {
				if w.talk(l.addrs[n%len(l.addrs)], end) != nil {
					w.broken++
				}
			}
			mu.Lock()
			defer mu.Unlock()
			l.hist.Merge(w.hist)
			l.requests += w.requests
			l.refused += w.refused
			l.broken += w.broken
		})
	}
	wg.Wait()
	return time.Since(began)
}

type worker struct {
	hist                      *hdrhistogram.Histogram
	id                        uint64
	requests, refused, broken int
}

// talk asks on one connection until the end.
func (w *worker) talk(addr string, end time.Time) error {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(end.Add(5 * time.Second))
	in := bufio.NewReader(c)
	buf := make([]byte, 0, 256)
	for time.Now().Before(end) {
		w.id++
		buf = append(buf[:0], "GET /look/1 HTTP/1.1\r\nHost: origin.svc\r\nX-Qos: look\r\nX-Expires-In-Ms: 1000\r\nX-Trace-Id: "...)
		buf = strconv.AppendUint(buf, w.id, 16)
		buf = append(buf, "\r\n\r\n"...)
		began := time.Now()
		if _, err := c.Write(buf); err != nil {
			return err
		}
		code, err := answer(in)
		if err != nil {
			return err
		}
		w.hist.RecordValue(max(1, time.Since(began).Nanoseconds()))
		w.requests++
		if code != http.StatusOK {
			w.refused++
		}
	}
	return nil
}

// answer reads a whole answer that tells its length.
func answer(in *bufio.Reader) (code int, err error) {
	line, err := in.ReadSlice('\n')
	if err != nil || len(line) < 12 {
		return 0, fmt.Errorf("no answer: %w", err)
	}
	code, _ = strconv.Atoi(string(line[9:12]))
	length := 0
	for {
		if line, err = in.ReadSlice('\n'); err != nil {
			return 0, err
		}
		if len(line) <= 2 {
			break
		}
		if name, value, ok := strings.Cut(string(line), ":"); ok && strings.EqualFold(name, "Content-Length") {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
	}
	_, err = in.Discard(length)
	return code, err
}
