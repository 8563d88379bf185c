package daemon

import (
	"context"
	"log/slog"
	"time"

	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/serverstate"
)

// That a process of a server began is told like a drain: all hear it, one writes it. It is never told again, for it says
// itself until when it matters, and then any daemon ends it. Until all voters know level 2 of commands nothing is written.
const (
	startReportSpread = 200 * time.Millisecond
	maxStarts         = serverstate.MaxStarts
)

// Starts are the processes of servers that began of late, by any daemon's word. It is a Part; any goroutine may use it.
type Starts struct {
	outbox
	reports  *serverstate.Starts
	schedule *serverstate.ReportScheduler
	bind     func(ctx context.Context, s core.Start) error
	dirty    map[serverstate.Process]bool // that the sidecar is to be told of
}

// NewStarts returns those of the daemon of a name.
func NewStarts(name string, log *slog.Logger) *Starts {
	return &Starts{outbox: newOutbox(name, log), reports: serverstate.NewStarts(name, maxStarts), dirty: map[serverstate.Process]bool{},
		schedule: serverstate.NewReportScheduler(name, serverstate.ReportSchedule{Spread: int64(startReportSpread), Retention: 1 << 62, MaxObserved: maxStarts})}
}

// Run is of Part.
func (d *Starts) Run(ctx context.Context) {
	d.run(ctx, func() {}, func(ctx context.Context) {
		d.enqueueDue(time.Now())
		d.bindDirty(ctx)
	})
}

// ReportStart takes what this daemon's sidecar saw begin, so long ago, and cold for so long. It does not wait.
func (d *Starts) ReportStart(p discovery.Process, ago, cold time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now(time.Now())
	if !d.reports.Observe(now, serverstate.Process(p), int64(ago), int64(cold)) {
		return
	}
	due, _ := d.schedule.Observe(now, serverstate.StartKey(serverstate.Process(p)))
	d.wakeAt(due, now)
}

// RecentStarts lists the processes that are cold yet, as far as is known here.
func (d *Starts) RecentStarts() []core.Start {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []core.Start
	d.reports.WarmingUp(d.now(time.Now()), func(p serverstate.Process, ago, _ int64, _ string, _ bool) {
		all = append(all, core.Start{Process: discovery.Process(p), Ago: time.Duration(ago)})
	})
	return all
}

// OnStart gives the way in which others' word that a process began counts in the sidecar.
func (d *Starts) OnStart(begun func(ctx context.Context, s core.Start) error) {
	d.mu.Lock()
	d.bind = begun
	d.mu.Unlock()
	d.wakeUp()
}

// Subscription is of Needy: all, as of drains.
func (d *Starts) Subscription() changefeed.Subscription { return subscribeTo(serverstate.StartPrefix) }

// Event is of Part.
func (d *Starts) Event(e store.Event) {
	if _, ok := serverstate.ParseStart(e.Item.Key); !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now(time.Now())
	if p, news := d.reports.Apply(now, e, 0); news {
		d.dirty[p] = true
		d.wakeUp()
	}
	d.schedule.Committed(now, e.Item.Key, e.Revision, e.Deleted)
}

// Reset is of Part. How long ago its words were written is not known: each counts as new, so that a process is
// held to be colder than it is and never warmer.
func (d *Starts) Reset(s *store.State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now(time.Now())
	s.Range(serverstate.StartPrefix, store.PrefixEnd(serverstate.StartPrefix), func(i store.Item) bool {
		if p, news := d.reports.Apply(now, store.Event{Revision: i.ModRevision, Item: i}, 0); news {
			d.dirty[p] = true
		}
		return true
	})
	d.schedule.Reset(now, revisionsWithPrefix(s, serverstate.StartPrefix))
	d.wakeUp()
}

// enqueueDue writes what it is this daemon's turn to tell.
func (d *Starts) enqueueDue(at time.Time) {
	now := d.now(at)
	d.mu.Lock()
	keys, _ := d.schedule.Due(now)
	var txns []*store.Txn
	for _, key := range keys {
		p, _ := serverstate.ParseStart(key)
		if t := d.reports.ReportTxn(now, p); t != nil {
			txns = append(txns, t)
		} else {
			d.schedule.Withdraw(key) // it is over
		}
	}
	d.mu.Unlock()
	for _, t := range txns {
		d.enqueue(pendingWrite{key: t.Then[0].Key, apply: func(ctx context.Context) error {
			_, err := d.store.Do(ctx, store.Command{Txn: t})
			return err
		}, done: func(ok bool) {
			if ok { // by this daemon or, if the comparison did not hold, by another
				d.schedule.Withdraw(t.Then[0].Key)
				return
			}
			now := d.now(time.Now())
			d.wakeAt(d.schedule.Retry(now, int64(retryInterval), t.Then[0].Key), now)
		}})
	}
}

// bindDirty has what others said count in the sidecar.
func (d *Starts) bindDirty(ctx context.Context) {
	d.mu.Lock()
	bind, now := d.bind, d.now(time.Now())
	var news []core.Start
	for p := range d.dirty {
		if ago, _, ok := d.reports.Lookup(now, p); ok && bind != nil {
			news = append(news, core.Start{Process: discovery.Process(p), Ago: time.Duration(ago)})
		}
	}
	if bind != nil {
		clear(d.dirty)
	}
	d.mu.Unlock()
	for _, s := range news {
		if err := bind(ctx, s); err != nil && ctx.Err() == nil {
			d.log.Error("what daemons saw begin does not count here", "id", s.Process.ID, "error", err)
		}
	}
}

// Expired is of Sweeper: it ends what matters no more.
func (d *Starts) Expired(now time.Time) (ends []*store.Txn) {
	d.enqueueDue(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.reports.Expired(d.now(now)) {
		d.schedule.Withdraw(serverstate.StartKey(p))
		if t := d.reports.DeleteTxn(p); t != nil {
			ends = append(ends, t)
		}
	}
	return ends
}

// facts are what is known of them.
func (d *Starts) facts() (all []ServerFact) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports.WarmingUp(d.now(time.Now()), func(p serverstate.Process, ago, left int64, who string, agreed bool) {
		all = append(all, ServerFact{ID: p.ID, Addr: p.Addr, StartedMs: p.StartedMs, Kind: "began", By: who, AgeMs: ago / 1e6, RemainingMs: left / 1e6, Committed: agreed})
	})
	return all
}

// count is how many are cold yet.
func (d *Starts) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reports.Len()
}
