package chain

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/lab/randstream"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/told"
)

// Bounds on a run.
const (
	mostDepth    = 20
	mostServers  = 50
	mostCalls    = 200_000
	mostRate     = 5000
	mostAttempts = 10
	mostOpen     = 256              // calls of the root at once: half of what a sidecar takes of connections
	rootMs       = 1000             // that the root waits for an answer
	late         = 10 * time.Second // past a call's time, after which it counts as never answered
)

// Options of a run.
type Options struct {
	Bin      string // the sidecar program
	Dir      string // for a temporary folder
	Depth    int    // sidecars in the row
	Servers  int    // that each sidecar knows
	Rate     float64
	For      time.Duration
	Warm     time.Duration // of calls that are made first and not measured, where nothing fails
	Attempts int           // max_attempts
	Class    string        // of Classes
	Fail     How           // of the leaf; empty for none
	Share    float64       // of what reaches the leaf, that fails
	Seed     uint64
	Say      func(string) // may be nil

	plant plant
}

// plant is what the row does wrong, for tests.
type plant struct {
	twice   bool // the application of the first level makes its call twice
	keepsMs bool // an application passes on the root's time
}

// Calls is how many calls the root makes.
func (o *Options) Calls() int { return int(o.Rate*o.For.Seconds() + 0.5) }

// Check names the flag and value of the first option that makes no sense.
func (o *Options) Check() error {
	_, err := ClassOf(o.Class)
	switch {
	case o.Depth < 1 || o.Depth > mostDepth:
		return fmt.Errorf("--depth: %d is not within 1 and %d", o.Depth, mostDepth)
	case o.Servers < 1 || o.Servers > mostServers:
		return fmt.Errorf("--servers: %d is not within 1 and %d", o.Servers, mostServers)
	case !(o.Rate > 0 && o.Rate <= mostRate):
		return fmt.Errorf("--rate: %v is not above 0 and at most %d", o.Rate, mostRate)
	case o.For <= 0 || o.For > time.Hour:
		return fmt.Errorf("--for: %v is not above 0 and at most 1h", o.For)
	case o.Calls() < 1 || o.Calls() > mostCalls:
		return fmt.Errorf("--for: %v at --rate %v are %d calls, not within 1 and %d", o.For, o.Rate, o.Calls(), mostCalls)
	case o.Warm < 0 || o.Warm > time.Minute:
		return fmt.Errorf("--warm: %v is not within 0 and 1m", o.Warm)
	case o.Attempts < 1 || o.Attempts > mostAttempts:
		return fmt.Errorf("--attempts: %d is not within 1 and %d", o.Attempts, mostAttempts)
	case err != nil:
		return err
	case o.Fail != "" && !slices.Contains(Hows, o.Fail):
		return fmt.Errorf("--how: %q is none of %v", string(o.Fail), Hows)
	case !(o.Share >= 0 && o.Share <= 1):
		return fmt.Errorf("--share: %v is not within 0 and 1", o.Share)
	}
	return nil
}

// Spread is of times in milliseconds.
type Spread struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
	N   int     `json:"n"`
}

// spread sorts its nanoseconds.
func spread(ns []int64) (s Spread) {
	if s.N = len(ns); s.N == 0 {
		return s
	}
	slices.Sort(ns)
	at := func(q float64) float64 { return float64(ns[min(len(ns)-1, int(q*float64(len(ns))))]) / 1e6 }
	s.P50, s.P99, s.Max = at(0.5), at(0.99), float64(ns[len(ns)-1])/1e6
	return s
}

// Level is what was seen of one sidecar, and of the servers behind it.
type Level struct {
	Attempts uint64  `json:"attempts"` // that reached the servers
	LeftMin  int64   `json:"left_min_ms"`
	LeftMean float64 `json:"left_mean_ms"`
	LeftMax  int64   `json:"left_max_ms"`
	Rose     uint64  `json:"left_rose"` // attempts that were told of no less time than the call came with
	Over     uint64  `json:"left_over"` // attempts that were told of more time than the root still waited for

	Through Spread `json:"through"` // a call's time beyond its server's, through the sidecar,
	Direct  Spread `json:"direct"`  // without one,
	Added   Spread `json:"added"`   // and the difference of the two, pair by pair

	Open     int64   `json:"connections"` // to the servers, at the end
	Opened   uint64  `json:"connections_opened"`
	Probes   float64 `json:"probes_per_s"`
	ProbeIn  float64 `json:"probe_bytes_to_servers_per_s"`
	ProbeOut float64 `json:"probe_bytes_from_servers_per_s"`
	CPU      float64 `json:"cpu_cores"` // of the sidecar's process, probes and all
	RSS      float64 `json:"rss_mb"`
}

// Result of a run.
type Result struct {
	By       string         `json:"by"` // "processes" or "virtual time"
	Depth    int            `json:"depth"`
	Servers  int            `json:"servers"`
	Rate     float64        `json:"rate"`
	Calls    int            `json:"calls"`
	Attempts int            `json:"max_attempts"`
	Class    string         `json:"class"`
	Fail     How            `json:"fail,omitempty"`
	Share    float64        `json:"share,omitempty"`
	Took     float64        `json:"took_s"`
	Load     [2]string      `json:"load_average"` // of the machine, at the beginning and at the end
	Answers  map[string]int `json:"answers"`      // of calls through the sidecars, by code
	Broken   uint64         `json:"broken"`       // calls, of root and applications, whose connection ended without an answer
	Why      map[string]int `json:"broken_by,omitempty"`
	Surplus  uint64         `json:"surplus"` // answers with something behind them
	LateRoot uint64         `json:"late"`    // calls of the root that were begun more than 10 ms after their time

	Row      Spread  `json:"row"`        // what the whole row adds, pair by pair
	One      Spread  `json:"one"`        // what one level adds, over all levels
	Whole    Spread  `json:"through"`    // calls of the root through the row,
	Bare     Spread  `json:"direct"`     // and without a sidecar
	LeafMost uint64  `json:"leaf_most"`  // attempts at the leaf for one call
	PerCall  float64 `json:"leaf_mean"`  // likewise, mean
	Worst    float64 `json:"worst"`      // of one call, by the formula
	Budgeted float64 `json:"budgeted"`   // of all calls together, with the retry budgets
	Steady   float64 `json:"steady"`     // of each call in the long run, with the retry budgets
	LastMs   int64   `json:"last_least"` // the least that the leaf was told of the time left
	Levels   []Level `json:"levels"`
}

// row is a run.
type row struct {
	o      Options
	levels []*level
	warm   int // calls of the root before those that are measured
	ids    atomic.Uint64
	draw   randstream.Seed
	leaf   []atomic.Uint32 // attempts at the leaf, by call of the root
	seen   atomic.Uint64   // at the leaf, for the draws
	failed bool            // the leaf fails: no pairs

	broken, surplus, lateRoot atomic.Uint64
	quit                      chan struct{} // what is silent ends then
	wg                        sync.WaitGroup

	mu  sync.Mutex
	why map[string]int // of what is broken
}

// Run plays one row. Whatever happens, no process and no listener is left when it returns.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(o.Dir, "birchmoor-chain-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &row{o: o, draw: randstream.Seed(o.Seed), failed: o.Fail != "", quit: make(chan struct{}), why: map[string]int{}}
	if !r.failed {
		r.warm = int(o.Rate * o.Warm.Seconds())
	}
	r.leaf = make([]atomic.Uint32, r.warm+o.Calls())
	defer r.close()
	for k := range o.Depth {
		if err := r.build(k, dir); err != nil {
			return nil, err
		}
	}
	for _, l := range r.levels {
		if err := l.side.ready(ctx); err != nil {
			return nil, err
		}
	}
	if o.Say != nil {
		o.Say(fmt.Sprintf("%d sidecars are ready; %d calls", o.Depth, len(r.leaf)))
	}
	return r.play(ctx)
}

// close ends processes, then servers.
func (r *row) close() {
	close(r.quit)
	var ends sync.WaitGroup
	for _, l := range r.levels {
		ends.Go(l.side.stop)
	}
	ends.Wait()
	for _, l := range r.levels {
		l.close()
	}
	r.wg.Wait()
}

// build starts the servers of a level, and the sidecar before them.
func (r *row) build(k int, dir string) error {
	l := &level{r: r, number: k, conns: map[*counted]struct{}{}}
	l.hops[0], l.hops[1] = make([]int64, len(r.leaf)), make([]int64, len(r.leaf))
	l.leftMin = rootMs * 10
	r.levels = append(r.levels, l)
	for range r.o.Servers {
		if err := l.listen(); err != nil {
			return err
		}
	}
	var err error
	if l.side, err = r.start(k, dir, l.addrs); err != nil {
		return err
	}
	l.to[through], l.to[direct] = &pool{r: r, addrs: []string{l.side.addr}}, &pool{r: r, addrs: l.addrs}
	return nil
}

// classNames are in the order of the settings.
var classNames = []string{"look", "book", "pay"}

func classIndex(name string) uint8 { return uint8(slices.Index(classNames, name)) }

// scenario is what sidecars are told of, for so many of them before the same servers.
func (o *Options) scenario(sidecars int) (*scenario.Scenario, error) {
	s, err := scenario.Parse("chain", []byte(`name = "chain"
[fleet]
sidecars = 1
zones = ["a"]
[[servers]]
[[class]]
name = "look"
work = "1ms"
aim = "500ms"
give_up = "1s"
[discovery]
mode = "push"
`))
	if err != nil {
		return nil, err
	}
	s.Fleet.Sidecars = sidecars
	var classes []map[string]any
	for _, name := range classNames {
		repeat := map[balancer.Idempotency]string{balancer.Idempotent: "pure", balancer.WithIdempotencyKey: "token", balancer.NotIdempotent: "side_effect"}[Classes[name]]
		classes = append(classes, map[string]any{"name": name, "repeat": repeat, "group": "cell", "window": 1_000_000, "target": 500_000,
			"give-up": rootMs * 1000, "credit": 1.0, "late-value": 0.0, "stream": false})
	}
	s.Overlay = map[string]any{"limits": map[string]any{"most-tries": o.Attempts}, "classes": classes}
	return s, nil
}

// configure writes what a sidecar is told.
func (r *row) configure(k int, dir, listen string, servers []string) (string, error) {
	s, err := r.o.scenario(1)
	if err != nil {
		return "", err
	}
	var list []map[string]any
	for i, a := range servers {
		list = append(list, map[string]any{"instanceId": fmt.Sprintf("s%d", i), "hostPort": a, "zone": "a", "machineType": "kind-0",
			"cell": 0, "lifecycle": "up", "weight": 1, "startedAtMs": 0})
	}
	text, err := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", k), "listen": listen, "discovery": "127.0.0.1:1",
		"seed":   fmt.Sprintf("%016x", r.draw.Stream("sidecar", uint64(k)).Uint64()),
		"limits": map[string]any{"memory_mb": 192, "sockets": 1024}, "settings": told.Settings(s, 0),
		"known": map[string]any{"generation": 1, "reset": true, "instances": list}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, fmt.Sprintf("config-%d.json", k))
	return path, os.WriteFile(path, text, 0o600)
}

// result is one before its run, with what the formulas say of a row with so many sidecars at each level.
func (o *Options) result(sidecars int) *Result {
	x := &Result{By: "processes", Depth: o.Depth, Servers: o.Servers, Rate: o.Rate, Calls: o.Calls(), Attempts: o.Attempts, Class: o.Class, Fail: o.Fail,
		Share: o.Share, Answers: map[string]int{}, Worst: 1, Budgeted: float64(o.Calls()), Steady: 1}
	if repeat := Classes[o.Class]; o.Fail != "" {
		x.Worst, x.Steady = Worst(repeat, o.Fail, o.Attempts, o.Depth), Steady(repeat, o.Fail, o.Attempts, o.Depth)
		x.Budgeted = Budgeted(repeat, o.Fail, o.Attempts, o.Depth, o.Calls(), sidecars)
	}
	return x
}

// leaves adds up the attempts at the leaf.
func (x *Result) leaves(all iter.Seq[uint64]) {
	sum := uint64(0)
	for v := range all {
		sum, x.LeafMost = sum+v, max(x.LeafMost, v)
	}
	x.PerCall = float64(sum) / float64(x.Calls)
}

// play makes the root's calls, each at its time, and adds up.
func (r *row) play(ctx context.Context) (*Result, error) {
	o := r.o
	x := o.result(1)
	x.Load[0] = loadAverage()
	total := [2][]int64{make([]int64, len(r.leaf)), make([]int64, len(r.leaf))}
	open := make(chan struct{}, mostOpen)
	var wg sync.WaitGroup
	var mu sync.Mutex
	began := time.Now()
	measured := began
	var before []usage
	for n := range r.leaf {
		due := began.Add(time.Duration(float64(n) / o.Rate * float64(time.Second)))
		if n == r.warm {
			before, measured = r.usage(), time.Now()
		}
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			wg.Wait()
			return nil, ctx.Err()
		}
		select {
		case open <- struct{}{}:
		case <-ctx.Done():
			wg.Wait()
			return nil, ctx.Err()
		}
		if time.Since(due) > 10*time.Millisecond {
			r.lateRoot.Add(1)
		}
		wg.Go(func() {
			defer func() { <-open }()
			for _, mode := range [2]int{n % 2, 1 - n%2} { // which comes first changes from call to call
				if mode == direct && r.failed {
					continue
				}
				t := time.Now()
				code, took := r.levels[0].call(mode, n, rootMs, rootMs, t, 0)
				all := time.Since(t)
				if mode == through {
					mu.Lock()
					if n >= r.warm {
						x.Answers[fmt.Sprint(code)]++
					}
					mu.Unlock()
				}
				if code == 200 {
					total[mode][n], r.levels[0].hops[mode][n] = int64(all), int64(all-took)
				}
			}
		})
	}
	wg.Wait()
	took := time.Since(measured)
	after := r.usage()
	x.Load[1], x.Took = loadAverage(), took.Seconds()
	x.Broken, x.Surplus, x.LateRoot = r.broken.Load(), r.surplus.Load(), r.lateRoot.Load()
	r.mu.Lock()
	x.Why = maps.Clone(r.why)
	r.mu.Unlock()
	x.leaves(func(yield func(uint64) bool) {
		for n := r.warm; n < len(r.leaf) && yield(uint64(r.leaf[n].Load())); n++ {
		}
	})
	x.Whole, x.Bare, x.Row = pairs(total, r.warm)
	var ones []int64
	for k, l := range r.levels {
		v := l.figures(before[k], after[k], took)
		v.Through, v.Direct, v.Added = pairs(l.hops, r.warm)
		ones = append(ones, differences(l.hops, r.warm)...)
		x.Levels = append(x.Levels, v)
	}
	x.One, x.LastMs = spread(ones), x.Levels[o.Depth-1].LeftMin
	return x, nil
}

// differences are those of the pairs that are whole. An attempt that its sidecar gave up may still end meanwhile.
func differences(of [2][]int64, from int) (d []int64) {
	for n := from; n < len(of[0]); n++ {
		if a, b := atomic.LoadInt64(&of[through][n]), atomic.LoadInt64(&of[direct][n]); a > 0 && b > 0 {
			d = append(d, a-b)
		}
	}
	return d
}

// pairs sums up both ways, and their difference.
func pairs(of [2][]int64, from int) (a, b, d Spread) {
	some := func(all []int64) (ns []int64) {
		for n := from; n < len(all); n++ {
			if v := atomic.LoadInt64(&all[n]); v > 0 {
				ns = append(ns, v)
			}
		}
		return ns
	}
	return spread(some(of[through])), spread(some(of[direct])), spread(differences(of, from))
}

func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "?"
	}
	f := strings.Fields(string(text))
	return f[0]
}
