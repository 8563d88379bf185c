package daemon

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/serverstate"
)

// Drains travel like bans, but for three things. They are of a process, so that nobody has to agree that a server serves
// again: a new start is another process. All daemons hear a drain from discovery at about the same time, and one of them
// writes it (policy.Turns). And they end by rule: who hears a drain sees to it that it is told again every drainRenew, one
// write for all, and what nobody has told for drainKept is over.
const (
	drainReportSpread  = 200 * time.Millisecond
	drainRenewInterval = 4 * time.Minute
	drainRetention     = 10 * time.Minute
	maxDrains          = 4096 // processes that drain, by this daemon's discovery
)

// Drains are the processes that drain by any daemon's discovery. It is a Part; any goroutine may use it.
type Drains struct {
	outbox
	guard    *serverstate.Guard
	bind     func(ctx context.Context, p discovery.Process, drains bool) error
	dirty    map[serverstate.Process]bool // that the sidecar is to be told of
	arrivals arrivalTimes
	schedule *serverstate.ReportScheduler // by key
	drainLog *drainLog                    // nil where nothing is kept
}

// NewDrains returns those of the daemon of a name.
func NewDrains(name string, log *slog.Logger) *Drains {
	d := &Drains{outbox: newOutbox(name, log), guard: serverstate.NewGuard(name), dirty: map[serverstate.Process]bool{}, arrivals: arrivalTimes{},
		schedule: serverstate.NewReportScheduler(name, serverstate.ReportSchedule{Spread: int64(drainReportSpread), RenewInterval: int64(drainRenewInterval), Retention: int64(drainRetention), MaxObserved: maxDrains})}
	d.guard.Restrict(isProcessDrain)
	return d
}

// isProcessDrain says whether a server that is out is a process that drains.
func isProcessDrain(kind serverstate.Kind, server string) bool {
	_, ok := serverstate.ParseProcess(server)
	return ok && kind == serverstate.Drain
}

func drainKey(p serverstate.Process) string {
	return serverstate.ExclusionKey(serverstate.Drain, p.ServerName())
}

// parseDrainKey reads a key that tells of a drain.
func parseDrainKey(key string) (serverstate.Process, bool) {
	server, ok := strings.CutPrefix(key, serverstate.ExclusionKey(serverstate.Drain, ""))
	if !ok {
		return serverstate.Process{}, false
	}
	return serverstate.ParseProcess(server)
}

// markDirty notes that the sidecar is to be told of a key. The lock is held.
func (d *Drains) markDirty(key string) {
	if p, ok := parseDrainKey(key); ok {
		d.dirty[p] = true
	}
}

// Subscription is of Needy: all, whatever servers the list tells of. One that it does not tell of yet may come with its next word, and
// must not be sent anything in the moment until the copy knows of its drain.
func (d *Drains) Subscription() changefeed.Subscription {
	return subscribeTo(serverstate.ExclusionPrefix)
}

// Event is of Part.
func (d *Drains) Event(e store.Event) {
	p, ok := parseDrainKey(e.Item.Key)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, key := d.now(time.Now()), drainKey(p)
	d.guard.Apply(e)
	d.arrivals.applyEvent(now, e)
	d.dirty[p] = true
	d.wakeAt(d.schedule.Committed(now, key, e.Revision, e.Deleted), now)
	d.logDrain(key)
	d.wakeUp()
}

// markAllDirty notes that all that is out is to be told to the sidecar again. The lock is held.
func (d *Drains) markAllDirty() {
	for _, o := range d.guard.Exclusions() {
		d.markDirty(serverstate.ExclusionKey(o.Kind, o.Server))
	}
}

// Reset is of Part.
func (d *Drains) Reset(s *store.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markAllDirty()
	if err := d.guard.Reset(s); err != nil {
		d.log.Error("the store's copy is not acted on", "error", err)
		return
	}
	d.markAllDirty()
	d.arrivals.retain(s)
	drained := revisionsWithPrefix(s, serverstate.ExclusionKey(serverstate.Drain, ""))
	d.schedule.Reset(d.now(time.Now()), drained)
	for key := range drained {
		d.logDrain(key)
	}
	d.wakeUp()
}

// Uncommitted is of Tail.
func (d *Drains) Uncommitted(c *store.Command) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, key := range d.guard.Uncommitted(c) {
		d.markDirty(key)
	}
}

// CaughtUp is of Tail.
func (d *Drains) CaughtUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, key := range d.guard.CaughtUp() {
		d.markDirty(key)
		d.logDrain(key)
	}
	d.wakeUp()
}

// Run is of Part.
func (d *Drains) Run(ctx context.Context) {
	if d.drainLog != nil {
		done := make(chan struct{})
		go func() { defer close(done); d.drainLog.run(ctx.Done()) }()
		defer func() { <-done }()
	}
	d.run(ctx, d.enqueueOwed, func(ctx context.Context) {
		d.enqueueDue(time.Now())
		d.bindDirty(ctx)
	})
}

func (d *Drains) enqueueOwed() {
	d.mu.Lock()
	owed := d.guard.TakeRetries()
	d.mu.Unlock()
	for _, op := range owed {
		d.enqueueWrite(op)
	}
}

// DrainingProcesses lists the processes that drained by the store's copy here: a start knows them before it serves.
func (d *Drains) DrainingProcesses() []discovery.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []discovery.Process
	for _, p := range d.guard.Draining() {
		all = append(all, discovery.Process(p))
	}
	return all
}

// OnDrain gives the way in which what others heard binds in the sidecar.
func (d *Drains) OnDrain(bind func(ctx context.Context, p discovery.Process, drains bool) error) {
	d.mu.Lock()
	d.bind = bind
	for _, p := range d.guard.Draining() {
		d.dirty[p] = true
	}
	d.mu.Unlock()
	d.wakeUp()
}

// Observe takes what this sidecar's discovery says of a process. It does not wait.
func (d *Drains) Observe(p discovery.Process, drains bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	key, now := drainKey(serverstate.Process(p)), d.now(time.Now())
	defer d.logDrain(key)
	if !drains {
		d.schedule.Withdraw(key)
		return
	}
	due, full := d.schedule.Observe(now, key)
	if full {
		d.log.Error("other daemons are not told of a drain: too many processes drain", "id", p.ID, "most", maxDrains)
	}
	d.wakeAt(due, now)
}

// enqueueDue writes what it is this daemon's turn to tell.
func (d *Drains) enqueueDue(now time.Time) {
	d.mu.Lock()
	keys, _ := d.schedule.Due(d.now(now))
	var ops []store.Op
	for _, key := range keys {
		p, _ := parseDrainKey(key)
		op, err := d.guard.Observe(serverstate.Drain, p.ServerName())
		if err != nil {
			d.log.Error("other daemons are not told of a drain", "id", p.ID, "error", err)
		} else if op != nil {
			ops = append(ops, *op)
		}
	}
	d.mu.Unlock()
	for _, op := range ops {
		d.enqueueWrite(op)
	}
}

// enqueueWrite leaves a word of the guard's to be written; if there is no room it stays owed.
func (d *Drains) enqueueWrite(op store.Op) {
	d.enqueue(pendingWrite{key: op.Key, done: func(ok bool) {
		d.guard.ProposalDone(op.Key, ok)
		d.logDrain(op.Key)
	}, apply: func(ctx context.Context) error {
		p, _ := parseDrainKey(op.Key)
		return d.propose(ctx, p, op)
	}})
}

// propose writes a drain, if nobody has written it since. What was ended meanwhile is an error: it is owed again.
func (d *Drains) propose(ctx context.Context, p serverstate.Process, op store.Op) error {
	d.mu.Lock()
	agreed, over := d.guard.DrainRevision(p), !d.guard.Pending(op.Key)
	d.mu.Unlock()
	if over {
		return nil
	}
	r, err := d.store.Do(ctx, store.Command{Txn: &store.Txn{If: []store.Compare{{Key: op.Key, ModRevision: agreed}}, Then: []store.Op{op}}})
	if err != nil || r.Succeeded {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.guard.DrainRevision(p) == 0 {
		return ErrExcludedAgain
	}
	return nil
}

// bindDirty makes bind in the sidecar what has changed.
func (d *Drains) bindDirty(ctx context.Context) {
	d.mu.Lock()
	bind := d.bind
	if bind == nil {
		d.mu.Unlock()
		return
	}
	now := map[serverstate.Process]bool{}
	for p := range d.dirty {
		now[p] = d.guard.IsDraining(p)
	}
	clear(d.dirty)
	d.mu.Unlock()
	for p, drains := range now {
		if err := bind(ctx, discovery.Process(p), drains); err != nil && ctx.Err() == nil {
			d.log.Error("what daemons heard of a drain does not bind here", "id", p.ID, "drains", drains, "error", err)
			d.mu.Lock()
			d.dirty[p] = true
			d.mu.Unlock()
		}
	}
}

// Expired is of Sweeper.
func (d *Drains) Expired(now time.Time) (ends []*store.Txn) {
	d.enqueueDue(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	_, over := d.schedule.Due(d.now(now))
	for _, key := range over {
		p, _ := parseDrainKey(key)
		if t, err := d.guard.Readmit(serverstate.Drain, p.ServerName()); err == nil {
			ends = append(ends, t)
		}
	}
	return ends
}

// Exclusions lists the processes that drain, by whose word and how old that is.
func (d *Drains) Exclusions() []serverstate.Exclusion {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.arrivals.setAges(d.now(time.Now()), d.guard.Exclusions())
}
