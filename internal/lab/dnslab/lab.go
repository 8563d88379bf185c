package dnslab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/miekg/dns"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/dnsfront"
	"birchmoor/internal/dataplane/dnsfront/limit"
	"birchmoor/internal/dataplane/dnsfront/route"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/dataplane/sidecar"
	"birchmoor/internal/lab/checker"
	"birchmoor/internal/lab/trace"
)

const (
	giveUpSlack = 300 * time.Millisecond // of the referee: for what lies between the front's clock and a client's
	drainSlack  = 250 * time.Millisecond // with the contract's grace, the half second of the rules
	readyWait   = 10 * time.Second
	afterwards  = 500 * time.Millisecond // for second answers
)

// Through is what stands between clients and resolvers.
type Through string

// What may.
const (
	Sidecar Through = "sidecar"
	Plain   Through = "plain"  // a forwarder of twenty lines, in turn and once
	Direct  Through = "direct" // nothing: the resolvers in turn
)

// Result is what a run came to.
type Result struct {
	Scenario  string           `json:"scenario"`
	Through   Through          `json:"through"`
	Asked     int              `json:"asked"`
	Service   float64          `json:"service"` // share answered within the aim
	Served    float64          `json:"served"`  // share answered at all
	Attempts  float64          `json:"attempts"`
	P50       float64          `json:"p50_ms"`
	P99       float64          `json:"p99_ms"`
	P999      float64          `json:"p999_ms"`
	Bookings  float64          `json:"bookings"`     // share of HTTP requests that were served; 0 without any
	LastSent  float64          `json:"last_sent_ms"` // the last query to a resolver after it was told out, 0 for none
	Truncated int64            `json:"truncated"`
	Stray     int64            `json:"stray"` // messages to clients that were no answer to anything
	Flooded   int64            `json:"flooded"`
	Verdict   *checker.Verdict `json:"verdict"`
	Missed    []string         `json:"missed"`
}

// Options of a run.
type Options struct {
	Seed    uint64
	Through Through
	Log     *slog.Logger
}

type lab struct {
	s         *Scenario
	front     string // where clients ask
	begun     time.Time
	wg        sync.WaitGroup
	stray     atomic.Int64
	truncated atomic.Int64

	mu        sync.Mutex
	ref       *checker.Checker
	sends     int
	outAt     map[int32]time.Time // resolvers that were told out
	lastSent  time.Duration
	latencies *hdrhistogram.Histogram
	inTime    int
	answered  int
	resolvers []*resolver
}

// note passes an event to the referee, in the order in which things happened.
func (l *lab) note(e trace.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	e.At = now.Sub(l.begun).Microseconds()
	if e.Kind == trace.AttemptSent {
		l.sends++
		if at, out := l.outAt[e.Server]; out {
			l.lastSent = max(l.lastSent, now.Sub(at))
		}
	}
	l.ref.Take(e)
}

func (l *lab) served(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered++
	if took <= time.Duration(l.s.Front.Aim) {
		l.inTime++
	}
	l.latencies.RecordValue(took.Microseconds())
}

// after does something later, unless the run has ended by then.
func (l *lab) after(wait time.Duration, do func()) {
	l.wg.Add(1)
	time.AfterFunc(wait, func() { defer l.wg.Done(); do() })
}

// Run plays a scenario.
func Run(ctx context.Context, s *Scenario, o Options) (*Result, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Through == "" {
		o.Through = Sidecar
	}
	l := &lab{s: s, begun: time.Now(), outAt: map[int32]time.Time{}, latencies: hdrhistogram.New(1, 60_000_000, 3),
		ref: checker.New(checker.Settings{NonIdempotent: []bool{false, true}, DrainGrace: grace.Microseconds(),
			ClockSlack: drainSlack.Microseconds(), OverloadMultiple: fallMultiple, OverloadWindow: overloadFor.Microseconds()})}
	late := map[int]bool{} // not in the list at the start
	for _, f := range s.Faults {
		if f.Kind == "join" {
			for id := range f.Resolvers {
				late[id] = true
			}
		}
	}
	board := &board{changed: make(chan struct{})}
	defer func() {
		for _, r := range l.resolvers {
			r.close()
		}
	}()
	for _, kind := range s.Resolvers {
		for range kind.Count {
			r, err := newResolver(len(l.resolvers), kind, s.Link, o.Seed, l.note)
			if err != nil {
				return nil, err
			}
			l.resolvers = append(l.resolvers, r)
			if !late[r.id] {
				board.put(r, "up", 0)
			}
		}
	}
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	var shop *bookings
	end := func() {}
	switch o.Through {
	case Sidecar:
		var err error
		if shop, end, err = l.sidecar(run, board, o); err != nil {
			return nil, err
		}
	case Plain:
		p, err := newPlain(l.resolvers)
		if err != nil {
			return nil, err
		}
		l.front, end = p.addr, p.close
	case Direct:
		l.front = l.resolvers[0].addr
	}
	if err := l.play(ctx, board, shop, o); err != nil {
		end()
		return nil, err
	}
	end()
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.ref.Finish(time.Since(l.begun).Microseconds())
	asked := max(1, v.Counts.Requests)
	res := &Result{Scenario: s.Name, Through: o.Through, Asked: v.Counts.Requests, Service: float64(l.inTime) / float64(asked),
		Served: float64(l.answered) / float64(asked), Attempts: float64(l.sends) / float64(asked),
		P50: ms(l.latencies.ValueAtQuantile(50)), P99: ms(l.latencies.ValueAtQuantile(99)), P999: ms(l.latencies.ValueAtQuantile(99.9)),
		LastSent: ms(l.lastSent.Microseconds()), Truncated: l.truncated.Load(), Stray: l.stray.Load(), Verdict: v}
	if shop != nil {
		res.Bookings, res.Flooded = shop.share(), shop.flooded.Load()
	}
	if o.Through == Sidecar {
		if !v.Passed() {
			res.Missed = append(res.Missed, v.String())
		}
		if res.Service < s.Keep.Service {
			res.Missed = append(res.Missed, fmt.Sprintf("service %.3f is under %.3f", res.Service, s.Keep.Service))
		}
		if s.Keep.Attempts > 0 && res.Attempts > s.Keep.Attempts {
			res.Missed = append(res.Missed, fmt.Sprintf("attempts %.3f are over %.3f", res.Attempts, s.Keep.Attempts))
		}
	}
	return res, nil
}

func ms(us int64) float64 { return float64(us) / 1000 }

// play asks, and brings the faults, until the scenario ends and every query has.
func (l *lab) play(ctx context.Context, b *board, shop *bookings, o Options) error {
	var udp, tcp []*caller
	for range l.s.Load.Sockets {
		k, err := l.newCaller(false)
		if err != nil {
			return err
		}
		udp = append(udp, k)
	}
	if l.s.Load.TCP > 0 || l.s.Load.Update > 0 {
		for range 4 {
			k, err := l.newCaller(true)
			if err != nil {
				return err
			}
			tcp = append(tcp, k)
		}
	}
	for _, f := range l.s.Faults {
		l.after(time.Duration(f.At), func() { l.fault(b, f, true) })
		if f.For > 0 {
			l.after(time.Duration(f.At+f.For), func() { l.fault(b, f, false) })
		}
	}
	beside, cancel := context.WithCancel(ctx)
	defer cancel()
	if shop != nil {
		l.wg.Go(func() { shop.book(beside, l.s.Load.Bookings) })
		l.wg.Go(func() { shop.flood(beside, l.front, l.s.Load.Flood) })
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0x646e73))
	var n uint64
	for begun, next := time.Now(), time.Duration(0); next < time.Duration(l.s.Length); {
		if wait := time.Until(begun.Add(next)); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		n++
		kind, from := "a", udp
		if rng.Float64() < l.s.Load.Big {
			kind = "big"
		}
		if rng.Float64() < l.s.Load.TCP {
			from = tcp
		}
		if rng.Float64() < l.s.Load.Update {
			kind, from = "update", tcp
		}
		from[rng.IntN(len(from))].ask(n, kind)
		next += time.Duration(rng.ExpFloat64() / l.s.Load.Rate * float64(time.Second))
	}
	cancel()
	time.Sleep(time.Duration(l.s.Front.GiveUp) + giveUpSlack + afterwards)
	for _, k := range append(udp, tcp...) {
		k.conn.Close()
	}
	l.wg.Wait()
	return nil
}

// fault begins or ends one.
func (l *lab) fault(b *board, f Fault, on bool) {
	for _, r := range l.resolvers[:f.Resolvers] {
		switch f.Kind {
		case "drain", "remove":
			state, told := "draining", trace.Draining
			if f.Kind == "remove" || !on {
				state, told = "removed", trace.Removed
			}
			if on {
				l.note(trace.Event{Kind: trace.ServerListed, Server: int32(r.id), State: told})
				l.mu.Lock()
				l.outAt[int32(r.id)] = time.Now()
				l.mu.Unlock()
			}
			b.put(r, state, 0)
		case "join":
			now := time.Now()
			l.note(trace.Event{Kind: trace.ServerStarted, Server: int32(r.id), Capacity: r.kind.Capacity * 1e6, ColdFrom: coldFrom, ColdFor: coldFor.Microseconds()})
			b.put(r, "up", now.UnixMilli())
		default:
			r.set(f.Kind, on)
		}
	}
}

// ---- The sidecar -----------------------------------------------------------

const (
	grace        = 250 * time.Millisecond
	fallMultiple = 2.5
	overloadFor  = 2 * time.Second
)

// settings are the site's: one class of bookings, and the contract.
const settings = `{"peers-total":1,"areas":["a"],"skus":["m1"],"discovery":"automatic",
	"classes":[{"name":"confirm","repeat":"side_effect","target":500000,"give-up":1000000,"credit":10.0}],
	"contract":{"drain-grace":250000,"cold-from":0.2,"ramp-time":10000000,"fall-multiple":2.5,"overload-for":2000000,
	"ask-within":10000000},
	"limits":{"cancel":true,"probes":false,"second-copies":true,"retry-after":true,"most-tries":3,"most-held":2000,
	"max-retry-after":400000,"dial-timeout":1000000,"keepalive":15000000}}`

type given struct{ net.Listener }

// Listen returns it.
func (g given) Listen() (net.Listener, error) { return g.Listener, nil }

type givenPacket struct{ *net.UDPConn }

// ListenPacket returns it.
func (g givenPacket) ListenPacket() (*net.UDPConn, error) { return g.UDPConn, nil }

// sidecar starts the real one, with a stand-in for bookings.
func (l *lab) sidecar(ctx context.Context, b *board, o Options) (*bookings, func(), error) {
	shop, err := newBookings()
	if err != nil {
		return nil, nil, err
	}
	b.list = append(b.list, discovery.Instance{ID: "shop", Addr: shop.addr, Zone: "a", Kind: "m1", Lifecycle: "up", Weight: 1})
	web, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	go http.Serve(web, b)
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	udp, tcp, err := listenBoth()
	if err != nil {
		return nil, nil, err
	}
	l.front = udp.LocalAddr().String()
	dir, err := os.MkdirTemp("", "birchmoor-dns-")
	if err != nil {
		return nil, nil, err
	}
	b.mu.Lock()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": listen.Addr().String(), "discovery": web.Addr().String(),
		"seed": fmt.Sprintf("%x", o.Seed), "limits": map[string]int{"memory_mb": 512, "sockets": 16384},
		"known":    discovery.List{Generation: b.generation, Reset: true, Instances: b.list},
		"settings": json.RawMessage(settings)})
	b.mu.Unlock()
	if err != nil {
		return nil, nil, err
	}
	path := dir + "/config.json"
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, nil, err
	}
	read := func() (*config.Config, error) {
		return config.Read(func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] })
	}
	c, err := read()
	if err != nil {
		return nil, nil, err
	}
	f := &dnsfront.Front{Settings: l.frontSettings(), Sockets: dnsfront.Sockets{UDP: givenPacket{udp}, TCP: given{tcp}}}
	run, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		ended <- sidecar.Run(run, c, sidecar.Host{Socket: given{listen}, Overrides: maintenance.Discard{}, Protocols: []core.Protocol{f},
			Reload: make(chan os.Signal), ReadConfig: read, Log: o.Log})
	}()
	shop.front = "http://" + listen.Addr().String()
	end := func() {
		stop()
		<-ended
		web.Close()
		shop.close()
		os.RemoveAll(dir)
	}
	for until := time.Now().Add(readyWait); ; {
		m := new(dns.Msg).SetQuestion("ready.invalid.", dns.TypeA) // of no class: refused, but by the front
		if r, _, err := (&dns.Client{Timeout: 100 * time.Millisecond}).Exchange(m, l.front); err == nil && r.Rcode == dns.RcodeRefused {
			return shop, end, nil
		}
		if time.Now().After(until) {
			end()
			return nil, nil, fmt.Errorf("the sidecar does not become ready")
		}
	}
}

func (l *lab) frontSettings() dnsfront.Settings {
	or := func(v, fallback int) int {
		if v == 0 {
			return fallback
		}
		return v
	}
	x := &l.s.Front
	class := func(name string, ops ...int) dnsfront.Class {
		return dnsfront.Class{Name: name, LatencyObjective: time.Duration(x.Aim), Timeout: time.Duration(x.GiveUp), PriorityWeight: 1, LatePriorityWeight: 0.5,
			MaxAttempts: or(x.Attempts, 3), Route: route.Class{Suffixes: []string{"example.org"}, Opcodes: ops}}
	}
	open := or(x.Open, 2000)
	return dnsfront.Settings{MaxSockets: or(x.Sockets, 512), MaxConnsPerServer: 2, MaxClientConns: 64, MaxQueriesPerConn: 256, IdleTimeout: 10 * time.Second,
		Limit: limit.Settings{MaxOpen: open, MaxOpenPerPrefix: open, UnverifiedShare: 0.9, AnswersPerSecond: float64(or(x.Rate, 100_000)),
			Burst: float64(or(x.Burst, 100_000)), TruncateEvery: 2, MaxPrefixes: 10_000},
		Classes: []dnsfront.Class{class("lookup"), class("update", dns.OpcodeUpdate)}}
}

// board is the lab's discovery.
type board struct {
	mu         sync.Mutex
	generation int64
	list       []discovery.Instance
	lines      [][]byte // as told, by generation
	changed    chan struct{}
}

// put changes an entry, and tells everybody who watches.
func (b *board) put(r *resolver, lifecycle string, started int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	in := discovery.Instance{ID: fmt.Sprintf("dns-%d", r.id), Addr: r.addr, Zone: "a", Kind: "m1", Lifecycle: lifecycle, Weight: 1,
		StartedMs: started, Protocol: dnsfront.Protocol}
	b.generation++
	line, err := json.Marshal(discovery.List{Generation: b.generation, Instances: []discovery.Instance{in}})
	if err != nil {
		panic(err)
	}
	b.lines = append(b.lines, line)
	for i := range b.list {
		if b.list[i].ID == in.ID {
			b.list[i] = in
			in.ID = ""
		}
	}
	if in.ID != "" {
		b.list = append(b.list, in)
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// ServeHTTP answers a watch.
func (b *board) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var after int
	fmt.Sscan(r.FormValue("after"), &after)
	for {
		b.mu.Lock()
		lines, changed := b.lines[min(max(0, after), len(b.lines)):], b.changed
		after = len(b.lines)
		b.mu.Unlock()
		for _, line := range lines {
			w.Write(append(line, '\n'))
		}
		http.NewResponseController(w).Flush()
		select {
		case <-changed:
		case <-time.After(time.Second):
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}
