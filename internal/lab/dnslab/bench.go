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

// BenchLoad is the load of one measurement.
type BenchLoad struct {
	TCP  bool
	Open int           // queries in flight
	Wait time.Duration // delay of the resolvers' answers
}

// BenchRow holds the figures of one party under a load.
type BenchRow struct {
	Party   Party   `json:"party"`
	TCP     bool    `json:"tcp"`
	Open    int     `json:"open"`
	WaitMs  float64 `json:"wait_ms"`
	Rate    float64 `json:"queries_per_s"`
	CPU     float64 `json:"cpu_us_per_query"` // of the party's process; 0 for Direct and for loads with a Wait
	P50     float64 `json:"p50_us"`
	P99     float64 `json:"p99_us"`
	P999    float64 `json:"p999_us"`
	PeakMB  float64 `json:"peak_mb"`
	NotOK   int     `json:"not_ok"`  // answers with an error code
	Missing int     `json:"missing"` // queries without an answer after two seconds
}

// BenchOptions are the options of a benchmark.
type BenchOptions struct {
	Self     []string // command line that runs Peer; the role and its arguments are appended
	Loads    []BenchLoad
	For      time.Duration      // of each measurement
	Rounds   int                // measurements of each party and load, of which the one with the highest rate counts
	Profile  string             // folder for CPU profiles of the sidecar; empty: none are taken
	Progress func(done, of int) // called after each measurement; may be nil
}

// Bench measures the parties in turn, each in a process of its own, in front of the same two resolvers.
func Bench(ctx context.Context, o BenchOptions) ([]BenchRow, error) {
	var rows []BenchRow
	parties := []Party{Direct, Plain, Sidecar}
	for _, load := range o.Loads {
		servers, addrs, err := startPeer(ctx, o.Self, "resolvers", load.Wait.String())
		if err != nil {
			return nil, err
		}
		best := map[Party]BenchRow{}
		for range o.Rounds {
			for _, party := range parties {
				row, err := measureParty(ctx, o, load, party, addrs)
				if err != nil {
					servers.stop()
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
		servers.stop()
		for _, party := range parties {
			rows = append(rows, best[party])
		}
	}
	return rows, nil
}

// measureParty measures one party under a load. The resolvers run already.
func measureParty(
	ctx context.Context, o BenchOptions, load BenchLoad, party Party, resolvers []string,
) (BenchRow, error) {
	row := BenchRow{Party: party, TCP: load.TCP, Open: load.Open, WaitMs: toMillis(load.Wait.Microseconds())}
	addr, stop := resolvers[0], func() (time.Duration, float64) { return 0, 0 }
	if party != Direct {
		started, addrs, err := startPeer(ctx, o.Self, string(party), strings.Join(resolvers, ","),
			strconv.Itoa(load.Open), o.profile(load, party))
		if err != nil {
			return row, err
		}
		addr, stop = addrs[0], started.stop
	}
	latencies := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var answered int
	sockets := min(load.Open, 16)
	var group sync.WaitGroup
	var firstErr error
	for range sockets {
		group.Go(func() {
			result, err := runClosedLoop(addr, load, load.Open/sockets, o.For)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				firstErr = err
				return
			}
			latencies.Merge(result.latencies)
			answered += result.answered
			row.NotOK += result.notOK
			row.Missing += result.missing
		})
	}
	group.Wait()
	cpu, peakMB := stop()
	if firstErr != nil {
		return row, firstErr
	}
	row.Rate = float64(answered) / o.For.Seconds()
	row.P50, row.P99, row.P999 = float64(latencies.ValueAtQuantile(50)), float64(latencies.ValueAtQuantile(99)),
		float64(latencies.ValueAtQuantile(99.9))
	row.PeakMB = peakMB
	if answered > 0 && load.Wait == 0 { // with a Wait, much of the CPU time is used before queries are counted
		row.CPU = float64(cpu.Microseconds()) / float64(answered)
	}
	return row, nil
}

// profile returns the file for a party's CPU profile, or "" for none.
func (o *BenchOptions) profile(load BenchLoad, party Party) string {
	if o.Profile == "" || party != Sidecar {
		return ""
	}
	return fmt.Sprintf("%s/tcp-%v-open-%d.pprof", o.Profile, load.TCP, load.Open)
}

// rampTimeout bounds the time until all queries of a load are in flight.
const rampTimeout = 30 * time.Second

// loopResult holds what one socket has measured.
type loopResult struct {
	latencies                *hdrhistogram.Histogram
	answered, notOK, missing int
}

// runClosedLoop keeps a number of queries in flight on one socket for a duration. If the resolvers delay their answers,
// it begins with a few queries, sends two for each answer, and counts once all are in flight: a real server does not
// meet ten thousand clients at the same instant, either.
func runClosedLoop(addr string, load BenchLoad, inFlight int, duration time.Duration) (*loopResult, error) {
	network := "udp"
	if load.TCP {
		network = "tcp"
	}
	conn, err := net.Dial(network, addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	result := &loopResult{latencies: hdrhistogram.New(1, 10_000_000, 3)}
	sentAt := map[uint16]time.Time{}
	msg := new(dns.Msg).SetQuestion("r1.a.example.org.", dns.TypeA)
	raw, err := msg.Pack()
	if err != nil {
		return nil, err
	}
	send := func() error {
		id := uint16(rand.Uint32())
		for _, inUse := sentAt[id]; inUse; _, inUse = sentAt[id] {
			id++
		}
		sentAt[id] = time.Now()
		raw[0], raw[1] = byte(id>>8), byte(id)
		text := raw
		if load.TCP {
			text = withLengthPrefix(raw)
		}
		_, err := conn.Write(text)
		return err
	}
	targetInFlight := inFlight
	if load.Wait > 0 {
		inFlight = min(inFlight, 8)
	}
	for range inFlight {
		if err := send(); err != nil {
			return nil, err
		}
	}
	end := time.Now().Add(duration)
	if inFlight < targetInFlight {
		end = end.Add(rampTimeout)
	}
	buf, reader := make([]byte, 4096), bufio.NewReaderSize(conn, 64<<10)
	for time.Now().Before(end) {
		conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		var message []byte
		if load.TCP {
			message, err = readMessage(reader)
		} else {
			var n int
			n, err = conn.Read(buf)
			message = buf[:n]
		}
		if os.IsTimeout(err) { // all queries in flight are lost
			result.missing += len(sentAt)
			clear(sentAt)
			for range inFlight {
				if err := send(); err != nil {
					return nil, err
				}
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		id := uint16(message[0])<<8 | uint16(message[1])
		sent, ok := sentAt[id]
		if !ok {
			continue
		}
		delete(sentAt, id)
		if inFlight < targetInFlight {
			if message[3]&0xf == 0 {
				inFlight++
				if err := send(); err != nil {
					return nil, err
				}
			}
			if inFlight == targetInFlight {
				end = time.Now().Add(duration)
			}
			if err := send(); err != nil {
				return nil, err
			}
			continue
		}
		result.latencies.RecordValue(max(1, time.Since(sent).Microseconds()))
		if result.answered++; message[3]&0xf != 0 {
			result.notOK++
		}
		if err := send(); err != nil {
			return nil, err
		}
	}
	return result, nil
}

// peerProcess is a child process that runs Peer. It serves until its standard input ends.
type peerProcess struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
}

// startPeer starts a child process with a role and waits until it serves. It returns the process and its addresses.
func startPeer(ctx context.Context, self []string, args ...string) (*peerProcess, []string, error) {
	cmd := exec.CommandContext(ctx, self[0], append(self[1:len(self):len(self)], args...)...)
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	started := &peerProcess{cmd, stdin}
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		started.stop()
		return nil, nil, fmt.Errorf("dns bench: process %s printed no addresses: %w", args[0], err)
	}
	return started, strings.Split(strings.TrimSpace(line), ","), nil
}

// stop ends the process and returns its CPU time and its peak memory in MB.
func (p *peerProcess) stop() (time.Duration, float64) {
	p.stdin.Close()
	p.cmd.Wait()
	state := p.cmd.ProcessState
	if state == nil {
		return 0, 0
	}
	peakMB := 0.0
	if u, ok := state.SysUsage().(*syscall.Rusage); ok {
		peakMB = float64(u.Maxrss) / 1024
	}
	return state.UserTime() + state.SystemTime(), peakMB
}

// Peer runs one process of a benchmark: it prints its addresses, separated by commas, and serves until in ends. The
// roles and their arguments are "resolvers" with the delay of answers, and "plain" and "sidecar" with the resolvers'
// addresses, the number of queries in flight and the file for a CPU profile, which may be empty.
func Peer(ctx context.Context, role string, args []string, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var addrs []string
	switch {
	case role == "resolvers" && len(args) == 1:
		delay, err := time.ParseDuration(args[0])
		if err != nil {
			return err
		}
		for range 2 {
			addr, stop, err := serveInstantResolver(delay)
			if err != nil {
				return err
			}
			defer stop()
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
		runtime.GOMAXPROCS(2) // a sidecar shares its machine with an application
		maxOpen, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		var resolvers []*resolver
		peerLab := &lab{scenario: &Scenario{Front: Front{Aim: Dur(20 * time.Second), GiveUp: Dur(30 * time.Second),
			Open: 2 * maxOpen, Sockets: max(512, min(2*maxOpen, 4096))}}}
		disc := &discoveryServer{changed: make(chan struct{})}
		for i, a := range strings.Split(args[0], ",") {
			upstream := &resolver{id: i, addr: a}
			resolvers = append(resolvers, upstream)
			disc.setInstance(upstream, "up", 0)
		}
		if role == string(Plain) {
			forwarder, err := newPlainForwarder(resolvers)
			if err != nil {
				return err
			}
			defer forwarder.close()
			addrs = []string{forwarder.addr}
			break
		}
		peerLab.checker = checker.New(checker.Settings{})
		_, stop, err := peerLab.startSidecar(ctx, disc, Options{Seed: 7, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			return err
		}
		defer stop()
		addrs = []string{peerLab.frontAddr}
	default:
		return fmt.Errorf("dns bench: unknown role, or wrong number of arguments: %s %v", role, args)
	}
	if _, err := fmt.Fprintln(out, strings.Join(addrs, ",")); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, in)
	return err
}

// serveInstantResolver starts a resolver with as little work as possible: it turns the bytes of each query into an
// answer, and sends that after the delay. It returns the resolver's address and a function that ends it.
func serveInstantResolver(delay time.Duration) (string, func(), error) {
	udp, listener, err := listenUDPAndTCP()
	if err != nil {
		return "", nil, err
	}
	after := func(action func()) {
		if delay > 0 {
			time.AfterFunc(delay, action)
		} else {
			action()
		}
	}
	// reply keeps the question of a query, drops all that follows it, and appends one address.
	reply := func(b []byte) []byte {
		end := 12
		for end < len(b) && b[end] != 0 {
			end += int(b[end]) + 1
		}
		answer := append([]byte(nil), b[:min(len(b), end+5)]...)
		answer[2], answer[3] = 0x81, 0x80
		answer[6], answer[7], answer[8], answer[9], answer[10], answer[11] = 0, 1, 0, 0, 0, 0
		return append(answer, 0xc0, 12, 0, 1, 0, 1, 0, 0, 0, 30, 0, 4, 10, 0, 0, 1)
	}
	for range 2 {
		go func() {
			buf := make([]byte, 2048)
			for {
				n, from, err := udp.ReadFromUDPAddrPort(buf)
				if err != nil {
					return
				}
				answer := reply(buf[:n])
				after(func() { udp.WriteToUDPAddrPort(answer, from) })
			}
		}()
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReaderSize(conn, 64<<10)
				for {
					b, err := readMessage(r)
					if err != nil {
						return
					}
					answer := withLengthPrefix(reply(b))
					after(func() { conn.Write(answer) })
				}
			}()
		}
	}()
	return udp.LocalAddr().String(), func() { udp.Close(); listener.Close() }, nil
}
