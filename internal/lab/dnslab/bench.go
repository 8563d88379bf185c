package dnslab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"runtime"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/miekg/dns"

	"birchmoor/internal/lab/checker"
)

// BenchLoad is one measurement.
type BenchLoad struct {
	TCP  bool
	Open int           // queries open at once
	Wait time.Duration // of the resolvers' answers
}

// BenchRow is what a party did with a load.
type BenchRow struct {
	Party   Through `json:"party"`
	TCP     bool    `json:"tcp"`
	Open    int     `json:"open"`
	WaitMs  float64 `json:"wait_ms"`
	Rate    float64 `json:"queries_per_s"`
	CPU     float64 `json:"cpu_us_per_query"` // of the party's process; 0 for direct
	P50     float64 `json:"p50_us"`
	P99     float64 `json:"p99_us"`
	P999    float64 `json:"p999_us"`
	PeakMB  float64 `json:"peak_mb"`
	NotOK   int     `json:"not_ok"`  // answered otherwise than with the address
	Missing int     `json:"missing"` // not answered within two seconds
}

// BenchOptions of a benchmark.
type BenchOptions struct {
	Self     []string // command that runs Peer, the role to follow
	Loads    []BenchLoad
	For      time.Duration
	Rounds   int
	Profile  string // folder for CPU profiles of the sidecar; empty for none
	Progress func(done, of int)
}

// Bench measures the parties in turn, each in a process of its own, over the same two resolvers.
func Bench(ctx context.Context, o BenchOptions) ([]BenchRow, error) {
	var rows []BenchRow
	parties := []Through{Direct, Plain, Sidecar}
	for _, load := range o.Loads {
		servers, addrs, err := peer(ctx, o.Self, "resolvers", load.Wait.String())
		if err != nil {
			return nil, err
		}
		best := map[Through]BenchRow{}
		for range o.Rounds {
			for _, party := range parties {
				row, err := benchOne(ctx, o, load, party, addrs)
				if err != nil {
					servers.end()
					return nil, err
				}
				if b, ok := best[party]; !ok || row.Rate > b.Rate {
					best[party] = row
				}
				if o.Progress != nil {
					o.Progress(len(rows)+len(best), len(o.Loads)*len(parties))
				}
			}
		}
		servers.end()
		for _, party := range parties {
			rows = append(rows, best[party])
		}
	}
	return rows, nil
}

func benchOne(ctx context.Context, o BenchOptions, load BenchLoad, party Through, resolvers []string) (BenchRow, error) {
	row := BenchRow{Party: party, TCP: load.TCP, Open: load.Open, WaitMs: ms(load.Wait.Microseconds())}
	at, end := resolvers[0], func() (time.Duration, float64) { return 0, 0 }
	if party != Direct {
		p, addrs, err := peer(ctx, o.Self, string(party), strings.Join(resolvers, ","), strconv.Itoa(load.Open), o.profile(load, party))
		if err != nil {
			return row, err
		}
		at, end = addrs[0], p.end
	}
	latencies := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var done int
	callers := min(load.Open, 16)
	var all sync.WaitGroup
	var failed error
	for range callers {
		all.Go(func() {
			c, err := closedLoop(at, load, load.Open/callers, o.For)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = err
				return
			}
			latencies.Merge(c.latencies)
			done += c.done
			row.NotOK += c.notOK
			row.Missing += c.missing
		})
	}
	all.Wait()
	cpu, peak := end()
	if failed != nil {
		return row, failed
	}
	row.Rate = float64(done) / o.For.Seconds()
	row.P50, row.P99, row.P999 = float64(latencies.ValueAtQuantile(50)), float64(latencies.ValueAtQuantile(99)), float64(latencies.ValueAtQuantile(99.9))
	row.PeakMB = peak
	if done > 0 && load.Wait == 0 { // else much of it went into what was not counted yet
		row.CPU = float64(cpu.Microseconds()) / float64(done)
	}
	return row, nil
}

// profile is the file for a party's CPU profile, or empty.
func (o *BenchOptions) profile(load BenchLoad, party Through) string {
	if o.Profile == "" || party != Sidecar {
		return ""
	}
	return fmt.Sprintf("%s/tcp-%v-open-%d.pprof", o.Profile, load.TCP, load.Open)
}

// rampMost is how long it may take until all queries are open.
const rampMost = 30 * time.Second

type loop struct {
	latencies            *hdrhistogram.Histogram
	done, notOK, missing int
}

// closedLoop keeps so many queries open on one socket, for a time. Where answers take long it begins with few, each answer
// bringing two more, and counts from when all are open: nobody meets ten thousand clients in one instant.
func closedLoop(at string, load BenchLoad, open int, span time.Duration) (*loop, error) {
	network := "udp"
	if load.TCP {
		network = "tcp"
	}
	c, err := net.Dial(network, at)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	l := &loop{latencies: hdrhistogram.New(1, 10_000_000, 3)}
	asked := map[uint16]time.Time{}
	m := new(dns.Msg).SetQuestion("r1.a.example.org.", dns.TypeA)
	raw, err := m.Pack()
	if err != nil {
		return nil, err
	}
	ask := func() error {
		id := uint16(rand.Uint32())
		for _, taken := asked[id]; taken; _, taken = asked[id] {
			id++
		}
		asked[id] = time.Now()
		raw[0], raw[1] = byte(id>>8), byte(id)
		text := raw
		if load.TCP {
			text = framed(raw)
		}
		_, err := c.Write(text)
		return err
	}
	most := open
	if load.Wait > 0 {
		open = min(open, 8)
	}
	for range open {
		if err := ask(); err != nil {
			return nil, err
		}
	}
	stop := time.Now().Add(span)
	if open < most {
		stop = stop.Add(rampMost)
	}
	buf, r := make([]byte, 4096), bufio.NewReaderSize(c, 64<<10)
	for time.Now().Before(stop) {
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		var b []byte
		if load.TCP {
			b, err = readMessage(r)
		} else {
			var n int
			n, err = c.Read(buf)
			b = buf[:n]
		}
		if os.IsTimeout(err) { // what was open is lost
			l.missing += len(asked)
			clear(asked)
			for range open {
				if err := ask(); err != nil {
					return nil, err
				}
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		id := uint16(b[0])<<8 | uint16(b[1])
		at, ok := asked[id]
		if !ok {
			continue
		}
		delete(asked, id)
		if open < most {
			if b[3]&0xf == 0 {
				open++
				if err := ask(); err != nil {
					return nil, err
				}
			}
			if open == most {
				stop = time.Now().Add(span)
			}
			if err := ask(); err != nil {
				return nil, err
			}
			continue
		}
		l.latencies.RecordValue(max(1, time.Since(at).Microseconds()))
		if l.done++; b[3]&0xf != 0 {
			l.notOK++
		}
		if err := ask(); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// ---- Peers -----------------------------------------------------------------

// process is a party in a process of its own. It serves until its standard input ends.
type process struct {
	cmd *exec.Cmd
	in  io.WriteCloser
}

func peer(ctx context.Context, self []string, args ...string) (*process, []string, error) {
	cmd := exec.CommandContext(ctx, self[0], append(self[1:len(self):len(self)], args...)...)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	p := &process{cmd, in}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		p.end()
		return nil, nil, fmt.Errorf("dns bench: %s does not begin: %w", args[0], err)
	}
	return p, strings.Split(strings.TrimSpace(line), ","), nil
}

// end stops it, and returns its processor time and the most memory that it had, in MB.
func (p *process) end() (time.Duration, float64) {
	p.in.Close()
	p.cmd.Wait()
	s := p.cmd.ProcessState
	if s == nil {
		return 0, 0
	}
	peak := 0.0
	if u, ok := s.SysUsage().(*syscall.Rusage); ok {
		peak = float64(u.Maxrss) / 1024
	}
	return s.UserTime() + s.SystemTime(), peak
}

// Peer is one party of a benchmark: it prints its addresses and serves until in ends.
func Peer(ctx context.Context, role string, args []string, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var addrs []string
	switch {
	case role == "resolvers" && len(args) == 1:
		wait, err := time.ParseDuration(args[0])
		if err != nil {
			return err
		}
		for range 2 {
			addr, end, err := instant(wait)
			if err != nil {
				return err
			}
			defer end()
			addrs = append(addrs, addr)
		}
	case (role == string(Plain) || role == string(Sidecar)) && len(args) == 3:
		if args[2] != "" {
			f, err := os.Create(args[2])
			if err != nil {
				return err
			}
			defer f.Close()
			if err := pprof.StartCPUProfile(f); err != nil {
				return err
			}
			defer pprof.StopCPUProfile()
		}
		runtime.GOMAXPROCS(2) // as a sidecar beside an application
		open, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		var resolvers []*resolver
		l := &lab{s: &Scenario{Front: Front{Aim: Dur(20 * time.Second), GiveUp: Dur(30 * time.Second), Open: 2 * open, Sockets: max(512, min(2*open, 4096))}}}
		b := &board{changed: make(chan struct{})}
		for i, a := range strings.Split(args[0], ",") {
			r := &resolver{id: i, addr: a}
			resolvers = append(resolvers, r)
			b.put(r, "up", 0)
		}
		if role == string(Plain) {
			p, err := newPlain(resolvers)
			if err != nil {
				return err
			}
			defer p.close()
			addrs = []string{p.addr}
			break
		}
		l.ref = checker.New(checker.Settings{})
		_, end, err := l.sidecar(ctx, b, Options{Seed: 7, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			return err
		}
		defer end()
		addrs = []string{l.front}
	default:
		return fmt.Errorf("dns bench: no such party: %s %v", role, args)
	}
	if _, err := fmt.Fprintln(out, strings.Join(addrs, ",")); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, in)
	return err
}

// instant is a resolver that does as little as it can: it turns the query into its answer.
func instant(wait time.Duration) (string, func(), error) {
	udp, ln, err := listenBoth()
	if err != nil {
		return "", nil, err
	}
	after := func(do func()) {
		if wait > 0 {
			time.AfterFunc(wait, do)
		} else {
			do()
		}
	}
	// The question stands; of what is behind it nothing does.
	turn := func(b []byte) []byte {
		end := 12
		for end < len(b) && b[end] != 0 {
			end += int(b[end]) + 1
		}
		a := append([]byte(nil), b[:min(len(b), end+5)]...)
		a[2], a[3] = 0x81, 0x80
		a[6], a[7], a[8], a[9], a[10], a[11] = 0, 1, 0, 0, 0, 0
		return append(a, 0xc0, 12, 0, 1, 0, 1, 0, 0, 0, 30, 0, 4, 10, 0, 0, 1)
	}
	for range 2 {
		go func() {
			buf := make([]byte, 2048)
			for {
				n, from, err := udp.ReadFromUDPAddrPort(buf)
				if err != nil {
					return
				}
				a := turn(buf[:n])
				after(func() { udp.WriteToUDPAddrPort(a, from) })
			}
		}()
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReaderSize(c, 64<<10)
				for {
					b, err := readMessage(r)
					if err != nil {
						return
					}
					a := framed(turn(b))
					after(func() { c.Write(a) })
				}
			}()
		}
	}()
	return udp.LocalAddr().String(), func() { udp.Close(); ln.Close() }, nil
}
