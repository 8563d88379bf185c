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

// The start of a server's process is reported like a drain: all daemons observe it, and one of them writes it. The
// report is never renewed, since it contains how long the process warms up; after that any daemon deletes it. No report
// is written until all voters support level 2 of the store's commands.
const (
	startReportSpread = 200 * time.Millisecond // over which the daemons' attempts to write a start are spread
	noExpiry          = 1 << 62                // nanoseconds; ReportScheduler expires no reports, see Starts.Expired
)

// Starts replicates the starts of servers' processes that any daemon observed, while they are warming up. It is a
// Component, and safe for concurrent use.
type Starts struct {
	outbox
	reports  *serverstate.Starts
	schedule *serverstate.ReportScheduler // decides when this daemon writes a report
	dirty    map[serverstate.Process]bool // starts that are not applied to the sidecar yet
	// applyToSidecar applies a start to the sidecar. It is nil until OnStart sets it.
	applyToSidecar func(ctx context.Context, s core.ProcessStart) error
}

// NewStarts returns the component for a daemon, whose reports carry its name.
func NewStarts(name string, log *slog.Logger) *Starts {
	return &Starts{
		outbox:  newOutbox(name, log),
		reports: serverstate.NewStarts(name, serverstate.MaxStarts),
		dirty:   map[serverstate.Process]bool{},
		schedule: serverstate.NewReportScheduler(name, serverstate.ReportSchedule{
			Spread:      int64(startReportSpread),
			Retention:   noExpiry,
			MaxObserved: serverstate.MaxStarts,
		}),
	}
}

// Run implements Component.
func (s *Starts) Run(ctx context.Context) {
	noRetries := func() {} // writeDone schedules failed writes again
	s.run(ctx, noRetries, func(ctx context.Context) {
		s.enqueueDue(time.Now())
		s.applyDirty(ctx)
	})
}

// ReportStart reports a start that this daemon's sidecar observed, the time since then, and how long the process warms
// up from its start. It does not block.
func (s *Starts) ReportStart(p discovery.Process, age, warmUp time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now(time.Now())
	if !s.reports.Observe(now, serverstate.Process(p), int64(age), int64(warmUp)) {
		return
	}
	due, _ := s.schedule.Observe(now, serverstate.StartKey(serverstate.Process(p)))
	s.wakeAt(due, now)
}

// RecentStarts lists the processes of which this daemon knows that they are still warming up.
func (s *Starts) RecentStarts() []core.ProcessStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []core.ProcessStart
	s.reports.WarmingUp(s.now(time.Now()), func(p serverstate.Process, age, _ int64, _ string, _ bool) {
		all = append(all, core.ProcessStart{Process: discovery.Process(p), Age: time.Duration(age)})
	})
	return all
}

// OnStart sets the function that applies the starts of other daemons' reports to the sidecar.
func (s *Starts) OnStart(apply func(ctx context.Context, s core.ProcessStart) error) {
	s.mu.Lock()
	s.applyToSidecar = apply
	s.mu.Unlock()
	s.wakeUp()
}

// Subscription implements Subscriber. It covers all servers, for the same reason as that of drains.
func (s *Starts) Subscription() changefeed.Subscription { return subscribeTo(serverstate.StartPrefix) }

// Event implements Component.
func (s *Starts) Event(e store.Event) {
	if _, ok := serverstate.ParseStart(e.Item.Key); !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now(time.Now())
	if p, changed := s.reports.Apply(now, e, 0); changed {
		s.dirty[p] = true
		s.wakeUp()
	}
	s.schedule.Committed(now, e.Item.Key, e.Revision, e.Deleted)
}

// Reset implements Component. How long ago the reports of the copy were written is not known. Each counts as written
// now, so that a process counts as warming up for too long rather than too short a time.
func (s *Starts) Reset(state *store.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now(time.Now())
	state.Range(serverstate.StartPrefix, store.PrefixEnd(serverstate.StartPrefix), func(i store.Item) bool {
		if p, changed := s.reports.Apply(now, store.Event{Revision: i.ModRevision, Item: i}, 0); changed {
			s.dirty[p] = true
		}
		return true
	})
	s.schedule.Reset(now, revisionsWithPrefix(state, serverstate.StartPrefix))
	s.wakeUp()
}

// enqueueDue queues the writes of the reports that are due and that no other daemon has written in the meantime.
func (s *Starts) enqueueDue(now time.Time) {
	for _, txn := range s.dueReports(s.now(now)) {
		s.enqueue(pendingWrite{
			key: txn.Then[0].Key,
			write: func(ctx context.Context) error {
				_, err := s.store.Do(ctx, store.Command{Txn: txn})
				return err
			},
			done: func(ok bool) { s.writeDone(txn.Then[0].Key, ok) },
		})
	}
}

func (s *Starts) dueReports(now int64) (txns []*store.Txn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys, _ := s.schedule.Due(now)
	for _, key := range keys {
		p, _ := serverstate.ParseStart(key)
		txn := s.reports.ReportTxn(now, p)
		if txn == nil {
			s.schedule.Withdraw(key) // the process has warmed up
			continue
		}
		txns = append(txns, txn)
	}
	return txns
}

// writeDone ends the schedule of a report that is written, or schedules a failed one again. The caller holds the lock.
func (s *Starts) writeDone(key string, ok bool) {
	if ok { // written by this daemon or, if the transaction's comparison failed, by another
		s.schedule.Withdraw(key)
		return
	}
	now := s.now(time.Now())
	s.wakeAt(s.schedule.Retry(now, int64(retryInterval), key), now)
}

// applyDirty applies the starts of other daemons' reports to the sidecar. Starts stay dirty until OnStart was called;
// one that cannot be applied is logged and not tried again.
func (s *Starts) applyDirty(ctx context.Context) {
	apply, starts := s.takeDirty()
	for _, start := range starts {
		if err := apply(ctx, start); err != nil && ctx.Err() == nil {
			s.log.Error("cannot apply the start of a server's process to this sidecar",
				"id", start.Process.ID, "error", err)
		}
	}
}

// takeDirty returns the function that applies starts, and the dirty starts that are still warming up, and clears those.
func (s *Starts) takeDirty() (apply func(ctx context.Context, s core.ProcessStart) error, starts []core.ProcessStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.applyToSidecar == nil {
		return nil, nil
	}
	now := s.now(time.Now())
	for p := range s.dirty {
		if age, _, ok := s.reports.Lookup(now, p); ok {
			starts = append(starts, core.ProcessStart{Process: discovery.Process(p), Age: time.Duration(age)})
		}
	}
	clear(s.dirty)
	return s.applyToSidecar, starts
}

// Expired implements Expirer.
func (s *Starts) Expired(now time.Time) (txns []*store.Txn) {
	s.enqueueDue(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.reports.Expired(s.now(now)) {
		s.schedule.Withdraw(serverstate.StartKey(p))
		if txn := s.reports.DeleteTxn(p); txn != nil {
			txns = append(txns, txn)
		}
	}
	return txns
}

// facts lists the facts of the processes that are still warming up.
func (s *Starts) facts() (all []ServerFact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add := func(p serverstate.Process, age, remaining int64, reportedBy string, committed bool) {
		all = append(all, ServerFact{
			ID:          p.ID,
			Addr:        p.Addr,
			StartedMs:   p.StartedMs,
			Kind:        factStarted,
			ReportedBy:  reportedBy,
			AgeMs:       age / int64(time.Millisecond),
			RemainingMs: remaining / int64(time.Millisecond),
			Committed:   committed,
		})
	}
	s.reports.WarmingUp(s.now(time.Now()), add)
	return all
}

// startCount returns the number of starts that this daemon holds, until Expired removes those that have warmed up.
func (s *Starts) startCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports.Len()
}
