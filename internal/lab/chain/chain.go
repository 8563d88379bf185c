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

// Bounds and timeouts of a run.
const (
	maxDepth          = 20
	maxServers        = 50
	maxCalls          = 200_000
	maxRate           = 5000
	maxAttempts       = 10
	maxOpenCalls      = 256              // concurrent calls of the root: half of the connections that a sidecar accepts
	rootTimeoutMillis = 1000             // timeout of the root's calls
	answerGrace       = 10 * time.Second // time past a call's timeout after which it counts as never answered
)

// Options are the options of a run.
type Options struct {
	Program      string        // path of the sidecar program; not used by Virtual
	Dir          string        // in which the temporary folder of the run is made
	Depth        int           // levels in the row
	Servers      int           // servers per level
	Rate         float64       // calls of the root per second
	Duration     time.Duration // over which measured calls are made
	WarmUp       time.Duration // of calls before the measured ones, to warm up; none if the leaf fails
	Attempts     int           // max_attempts of each sidecar
	Class        string        // a key of Classes
	LeafFailure  LeafFailure   // way in which the leaf fails; empty for none
	FailureShare float64       // share of the attempts at the leaf that fail
	Seed         uint64
	Progress     func(string) // called with the progress; may be nil

	defect injectedDefect
}

// injectedDefect makes the row's applications violate a bound, for tests of the bounds.
type injectedDefect struct {
	callsTwice       bool // the application of the first level makes its call twice
	keepsRootTimeout bool // applications pass on the root's timeout, not the time left
}

// Calls returns the number of measured calls that the root makes.
func (o *Options) Calls() int { return int(o.Rate*o.Duration.Seconds() + 0.5) }

// Check returns an error for the first invalid option, with its flag and value.
func (o *Options) Check() error {
	_, err := ClassIdempotency(o.Class)
	switch {
	case o.Depth < 1 || o.Depth > maxDepth:
		return fmt.Errorf("--depth: %d is not within 1 and %d", o.Depth, maxDepth)
	case o.Servers < 1 || o.Servers > maxServers:
		return fmt.Errorf("--servers: %d is not within 1 and %d", o.Servers, maxServers)
	case !(o.Rate > 0 && o.Rate <= maxRate):
		return fmt.Errorf("--rate: %v is not above 0 and at most %d", o.Rate, maxRate)
	case o.Duration <= 0 || o.Duration > time.Hour:
		return fmt.Errorf("--for: %v is not above 0 and at most 1h", o.Duration)
	case o.Calls() < 1 || o.Calls() > maxCalls:
		return fmt.Errorf("--for: %v at --rate %v are %d calls, not within 1 and %d", o.Duration, o.Rate,
			o.Calls(), maxCalls)
	case o.WarmUp < 0 || o.WarmUp > time.Minute:
		return fmt.Errorf("--warm: %v is not within 0 and 1m", o.WarmUp)
	case o.Attempts < 1 || o.Attempts > maxAttempts:
		return fmt.Errorf("--attempts: %d is not within 1 and %d", o.Attempts, maxAttempts)
	case err != nil:
		return err
	case o.LeafFailure != "" && !slices.Contains(LeafFailures, o.LeafFailure):
		return fmt.Errorf("--how: %q is none of %v", string(o.LeafFailure), LeafFailures)
	case !(o.FailureShare >= 0 && o.FailureShare <= 1):
		return fmt.Errorf("--share: %v is not within 0 and 1", o.FailureShare)
	}
	return nil
}

// Summary summarizes durations, in milliseconds.
type Summary struct {
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
	N   int     `json:"n"`
}

// summarize summarizes durations in nanoseconds, which it sorts in place.
func summarize(nanos []int64) (summary Summary) {
	if summary.N = len(nanos); summary.N == 0 {
		return summary
	}
	slices.Sort(nanos)
	quantileMillis := func(quantile float64) float64 {
		return float64(nanos[min(len(nanos)-1, int(quantile*float64(len(nanos))))]) / 1e6
	}
	summary.P50, summary.P99, summary.Max = quantileMillis(0.5), quantileMillis(0.99), float64(nanos[len(nanos)-1])/1e6
	return summary
}

// Level holds the figures of one level: its sidecar and the servers behind it.
type Level struct {
	Attempts     uint64  `json:"attempts"`    // attempts that reached the servers
	TimeLeftMin  int64   `json:"left_min_ms"` // time left that attempts carried
	TimeLeftMean float64 `json:"left_mean_ms"`
	TimeLeftMax  int64   `json:"left_max_ms"`
	NotReduced   uint64  `json:"left_rose"` // attempts with no less time left than the call at the level before them
	BeyondRoot   uint64  `json:"left_over"` // attempts with more time left than the root was still waiting

	Through Summary `json:"through"` // latency of calls through the sidecar, less the server's time
	Direct  Summary `json:"direct"`  // the same without the sidecar
	Added   Summary `json:"added"`   // difference of the two for each call of the root

	Open     int64   `json:"connections"` // open connections to the servers at the end
	Opened   uint64  `json:"connections_opened"`
	Probes   float64 `json:"probes_per_s"`
	ProbeIn  float64 `json:"probe_bytes_to_servers_per_s"`
	ProbeOut float64 `json:"probe_bytes_from_servers_per_s"`
	CPU      float64 `json:"cpu_cores"` // cores used by the sidecar's process, with its probes
	RSS      float64 `json:"rss_mb"`
}

// Result is the result of a run.
type Result struct {
	Clock         string         `json:"by"` // "processes" or "virtual time"
	Depth         int            `json:"depth"`
	Servers       int            `json:"servers"`
	Rate          float64        `json:"rate"`
	Calls         int            `json:"calls"`
	Attempts      int            `json:"max_attempts"`
	Class         string         `json:"class"`
	LeafFailure   LeafFailure    `json:"fail,omitempty"`
	FailureShare  float64        `json:"share,omitempty"`
	Took          float64        `json:"took_s"`
	Load          [2]string      `json:"load_average"` // of the machine, at the start and at the end
	Answers       map[string]int `json:"answers"`      // root's calls through sidecars, by status code; 0 for no answer
	Broken        uint64         `json:"broken"`       // calls of root and applications that failed without an answer
	BrokenCauses  map[string]int `json:"broken_by,omitempty"`
	ExcessAnswers uint64         `json:"surplus"` // answers followed by unexpected bytes
	LateCalls     uint64         `json:"late"`    // calls of the root that began more than 10 ms late

	AddedByRow           Summary `json:"row"`        // latency that all levels together add to a call
	AddedPerLevel        Summary `json:"one"`        // latency that one level adds to a call, over all levels
	Through              Summary `json:"through"`    // latency of the root's calls through the sidecars
	Direct               Summary `json:"direct"`     // latency of the root's calls without sidecars
	MaxLeafAttempts      uint64  `json:"leaf_most"`  // maximum of attempts at the leaf for one call of the root
	MeanLeafAttempts     float64 `json:"leaf_mean"`  // mean of the same
	LeafAttemptsBound    float64 `json:"worst"`      // bound on MaxLeafAttempts, without retry budgets
	BudgetedLeafAttempts float64 `json:"budgeted"`   // bound on the attempts at the leaf for all calls
	SteadyLeafAttempts   float64 `json:"steady"`     // limit of BudgetedLeafAttempts per call, for many calls
	LeafTimeLeftMin      int64   `json:"last_least"` // least time left to the leaf
	Levels               []Level `json:"levels"`
}

// row is a run with processes.
type row struct {
	options      Options
	levels       []*level
	warmUpCalls  int // calls of the root before the measured ones
	lastID       atomic.Uint64
	seed         randstream.Seed
	leafAttempts []atomic.Uint32 // attempts at the leaf, by call of the root
	leafRequests atomic.Uint64   // attempts at the leaf so far, which number the draws of failures
	leafFails    bool            // the leaf fails, so that calls without sidecars are not made

	broken, excess, lateRootCalls atomic.Uint64
	stopped                       chan struct{} // closed at the end, to release silent requests
	wg                            sync.WaitGroup

	mutex        sync.Mutex
	brokenCauses map[string]int // number of broken calls by cause
}

// Run runs a row with processes. No process, listener or goroutine of it is left when it returns, also with an error.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(o.Dir, "birchmoor-chain-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	r := &row{options: o, seed: randstream.Seed(o.Seed), leafFails: o.LeafFailure != "", stopped: make(chan struct{}),
		brokenCauses: map[string]int{}}
	if !r.leafFails {
		r.warmUpCalls = int(o.Rate * o.WarmUp.Seconds())
	}
	r.leafAttempts = make([]atomic.Uint32, r.warmUpCalls+o.Calls())
	defer r.close()
	for k := range o.Depth {
		if err := r.addLevel(k, dir); err != nil {
			return nil, err
		}
	}
	for _, l := range r.levels {
		if err := l.sidecar.waitReady(ctx); err != nil {
			return nil, err
		}
	}
	if o.Progress != nil {
		o.Progress(fmt.Sprintf("%d sidecars are ready; %d calls", o.Depth, len(r.leafAttempts)))
	}
	return r.runCalls(ctx)
}

// close stops the sidecars, then the servers, and waits for all goroutines.
func (r *row) close() {
	close(r.stopped)
	var stopping sync.WaitGroup
	for _, l := range r.levels {
		stopping.Go(l.sidecar.stop)
	}
	stopping.Wait()
	for _, l := range r.levels {
		l.close()
	}
	r.wg.Wait()
}

// addLevel starts the servers of a level and their sidecar.
func (r *row) addLevel(number int, dir string) error {
	added := &level{row: r, number: number, conns: map[*countingConn]struct{}{}}
	added.hopNanos[0], added.hopNanos[1] = make([]int64, len(r.leafAttempts)), make([]int64, len(r.leafAttempts))
	added.timeLeftMin = rootTimeoutMillis * 10
	r.levels = append(r.levels, added)
	for range r.options.Servers {
		if err := added.listen(); err != nil {
			return err
		}
	}
	var err error
	if added.sidecar, err = r.startSidecar(number, dir, added.addrs); err != nil {
		return err
	}
	added.pools[pathThrough], added.pools[pathDirect] = &pool{row: r, addrs: []string{added.sidecar.addr}},
		&pool{row: r, addrs: added.addrs}
	return nil
}

// classNames lists the classes in the order of the settings.
var classNames = []string{"look", "book", "pay"}

func classIndex(name string) uint8 { return uint8(slices.Index(classNames, name)) }

// scenario returns the scenario from which the sidecars' settings are derived, for the given number of sidecars
// with the same servers.
func (o *Options) scenario(sidecars int) (*scenario.Scenario, error) {
	scen, err := scenario.Parse("chain", []byte(`name = "chain"
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
	scen.Fleet.Sidecars = sidecars
	var classes []map[string]any
	for _, name := range classNames {
		idempotency := map[balancer.Idempotency]string{balancer.Idempotent: "pure",
			balancer.WithIdempotencyKey: "token", balancer.NotIdempotent: "side_effect"}[Classes[name]]
		classes = append(classes, map[string]any{"name": name, "repeat": idempotency, "group": "cell",
			"window": 1_000_000, "target": 500_000,
			"give-up": rootTimeoutMillis * 1000, "credit": 1.0, "late-value": 0.0, "stream": false})
	}
	scen.Overlay = map[string]any{"limits": map[string]any{"most-tries": o.Attempts}, "classes": classes}
	return scen, nil
}

// writeConfig writes a sidecar's configuration file and returns its path.
func (r *row) writeConfig(number int, dir, listen string, servers []string) (string, error) {
	scen, err := r.options.scenario(1)
	if err != nil {
		return "", err
	}
	var instances []map[string]any
	for i, address := range servers {
		instances = append(instances, map[string]any{"instanceId": fmt.Sprintf("s%d", i), "hostPort": address,
			"zone": "a", "machineType": "kind-0",
			"cell": 0, "lifecycle": "up", "weight": 1, "startedAtMs": 0})
	}
	text, err := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", number), "listen": listen,
		"discovery": "127.0.0.1:1",
		"seed":      fmt.Sprintf("%016x", r.seed.Stream("sidecar", uint64(number)).Uint64()),
		"limits":    map[string]any{"memory_mb": 192, "sockets": 1024}, "settings": told.Settings(scen, 0),
		"known": map[string]any{"generation": 1, "reset": true, "instances": instances}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, fmt.Sprintf("config-%d.json", number))
	return path, os.WriteFile(path, text, 0o600)
}

// newResult returns the result of a run that has not begun, with the bounds that the formulas give for the given
// number of sidecars per level.
func (o *Options) newResult(sidecars int) *Result {
	result := &Result{Clock: "processes", Depth: o.Depth, Servers: o.Servers, Rate: o.Rate,
		Calls: o.Calls(), Attempts: o.Attempts, Class: o.Class, LeafFailure: o.LeafFailure,
		FailureShare: o.FailureShare, Answers: map[string]int{}, LeafAttemptsBound: 1,
		BudgetedLeafAttempts: float64(o.Calls()), SteadyLeafAttempts: 1}
	if idempotency := Classes[o.Class]; o.LeafFailure != "" {
		result.LeafAttemptsBound, result.SteadyLeafAttempts = MaxLeafAttempts(idempotency, o.LeafFailure,
			o.Attempts, o.Depth), SteadyLeafAttempts(idempotency,
			o.LeafFailure, o.Attempts, o.Depth)
		result.BudgetedLeafAttempts = BudgetedLeafAttempts(idempotency, o.LeafFailure, o.Attempts, o.Depth,
			o.Calls(), sidecars)
	}
	return result
}

// setLeafAttempts sets the maximum and the mean of the attempts at the leaf for each call of the root.
func (r *Result) setLeafAttempts(counts iter.Seq[uint64]) {
	sum := uint64(0)
	for attempts := range counts {
		sum, r.MaxLeafAttempts = sum+attempts, max(r.MaxLeafAttempts, attempts)
	}
	r.MeanLeafAttempts = float64(sum) / float64(r.Calls)
}

// runCalls makes the root's calls at their times and returns the result. Unless the leaf fails, each call is made
// through the sidecars and directly.
func (r *row) runCalls(ctx context.Context) (*Result, error) {
	options := r.options
	result := options.newResult(1)
	result.Load[0] = loadAverage()
	durations := [2][]int64{make([]int64, len(r.leafAttempts)), make([]int64, len(r.leafAttempts))}
	openCalls := make(chan struct{}, maxOpenCalls)
	var wg sync.WaitGroup
	var mutex sync.Mutex
	began := time.Now()
	measured := began
	var before []usage
	for call := range r.leafAttempts {
		due := began.Add(time.Duration(float64(call) / options.Rate * float64(time.Second)))
		if call == r.warmUpCalls {
			before, measured = r.usages(), time.Now()
		}
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			wg.Wait()
			return nil, ctx.Err()
		}
		select {
		case openCalls <- struct{}{}:
		case <-ctx.Done():
			wg.Wait()
			return nil, ctx.Err()
		}
		if time.Since(due) > 10*time.Millisecond {
			r.lateRootCalls.Add(1)
		}
		wg.Go(func() {
			defer func() { <-openCalls }()
			for _, path := range [2]int{call % 2, 1 - call%2} { // the order of the two alternates from call to call
				if path == pathDirect && r.leafFails {
					continue
				}
				start := time.Now()
				code, took := r.levels[0].call(path, call, rootTimeoutMillis, rootTimeoutMillis, start, 0)
				total := time.Since(start)
				if path == pathThrough {
					mutex.Lock()
					if call >= r.warmUpCalls {
						result.Answers[fmt.Sprint(code)]++
					}
					mutex.Unlock()
				}
				if code == 200 {
					durations[path][call], r.levels[0].hopNanos[path][call] = int64(total), int64(total-took)
				}
			}
		})
	}
	wg.Wait()
	took := time.Since(measured)
	after := r.usages()
	result.Load[1], result.Took = loadAverage(), took.Seconds()
	result.Broken, result.ExcessAnswers, result.LateCalls = r.broken.Load(), r.excess.Load(), r.lateRootCalls.Load()
	r.mutex.Lock()
	result.BrokenCauses = maps.Clone(r.brokenCauses)
	r.mutex.Unlock()
	result.setLeafAttempts(func(yield func(uint64) bool) {
		for call := r.warmUpCalls; call < len(r.leafAttempts) && yield(uint64(r.leafAttempts[call].Load())); call++ {
		}
	})
	result.Through, result.Direct, result.AddedByRow = summarizePairs(durations, r.warmUpCalls)
	var added []int64
	for number, l := range r.levels {
		figures := l.figures(before[number], after[number], took)
		figures.Through, figures.Direct, figures.Added = summarizePairs(l.hopNanos, r.warmUpCalls)
		added = append(added, pairDifferences(l.hopNanos, r.warmUpCalls)...)
		result.Levels = append(result.Levels, figures)
	}
	result.AddedPerLevel, result.LeafTimeLeftMin = summarize(added), result.Levels[options.Depth-1].TimeLeftMin
	return result, nil
}

// pairDifferences returns the differences between the two paths, for the calls that have both. It loads the durations
// atomically, because an attempt that a sidecar abandoned may still end meanwhile.
func pairDifferences(durations [2][]int64, first int) (nanos []int64) {
	for call := first; call < len(durations[0]); call++ {
		if throughNanos, directNanos := atomic.LoadInt64(&durations[pathThrough][call]),
			atomic.LoadInt64(&durations[pathDirect][call]); throughNanos > 0 && directNanos > 0 {
			nanos = append(nanos, throughNanos-directNanos)
		}
	}
	return nanos
}

// summarizePairs summarizes the durations of both paths, and their differences, from the first measured call on.
func summarizePairs(durations [2][]int64, first int) (throughSummary, directSummary, difference Summary) {
	measured := func(all []int64) (ns []int64) {
		for n := first; n < len(all); n++ {
			if v := atomic.LoadInt64(&all[n]); v > 0 {
				ns = append(ns, v)
			}
		}
		return ns
	}
	return summarize(measured(durations[pathThrough])), summarize(measured(durations[pathDirect])),
		summarize(pairDifferences(durations, first))
}

// loadAverage returns the machine's load average over one minute, or "?".
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "?"
	}
	fields := strings.Fields(string(text))
	return fields[0]
}
