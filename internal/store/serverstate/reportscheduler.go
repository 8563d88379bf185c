package serverstate

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// ReportScheduler decides when a daemon reports to the store what the other daemons observe as well, so that one daemon
// writes the report instead of each.
//
// Each daemon waits for a delay of its own, a hash of its name and the key, and reports only if the store has no report
// by then. Of N daemons, about N times the store's latency over Spread propose the report, and the first proposal
// changes the store. A report that must be renewed is renewed by the daemons that still observe its subject,
// RenewInterval after the last one. A report that was not renewed for Retention expires. All times are nanoseconds of
// the daemon's own monotonic clock: the clocks of different hosts are never compared.
//
// A ReportScheduler is not safe for concurrent use.
type ReportScheduler struct {
	daemon        string // name, which determines its delays
	schedule      ReportSchedule
	reports       map[string]*reportState // by key
	observedCount int                     // number of reports with observed set
	limitReported bool                    // Observe has returned limitReached since the last Withdraw
}

// ReportSchedule configures when reports of one kind are written, renewed and expire. Durations are nanoseconds.
type ReportSchedule struct {
	Spread        int64 // upper bound of the delay before a daemon reports
	RenewInterval int64 // time from a report to its renewal; 0: reports are not renewed
	Retention     int64 // time from the last report until it expires
	MaxObserved   int   // maximum number of subjects that this daemon observes at once; further ones are ignored
}

// reportState is the state of one key.
type reportState struct {
	observed  bool   // this daemon observes the subject
	dueAt     int64  // when this daemon is to report; 0: not scheduled
	committed bool   // the store has a report
	arrivedAt int64  // when the last report reached this daemon
	revision  uint64 // revision of the last report
}

// NewReportScheduler returns a scheduler that observes nothing. The name of the daemon determines its delays.
func NewReportScheduler(daemon string, schedule ReportSchedule) *ReportScheduler {
	return &ReportScheduler{daemon: daemon, schedule: schedule, reports: map[string]*reportState{}}
}

// ownDelay returns how long this daemon waits for another one to report a key.
func (s *ReportScheduler) ownDelay(key string) int64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.daemon)) // never fails
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key))
	return int64(hash.Sum64() % uint64(max(1, s.schedule.Spread)))
}

// findOrAdd returns the state of a key. If there is none, it adds one.
func (s *ReportScheduler) findOrAdd(key string) *reportState {
	report := s.reports[key]
	if report == nil {
		report = &reportState{}
		s.reports[key] = report
	}
	return report
}

// removeIfUnused forgets a key that this daemon does not observe and of which the store has no report.
func (s *ReportScheduler) removeIfUnused(key string, report *reportState) {
	if !report.observed && !report.committed {
		delete(s.reports, key)
	}
}

// Observe records that this daemon observes the subject of a key. It returns when Due is to be called, or 0.
// limitReached is true for the first key that is ignored because MaxObserved subjects are observed, so that the caller
// logs it once.
func (s *ReportScheduler) Observe(now int64, key string) (dueAt int64, limitReached bool) {
	if s.Observes(key) {
		return 0, false
	}
	if s.observedCount >= s.schedule.MaxObserved {
		limitReached = !s.limitReported
		s.limitReported = true
		return 0, limitReached
	}
	report := s.findOrAdd(key)
	report.observed = true
	s.observedCount++
	return s.updateDueTime(now, key, report), false
}

// updateDueTime sets and returns when this daemon is to report a key, 0 if it is not to.
func (s *ReportScheduler) updateDueTime(now int64, key string, report *reportState) int64 {
	switch {
	case !report.observed:
		report.dueAt = 0
	case !report.committed:
		report.dueAt = now + 1 + s.ownDelay(key)
	case s.schedule.RenewInterval > 0:
		report.dueAt = report.arrivedAt + s.schedule.RenewInterval + s.ownDelay(key)
	default:
		report.dueAt = 0
	}
	return report.dueAt
}

// Withdraw records that this daemon no longer observes the subject of a key.
func (s *ReportScheduler) Withdraw(key string) {
	report := s.reports[key]
	if report == nil || !report.observed {
		return
	}
	report.observed = false
	report.dueAt = 0
	s.observedCount--
	s.limitReported = false
	s.removeIfUnused(key, report)
}

// Observes reports whether this daemon observes the subject of a key itself.
func (s *ReportScheduler) Observes(key string) bool {
	report := s.reports[key]
	return report != nil && report.observed
}

// Committed records a committed change of a key, which is a report or its deletion. It returns when Due is to be
// called, or 0. If this daemon still observes the subject of a deleted report, it is to report it again.
func (s *ReportScheduler) Committed(now int64, key string, revision uint64, deleted bool) (dueAt int64) {
	report := s.findOrAdd(key)
	report.committed = !deleted
	report.arrivedAt = now
	report.revision = revision
	dueAt = s.updateDueTime(now, key, report)
	s.removeIfUnused(key, report)
	return dueAt
}

// Reset replaces the state of the store's reports, at a start or after the leader sent a snapshot. revisions has the
// revision of each report by its key. A report that is already known at that revision keeps its time; any other counts
// as committed now.
func (s *ReportScheduler) Reset(now int64, revisions map[string]uint64) {
	for key, revision := range revisions {
		report := s.findOrAdd(key)
		if report.committed && report.revision == revision {
			continue
		}
		report.committed = true
		report.arrivedAt = now
		report.revision = revision
		s.updateDueTime(now, key, report)
	}
	for key, report := range s.reports {
		if _, stored := revisions[key]; report.committed && !stored {
			report.committed = false
			s.updateDueTime(now, key, report)
			s.removeIfUnused(key, report)
		}
	}
}

// Retry schedules a report again after a delay in nanoseconds, because its proposal failed. It returns when Due is to
// be called, or 0 if the report needs no retry.
func (s *ReportScheduler) Retry(now, delay int64, key string) (dueAt int64) {
	report := s.reports[key]
	if report == nil || !report.observed || report.committed || report.dueAt > 0 {
		return 0
	}
	report.dueAt = now + max(1, delay)
	return report.dueAt
}

// Due returns the keys that this daemon is to report now and the keys whose reports have expired, both sorted. A key is
// due once; one that has expired is returned by each call until its deletion is committed.
func (s *ReportScheduler) Due(now int64) (dueKeys, expiredKeys []string) {
	for key, report := range s.reports {
		switch {
		case report.observed && report.dueAt > 0 && now >= report.dueAt:
			report.dueAt = 0
			dueKeys = append(dueKeys, key)
		case !report.observed && report.committed && now-report.arrivedAt >= s.schedule.Retention:
			expiredKeys = append(expiredKeys, key)
		}
	}
	slices.SortFunc(dueKeys, cmp.Compare)
	slices.SortFunc(expiredKeys, cmp.Compare)
	return dueKeys, expiredKeys
}
