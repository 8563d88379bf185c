package httpfront

import (
	"log/slog"
	"sync"
	"time"

	"birchmoor/internal/platform/metrics"
)

// What an operator is to see before anybody who keeps a promise's score does.
const (
	unansweredAfter = 500 * time.Millisecond // past its time a request without an answer is lost
	lookEvery       = time.Second
	turnedAwayLeast = 15              // requests, of which every one was turned away,
	turnedAwayFor   = 4 * time.Second // for so long, with no attempt in between
)

// overdueLocked counts a request whose time is up by unansweredAfter, and that has no answer. Clients' mutex is held.
func (k *clients) overdueLocked(c *client, now time.Time) {
	if c.due.IsZero() || now.Before(c.due) {
		return
	}
	k.late, c.due = k.late+1, time.Time{}
	k.unanswered.Inc()
}

// look counts what is overdue, while anything is open, and logs it, once each time.
func (k *clients) look() {
	k.mu.Lock()
	now := time.Now()
	for at := k.active.Front(); at != nil; at = at.Next() {
		k.overdueLocked(at.Value.(*client), now)
	}
	late, open := k.late, k.active.Len()
	k.late = 0
	if k.looks = open > 0; k.looks {
		k.looker.Reset(lookEvery)
	}
	k.mu.Unlock()
	if late > 0 {
		k.log.Warn("requests had no answer half a second past their time", "requests", late, "open", open)
	}
}

// lookLocked has look called from time to time while anything is open.
func (k *clients) lookLocked() {
	switch {
	case k.looks:
	case k.looker == nil:
		k.looker = time.AfterFunc(lookEvery, k.look)
	default:
		k.looker.Reset(lookEvery)
	}
	k.looks = true
}

// expect notes how long the client of a request that has come whole waits for its answer.
func (k *clients) expect(c *client, left time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.due = time.Now().Add(left + unansweredAfter)
}

// begun notes that the answer to a request has begun to go out: how long the rest takes is its server's matter.
func (k *clients) begun(c *client) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.overdueLocked(c, time.Now())
	c.due = time.Time{}
}

// turnedAway finds out that all that comes is turned away. The zero value is ready; it may be used by many goroutines at once.
type turnedAway struct {
	mu    sync.Mutex
	since time.Time // the first of those of now
	sends uint64    // the attempts up to then
	n     int
	told  bool
}

// one notes a request that was turned away, and counts and logs an episode, once.
func (t *turnedAway) one(figures *metrics.Registry, log *slog.Logger) {
	t.mu.Lock()
	now := time.Now()
	if sends := figures.AttemptsSent.Value(); t.n == 0 || sends != t.sends {
		t.since, t.sends, t.n, t.told = now, sends, 0, false
	}
	t.n++
	tell := !t.told && t.n >= turnedAwayLeast && now.Sub(t.since) >= turnedAwayFor
	t.told = t.told || tell
	n, span := t.n, now.Sub(t.since)
	t.mu.Unlock()
	if tell {
		figures.AllEndpointsRefused.Inc()
		log.Warn("every request is turned away, and no attempt is made", "requests", n, "for", span.Round(time.Millisecond))
	}
}
