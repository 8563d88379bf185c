package serverstate

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// ReportScheduler decides when a daemon speaks of what it hears and all others hear too, so that the store is told of it once.
//
// Each daemon leaves the speaking to others for a while of its own, drawn from its name and the matter, and says nothing
// if the store knows by then: of N that hear the same, N times the store's own delay over Spread come to speak, and the
// first makes the change. What has to go on being true is told again by whoever hears it, Renew after the store's latest
// word; and what nobody has told for Keep is over, for whom it concerns to say. All instants are of the daemon's own
// clock, which does not step: clocks of hosts are not compared. Times are in nanoseconds.
//
// A Turns is for one goroutine.
type ReportScheduler struct {
	daemon        string
	schedule      ReportSchedule
	reports       map[string]*reportState
	observedCount int
	limitReached  bool
}

// ReportSchedule say how long the words of one kind are left to others, told again and kept.
type ReportSchedule struct {
	Spread        int64
	RenewInterval int64 // 0: never
	Retention     int64
	MaxObserved   int // words that this daemon hears at once; more are not told
}

// reportState is what is known of a word.
type reportState struct {
	observed    bool   // here, and not taken back
	dueAt       int64  // when to speak; 0: not
	committed   bool   // the store has it,
	committedAt int64  // and said so here, latest, then
	revision    uint64 // at this revision
}

// NewReportScheduler returns one for a daemon that has heard nothing.
func NewReportScheduler(by string, rules ReportSchedule) *ReportScheduler {
	return &ReportScheduler{daemon: by, schedule: rules, reports: map[string]*reportState{}}
}

// delay is the while for which a word is left to others.
func (t *ReportScheduler) delay(key string) int64 {
	h := fnv.New64a()
	h.Write([]byte(t.daemon))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return int64(h.Sum64() % uint64(max(1, t.schedule.Spread)))
}

func (t *ReportScheduler) report(key string) *reportState {
	w := t.reports[key]
	if w == nil {
		w = &reportState{}
		t.reports[key] = w
	}
	return w
}

func (t *ReportScheduler) removeIfUnused(key string, w *reportState) {
	if !w.observed && !w.committed {
		delete(t.reports, key)
	}
}

// Observe takes a word that this daemon hears itself. It returns when Due is to be called, or 0. full is set once, when the
// first word is passed over because too many are heard.
func (t *ReportScheduler) Observe(now int64, key string) (due int64, full bool) {
	w := t.reports[key]
	if w != nil && w.observed {
		return 0, false
	}
	if t.observedCount >= t.schedule.MaxObserved {
		full, t.limitReached = !t.limitReached, true
		return 0, full
	}
	w = t.report(key)
	w.observed = true
	t.observedCount++
	return t.plan(now, key, w), false
}

// plan sets when a word that is heard here is to be told.
func (t *ReportScheduler) plan(now int64, key string, w *reportState) int64 {
	switch {
	case !w.observed:
		w.dueAt = 0
	case !w.committed:
		w.dueAt = now + 1 + t.delay(key)
	case t.schedule.RenewInterval > 0:
		w.dueAt = w.committedAt + t.schedule.RenewInterval + t.delay(key)
	default:
		w.dueAt = 0
	}
	return w.dueAt
}

// Withdraw says that this daemon hears the word no more.
func (t *ReportScheduler) Withdraw(key string) {
	if w := t.reports[key]; w != nil && w.observed {
		w.observed, w.dueAt, t.limitReached = false, 0, false
		t.observedCount--
		t.removeIfUnused(key, w)
	}
}

// Observes says whether this daemon hears a word itself.
func (t *ReportScheduler) Observes(key string) bool {
	w := t.reports[key]
	return w != nil && w.observed
}

// Committed takes the store's word at a revision, as it comes: that it knows, or, with gone, that it has ended. It returns when
// Due is to be called, or 0: who still hears what others ended tells it again.
func (t *ReportScheduler) Committed(now int64, key string, at uint64, gone bool) (due int64) {
	w := t.report(key)
	w.committed, w.committedAt, w.revision = !gone, now, at
	due = t.plan(now, key, w)
	t.removeIfUnused(key, w)
	return due
}

// Reset takes what a whole copy says, at a start or when the leader sent one: keys, and the revisions of their latest words.
// Of a word that was told here already the time stays; one that was told again meanwhile counts as told now.
func (t *ReportScheduler) Reset(now int64, words map[string]uint64) {
	for key, at := range words {
		if w := t.report(key); !w.committed || w.revision != at {
			w.committed, w.committedAt, w.revision = true, now, at
			t.plan(now, key, w)
		}
	}
	for key, w := range t.reports {
		if _, has := words[key]; w.committed && !has {
			w.committed = false
			t.plan(now, key, w)
			t.removeIfUnused(key, w)
		}
	}
}

// Retry has a word told once more after a while, because nothing came of it. It returns when Due is to be called, or 0.
func (t *ReportScheduler) Retry(now, after int64, key string) (due int64) {
	w := t.reports[key]
	if w == nil || !w.observed || w.committed || w.dueAt > 0 {
		return 0
	}
	w.dueAt = now + max(1, after)
	return w.dueAt
}

// Due returns what is to be told now, each once, and what nobody has told for long, in order.
func (t *ReportScheduler) Due(now int64) (speak, end []string) {
	for key, w := range t.reports {
		switch {
		case w.observed && w.dueAt > 0 && now >= w.dueAt:
			w.dueAt = 0
			speak = append(speak, key)
		case !w.observed && w.committed && now-w.committedAt >= t.schedule.Retention:
			end = append(end, key)
		}
	}
	slices.SortFunc(speak, cmp.Compare)
	slices.SortFunc(end, cmp.Compare)
	return speak, end
}
