package daemon

import (
	"context"
	"log/slog"
	"strings"
	"time"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/store"
	"birchmoor/internal/store/serverstate"
)

// Drains are reported like administrative drains, with three differences. A drain applies to a single process, so that
// no quorum has to confirm that the server returns to service: after a restart it is another process. All daemons
// observe a drain by discovery at about the same time, and one of them writes it for all (serverstate.ReportScheduler).
// Reports expire: while daemons observe the drain, one of them renews its report every drainRenewInterval; a report
// that was not renewed for drainRetention is deleted.
const (
	drainReportSpread  = 200 * time.Millisecond // over which the daemons' attempts to write a drain are spread
	drainRenewInterval = 4 * time.Minute
	drainRetention     = 10 * time.Minute
	maxDrains          = 4096 // draining processes that this daemon's discovery reports
)

// Drains replicates the drains of processes that the discovery of any daemon observes. It is a Component, and safe for
// concurrent use.
type Drains struct {
	exclusionReports[serverstate.Process]
	schedule *serverstate.ReportScheduler // decides when this daemon writes or renews the report of a key
	drainLog *drainLog                    // nil: drains are not logged
}

// NewDrains returns the component for a daemon, whose reports carry its name.
func NewDrains(name string, log *slog.Logger) *Drains {
	d := &Drains{
		exclusionReports: newExclusionReports[serverstate.Process](name, log),
		schedule: serverstate.NewReportScheduler(name, serverstate.ReportSchedule{
			Spread:        int64(drainReportSpread),
			RenewInterval: int64(drainRenewInterval),
			Retention:     int64(drainRetention),
			MaxObserved:   maxDrains,
		}),
	}
	d.guard.Restrict(isProcessDrain)
	d.parseKey = parseDrainKey
	d.serverID = func(p serverstate.Process) string { return p.ID }
	d.excluded = d.guard.IsDraining
	return d
}

// isProcessDrain reports whether an exclusion is the drain of a single process, not of a server.
func isProcessDrain(kind serverstate.ExclusionKind, server string) bool {
	_, ok := serverstate.ParseProcess(server)
	return ok && kind == serverstate.Drain
}

func drainKey(p serverstate.Process) string {
	return serverstate.ExclusionKey(serverstate.Drain, p.ServerName())
}

// parseDrainKey returns the process whose drain has a key. ok is false for any other key.
func parseDrainKey(key string) (serverstate.Process, bool) {
	server, ok := strings.CutPrefix(key, serverstate.ExclusionKey(serverstate.Drain, ""))
	if !ok {
		return serverstate.Process{}, false
	}
	return serverstate.ParseProcess(server)
}

// Event implements Component.
func (d *Drains) Event(e store.Event) {
	p, ok := parseDrainKey(e.Item.Key)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, key := d.now(time.Now()), drainKey(p)
	d.applyEvent(now, e)
	d.wakeAt(d.schedule.Committed(now, key, e.Revision, e.Deleted), now)
	d.logDrain(key)
	d.wakeUp()
}

// Reset implements Component.
func (d *Drains) Reset(s *store.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.applyReset(s); err != nil {
		d.log.Error("cannot apply a snapshot of the store to the drains", "error", err)
		return
	}
	draining := revisionsWithPrefix(s, serverstate.ExclusionKey(serverstate.Drain, ""))
	d.schedule.Reset(d.now(time.Now()), draining)
	for key := range draining {
		d.logDrain(key)
	}
	d.wakeUp()
}

// CaughtUp implements LogTailObserver.
func (d *Drains) CaughtUp() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, key := range d.guard.CaughtUp() {
		d.markDirty(key)
		d.logDrain(key)
	}
	d.wakeUp()
}

// Run implements Component.
func (d *Drains) Run(ctx context.Context) {
	if d.drainLog != nil {
		done := make(chan struct{})
		go func() {
			defer close(done)
			d.drainLog.run(ctx.Done())
		}()
		defer func() { <-done }()
	}
	d.run(ctx, d.enqueueRetries, func(ctx context.Context) {
		d.enqueueDue(time.Now())
		d.applyDirty(ctx)
	})
}

func (d *Drains) enqueueRetries() {
	for _, op := range d.takeRetries() {
		d.enqueueWrite(op)
	}
}

// DrainingProcesses lists the processes of which this daemon knows that they drain, for a sidecar that is about to
// serve.
func (d *Drains) DrainingProcesses() []discovery.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []discovery.Process
	for _, p := range d.guard.Draining() {
		all = append(all, discovery.Process(p))
	}
	return all
}

// OnDrain sets the function that applies the drains of other daemons' reports to the sidecar. It is called again for a
// drain until it returns no error.
func (d *Drains) OnDrain(apply func(ctx context.Context, p discovery.Process, drains bool) error) {
	d.mu.Lock()
	for _, p := range d.guard.Draining() {
		d.dirty[p] = true
	}
	d.mu.Unlock()
	d.subscribe(func(ctx context.Context, p serverstate.Process, drains bool) error {
		return apply(ctx, discovery.Process(p), drains)
	})
}

// ReportProcessDrain reports whether a process drains by the discovery of this daemon's sidecar. It does not block.
func (d *Drains) ReportProcessDrain(p discovery.Process, drains bool) {
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
		d.log.Error("cannot report a drain to other daemons: too many processes drain", "id", p.ID, "max", maxDrains)
	}
	d.wakeAt(due, now)
}

// enqueueDue queues the writes of the reports that are due and that no other daemon has written in the meantime.
func (d *Drains) enqueueDue(now time.Time) {
	for _, op := range d.dueReports(now) {
		d.enqueueWrite(op)
	}
}

func (d *Drains) dueReports(now time.Time) (ops []store.Op) {
	d.mu.Lock()
	defer d.mu.Unlock()
	keys, _ := d.schedule.Due(d.now(now))
	for _, key := range keys {
		p, _ := parseDrainKey(key)
		op, err := d.guard.Observe(serverstate.Drain, p.ServerName())
		switch {
		case err != nil:
			d.log.Error("cannot report a drain to other daemons", "id", p.ID, "error", err)
		case op != nil:
			ops = append(ops, *op)
		}
	}
	return ops
}

// enqueueWrite queues the write of a report that the guard proposed. If the write fails or the queue is full, the guard
// returns the report from TakeRetries again.
func (d *Drains) enqueueWrite(op store.Op) {
	d.enqueue(pendingWrite{
		key: op.Key,
		write: func(ctx context.Context) error {
			p, _ := parseDrainKey(op.Key)
			return d.propose(ctx, p, op)
		},
		done: func(ok bool) {
			d.guard.ProposalDone(op.Key, ok)
			d.logDrain(op.Key)
		},
	})
}

// propose writes a drain unless another daemon has written it in the meantime. If the drain's report was deleted in the
// meantime, propose returns ErrExcludedAgain, after which the guard proposes the drain again.
func (d *Drains) propose(ctx context.Context, p serverstate.Process, op store.Op) error {
	d.mu.Lock()
	committedRevision, pending := d.guard.DrainRevision(p), d.guard.Pending(op.Key)
	d.mu.Unlock()
	if !pending {
		return nil
	}
	result, err := d.store.Do(ctx, store.Command{Txn: &store.Txn{
		If:   []store.Compare{{Key: op.Key, ModRevision: committedRevision}},
		Then: []store.Op{op},
	}})
	if err != nil || result.Succeeded {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.guard.DrainRevision(p) == 0 {
		return ErrExcludedAgain
	}
	return nil
}

// Expired implements Expirer.
func (d *Drains) Expired(now time.Time) (txns []*store.Txn) {
	d.enqueueDue(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	_, expired := d.schedule.Due(d.now(now))
	for _, key := range expired {
		p, _ := parseDrainKey(key)
		if txn, err := d.guard.Readmit(serverstate.Drain, p.ServerName()); err == nil {
			txns = append(txns, txn)
		}
	}
	return txns
}
