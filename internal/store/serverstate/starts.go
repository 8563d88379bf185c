package serverstate

import "birchmoor/internal/store"

const nanosPerMilli = 1e6

// Starts tracks the processes of servers that started recently, as observed by this daemon or reported by the store. A
// process starts only once: while its first report is in effect, a later report comes from an outdated endpoint list
// and is ignored, so that the start time of a process never moves. Starts is not safe for concurrent use. Times are
// nanoseconds of the daemon's own clock.
type Starts struct {
	daemon    string
	starts    map[string]*startState // by key
	maxStarts int
}

// startState is the state of one process that started.
type startState struct {
	startedAt         int64
	warmupEndsAt      int64  // when the process has warmed up
	observed          bool   // this daemon observed the start
	committedRevision uint64 // revision of the store's report; 0: the store has none
	reportedBy        string
}

// NewStarts returns an empty Starts, which holds at most maxStarts processes and ignores further ones. daemon is the
// name under which it reports starts.
func NewStarts(daemon string, maxStarts int) *Starts {
	return &Starts{daemon: daemon, starts: map[string]*startState{}, maxStarts: maxStarts}
}

// Observe records a start that this daemon observed: the process started age nanoseconds before now and is warming up
// for warmup nanoseconds from its start. It reports whether the start was recorded: it is not if it is known, if age is
// invalid, if the process has warmed up, or if maxStarts is reached.
func (s *Starts) Observe(now int64, process Process, age, warmup int64) bool {
	if age < 0 || warmup <= age {
		return false
	}
	key := StartKey(process)
	if start := s.starts[key]; start != nil && now < start.warmupEndsAt {
		return false
	}
	start := s.findOrAdd(key)
	if start == nil {
		return false
	}
	start.observed = true
	start.set(now-age, warmup, s.daemon)
	return true
}

// findOrAdd returns the state of a key. If there is none it adds one, or returns nil if maxStarts is reached.
func (s *Starts) findOrAdd(key string) *startState {
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
	s.warmupEndsAt = startedAt + warmup
	s.reportedBy = reportedBy
}

// ReportTxn returns the transaction that reports the start of a process to the store. It returns nil unless this daemon
// observed the start and the process is still warming up.
func (s *Starts) ReportTxn(now int64, process Process) *store.Txn {
	key := StartKey(process)
	start := s.starts[key]
	if start == nil || !start.observed || now >= start.warmupEndsAt {
		return nil
	}
	report := StartReport{
		ReportedBy:   s.daemon,
		AgeMillis:    (now - start.startedAt) / nanosPerMilli,
		WarmupMillis: (start.warmupEndsAt - start.startedAt) / nanosPerMilli,
	}
	return &store.Txn{
		If:        []store.Compare{{Key: key, ModRevision: start.committedRevision}},
		Then:      []store.Op{{Key: key, Value: report.Encode()}},
		KeyLimits: []store.KeyLimit{{Prefix: StartPrefix, MaxKeys: MaxStarts}},
	}
}

// DeleteTxn returns the transaction that deletes the store's report of a process, or nil if the store has none.
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

// Apply applies a committed change of the store that was made sinceChange nanoseconds ago, 0 if that is not known. It
// returns the process, and whether the process is newly known to be warming up.
func (s *Starts) Apply(now int64, event store.Event, sinceChange int64) (process Process, changed bool) {
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
	start := s.findOrAdd(key)
	if start == nil {
		return process, false
	}
	start.committedRevision = event.Revision
	if now < start.warmupEndsAt {
		return process, false
	}
	start.observed = false
	start.set(now-sinceChange-report.AgeMillis*nanosPerMilli, report.WarmupMillis*nanosPerMilli, report.ReportedBy)
	return process, now < start.warmupEndsAt
}

// applyDeletion forgets the store's report of a key. A start that this daemon observed stays.
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

// WarmingUp calls visit for each process that is still warming up, in random order. age is the time since its start and
// remaining the time until it has warmed up, both in nanoseconds.
func (s *Starts) WarmingUp(
	now int64, visit func(process Process, age, remaining int64, reportedBy string, committed bool),
) {
	for key, start := range s.starts {
		process, ok := ParseStart(key)
		if ok && now < start.warmupEndsAt {
			visit(process, now-start.startedAt, start.warmupEndsAt-now, start.reportedBy, start.committedRevision > 0)
		}
	}
}

// Lookup returns the time since a process started and the time until it has warmed up, in nanoseconds. ok is false if
// the process is not warming up.
func (s *Starts) Lookup(now int64, process Process) (age, remaining int64, ok bool) {
	start := s.starts[StartKey(process)]
	if start == nil || now >= start.warmupEndsAt {
		return 0, 0, false
	}
	return now - start.startedAt, start.warmupEndsAt - now, true
}

// Expired returns the processes that have warmed up and of which the store still has a report. It forgets those that
// have warmed up and of which the store has no report.
func (s *Starts) Expired(now int64) (expired []Process) {
	for key, start := range s.starts {
		if now < start.warmupEndsAt {
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

// Len returns the number of processes that are tracked, including those that have warmed up.
func (s *Starts) Len() int { return len(s.starts) }
