package serverstate

import "birchmoor/internal/store"

const nanosPerMilli = 1e6

// Starts holds which processes of servers started recently, as this daemon observed and as the store says. A
// process starts once: while the first report of it is of use, a later one stems from an outdated endpoint list
// and changes nothing, so that a start is never moved. It is not safe for concurrent use; times are nanoseconds
// of the daemon's own clock.
type Starts struct {
	daemon    string
	starts    map[string]*startState // by key
	maxStarts int
}

// startState is what is known of one process that started.
type startState struct {
	startedAt         int64
	warmUntil         int64  // end of warming up
	observed          bool   // by this daemon
	committedRevision uint64 // of the store's report; 0: the store has none
	reportedBy        string
}

// NewStarts returns the starts of a daemon that knows of none. It holds at most maxStarts and ignores further ones.
func NewStarts(daemon string, maxStarts int) *Starts {
	return &Starts{daemon: daemon, starts: map[string]*startState{}, maxStarts: maxStarts}
}

// Observe takes a start that this daemon observed: the process started ago nanoseconds before now and warms up
// for warmup nanoseconds from its start. It reports whether that is news.
func (s *Starts) Observe(now int64, process Process, ago, warmup int64) bool {
	if ago < 0 || warmup <= ago {
		return false
	}
	key := StartKey(process)
	if start := s.starts[key]; start != nil && now < start.warmUntil {
		return false
	}
	start := s.entry(key)
	if start == nil {
		return false
	}
	start.observed = true
	start.set(now-ago, warmup, s.daemon)
	return true
}

// entry returns the state of a key, a new one if there is none, or nil if there are too many.
func (s *Starts) entry(key string) *startState {
	start := s.starts[key]
	if start != nil {
		return start
	}
	if len(s.starts) >= s.maxStarts {
		return nil
	}
	start = &startState{}
	s.starts[key] = start
	return start
}

func (s *startState) set(startedAt, warmup int64, reportedBy string) {
	s.startedAt = startedAt
	s.warmUntil = startedAt + warmup
	s.reportedBy = reportedBy
}

// ReportTxn is the transaction that reports a process to the store, or nil unless this daemon observed its
// start and it is still warming up.
func (s *Starts) ReportTxn(now int64, process Process) *store.Txn {
	key := StartKey(process)
	start := s.starts[key]
	if start == nil || !start.observed || now >= start.warmUntil {
		return nil
	}
	report := StartReport{
		ReportedBy:   s.daemon,
		AgoMillis:    (now - start.startedAt) / nanosPerMilli,
		WarmupMillis: (start.warmUntil - start.startedAt) / nanosPerMilli,
	}
	return &store.Txn{
		If:        []store.Compare{{Key: key, ModRevision: start.committedRevision}},
		Then:      []store.Op{{Key: key, Value: report.Encode()}},
		KeyLimits: []store.KeyLimit{{Prefix: StartPrefix, MaxKeys: MaxStarts}},
	}
}

// DeleteTxn is the transaction that deletes the store's report on a process, or nil if it has none.
func (s *Starts) DeleteTxn(process Process) *store.Txn {
	key := StartKey(process)
	start := s.starts[key]
	if start == nil || start.committedRevision == 0 {
		return nil
	}
	return &store.Txn{
		If:   []store.Compare{{Key: key, ModRevision: start.committedRevision}},
		Then: []store.Op{{Key: key, Delete: true}},
	}
}

// Apply takes a committed change of the store that was made late nanoseconds ago, 0 if that is not known. It
// returns the process, and whether what is known of it changed.
func (s *Starts) Apply(now int64, event store.Event, late int64) (process Process, changed bool) {
	key := event.Item.Key
	process, ok := ParseStart(key)
	if !ok {
		return process, false
	}
	if event.Deleted {
		s.applyDeletion(key)
		return process, false
	}
	report, err := DecodeStartReport(event.Item.Value)
	if err != nil {
		return process, false
	}
	start := s.entry(key)
	if start == nil {
		return process, false
	}
	start.committedRevision = event.Revision
	if now < start.warmUntil {
		return process, false
	}
	start.observed = false
	start.set(now-late-report.AgoMillis*nanosPerMilli, report.WarmupMillis*nanosPerMilli, report.ReportedBy)
	return process, now < start.warmUntil
}

// applyDeletion forgets what the store said of a key. What this daemon observed stays.
func (s *Starts) applyDeletion(key string) {
	start := s.starts[key]
	if start == nil {
		return
	}
	start.committedRevision = 0
	if !start.observed {
		delete(s.starts, key)
	}
}

// WarmingUp calls visit for each process that is still warming up, with how long ago it started and how long it
// still warms up, in nanoseconds. The order is random.
func (s *Starts) WarmingUp(now int64, visit func(process Process, ago, left int64, reportedBy string, committed bool)) {
	for key, start := range s.starts {
		process, ok := ParseStart(key)
		if ok && now < start.warmUntil {
			visit(process, now-start.startedAt, start.warmUntil-now, start.reportedBy, start.committedRevision > 0)
		}
	}
}

// Lookup returns how long ago a process started and how long it still warms up, in nanoseconds. ok is false if
// it does not.
func (s *Starts) Lookup(now int64, process Process) (ago, left int64, ok bool) {
	start := s.starts[StartKey(process)]
	if start == nil || now >= start.warmUntil {
		return 0, 0, false
	}
	return now - start.startedAt, start.warmUntil - now, true
}

// Expired returns the processes that have warmed up and on which the store still has a report. It forgets those
// on which the store has none.
func (s *Starts) Expired(now int64) (expired []Process) {
	for key, start := range s.starts {
		if now < start.warmUntil {
			continue
		}
		process, ok := ParseStart(key)
		if !ok || start.committedRevision == 0 {
			delete(s.starts, key)
			continue
		}
		expired = append(expired, process)
	}
	return expired
}

// Len is the number of processes that are held, warmed up or not.
func (s *Starts) Len() int { return len(s.starts) }
