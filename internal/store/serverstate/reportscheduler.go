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
	by    string
	rules ReportSchedule
	words map[string]*turn
	heard int
	full  bool
}

// ReportSchedule say how long the words of one kind are left to others, told again and kept.
type ReportSchedule struct {
	Spread int64
	Renew  int64 // 0: never
	Keep   int64
	Most   int // words that this daemon hears at once; more are not told
}

// turn is what is known of a word.
type turn struct {
	heard bool   // here, and not taken back
	due   int64  // when to speak; 0: not
	known bool   // the store has it,
	told  int64  // and said so here, latest, then
	at    uint64 // at this revision
}

// NewReportScheduler returns one for a daemon that has heard nothing.
func NewReportScheduler(by string, rules ReportSchedule) *ReportScheduler {
	return &ReportScheduler{by: by, rules: rules, words: map[string]*turn{}}
}

// lot is the while for which a word is left to others.
func (t *ReportScheduler) lot(key string) int64 {
	h := fnv.New64a()
	h.Write([]byte(t.by))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return int64(h.Sum64() % uint64(max(1, t.rules.Spread)))
}

func (t *ReportScheduler) word(key string) *turn {
	w := t.words[key]
	if w == nil {
		w = &turn{}
		t.words[key] = w
	}
	return w
}

func (t *ReportScheduler) tidy(key string, w *turn) {
	if !w.heard && !w.known {
		delete(t.words, key)
	}
}

// Hear takes a word that this daemon hears itself. It returns when Due is to be called, or 0. full is set once, when the
// first word is passed over because too many are heard.
func (t *ReportScheduler) Hear(now int64, key string) (due int64, full bool) {
	w := t.words[key]
	if w != nil && w.heard {
		return 0, false
	}
	if t.heard >= t.rules.Most {
		full, t.full = !t.full, true
		return 0, full
	}
	w = t.word(key)
	w.heard = true
	t.heard++
	return t.plan(now, key, w), false
}

// plan sets when a word that is heard here is to be told.
func (t *ReportScheduler) plan(now int64, key string, w *turn) int64 {
	switch {
	case !w.heard:
		w.due = 0
	case !w.known:
		w.due = now + 1 + t.lot(key)
	case t.rules.Renew > 0:
		w.due = w.told + t.rules.Renew + t.lot(key)
	default:
		w.due = 0
	}
	return w.due
}

// Unhear says that this daemon hears the word no more.
func (t *ReportScheduler) Unhear(key string) {
	if w := t.words[key]; w != nil && w.heard {
		w.heard, w.due, t.full = false, 0, false
		t.heard--
		t.tidy(key, w)
	}
}

// Hears says whether this daemon hears a word itself.
func (t *ReportScheduler) Hears(key string) bool {
	w := t.words[key]
	return w != nil && w.heard
}

// Told takes the store's word at a revision, as it comes: that it knows, or, with gone, that it has ended. It returns when
// Due is to be called, or 0: who still hears what others ended tells it again.
func (t *ReportScheduler) Told(now int64, key string, at uint64, gone bool) (due int64) {
	w := t.word(key)
	w.known, w.told, w.at = !gone, now, at
	due = t.plan(now, key, w)
	t.tidy(key, w)
	return due
}

// Found takes what a whole copy says, at a start or when the leader sent one: keys, and the revisions of their latest words.
// Of a word that was told here already the time stays; one that was told again meanwhile counts as told now.
func (t *ReportScheduler) Found(now int64, words map[string]uint64) {
	for key, at := range words {
		if w := t.word(key); !w.known || w.at != at {
			w.known, w.told, w.at = true, now, at
			t.plan(now, key, w)
		}
	}
	for key, w := range t.words {
		if _, has := words[key]; w.known && !has {
			w.known = false
			t.plan(now, key, w)
			t.tidy(key, w)
		}
	}
}

// Again has a word told once more after a while, because nothing came of it. It returns when Due is to be called, or 0.
func (t *ReportScheduler) Again(now, after int64, key string) (due int64) {
	w := t.words[key]
	if w == nil || !w.heard || w.known || w.due > 0 {
		return 0
	}
	w.due = now + max(1, after)
	return w.due
}

// Due returns what is to be told now, each once, and what nobody has told for long, in order.
func (t *ReportScheduler) Due(now int64) (speak, end []string) {
	for key, w := range t.words {
		switch {
		case w.heard && w.due > 0 && now >= w.due:
			w.due = 0
			speak = append(speak, key)
		case !w.heard && w.known && now-w.told >= t.rules.Keep:
			end = append(end, key)
		}
	}
	slices.SortFunc(speak, cmp.Compare)
	slices.SortFunc(end, cmp.Compare)
	return speak, end
}
