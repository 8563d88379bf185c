package limitsim

import (
	"errors"
	"fmt"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/store"
)

// proc is the process of a sidecar and its daemon.
type proc struct {
	world                *world
	number               int
	name                 string
	clockRate            float64 // of its clock, relative to true time
	clockOrigin          int64   // true time at which its clock shows 0
	boot                 int     // number of starts; steps of an earlier start do nothing
	stoppedUntil         int64   // true time until which it is stopped
	sendCutUntil         int64   // true time until which its messages to the store are lost
	receiveCutUntil      int64   // true time until which the store's messages to it are lost
	session              *lease.Session
	table                *lease.Table
	consumer             *quota.Consumer
	allocator            *quota.Allocator
	copyRevision         uint64 // revision of its copy of the store
	seq                  uint64
	reportInFlight       bool
	queueEntry           string // key of its queue entry for the allocator's task; empty: none
	queueEntryGeneration uint64 // generation of the session of the queue entry
	queueRetryAt         int64  // true time from which a missing queue entry is proposed again
	allocates            bool   // it holds the allocator's task
	allocationInFlight   bool   // a proposed allocation has not been answered
}

const (
	allocatorTask = "limits"
	replicas      = 3
)

// countProcesses returns the number of processes whose demand is in the store.
func (w *world) countProcesses() int {
	if revision := w.state.Revision(); w.processCountRevision != revision {
		w.processCountRevision, w.processCount = revision, 0
		w.state.Range(quota.DemandPrefix, store.PrefixEnd(quota.DemandPrefix),
			func(store.Item) bool { w.processCount++; return true })
	}
	return w.processCount
}

// start starts the process, or kills it and starts it again.
func (p *proc) start() {
	w := p.world
	p.boot++
	if _, isCutOff := w.cutOffSince[p.name]; isCutOff {
		w.cutOffSince[p.name] = w.queue.Now() // the new process may use its fallback from its start
	}
	p.clockRate, p.clockOrigin, p.stoppedUntil = 1/w.maxClockRate+(w.maxClockRate-1/w.maxClockRate)*w.rng.Float64(),
		w.queue.Now()-w.rng.Int64N(3600*second), 0
	p.session = lease.NewSession(lease.Rules{TTL: ttlMillis * 1e6, MaxClockSkew: maxClockSkew, Margin: 2e6},
		w.options.Defects.Session)
	p.table = lease.NewTable(lease.NoTableDefect)
	rules := quota.Rules{MaxClockSkew: maxClockSkew, ReportInterval: 50e6, ReportIntervalPerProcess: 2e6}
	p.consumer, p.allocator = quota.NewConsumer(rules, w.options.Defects.Limit),
		quota.NewAllocator(rules, w.options.Defects.Limit)
	p.consumer.SetConfig(p.now(), w.config)
	p.allocator.SetConfig(w.config)
	p.copyRevision, p.reportInFlight, p.queueEntry, p.queueRetryAt, p.allocates, p.allocationInFlight = 0, false, "", 0,
		false, false
	p.schedule(0, p.renew)
	p.schedule(0, p.copy)
	p.schedule(0, p.report)
	p.schedule(0, p.allocate)
	p.schedule(0, p.generateLoad)
}

// now returns the time of the process's own clock, in nanoseconds.
func (p *proc) now() int64 {
	return int64(float64(p.world.queue.Now()-p.clockOrigin)*p.clockRate*1000) + 1
}

// schedule calls f after some microseconds of true time, once the process is not stopped, and not at all if it is
// killed before.
func (p *proc) schedule(after int64, f func()) {
	boot := p.boot
	p.world.queue.After(after, func() {
		switch {
		case p.boot != boot:
		case p.world.queue.Now() < p.stoppedUntil:
			p.schedule(p.stoppedUntil-p.world.queue.Now()+1, f)
		default:
			f()
		}
	})
}

// cutLinks loses the process's messages to the store, or those from it, or both, for some microseconds.
func (p *proc) cutLinks(sends, receives bool, duration int64) {
	w := p.world
	until := w.queue.Now() + duration
	if sends {
		p.sendCutUntil = max(p.sendCutUntil, until)
	}
	if receives {
		p.receiveCutUntil = max(p.receiveCutUntil, until)
	}
	if _, isCutOff := w.cutOffSince[p.name]; sends && !isCutOff {
		w.cutOffSince[p.name] = w.queue.Now() + 100*milli // messages in flight still arrive
		var reconnect func()
		reconnect = func() {
			if w.queue.Now() < p.sendCutUntil {
				w.queue.After(p.sendCutUntil-w.queue.Now(), reconnect)
				return
			}
			delete(w.cutOffSince, p.name)
		}
		w.queue.After(duration, reconnect)
	}
}

// propose sends a command to the store and calls handle once, with the response or with errLost after half a TTL. The
// request and the response may be late or lost.
func (p *proc) propose(c store.Command, handle func(store.Result, error)) {
	w := p.world
	p.seq++
	c.ID = store.RequestID{Client: uint64(p.number+1)<<20 + uint64(p.boot), Seq: p.seq}
	answered, boot := false, p.boot
	respond := func(r store.Result, err error) {
		if !answered && p.boot == boot {
			answered = true
			handle(r, err)
		}
	}
	p.schedule(ttlMillis*milli/2, func() { respond(store.Result{}, errLost) })
	drawDelay := func() int64 {
		switch n := w.rng.IntN(40); {
		case w.faultsOver:
		case n == 0: // it arrives long after its sender has timed out
			return w.rng.Int64N(3 * ttlMillis * milli)
		case n < 5:
			return w.rng.Int64N(ttlMillis * milli)
		}
		return 500 + w.rng.Int64N(4*milli)
	}
	if w.queue.Now() < p.sendCutUntil {
		return
	}
	w.queue.After(drawDelay(), func() {
		if w.storeDown {
			return
		}
		r := w.apply(&c)
		if w.queue.Now() < p.receiveCutUntil || !w.faultsOver && w.rng.IntN(20) == 0 {
			return
		}
		p.schedule(drawDelay(), func() { respond(r, r.Err) })
	})
}

// renew runs the loop that grants and renews the session.
func (p *proc) renew() {
	request, due := p.session.Next(p.now())
	switch request {
	case lease.NoRequest:
		p.schedule(max(milli, int64(float64(due-p.now())/p.clockRate/1000)), p.renew)
		return
	case lease.GrantRequest:
		p.propose(store.Command{GrantLease: &store.GrantLease{TTLMillis: ttlMillis, Owner: p.name}}, p.handleRenewal)
	case lease.RenewRequest:
		p.propose(store.Command{RenewLease: &store.RenewLease{LeaseID: p.session.ID(), Owner: p.name}}, p.handleRenewal)
	}
}

func (p *proc) handleRenewal(r store.Result, err error) {
	outcome := lease.Succeeded
	switch {
	case errors.Is(err, store.ErrLeaseNotFound):
		outcome = lease.SessionNotFound
		p.world.result.SessionsLost++
	case err != nil:
		outcome = lease.OutcomeUnknown
	}
	p.session.HandleResponse(p.now(), outcome, r.LeaseID)
	p.consumer.SetSession(p.now(), p.session.ID(), p.session.ValidUntil())
	p.schedule(0, p.renew)
}

// copy brings the process's copy of the store up to date, at random intervals.
func (p *proc) copy() {
	w := p.world
	if w.queue.Now() >= p.receiveCutUntil && w.state.Revision() > p.copyRevision {
		events, _, err := w.state.Changes(nil, "", p.copyRevision, 1<<30)
		if p.copyRevision == 0 || err != nil {
			if p.number < replicas {
				p.table.Reset(w.state)
				p.allocator.Reset(p.now(), w.state)
			}
			if me := p.process(); me.Session != 0 {
				if i, ok := w.state.Get(me.GrantKey()); ok {
					p.applyGrant(i)
				}
			}
		} else {
			own := p.process().GrantKey()
			for _, e := range events {
				if p.number < replicas {
					p.table.Event(e)
					p.allocator.Event(p.now(), e)
				}
				if !e.Deleted && e.Item.Key == own {
					p.applyGrant(e.Item)
				}
			}
		}
		p.copyRevision = w.state.Revision()
		p.consumer.SetProcessCount(w.countProcesses())
	}
	delay := 2*milli + w.rng.Int64N(15*milli)
	if !w.faultsOver && w.rng.IntN(50) == 0 {
		delay += w.rng.Int64N(ttlMillis * milli / 2)
	}
	p.schedule(delay, p.copy)
}

func (p *proc) process() quota.Process { return quota.Process{Host: p.name, Session: p.session.ID()} }

func (p *proc) applyGrant(i store.Item) {
	g, err := quota.DecodeGrant(i.Value)
	if err != nil {
		panic(err)
	}
	p.consumer.ApplyGrant(p.now(), p.session.ID(), i.ModRevision, g)
}

// report proposes the process's demand, with the quotas that it acknowledges, whenever it is due.
func (p *proc) report() {
	defer p.schedule(10*milli, p.report)
	demand, due, _ := p.consumer.Demand(p.now())
	if !due || p.reportInFlight || p.session.ID() == 0 || p.now() >= p.session.ValidUntil() {
		return
	}
	p.reportInFlight = true
	p.consumer.ReportSent(p.now(), demand)
	me := p.process()
	p.propose(store.Command{Txn: &store.Txn{Owner: p.name,
		Then: []store.Op{{Key: me.DemandKey(), Value: quota.Encode(demand), LeaseID: me.Session}}}},
		func(_ store.Result, err error) {
			if p.reportInFlight = false; err != nil {
				p.consumer.ReportFailed()
			}
		})
}

// allocate queues for the allocator's task and proposes allocations while the process holds it. Only the daemons with
// replicas take part.
func (p *proc) allocate() {
	w := p.world
	defer p.schedule(20*milli, p.allocate)
	if p.number >= replicas { // this daemon has no replica
		return
	}
	live := p.session.ID() != 0 && p.now() < p.session.ValidUntil()
	if p.queueEntry != "" && p.queueEntryGeneration != p.session.Generation() {
		p.queueEntry = ""
	}
	if !live {
		p.allocates = false
		return
	}
	_, _, queued := p.table.Find(allocatorTask, p.queueEntry)
	if !queued && w.queue.Now() > p.queueRetryAt { // a message was lost: proposes the same entry again
		if p.queueEntry == "" {
			p.seq++
			p.queueEntry, p.queueEntryGeneration = lease.QueueEntryKey(allocatorTask, p.name,
				fmt.Sprintf("%d.%d", p.boot, p.seq)), p.session.Generation()
		}
		p.queueRetryAt = w.queue.Now() + ttlMillis*milli/2
		id := p.session.ID()
		p.propose(store.Command{Txn: &store.Txn{Owner: p.name, If: []store.Compare{{Key: p.queueEntry}},
			Then: []store.Op{{Key: p.queueEntry, Value: fmt.Appendf(nil, `{"session":%d}`, id), LeaseID: id}}}},
			func(store.Result, error) {})
		return
	}
	token, holds := p.table.Holds(allocatorTask, p.queueEntry)
	if holds && !p.allocates {
		w.result.Allocators++
	}
	if p.allocates = holds; !holds || p.allocationInFlight {
		return
	}
	allocation := p.allocator.Allocate(p.now())
	if allocation == nil {
		return
	}
	w.result.Allocations++
	p.allocationInFlight = true
	txn := &store.Txn{If: append([]store.Compare{{Key: p.queueEntry, ModRevision: token}}, allocation.If...),
		Then: allocation.Then}
	if w.options.Defects.Limit == quota.UncheckedRevision {
		txn.If = nil
	}
	p.propose(store.Command{Txn: txn}, func(store.Result, error) { p.allocationInFlight = false })
}

var paths = []string{"/rate", "/rate", "/rate", "/rate", "/rate", "/rate", "/rate", "/rate", "/rate", "/rate", "/window", "/window", "/window", "/held", "/held", "/fair", "/fair", "/slow", "/slow", "/slow", "/open", "/long"}

// generateLoad sends the requests of this sidecar's clients, one at a time.
func (p *proc) generateLoad() {
	w := p.world
	// rate is in requests per second.
	rate := w.loadFactor * w.loadShares[p.number] * float64(w.options.Sidecars) * w.options.Load * 110
	defer p.schedule(int64(w.rng.ExpFloat64()/rate*float64(second))+1, p.generateLoad)
	p.request(paths[w.rng.IntN(len(paths))])
}

// burst sends more requests to one limit than it admits, at one sidecar or at all, as when requests have waited for a
// while. A sidecar stops after eight rejections in a row.
func (w *world) burst() {
	if w.faultsOver {
		return
	}
	defer w.queue.After(w.rng.Int64N(second/2), w.burst)
	path := []string{"/rate", "/window", "/held", "/fair", "/slow", "/slow", "/open"}[w.rng.IntN(7)]
	one, all := w.procs[w.rng.IntN(len(w.procs))], w.rng.IntN(2) == 0
	for _, p := range w.procs {
		if all || p == one {
			p.schedule(w.rng.Int64N(5*milli), func() {
				for sent, rejected := 0, 0; sent < 200 && rejected < 8; sent++ {
					if rejected++; p.request(path) {
						rejected = 0
					}
				}
			})
		}
	}
}

// request sends a request through the sidecar, and returns whether it was admitted.
func (p *proc) request(path string) bool {
	w := p.world
	w.result.Requests++
	r := quota.Request{Path: path}
	org, agency := []string{"a", "a", "b"}[w.rng.IntN(3)], []string{"x", "x", "y"}[w.rng.IntN(3)]
	r.Header = func(name string) string {
		if name == "org" {
			return org
		}
		return agency
	}
	charges := w.matcher.Match(nil, &r)
	reservation, rejection := p.consumer.Reserve(p.now(), charges, 1)
	if r.Path == "/rate" {
		if w.rateRequests++; rejection == nil {
			w.rateAdmitted++
		}
	}
	if rejection != nil {
		if rejection.RetryAfter <= 0 {
			w.reportViolation("no time to come back", "%+v", rejection)
		}
		return false
	}
	if w.rng.IntN(40) == 0 { // the request is cancelled before it is sent, and the sidecar learns it a while later
		p.schedule(w.rng.Int64N(30*milli), func() { p.consumer.Cancel(p.now(), reservation) })
		return true
	}
	for _, c := range charges {
		if _, live := w.state.Lease(p.session.ID()); !live && c.Limit.Fallback == quota.Strict {
			w.reportViolation("used after its end", "%s lets through by a session that the store has ended", p.name)
		}
		w.checkAdmission(p, c)
		if c.Limit.Kind == quota.Concurrency {
			duration := c.Limit.Window / 1000 * int64(40+w.rng.IntN(60)) / 100
			w.queue.After(duration, func() { w.checkCompletion(c) }) // also if the process is killed
			p.schedule(duration, func() { p.consumer.Complete(p.now(), reservation) })
			return true
		}
	}
	p.consumer.Complete(p.now(), reservation)
	return true
}
