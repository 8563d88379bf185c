// Package limitsim simulates a fleet that shares limits, in virtual time. Each process has a clock with its own rate,
// and is stopped, killed or cut off in one or both directions. The store answers late or not at all, applies commands
// after their senders have timed out, changes its leader and is unavailable for a while. The allocator loses its task
// in the middle of an allocation. All draws come from one seed.
//
// A checker per node of each limit sees every admitted request in true time, and checks it against the definition of
// the limit alone: the rate over intervals of any length, the amount in any window, the amount in flight, for the root
// and for each part, also while the store cannot be reached. At the end of a run the limits must admit requests again.
package limitsim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/store"
)

// Options are the settings of a run. Zero values stand for the defaults named here.
type Options struct {
	Sidecars int     // default 8
	Faults   int     // number of injected faults; default 48
	Gap      int     // milliseconds between two faults; default 200
	Load     float64 // offered load by what all limits admit, without bursts; default 3 or 1.5, by the seed
	Calm     bool    // injects no faults
	Busy     bool    // measures at the end how long a single busy process takes to get four fifths of a limit
	Even     bool    // all processes have the same load, and it does not shift
	Defects  Defects
}

// Defects is a set of injected defects; the zero value has none.
type Defects struct {
	Limit   quota.Defect
	Session lease.Defect
}

// Result is the outcome of a run. Its JSON is part of the output of limit sim.
type Result struct {
	Seed         uint64   `json:"seed"`
	Broken       []string `json:"broken"` // violations found, the first of each kind
	Requests     int      `json:"asked"`
	Admitted     int      `json:"let_through"`
	Entries      int      `json:"entries"` // entries of the store's log, in the second half of the calm period
	Bytes        int      `json:"bytes"`   // of keys and values in these entries
	Allocations  int      `json:"divisions"`
	Allocators   int      `json:"dividers"`
	SessionsLost int      `json:"sessions_lost"`
	Kills        int      `json:"kills"`
	Cuts         int      `json:"cuts"`
	Stops        int      `json:"stops"`
	Micros       int64    `json:"virtual_us"`
	Use          float64  `json:"use"`               // admitted fraction of what the rate limit allows, once calm
	MaxUse       float64  `json:"near"`              // largest use of a strict limit, as a fraction of its bound
	MaxExcess    float64  `json:"over"`              // largest excess over a fair limit, by its capacity
	BusyMs       int64    `json:"busy_ms,omitempty"` // until measureSingleBusy saw four fifths; -1: never
	EntriesPerS  float64  `json:"entries_per_s"`
	BytesPerS    float64  `json:"bytes_per_s"`
}

const (
	milli        = int64(1000) // in microseconds
	second       = eventqueue.Second
	ttlMillis    = 600 // milliseconds of a session
	maxClockSkew = 0.25
	calmMicros   = 6 * second
)

type world struct {
	options              Options
	queue                *eventqueue.Queue
	rng                  *rand.Rand
	result               Result
	reportedKinds        map[string]bool
	state                *store.State
	index                uint64
	leaderClockRate      float64 // rate of the store leader's clock, relative to true time
	maxClockRate         float64 // rate of the fastest clock, relative to true time; the slowest is its inverse
	leaseTimers          map[uint64]int64
	storeDown            bool
	config               *quota.Config
	matcher              *quota.Matcher
	procs                []*proc
	checkers             map[string]*checker
	faultsOver           bool
	finished             bool
	loadShares           []float64
	loadFactor           float64          // current fraction of the offered load
	cutOffSince          map[string]int64 // by name of a process: true time since which it cannot reach the store
	processCount         int              // processes that the store lists at processCountRevision
	processCountRevision uint64

	rateRequests int // requests to the rate limit since the last reset
	rateAdmitted int
}

// Run simulates one seed. It is safe for concurrent use.
func Run(seed uint64, options Options) Result {
	if options.Sidecars == 0 {
		options.Sidecars = 8
	}
	if options.Faults == 0 {
		options.Faults = 48
	}
	if options.Gap == 0 {
		options.Gap = 200
	}
	if options.Load == 0 {
		options.Load = []float64{3, 1.5}[seed%2]
	}

	if options.Calm {
		options.Faults = 0
	}
	w := &world{options: options, queue: eventqueue.NewVirtual(), rng: rand.New(rand.NewPCG(seed, 0x6c696d697473)),
		reportedKinds: map[string]bool{}, leaseTimers: map[uint64]int64{}, checkers: map[string]*checker{},
		cutOffSince: map[string]int64{}, leaderClockRate: 1}
	w.result.Seed = seed
	// In half of all runs the clocks run at one rate, so that even a small excess over a limit is found. In the others
	// they run up to a tenth fast or slow, and the bounds are wider by as much.
	if w.maxClockRate = 1; seed/2%2 == 1 {
		w.maxClockRate = 1.1
	}
	limits := store.DefaultLimits
	limits.HistoryEvents = max(4096, 64*options.Sidecars)
	w.state = store.New(7, limits)
	w.state.Apply(1, &store.Command{RaiseLevel: &store.RaiseLevel{Level: store.Level}})
	w.index = 1
	w.setUp()
	end := second + int64(options.Faults)*int64(options.Gap)*milli
	for i := range options.Faults {
		w.queue.After(second+int64(i)*int64(options.Gap)*milli+w.rng.Int64N(int64(options.Gap)*milli/2), w.injectFault)
	}
	w.queue.After(end, w.endFaults)
	w.queue.After(end+calmMicros/2,
		func() { w.rateRequests, w.rateAdmitted = 0, 0; w.result.Entries, w.result.Bytes = 0, 0 })
	w.queue.After(end+calmMicros-1, w.measure)
	if options.Busy {
		w.queue.After(end+calmMicros, w.measureSingleBusy)
		end += 2 * calmMicros
	}
	w.queue.After(end+calmMicros, func() { w.finished = true })
	_ = w.queue.Run(context.Background(), func() bool { return w.finished })
	w.result.Micros = w.queue.Now()
	if w.result.Use < 0.3 {
		w.reportViolation("of no use", "%.2f of the rate limit is let through, %d ms after the last fault",
			w.result.Use, calmMicros/2/milli)
	}
	for _, j := range w.checkers {
		w.result.MaxUse, w.result.MaxExcess = max(w.result.MaxUse, j.maxUse), max(w.result.MaxExcess, j.maxExcess)
	}
	return w.result
}

// measure computes the use of the rate limit and the load on the store, from the counts of the second half of the calm
// period.
func (w *world) measure() {
	seconds := float64(calmMicros/2) / float64(second)
	w.result.Use = float64(w.rateAdmitted) / max(1,
		min(float64(w.rateRequests), seconds*float64(w.config.Limits[0].Nodes[0].Capacity)/float64(quota.AmountUnit)))
	w.result.EntriesPerS, w.result.BytesPerS = float64(w.result.Entries)/seconds, float64(w.result.Bytes)/seconds
}

// reportViolation adds a violation to the result, unless one of its kind is there already.
func (w *world) reportViolation(kind, format string, args ...any) {
	if !w.reportedKinds[kind] {
		w.reportedKinds[kind] = true
		w.result.Broken = append(w.result.Broken, kind+": "+fmt.Sprintf(format, args...))
	}
}

// setUp creates the limits, whose capacities grow with the fleet, and starts the processes.
func (w *world) setUp() {
	fleetSize := int64(w.options.Sidecars)
	scaled := func(perSidecar float64) quota.Amount {
		return quota.Amount(perSidecar * float64(fleetSize) * float64(quota.AmountUnit))
	}
	w.config = &quota.Config{Version: 1, Limits: []*quota.Limit{
		{Name: "rate", Generation: 1, Kind: quota.Rate, Unit: quota.Requests, Window: 100e6, Fallback: quota.Strict, Paths: []string{"/rate"}, PartitionBy: []string{"header:org", "header:agency"},
			Nodes: []quota.Node{{Capacity: scaled(60), Weight: 1},
				{Path: "a", Capacity: scaled(30), Guaranteed: scaled(12), Weight: 2},
				{Path: "b", Capacity: scaled(36), Weight: 1},
				{Path: "a/x", Parent: 1, Capacity: scaled(16), Guaranteed: scaled(3), Weight: 1}}},
		{Name: "window", Generation: 1, Kind: quota.Window, Unit: quota.Requests, Window: 1500e6,
			Fallback: quota.Strict, Paths: []string{"/window"}, Nodes: []quota.Node{{Capacity: scaled(12), Weight: 1}}},
		{Name: "long", Generation: 1, Kind: quota.Window, Unit: quota.Requests, Window: 5e9, Fallback: quota.Strict,
			Paths: []string{"/long"}, Nodes: []quota.Node{{Capacity: scaled(20), Weight: 1}}},
		{Name: "held", Generation: 1, Kind: quota.Concurrency, Unit: quota.Requests, Window: 150e6,
			Fallback: quota.Strict, Paths: []string{"/held"}, Nodes: []quota.Node{{Capacity: scaled(3), Weight: 1}}},
		{Name: "slow", Generation: 1, Kind: quota.Rate, Unit: quota.Requests, Window: 1e9, Fallback: quota.Strict,
			Paths: []string{"/slow"}, Nodes: []quota.Node{{Capacity: scaled(6), Weight: 1}}},
		{Name: "fair", Generation: 1, Kind: quota.Rate, Unit: quota.Requests, Window: 1e9, Fallback: quota.Fair,
			FallbackFraction: 0.5, MinProcesses: max(1, w.options.Sidecars/2), Paths: []string{"/fair"},
			Nodes: []quota.Node{{Capacity: scaled(8), Weight: 1}}},
		{Name: "open", Generation: 1, Kind: quota.Rate, Unit: quota.Requests, Window: 500e6, Fallback: quota.Open,
			FallbackTimeout: 300e6, Paths: []string{"/open"}, Nodes: []quota.Node{{Capacity: scaled(6), Weight: 1}}},
	}}
	if err := w.config.Check(); err != nil {
		panic(err)
	}
	w.matcher = quota.NewMatcher(w.config)
	for _, l := range w.config.Limits {
		for i := range l.Nodes {
			w.checkers[l.Key(i)] = newChecker(l, i, w.maxClockRate, w.options.Sidecars)
		}
	}
	w.shiftLoad()
	for i := range w.options.Sidecars {
		p := &proc{world: w, number: i, name: fmt.Sprintf("s%d", i)}
		w.procs = append(w.procs, p)
		w.queue.After(w.rng.Int64N(100*milli), p.start)
	}
	w.queue.After(10*milli, w.expireLeases)
	if !w.options.Calm {
		w.queue.After(second, w.burst)
	}
}

// shiftLoad draws the processes' shares of the load. It kills or cuts off some that were busy before, so that the
// quotas they hold have to be taken back.
func (w *world) shiftLoad() {
	previous := w.loadShares
	if w.loadFactor = 1; !w.options.Calm && !w.faultsOver && w.rng.IntN(3) == 0 {
		w.loadFactor = 0.05
	}
	w.loadShares = make([]float64, w.options.Sidecars)
	sum := 0.0
	for i := range w.loadShares {
		w.loadShares[i] = 1
		if !w.options.Even {
			if w.loadShares[i] = 0.05; w.loadFactor == 1 && w.rng.IntN(max(4, w.options.Sidecars/3)) == 0 {
				w.loadShares[i] = 0.5 + w.rng.Float64()
			}
		}
		sum += w.loadShares[i]
	}
	for i := range w.loadShares {
		w.loadShares[i] /= sum
		if previous != nil && !w.faultsOver && !w.options.Calm && previous[i] > 2/float64(w.options.Sidecars) &&
			w.rng.IntN(2) == 0 {
			if w.rng.IntN(3) == 0 {
				w.procs[i].start() // the previously busy process is killed,
				w.result.Kills++
			} else {
				w.procs[i].cutLinks(w.rng.IntN(2) == 0, true, w.rng.Int64N(ttlMillis*milli)) // or learns it late
			}
		}
	}
	if !w.options.Even {
		w.queue.After(second/4+w.rng.Int64N(second), func() {
			if !w.faultsOver {
				w.shiftLoad()
			}
		})
	}
}

// measureSingleBusy moves all load to the last process, and measures how long it takes to get four fifths of a limit.
func (w *world) measureSingleBusy() {
	for i := range w.loadShares {
		w.loadShares[i] = 1e-6
	}
	p := w.procs[len(w.procs)-1]
	w.loadShares[p.number] = 1
	l := w.config.Find("slow")
	startedAt := w.queue.Now()
	w.result.BusyMs = -1
	var poll func()
	poll = func() {
		for _, s := range p.consumer.Usage(p.now()) {
			if s.Key == l.Key(0) && s.Amount >= l.Nodes[0].Capacity*4/5 {
				w.result.BusyMs = (w.queue.Now() - startedAt) / milli
				return
			}
		}
		w.queue.After(5*milli, poll)
	}
	poll()
}

// ---- The store -------------------------------------------------------------

// apply applies a command to the store, and restarts the timer of a granted or renewed lease by the leader's clock.
func (w *world) apply(c *store.Command) store.Result {
	w.index++
	c.SinceIndex = 1
	r := w.state.Apply(w.index, c)
	w.result.Entries++
	if c.Txn != nil {
		for _, o := range c.Txn.Then {
			w.result.Bytes += len(o.Key) + len(o.Value)
		}
	}
	if r.Err == nil && (c.GrantLease != nil || c.RenewLease != nil) {
		w.leaseTimers[r.LeaseID] = w.leaderNow()
	}
	return r
}

func (w *world) leaderNow() int64 { return int64(float64(w.queue.Now()) * w.leaderClockRate) }

// expireLeases revokes the leases whose TTL has passed by the leader's clock, every 10 ms.
func (w *world) expireLeases() {
	defer w.queue.After(10*milli, w.expireLeases)
	if w.storeDown {
		return
	}
	for _, l := range w.state.Leases() {
		if w.leaderNow()-w.leaseTimers[l.ID] > int64(l.TTLMillis)*milli {
			w.apply(&store.Command{RevokeLease: &store.RevokeLease{LeaseID: l.ID, Expired: true, Renewals: l.Renewals}})
			delete(w.leaseTimers, l.ID)
		}
	}
}

// electLeader replaces the store's leader. The new one restarts the timers of all leases, by a clock of another rate.
func (w *world) electLeader() {
	w.leaderClockRate = 1/w.maxClockRate + w.rng.Float64()*(w.maxClockRate-1/w.maxClockRate)
	for id := range w.leaseTimers {
		w.leaseTimers[id] = w.leaderNow()
	}
}

// ---- Faults ----------------------------------------------------------------

// injectFault injects a drawn fault, for up to three session TTLs.
func (w *world) injectFault() {
	if w.faultsOver {
		return
	}
	p := w.procs[w.rng.IntN(len(w.procs))]
	for _, x := range w.procs { // hits the allocator more often than the other processes
		if x.allocates && w.rng.IntN(3) == 0 {
			p = x
		}
	}
	duration := w.rng.Int64N(3 * ttlMillis * milli)
	switch w.rng.IntN(8) {
	case 0, 1:
		p.stoppedUntil = w.queue.Now() + duration
		w.result.Stops++
	case 2:
		w.result.Kills++
		p.start()
	case 3: // its messages to the store are lost
		p.cutLinks(true, false, duration)
	case 4: // the store's messages to it are lost
		p.cutLinks(false, true, duration)
	case 5, 6: // cuts off several processes, sometimes until the others have been granted their quotas
		if w.rng.IntN(3) == 0 {
			duration *= 4
		}
		for _, x := range w.procs {
			if x == p || w.rng.IntN(3) == 0 {
				x.cutLinks(true, true, duration)
			}
		}
	case 7:
		if w.rng.IntN(2) == 0 {
			w.storeDown = true
			w.queue.After(duration, func() { w.storeDown = false; w.electLeader() })
			return
		}
		w.electLeader()
	}
	w.result.Cuts++
}

// endFaults ends all faults, and no more are injected.
func (w *world) endFaults() {
	w.faultsOver, w.storeDown, w.loadFactor = true, false, 1
	for _, p := range w.procs {
		p.receiveCutUntil, p.sendCutUntil = 0, 0
		delete(w.cutOffSince, p.name)
	}
}

// ---- Checks ----------------------------------------------------------------

// checker checks the requests that arrive at servers against one node of a limit, in true time.
type checker struct {
	limit     *quota.Limit
	node      int
	capacity  float64
	maxUse    float64
	maxExcess float64

	// fallbackFraction is the fraction of the capacity that cut-off sidecars may admit in addition, by
	// quota.Limit.UpperBound.
	fallbackFraction float64

	tokens, burst, refillRate float64 // Rate: a token bucket that is refilled by the fastest clock
	refilledAt                int64
	admissions                []admission // Window: those in the current window; Fair: the last one
	windowAmount              float64
	outstanding               float64 // Concurrency: amount in flight; Fair: level of the fallback's bucket, at most 0
}

// admission is an admitted request.
type admission struct {
	atMicros int64
	amount   float64
}

func newChecker(l *quota.Limit, node int, maxClockRate float64, sidecars int) *checker {
	capacity := float64(l.Nodes[node].Capacity) / float64(quota.AmountUnit)
	c := &checker{limit: l, node: node, capacity: capacity, burst: capacity * float64(l.Window) / 1e9,
		refillRate: capacity * maxClockRate}
	c.tokens = c.burst
	if l.Fallback == quota.Fair {
		base, _ := l.UpperBound(node, l.Window, 0, 0, 0)
		withFallback, _ := l.UpperBound(node, l.Window, 0, 0, sidecars)
		c.fallbackFraction = withFallback/base - 1
	}
	return c
}

// observe counts an admitted request, and describes the violation if it exceeds the limit; otherwise it returns "".
func (c *checker) observe(now int64, amount float64) string {
	switch c.limit.Kind {
	case quota.Rate:
		c.tokens = min(c.burst, c.tokens+c.refillRate*float64(now-c.refilledAt)/float64(second)) - amount
		c.refilledAt = now
		c.maxUse = max(c.maxUse, 1-c.tokens/c.burst)
		allowed := 0.0
		if c.limit.Fallback == quota.Fair { // cut-off processes have a bucket of their own, see below
			allowed = c.fallbackFraction
			if c.tokens < 0 {
				c.maxExcess = max(c.maxExcess, -c.tokens/c.capacity)
			}
			c.maxUse = 0
		}
		if c.limit.Fallback == quota.Open {
			c.maxUse = 0
			return ""
		}
		if allowed > 0 {
			// The excess is charged to the fallback's bucket, which starts full at outstanding = 0.
			if c.outstanding = min(0, c.outstanding+
				allowed*c.refillRate*float64(now-c.lastFallbackMicros())/float64(second)); c.tokens < 0 {
				c.outstanding += c.tokens
				c.tokens = 0
			}
			c.admissions = append(c.admissions[:0], admission{atMicros: now})
			if c.outstanding < -allowed*c.burst-1e-6 {
				return fmt.Sprintf("%.2f over what %g of it allows", -c.outstanding-allowed*c.burst, allowed)
			}
			return ""
		}
		if c.tokens < -1e-6 {
			return fmt.Sprintf("%.2f more than %g a second and %g at once", -c.tokens, c.capacity, c.burst)
		}
	case quota.Window:
		c.admissions, c.windowAmount = append(c.admissions, admission{now, amount}), c.windowAmount+amount
		for c.admissions[0].atMicros <= now-c.limit.Window/1000 {
			c.windowAmount -= c.admissions[0].amount
			c.admissions = c.admissions[1:]
		}
		c.maxUse = max(c.maxUse, c.windowAmount/c.capacity)
		if c.windowAmount > c.capacity+1e-6 {
			return fmt.Sprintf("%g in a window of %g", c.windowAmount, c.capacity)
		}
	default:
		c.outstanding += amount
		c.maxUse = max(c.maxUse, c.outstanding/c.capacity)
		if c.outstanding > c.capacity+1e-6 {
			return fmt.Sprintf("%g of %g at once", c.outstanding, c.capacity)
		}
	}
	return ""
}

// lastFallbackMicros returns the time of the last request to a fair limit, or 0.
func (c *checker) lastFallbackMicros() int64 {
	if len(c.admissions) == 0 {
		return 0
	}
	return c.admissions[0].atMicros
}

// checkAdmission checks a request that arrives at a server, against all nodes that it is charged to.
func (w *world) checkAdmission(p *proc, charge quota.Charge) {
	amount := float64(charge.Amount) / float64(quota.AmountUnit)
	w.result.Admitted++
	for node := charge.Node; ; node = charge.Limit.Nodes[node].Parent {
		j := w.checkers[charge.Limit.Key(node)]
		if violation := j.observe(w.queue.Now(), amount); violation != "" {
			w.reportViolation(charge.Limit.Name+" limit passed", "part %q, at %d ms, by %s: %s",
				charge.Limit.Nodes[node].Path, w.queue.Now()/milli, p.name, violation)
		}
		if node == 0 {
			break
		}
	}
	if since, isCutOff := w.cutOffSince[p.name]; isCutOff && charge.Limit.Fallback == quota.Open {
		// The TTL of its session and the fallback timeout have passed, by the slowest clock.
		if maxOpenMicros := int64((float64(ttlMillis)*float64(milli) +
			float64(charge.Limit.FallbackTimeout)/1000) * w.maxClockRate); w.queue.Now()-since > maxOpenMicros+milli {
			w.reportViolation("open without end", "%s lets through %d ms after it was cut off", p.name,
				(w.queue.Now()-since)/milli)
		}
	}
}

// checkCompletion counts the end of a request to a concurrency limit at the server.
func (w *world) checkCompletion(charge quota.Charge) {
	for node := charge.Node; ; node = charge.Limit.Nodes[node].Parent {
		w.checkers[charge.Limit.Key(node)].outstanding -= float64(charge.Amount) / float64(quota.AmountUnit)
		if node == 0 {
			return
		}
	}
}

var errLost = errors.New("no response from the store")
