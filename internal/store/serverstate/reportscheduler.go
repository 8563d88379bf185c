package serverstate

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// ReportScheduler decides when a daemon reports to the store what all other daemons observe as well, so that
// one report is written and not one by each.
//
// Each daemon waits for a delay of its own, a hash of its name and the key, and reports only if the store has
// no report by then: of N daemons, about N times the store's latency over Spread propose the report, and the
// first proposal changes the store. A report that must be renewed is renewed by the daemons that still observe
// its subject, RenewInterval after the last; one that was not renewed for Retention expires. All times are
// nanoseconds of the daemon's own monotonic clock: clocks of hosts are not compared.
//
// A ReportScheduler is not safe for concurrent use.
type ReportScheduler struct {
	daemon        string
	schedule      ReportSchedule
	reports       map[string]*reportState // by key
	observedCount int
	limitReached  bool // and said to be
}

// ReportSchedule says when reports of one kind are written, renewed and expire. Times are nanoseconds.
type ReportSchedule struct {
	Spread        int64 // upper bound of the delay before a daemon reports
	RenewInterval int64 // 0: reports are not renewed
	Retention     int64
	MaxObserved   int // subjects that this daemon observes at once; further ones are ignored
}

// reportState is what is known of one key.
type reportState struct {
	observed    bool   // by this daemon
	dueAt       int64  // when to report; 0: not at all
	committed   bool   // the store has a report
	committedAt int64  // when the last one reached this daemon
	revision    uint64 // of the last one
}

// NewReportScheduler returns the scheduler of a daemon that observes nothing yet.
func NewReportScheduler(daemon string, schedule ReportSchedule) *ReportScheduler {
	return &ReportScheduler{daemon: daemon, schedule: schedule, reports: map[string]*reportState{}}
}

// delay is how long this daemon leaves the report on a key to others.
func (s *ReportScheduler) delay(key string) int64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.daemon)) // never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key))
	return int64(hash.Sum64() % uint64(max(1, s.schedule.Spread)))
}

// report returns the state of a key, a new one if there is none.
func (s *ReportScheduler) report(key string) *reportState {
	report := s.reports[key]
	if report == nil {
		report = &reportState{}
		s.reports[key] = report
	}
	return report
}

func (s *ReportScheduler) removeIfUnused(key string, report *reportState) {
	if !report.observed && !report.committed {
		delete(s.reports, key)
	}
}

// Observe says that this daemon observes the subject of a key. It returns when Due is to be called, or 0.
// limitReached is set once, when the first key is ignored because too many are observed.
func (s *ReportScheduler) Observe(now int64, key string) (due int64, limitReached bool) {
	if s.Observes(key) {
		return 0, false
	}
	if s.observedCount >= s.schedule.MaxObserved {
		limitReached = !s.limitReached
		s.limitReached = true
		return 0, limitReached
	}
	report := s.report(key)
	report.observed = true
	s.observedCount++
	return s.plan(now, key, report), false
}

// plan sets and returns when a report is due.
func (s *ReportScheduler) plan(now int64, key string, report *reportState) int64 {
	switch {
	case !report.observed:
		report.dueAt = 0
	case !report.committed:
		report.dueAt = now + 1 + s.delay(key)
	case s.schedule.RenewInterval > 0:
		report.dueAt = report.committedAt + s.schedule.RenewInterval + s.delay(key)
	default:
		report.dueAt = 0
	}
	return report.dueAt
}

// Withdraw says that this daemon no longer observes the subject of a key.
func (s *ReportScheduler) Withdraw(key string) {
	report := s.reports[key]
	if report == nil || !report.observed {
		return
	}
	report.observed = false
	report.dueAt = 0
	s.observedCount--
	s.limitReached = false
	s.removeIfUnused(key, report)
}

// Observes reports whether this daemon observes the subject of a key itself.
func (s *ReportScheduler) Observes(key string) bool {
	report := s.reports[key]
	return report != nil && report.observed
}

// Committed takes a change of the store: a report on a key, or its deletion. It returns when Due is to be
// called, or 0: a daemon that still observes what others deleted reports it again.
func (s *ReportScheduler) Committed(now int64, key string, revision uint64, deleted bool) (due int64) {
	report := s.report(key)
	report.committed = !deleted
	report.committedAt = now
	report.revision = revision
	due = s.plan(now, key, report)
	s.removeIfUnused(key, report)
	return due
}

// Reset takes a complete state, at a start or when the leader sent a snapshot: the keys, and the revisions of
// their reports. A report that is known by that revision keeps its time; any other counts as committed now.
func (s *ReportScheduler) Reset(now int64, revisions map[string]uint64) {
	for key, revision := range revisions {
		report := s.report(key)
		if report.committed && report.revision == revision {
			continue
		}
		report.committed = true
		report.committedAt = now
		report.revision = revision
		s.plan(now, key, report)
	}
	for key, report := range s.reports {
		if _, stored := revisions[key]; report.committed && !stored {
			report.committed = false
			s.plan(now, key, report)
			s.removeIfUnused(key, report)
		}
	}
}

// Retry schedules a report again after a delay, because its proposal came to nothing. It returns when Due is to
// be called, or 0.
func (s *ReportScheduler) Retry(now, delay int64, key string) (due int64) {
	report := s.reports[key]
	if report == nil || !report.observed || report.committed || report.dueAt > 0 {
		return 0
	}
	report.dueAt = now + max(1, delay)
	return report.dueAt
}

// Due returns the keys that are to be reported now, each once, and those whose reports have expired, both in order.
func (s *ReportScheduler) Due(now int64) (due, expired []string) {
	for key, report := range s.reports {
		switch {
		case report.observed && report.dueAt > 0 && now >= report.dueAt:
			report.dueAt = 0
			due = append(due, key)
		case !report.observed && report.committed && now-report.committedAt >= s.schedule.Retention:
			expired = append(expired, key)
		}
	}
	slices.SortFunc(due, cmp.Compare)
	slices.SortFunc(expired, cmp.Compare)
	return due, expired
}
