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
	// giveUpSlack is how much later than the front a client gives up, for the time that messages take between them.
	giveUpSlack   = 300 * time.Millisecond
	drainSlack    = 250 * time.Millisecond // with drainGrace, the half second that the rules allow after a drain
	readyTimeout  = 10 * time.Second
	duplicateWait = 500 * time.Millisecond // wait for duplicate answers at the end of a run
)

// Party is what clients send their queries to: the server between them and the resolvers, if there is one.
type Party string

// The parties that can be measured.
const (
	Sidecar Party = "sidecar"
	Plain   Party = "plain"  // a minimal forwarder, see plainForwarder
	Direct  Party = "direct" // no party: clients send to the first resolver
)

// Result holds the figures of a run. Attempts are queries at resolvers for each query of a client.
type Result struct {
	Scenario string  `json:"scenario"`
	Party    Party   `json:"through"`
	Asked    int     `json:"asked"`
	Service  float64 `json:"service"` // share of queries served within the latency objective
	Served   float64 `json:"served"`  // share of queries served at any time
	Attempts float64 `json:"attempts"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
	P999     float64 `json:"p999_ms"`
	Bookings float64 `json:"bookings"` // share of HTTP requests that were served; 0 if none were sent
	// LastSent is the time from the announcement of a resolver's drain or removal to the last query to it; 0 for none.
	LastSent  float64          `json:"last_sent_ms"`
	Truncated int64            `json:"truncated"`
	Stray     int64            `json:"stray"`   // messages to clients that match no query
	Flooded   int64            `json:"flooded"` // queries of the flood
	Verdict   *checker.Verdict `json:"verdict"`
	Missed    []string         `json:"missed"` // requirements that were not met; always empty without the sidecar
}

// Options are the options of a run.
type Options struct {
	Seed  uint64
	Party Party        // empty: Sidecar
	Log   *slog.Logger // of the sidecar; nil: discarded
}

// lab is the state of a run.
type lab struct {
	scenario         *Scenario
	frontAddr        string // address to which clients send queries
	startedAt        time.Time
	wg               sync.WaitGroup
	strayMessages    atomic.Int64
	truncatedAnswers atomic.Int64

	mu                 sync.Mutex
	checker            *checker.Checker
	queriesAtResolvers int
	withdrawnAt        map[int32]time.Time // by resolver: when discovery announced that it drains or is removed
	lastSent           time.Duration
	latencies          *hdrhistogram.Histogram
	servedInTime       int
	servedCount        int
	resolvers          []*resolver
}

// report passes an event to the checker with the present time. Any goroutine may call it; events arrive in the order of
// their times.
func (l *lab) report(e trace.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	e.At = now.Sub(l.startedAt).Microseconds()
	if e.Kind == trace.AttemptSent {
		l.queriesAtResolvers++
		if at, out := l.withdrawnAt[e.Server]; out {
			l.lastSent = max(l.lastSent, now.Sub(at))
		}
	}
	l.checker.Take(e)
}

// recordServed counts a query that was served.
func (l *lab) recordServed(latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servedCount++
	if latency <= time.Duration(l.scenario.Front.Aim) {
		l.servedInTime++
	}
	l.latencies.RecordValue(latency.Microseconds())
}

// after runs an action on another goroutine after a delay. The run does not end before it.
func (l *lab) after(delay time.Duration, action func()) {
	l.wg.Add(1)
	time.AfterFunc(delay, func() { defer l.wg.Done(); action() })
}

// Run runs a scenario in real time and returns its figures with the checker's verdict.
func Run(ctx context.Context, s *Scenario, o Options) (*Result, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Party == "" {
		o.Party = Sidecar
	}
	l := &lab{scenario: s, startedAt: time.Now(), withdrawnAt: map[int32]time.Time{},
		latencies: hdrhistogram.New(1, 60_000_000, 3),
		checker: checker.New(checker.Settings{NonIdempotent: []bool{false, true}, DrainGrace: drainGrace.Microseconds(),
			ClockSlack: drainSlack.Microseconds(), OverloadMultiple: fallMultiple, OverloadWindow: overloadFor.Microseconds()})}
	joinsLater := map[int]bool{} // resolvers that are not in the list at the start
	for _, f := range s.Faults {
		if f.Kind == "join" {
			for id := range f.Resolvers {
				joinsLater[id] = true
			}
		}
	}
	disc := &discoveryServer{changed: make(chan struct{})}
	defer func() {
		for _, r := range l.resolvers {
			r.close()
		}
	}()
	for _, kind := range s.Resolvers {
		for range kind.Count {
			r, err := newResolver(len(l.resolvers), kind, s.Link, o.Seed, l.report)
			if err != nil {
				return nil, err
			}
			l.resolvers = append(l.resolvers, r)
			if !joinsLater[r.id] {
				disc.setInstance(r, "up", 0)
			}
		}
	}
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	var traffic *httpTraffic
	stop := func() {}
	switch o.Party {
	case Sidecar:
		var err error
		if traffic, stop, err = l.startSidecar(run, disc, o); err != nil {
			return nil, err
		}
	case Plain:
		p, err := newPlainForwarder(l.resolvers)
		if err != nil {
			return nil, err
		}
		l.frontAddr, stop = p.addr, p.close
	case Direct:
		l.frontAddr = l.resolvers[0].addr
	}
	if err := l.play(ctx, disc, traffic, o); err != nil {
		stop()
		return nil, err
	}
	stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict := l.checker.Finish(time.Since(l.startedAt).Microseconds())
	requests := max(1, verdict.Counts.Requests)
	result := &Result{Scenario: s.Name, Party: o.Party, Asked: verdict.Counts.Requests,
		Service:  float64(l.servedInTime) / float64(requests),
		Served:   float64(l.servedCount) / float64(requests),
		Attempts: float64(l.queriesAtResolvers) / float64(requests), P50: toMillis(l.latencies.ValueAtQuantile(50)),
		P99: toMillis(l.latencies.ValueAtQuantile(99)), P999: toMillis(l.latencies.ValueAtQuantile(99.9)),
		LastSent: toMillis(l.lastSent.Microseconds()), Truncated: l.truncatedAnswers.Load(),
		Stray: l.strayMessages.Load(), Verdict: verdict}
	if traffic != nil {
		result.Bookings, result.Flooded = traffic.servedShare(), traffic.floodQueries.Load()
	}
	if o.Party == Sidecar {
		if !verdict.Passed() {
			result.Missed = append(result.Missed, verdict.String())
		}
		if result.Service < s.Keep.Service {
			result.Missed = append(result.Missed, fmt.Sprintf("service %.3f is under %.3f", result.Service,
				s.Keep.Service))
		}
		if s.Keep.Attempts > 0 && result.Attempts > s.Keep.Attempts {
			result.Missed = append(result.Missed, fmt.Sprintf("attempts %.3f are over %.3f", result.Attempts,
				s.Keep.Attempts))
		}
	}
	return result, nil
}

func toMillis(us int64) float64 { return float64(us) / 1000 }

// play sends the scenario's traffic and injects its faults. It returns once the scenario's length has passed and every
// query must have ended. disc is the stub discovery server; traffic is nil unless the sidecar is measured.
func (l *lab) play(ctx context.Context, disc *discoveryServer, traffic *httpTraffic, o Options) error {
	var udp, tcp []*clientSocket
	for range l.scenario.Load.Sockets {
		socket, err := l.newClientSocket(false)
		if err != nil {
			return err
		}
		udp = append(udp, socket)
	}
	if l.scenario.Load.TCP > 0 || l.scenario.Load.Update > 0 {
		for range 4 {
			socket, err := l.newClientSocket(true)
			if err != nil {
				return err
			}
			tcp = append(tcp, socket)
		}
	}
	for _, f := range l.scenario.Faults {
		l.after(time.Duration(f.At), func() { l.setFault(disc, f, true) })
		if f.For > 0 {
			l.after(time.Duration(f.At+f.For), func() { l.setFault(disc, f, false) })
		}
	}
	trafficCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if traffic != nil {
		l.wg.Go(func() { traffic.sendRequests(trafficCtx, l.scenario.Load.Bookings) })
		l.wg.Go(func() { traffic.flood(trafficCtx, l.frontAddr, l.scenario.Load.Flood) })
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0x646e73))
	var number uint64
	for startedAt, next := time.Now(), time.Duration(0); next < time.Duration(l.scenario.Length); {
		if wait := time.Until(startedAt.Add(next)); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		number++
		kind, sockets := "a", udp
		if rng.Float64() < l.scenario.Load.Big {
			kind = "big"
		}
		if rng.Float64() < l.scenario.Load.TCP {
			sockets = tcp
		}
		if rng.Float64() < l.scenario.Load.Update {
			kind, sockets = "update", tcp
		}
		sockets[rng.IntN(len(sockets))].send(number, kind)
		next += time.Duration(rng.ExpFloat64() / l.scenario.Load.Rate * float64(time.Second))
	}
	cancel()
	time.Sleep(time.Duration(l.scenario.Front.GiveUp) + giveUpSlack + duplicateWait)
	for _, socket := range append(udp, tcp...) {
		socket.conn.Close()
	}
	l.wg.Wait()
	return nil
}

// setFault begins or ends a fault at the first resolvers.
func (l *lab) setFault(disc *discoveryServer, f Fault, active bool) {
	for _, r := range l.resolvers[:f.Resolvers] {
		switch f.Kind {
		case "drain", "remove":
			state, told := "draining", trace.Draining
			if f.Kind == "remove" || !active {
				state, told = "removed", trace.Removed
			}
			if active {
				l.report(trace.Event{Kind: trace.ServerListed, Server: int32(r.id), State: told})
				l.mu.Lock()
				l.withdrawnAt[int32(r.id)] = time.Now()
				l.mu.Unlock()
			}
			disc.setInstance(r, state, 0)
		case "join":
			now := time.Now()
			l.report(trace.Event{Kind: trace.ServerStarted, Server: int32(r.id), Capacity: r.kind.Capacity * 1e6,
				ColdFrom: coldFrom, ColdFor: coldFor.Microseconds()})
			disc.setInstance(r, "up", now.UnixMilli())
		default:
			r.setFault(f.Kind, active)
		}
	}
}

const (
	drainGrace   = 250 * time.Millisecond
	fallMultiple = 2.5
	overloadFor  = 2 * time.Second
)

// sidecarSettings are the settings of the sidecar under test: one class of HTTP requests for bookings, and a contract
// that agrees with the constants of this package.
const sidecarSettings = `{"peers-total":1,"areas":["a"],"skus":["m1"],"discovery":"automatic",
	"classes":[{"name":"confirm","repeat":"side_effect","target":500000,"give-up":1000000,"credit":10.0}],
	"contract":{"drain-grace":250000,"cold-from":0.2,"ramp-time":10000000,"fall-multiple":2.5,"overload-for":2000000,
	"ask-within":10000000},
	"limits":{"cancel":true,"probes":false,"second-copies":true,"retry-after":true,"most-tries":3,"most-held":2000,
	"max-retry-after":400000,"dial-timeout":1000000,"keepalive":15000000}}`

// openListener is a listener that is passed to the sidecar already open.
type openListener struct{ net.Listener }

// Listen returns the listener itself.
func (g openListener) Listen() (net.Listener, error) { return g.Listener, nil }

// openPacketConn is a UDP socket that is passed to the sidecar already open.
type openPacketConn struct{ *net.UDPConn }

// ListenPacket returns the socket itself.
func (g openPacketConn) ListenPacket() (*net.UDPConn, error) { return g.UDPConn, nil }

// startSidecar runs the real sidecar in this process, with a stub HTTP server for bookings, and waits until its DNS
// front answers. The function that it returns ends both.
func (l *lab) startSidecar(ctx context.Context, disc *discoveryServer, o Options) (*httpTraffic, func(), error) {
	traffic, err := newHTTPTraffic()
	if err != nil {
		return nil, nil, err
	}
	disc.instances = append(disc.instances, discovery.Instance{ID: "shop", Addr: traffic.addr, Zone: "a", Kind: "m1",
		Lifecycle: "up", Weight: 1})
	discoveryListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	go http.Serve(discoveryListener, disc)
	httpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	udp, tcp, err := listenUDPAndTCP()
	if err != nil {
		return nil, nil, err
	}
	l.frontAddr = udp.LocalAddr().String()
	dir, err := os.MkdirTemp("", "birchmoor-dns-")
	if err != nil {
		return nil, nil, err
	}
	disc.mu.Lock()
	configText, err := json.Marshal(map[string]any{"name": "n0", "listen": httpListener.Addr().String(),
		"discovery": discoveryListener.Addr().String(),
		"seed":      fmt.Sprintf("%x", o.Seed), "limits": map[string]int{"memory_mb": 512, "sockets": 16384},
		"known":    discovery.List{Generation: disc.generation, Reset: true, Instances: disc.instances},
		"settings": json.RawMessage(sidecarSettings)})
	disc.mu.Unlock()
	if err != nil {
		return nil, nil, err
	}
	path := dir + "/config.json"
	if err := os.WriteFile(path, configText, 0o600); err != nil {
		return nil, nil, err
	}
	readConfig := func() (*config.Config, error) {
		return config.Read(func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] })
	}
	conf, err := readConfig()
	if err != nil {
		return nil, nil, err
	}
	front := &dnsfront.Front{Settings: l.frontSettings(), Sockets: dnsfront.Sockets{UDP: openPacketConn{udp},
		TCP: openListener{tcp}}}
	run, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() {
		ended <- sidecar.Run(run, conf, sidecar.Host{Socket: openListener{httpListener},
			Overrides: maintenance.Discard{}, Protocols: []core.Protocol{front},
			Reload: make(chan os.Signal), ReadConfig: readConfig, Log: o.Log})
	}()
	traffic.sidecarURL = "http://" + httpListener.Addr().String()
	end := func() {
		stop()
		<-ended
		discoveryListener.Close()
		traffic.close()
		os.RemoveAll(dir)
	}
	for giveUpAt := time.Now().Add(readyTimeout); ; {
		msg := new(dns.Msg).SetQuestion("ready.invalid.", dns.TypeA) // belongs to no class: the front itself refuses it
		if reply, _, err := (&dns.Client{Timeout: 100 * time.Millisecond}).Exchange(msg, l.frontAddr); err == nil &&
			reply.Rcode == dns.RcodeRefused {
			return traffic, end, nil
		}
		if time.Now().After(giveUpAt) {
			end()
			return nil, nil, fmt.Errorf("the DNS front of the sidecar did not answer within the timeout")
		}
	}
}

func (l *lab) frontSettings() dnsfront.Settings {
	orDefault := func(v, fallback int) int {
		if v == 0 {
			return fallback
		}
		return v
	}
	front := &l.scenario.Front
	class := func(name string, opcodes ...int) dnsfront.Class {
		return dnsfront.Class{Name: name, LatencyObjective: time.Duration(front.Aim),
			Timeout: time.Duration(front.GiveUp), PriorityWeight: 1, LatePriorityWeight: 0.5,
			MaxAttempts: orDefault(front.Attempts, 3),
			Route:       route.Class{Suffixes: []string{"example.org"}, Opcodes: opcodes}}
	}
	maxOpen := orDefault(front.Open, 2000)
	return dnsfront.Settings{MaxSockets: orDefault(front.Sockets, 512), MaxConnsPerServer: 2, MaxClientConns: 64,
		MaxQueriesPerConn: 256, IdleTimeout: 10 * time.Second,
		Limit: limit.Settings{MaxOpen: maxOpen, MaxOpenPerPrefix: maxOpen, UnverifiedShare: 0.9,
			AnswersPerSecond: float64(orDefault(front.Rate, 100_000)),
			Burst:            float64(orDefault(front.Burst, 100_000)), TruncateEvery: 2, MaxPrefixes: 10_000},
		Classes: []dnsfront.Class{class("lookup"), class("update", dns.OpcodeUpdate)}}
}

// discoveryServer is a stub discovery server that answers watches over HTTP.
type discoveryServer struct {
	mu         sync.Mutex
	generation int64
	instances  []discovery.Instance
	updates    [][]byte      // encoded updates; the first has generation 1
	changed    chan struct{} // closed and replaced with each update
}

// setInstance adds or replaces the entry of a resolver and sends the update to all watches. startedMs is the start of
// its process in Unix milliseconds, or 0 if that was long ago.
func (b *discoveryServer) setInstance(r *resolver, lifecycle string, startedMs int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	instance := discovery.Instance{ID: fmt.Sprintf("dns-%d", r.id), Addr: r.addr, Zone: "a", Kind: "m1",
		Lifecycle: lifecycle, Weight: 1,
		StartedMs: startedMs, Protocol: dnsfront.Protocol}
	b.generation++
	line, err := json.Marshal(discovery.List{Generation: b.generation, Instances: []discovery.Instance{instance}})
	if err != nil {
		panic(err)
	}
	b.updates = append(b.updates, line)
	for i := range b.instances {
		if b.instances[i].ID == instance.ID {
			b.instances[i] = instance
			instance.ID = ""
		}
	}
	if instance.ID != "" {
		b.instances = append(b.instances, instance)
	}
	close(b.changed)
	b.changed = make(chan struct{})
}

// ServeHTTP answers a watch: it sends the updates after a generation, each on a line, until the client is gone. An
// empty line each second keeps the watch alive.
func (b *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var after int
	fmt.Sscan(r.FormValue("after"), &after)
	for {
		b.mu.Lock()
		lines, changed := b.updates[min(max(0, after), len(b.updates)):], b.changed
		after = len(b.updates)
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
