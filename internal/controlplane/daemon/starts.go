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

// The start of a server's process is reported like a drain: all daemons observe it and one writes it. It is never
// renewed, since the report says until when it matters; after that any daemon ends it. Nothing is written until all
// voters know level 2 of commands.
const (
	startReportSpread = 200 * time.Millisecond
	noExpiry          = 1 << 62 // nanoseconds: reports end by their own time
)

// Starts are the processes of servers that started a short while ago, as reported by any daemon. It is a Component, and
// safe for concurrent use.
type Starts struct {
	outbox
	reports  *serverstate.Starts
	schedule *serverstate.ReportScheduler
	dirty    map[serverstate.Process]bool // starts that are not applied to the sidecar yet
	// bind applies the start to the sidecar; nil until one subscribes.
	bind func(ctx context.Context, s core.ProcessStart) error
}

// NewStarts returns those of the daemon with a name.
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
	nothingOwed := func() {} // failed writes are scheduled again
	s.run(ctx, nothingOwed, func(ctx context.Context) {
		s.enqueueDue(time.Now())
		s.bindDirty(ctx)
	})
}

// ReportStart takes a start that this daemon's sidecar observed, its age, and how long the process is warming up in
// all. It does not block.
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

// RecentStarts lists the processes that are still warming up by this copy.
func (s *Starts) RecentStarts() []core.ProcessStart {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []core.ProcessStart
	s.reports.WarmingUp(s.now(time.Now()), func(p serverstate.Process, age, _ int64, _ string, _ bool) {
		all = append(all, core.ProcessStart{Process: discovery.Process(p), Age: time.Duration(age)})
	})
	return all
}

// OnStart sets how the starts that other daemons observed are applied to the sidecar.
func (s *Starts) OnStart(bind func(ctx context.Context, s core.ProcessStart) error) {
	s.mu.Lock()
	s.bind = bind
	s.mu.Unlock()
	s.wakeUp()
}

// Subscription implements Subscriber. It covers all servers, like that of drains.
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

// Reset implements Component. The age of the copy's reports is not known. Each counts as new, so that a process is
// taken to be warming up for too long rather than not long enough.
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

// enqueueDue queues the reports that are this daemon's to write now.
func (s *Starts) enqueueDue(at time.Time) {
	for _, txn := range s.dueReports(s.now(at)) {
		s.enqueue(pendingWrite{
			key: txn.Then[0].Key,
			apply: func(ctx context.Context) error {
				_, err := s.store.Do(ctx, store.Command{Txn: txn})
				return err
			},
			done: func(ok bool) { s.written(txn.Then[0].Key, ok) },
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
			s.schedule.Withdraw(key) // it does not matter any more
			continue
		}
		txns = append(txns, txn)
	}
	return txns
}

// written notes the result of a write. The lock is held.
func (s *Starts) written(key string, ok bool) {
	if ok { // by this daemon or, if the comparison failed, by another
		s.schedule.Withdraw(key)
		return
	}
	now := s.now(time.Now())
	s.wakeAt(s.schedule.Retry(now, int64(retryInterval), key), now)
}

// bindDirty applies to the sidecar what other daemons reported. Until one subscribes starts stay dirty.
func (s *Starts) bindDirty(ctx context.Context) {
	bind, starts := s.takeDirty()
	for _, start := range starts {
		if err := bind(ctx, start); err != nil && ctx.Err() == nil {
			s.log.Error("cannot apply a replicated start here", "id", start.Process.ID, "error", err)
		}
	}
}

func (s *Starts) takeDirty() (bind func(ctx context.Context, s core.ProcessStart) error, starts []core.ProcessStart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bind == nil {
		return nil, nil
	}
	now := s.now(time.Now())
	for p := range s.dirty {
		if age, _, ok := s.reports.Lookup(now, p); ok {
			starts = append(starts, core.ProcessStart{Process: discovery.Process(p), Age: time.Duration(age)})
		}
	}
	clear(s.dirty)
	return s.bind, starts
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

// facts lists the processes that are still warming up.
func (s *Starts) facts() (all []ServerFact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add := func(p serverstate.Process, age, remaining int64, reportedBy string, committed bool) {
		all = append(all, ServerFact{
			ID:          p.ID,
			Addr:        p.Addr,
			StartedMs:   p.StartedMs,
			Kind:        factStarted,
			By:          reportedBy,
			AgeMs:       age / int64(time.Millisecond),
			RemainingMs: remaining / int64(time.Millisecond),
			Committed:   committed,
		})
	}
	s.reports.WarmingUp(s.now(time.Now()), add)
	return all
}

// count returns the number of processes that are still warming up.
func (s *Starts) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reports.Len()
}
