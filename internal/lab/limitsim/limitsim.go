// Package limitsim plays a fleet that shares limits in virtual time: processes with clocks of their own rate, which are stopped, killed
// and cut one way; a store whose answers are late, lost or come after the fact, whose leader changes and which is away for a while; and
// dividers that lose their task in the middle. All of it comes from one seed.
//
// What servers see is judged in true time at each request, by what a limit says alone: so much in any time of any length, in any window,
// at once, for the whole and each of its parts, also without the store; and that limits are of use again once all is well.
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

// Options say what is played.
type Options struct {
	Sidecars int     // 8
	Faults   int     // that are caused, one after the other; 48
	Gap      int     // milliseconds between two; 200
	Load     float64 // of what limits let through in all, beside bursts; 3 or 1.5 by the seed
	Calm     bool    // no faults
	Busy     bool    // at the end all but one become quiet, and how long it takes until that has four fifths of a limit is measured
	Even     bool    // what is asked for is spread evenly, and does not move
	Plant    Plant
}

// Plant is a fault that is put in.
type Plant struct {
	Limit   quota.Defect
	Session lease.Defect
}

// Result is what came of it.
type Result struct {
	Seed     uint64   `json:"seed"`
	Broken   []string `json:"broken"` // the first of each kind
	Asked    int      `json:"asked"`
	Let      int      `json:"let_through"`
	Entries  int      `json:"entries"` // of the store's log
	Bytes    int      `json:"bytes"`   // of what limits write in it
	Turns    int      `json:"divisions"`
	Dividers int      `json:"dividers"`
	Lost     int      `json:"sessions_lost"`
	Kills    int      `json:"kills"`
	Cuts     int      `json:"cuts"`
	Stops    int      `json:"stops"`
	Micros   int64    `json:"virtual_us"`
	Use      float64  `json:"use"`               // of the rate limit, by what is wanted of it, after the last fault
	Near     float64  `json:"near"`              // the nearest that servers' counts came to the bound of a limit that is never passed
	Over     float64  `json:"over"`              // the most by which a fair limit was passed, by its amount
	BusyMs   int64    `json:"busy_ms,omitempty"` // until the busy one had four fifths; -1: it did not
	EntriesS float64  `json:"entries_per_s"`
	BytesS   float64  `json:"bytes_per_s"`
}

const (
	milli   = int64(1000) // µs
	second  = eventqueue.Second
	ttl     = 600 // ms of sessions
	skew    = 0.25
	calmFor = 6 * second
)

type world struct {
	o         Options
	q         *eventqueue.Queue
	rng       *rand.Rand
	r         Result
	kinds     map[string]bool
	state     *store.State
	index     uint64
	pace      float64 // of the leader's clock
	fast      float64 // the fastest clock, by true time
	timers    map[uint64]int64
	away      bool
	conf      *quota.Config
	match     *quota.Matcher
	nodes     []*proc
	judges    map[string]*judge
	clean     bool
	over      bool
	hot       []float64
	lull      float64          // part of the load that there is for now
	open      map[string]int64 // since when a process cannot reach the store, in true time
	counted   int              // processes, at a revision of the store
	countedAt uint64

	want int // of the rate limit, since the last fault was over
	got  int
}

// Run plays one seed.
func Run(seed uint64, o Options) Result {
	if o.Sidecars == 0 {
		o.Sidecars = 8
	}
	if o.Faults == 0 {
		o.Faults = 48
	}
	if o.Gap == 0 {
		o.Gap = 200
	}
	if o.Load == 0 {
		o.Load = []float64{3, 1.5}[seed%2]
	}

	if o.Calm {
		o.Faults = 0
	}
	w := &world{o: o, q: eventqueue.NewVirtual(), rng: rand.New(rand.NewPCG(seed, 0x6c696d697473)), kinds: map[string]bool{}, timers: map[uint64]int64{},
		judges: map[string]*judge{}, open: map[string]int64{}, pace: 1}
	w.r.Seed = seed
	// In half of all runs clocks run at one rate, so that a little over the limit shows; in the others up to a tenth fast or slow.
	if w.fast = 1; seed/2%2 == 1 {
		w.fast = 1.1
	}
	limits := store.DefaultLimits
	limits.HistoryEvents = max(4096, 64*o.Sidecars)
	w.state = store.New(7, limits)
	w.state.Apply(1, &store.Command{RaiseLevel: &store.RaiseLevel{Level: store.Level}})
	w.index = 1
	w.begin()
	end := second + int64(o.Faults)*int64(o.Gap)*milli
	for i := range o.Faults {
		w.q.After(second+int64(i)*int64(o.Gap)*milli+w.rng.Int64N(int64(o.Gap)*milli/2), w.cause)
	}
	w.q.After(end, w.heal)
	w.q.After(end+calmFor/2, func() { w.want, w.got = 0, 0; w.r.Entries, w.r.Bytes = 0, 0 })
	w.q.After(end+calmFor-1, w.sum)
	if o.Busy {
		w.q.After(end+calmFor, w.oneIsBusy)
		end += 2 * calmFor
	}
	w.q.After(end+calmFor, func() { w.over = true })
	_ = w.q.Run(context.Background(), func() bool { return w.over })
	w.r.Micros = w.q.Now()
	if w.r.Use < 0.3 {
		w.broken("of no use", "%.2f of the rate limit is let through, %d ms after the last fault", w.r.Use, calmFor/2/milli)
	}
	for _, j := range w.judges {
		w.r.Near, w.r.Over = max(w.r.Near, j.near), max(w.r.Over, j.passed)
	}
	return w.r
}

// sum says of what use the rate limit is, and what limits cost the store, of the time before.
func (w *world) sum() {
	seconds := float64(calmFor/2) / float64(second)
	w.r.Use = float64(w.got) / max(1, min(float64(w.want), seconds*float64(w.conf.Limits[0].Nodes[0].Capacity)/float64(quota.AmountUnit)))
	w.r.EntriesS, w.r.BytesS = float64(w.r.Entries)/seconds, float64(w.r.Bytes)/seconds
}

func (w *world) broken(kind, format string, args ...any) {
	if !w.kinds[kind] {
		w.kinds[kind] = true
		w.r.Broken = append(w.r.Broken, kind+": "+fmt.Sprintf(format, args...))
	}
}

// begin makes limits whose amounts grow with the fleet, and its processes.
func (w *world) begin() {
	n := int64(w.o.Sidecars)
	a := func(of float64) quota.Amount { return quota.Amount(of * float64(n) * float64(quota.AmountUnit)) }
	w.conf = &quota.Config{Version: 1, Limits: []*quota.Limit{
		{Name: "rate", Generation: 1, Kind: quota.Rate, Unit: quota.Requests, Window: 100e6, Fallback: quota.Strict, Paths: []string{"/rate"}, PartitionBy: []string{"header:org", "header:agency"},
			Nodes: []quota.Node{{Capacity: a(60), Weight: 1}, {Path: "a", Capacity: a(30), Guaranteed: a(12), Weight: 2}, {Path: "b", Capacity: a(36), Weight: 1},
				{Path: "a/x", Parent: 1, Capacity: a(16), Guaranteed: a(3), Weight: 1}}},
		{Name: "window", Generation: 1, Kind: quota.Window, Unit: quota.Requests, Window: 1500e6, Fallback: quota.Strict, Paths: []string{"/window"}, Nodes: []quota.Node{{Capacity: a(12), Weight: 1}}},
		{Name: "long", Generation: 1, Kind: quota.Window, Unit: quota.Requests, Window: 5e9, Fallback: quota.Strict, Paths: []string{"/long"}, Nodes: []quota.Node{{Capacity: a(20), Weight: 1}}},
		{Name: "held", Generation: 1, Kind: quota.Concurrency, Unit: quota.Requests, Window: 150e6, Fallback: quota.Strict, Paths: []string{"/held"}, Nodes: []quota.Node{{Capacity: a(3), Weight: 1}}},
		{Name: "slow", Generation: 1, Kind: quota.Rate, Unit: quota.Requests, Window: 1e9, Fallback: quota.Strict, Paths: []string{"/slow"}, Nodes: []quota.Node{{Capacity: a(6), Weight: 1}}},
		{Name: "fair", Generation: 1, Kind: quota.Rate, Unit: quota.Requests, Window: 1e9, Fallback: quota.Fair, FallbackFraction: 0.5, MinProcesses: max(1, w.o.Sidecars/2), Paths: []string{"/fair"}, Nodes: []quota.Node{{Capacity: a(8), Weight: 1}}},
		{Name: "open", Generation: 1, Kind: quota.Rate, Unit: quota.Requests, Window: 500e6, Fallback: quota.Open, FallbackTimeout: 300e6, Paths: []string{"/open"}, Nodes: []quota.Node{{Capacity: a(6), Weight: 1}}},
	}}
	if err := w.conf.Check(); err != nil {
		panic(err)
	}
	w.match = quota.NewMatcher(w.conf)
	for _, l := range w.conf.Limits {
		for i := range l.Nodes {
			w.judges[l.Key(i)] = newJudge(l, i, w.fast, w.o.Sidecars)
		}
	}
	w.shift()
	for i := range w.o.Sidecars {
		p := &proc{w: w, number: i, name: fmt.Sprintf("s%d", i)}
		w.nodes = append(w.nodes, p)
		w.q.After(w.rng.Int64N(100*milli), p.start)
	}
	w.q.After(10*milli, w.tick)
	if !w.o.Calm {
		w.q.After(second, w.burst)
	}
}

// shift draws who is busy.
func (w *world) shift() {
	was := w.hot
	if w.lull = 1; !w.o.Calm && !w.clean && w.rng.IntN(3) == 0 {
		w.lull = 0.05
	}
	w.hot = make([]float64, w.o.Sidecars)
	sum := 0.0
	for i := range w.hot {
		w.hot[i] = 1
		if !w.o.Even {
			if w.hot[i] = 0.05; w.lull == 1 && w.rng.IntN(max(4, w.o.Sidecars/3)) == 0 {
				w.hot[i] = 0.5 + w.rng.Float64()
			}
		}
		sum += w.hot[i]
	}
	for i := range w.hot {
		w.hot[i] /= sum
		if was != nil && !w.clean && !w.o.Calm && was[i] > 2/float64(w.o.Sidecars) && w.rng.IntN(2) == 0 {
			if w.rng.IntN(3) == 0 {
				w.nodes[i].start() // who was busy is killed,
				w.r.Kills++
			} else {
				w.nodes[i].cut(w.rng.IntN(2) == 0, true, w.rng.Int64N(ttl*milli)) // or hears it late
			}
		}
	}
	if !w.o.Even {
		w.q.After(second/4+w.rng.Int64N(second), func() {
			if !w.clean {
				w.shift()
			}
		})
	}
}

// oneIsBusy has all but the last become quiet, and looks for when that has four fifths of a limit.
func (w *world) oneIsBusy() {
	for i := range w.hot {
		w.hot[i] = 1e-6
	}
	p := w.nodes[len(w.nodes)-1]
	w.hot[p.number] = 1
	l := w.conf.Find("slow")
	begun := w.q.Now()
	w.r.BusyMs = -1
	var look func()
	look = func() {
		for _, s := range p.holder.Usage(p.now()) {
			if s.Key == l.Key(0) && s.Amount >= l.Nodes[0].Capacity*4/5 {
				w.r.BusyMs = (w.q.Now() - begun) / milli
				return
			}
		}
		w.q.After(5*milli, look)
	}
	look()
}

// ---- The store -------------------------------------------------------------

// apply does a command, and keeps the time of leases as its leader does.
func (w *world) apply(c *store.Command) store.Result {
	w.index++
	c.SinceIndex = 1
	r := w.state.Apply(w.index, c)
	w.r.Entries++
	if c.Txn != nil {
		for _, o := range c.Txn.Then {
			w.r.Bytes += len(o.Key) + len(o.Value)
		}
	}
	if r.Err == nil && (c.GrantLease != nil || c.RenewLease != nil) {
		w.timers[r.LeaseID] = w.leaderNow()
	}
	return r
}

func (w *world) leaderNow() int64 { return int64(float64(w.q.Now()) * w.pace) }

// tick ends sessions that fell silent, by the leader's clock.
func (w *world) tick() {
	defer w.q.After(10*milli, w.tick)
	if w.away {
		return
	}
	for _, l := range w.state.Leases() {
		if w.leaderNow()-w.timers[l.ID] > int64(l.TTLMillis)*milli {
			w.apply(&store.Command{RevokeLease: &store.RevokeLease{LeaseID: l.ID, Expired: true, Renewals: l.Renewals}})
			delete(w.timers, l.ID)
		}
	}
}

// elect has another leader, who begins the time of all leases anew.
func (w *world) elect() {
	w.pace = 1/w.fast + w.rng.Float64()*(w.fast-1/w.fast)
	for id := range w.timers {
		w.timers[id] = w.leaderNow()
	}
}

// ---- Faults ----------------------------------------------------------------

func (w *world) cause() {
	if w.clean {
		return
	}
	p := w.nodes[w.rng.IntN(len(w.nodes))]
	for _, x := range w.nodes { // who divides more often than chance has it
		if x.divides && w.rng.IntN(3) == 0 {
			p = x
		}
	}
	long := w.rng.Int64N(3 * ttl * milli)
	switch w.rng.IntN(8) {
	case 0, 1:
		p.stopped = w.q.Now() + long
		w.r.Stops++
	case 2:
		w.r.Kills++
		p.start()
	case 3: // what it sends is lost
		p.cut(true, false, long)
	case 4: // what it is sent is lost
		p.cut(false, true, long)
	case 5, 6: // a part of all, sometimes until the others have what it had
		if w.rng.IntN(3) == 0 {
			long *= 4
		}
		for _, x := range w.nodes {
			if x == p || w.rng.IntN(3) == 0 {
				x.cut(true, true, long)
			}
		}
	case 7:
		if w.rng.IntN(2) == 0 {
			w.away = true
			w.q.After(long, func() { w.away = false; w.elect() })
			return
		}
		w.elect()
	}
	w.r.Cuts++
}

func (w *world) heal() {
	w.clean, w.away, w.lull = true, false, 1
	for _, p := range w.nodes {
		p.deaf, p.mute = 0, 0
		delete(w.open, p.name)
	}
}

// ---- What servers see ------------------------------------------------------

// judge holds one node of a limit against what comes to servers, in true time.
type judge struct {
	l      *quota.Limit
	node   int
	most   float64
	near   float64
	passed float64

	fallback float64 // the fraction that sidecars may admit beside it while all are cut off, by the limit's upper bound

	level, burst, rate float64 // Rate: a bucket that is filled by the fastest clock
	at                 int64
	log                []seen // Window
	sum                float64
	held               float64
}

type seen struct {
	at int64
	of float64
}

func newJudge(l *quota.Limit, node int, fast float64, sidecars int) *judge {
	of := float64(l.Nodes[node].Capacity) / float64(quota.AmountUnit)
	j := &judge{l: l, node: node, most: of, burst: of * float64(l.Window) / 1e9, rate: of * fast}
	j.level = j.burst
	if l.Fallback == quota.Fair {
		within, _ := l.UpperBound(node, l.Window, 0, 0, 0)
		beyond, _ := l.UpperBound(node, l.Window, 0, 0, sidecars)
		j.fallback = beyond/within - 1
	}
	return j
}

// seen takes a request, and says what it breaks.
func (j *judge) seen(now int64, of float64) string {
	switch j.l.Kind {
	case quota.Rate:
		j.level = min(j.burst, j.level+j.rate*float64(now-j.at)/float64(second)) - of
		j.at = now
		j.near = max(j.near, 1-j.level/j.burst)
		allowed := 0.0
		if j.l.Fallback == quota.Fair { // a second bucket, of the part
			allowed = j.fallback
			if j.level < 0 {
				j.passed = max(j.passed, -j.level/j.most)
			}
			j.near = 0
		}
		if j.l.Fallback == quota.Open {
			j.near = 0
			return ""
		}
		if allowed > 0 {
			// Over by a part for as long as processes are away: by its own bucket, which begins full.
			if j.held = min(0, j.held+allowed*j.rate*float64(now-j.log0())/float64(second)); j.level < 0 {
				j.held += j.level
				j.level = 0
			}
			j.log = append(j.log[:0], seen{at: now})
			if j.held < -allowed*j.burst-1e-6 {
				return fmt.Sprintf("%.2f over what %g of it allows", -j.held-allowed*j.burst, allowed)
			}
			return ""
		}
		if j.level < -1e-6 {
			return fmt.Sprintf("%.2f more than %g a second and %g at once", -j.level, j.most, j.burst)
		}
	case quota.Window:
		j.log, j.sum = append(j.log, seen{now, of}), j.sum+of
		for j.log[0].at <= now-j.l.Window/1000 {
			j.sum -= j.log[0].of
			j.log = j.log[1:]
		}
		j.near = max(j.near, j.sum/j.most)
		if j.sum > j.most+1e-6 {
			return fmt.Sprintf("%g in a window of %g", j.sum, j.most)
		}
	default:
		j.held += of
		j.near = max(j.near, j.held/j.most)
		if j.held > j.most+1e-6 {
			return fmt.Sprintf("%g of %g at once", j.held, j.most)
		}
	}
	return ""
}

func (j *judge) log0() int64 {
	if len(j.log) == 0 {
		return 0
	}
	return j.log[0].at
}

// come is a request that servers see.
func (w *world) come(p *proc, c quota.Charge) {
	of := float64(c.Amount) / float64(quota.AmountUnit)
	w.r.Let++
	for at := c.Node; ; at = c.Limit.Nodes[at].Parent {
		j := w.judges[c.Limit.Key(at)]
		if what := j.seen(w.q.Now(), of); what != "" {
			w.broken(c.Limit.Name+" limit passed", "part %q, at %d ms, by %s: %s", c.Limit.Nodes[at].Path, w.q.Now()/milli, p.name, what)
		}
		if at == 0 {
			break
		}
	}
	if since, is := w.open[p.name]; is && c.Limit.Fallback == quota.Open {
		// Its session and the time for which it may go on are over, by the slowest clock.
		if over := int64((float64(ttl)*float64(milli) + float64(c.Limit.FallbackTimeout)/1000) * w.fast); w.q.Now()-since > over+milli {
			w.broken("open without end", "%s lets through %d ms after it was cut off", p.name, (w.q.Now()-since)/milli)
		}
	}
}

func (w *world) gone(c quota.Charge) {
	for at := c.Node; ; at = c.Limit.Nodes[at].Parent {
		w.judges[c.Limit.Key(at)].held -= float64(c.Amount) / float64(quota.AmountUnit)
		if at == 0 {
			return
		}
	}
}

var errLost = errors.New("no answer")
