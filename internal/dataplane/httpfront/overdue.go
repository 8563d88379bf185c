package httpfront

import "time"

// overdueLocked counts a request whose time is up by unansweredAfter, and that has no answer. Clients' mutex is held.
func (k *clients) overdueLocked(c *client, now time.Time) {
	if c.dueAt.IsZero() || now.Before(c.dueAt) {
		return
	}
	k.overdue, c.dueAt = k.overdue+1, time.Time{}
	k.unanswered.Inc()
}

// reportOverdue counts what is overdue, while anything is open, and logs it, once each time.
func (k *clients) reportOverdue() {
	k.mu.Lock()
	now := time.Now()
	for at := k.active.Front(); at != nil; at = at.Next() {
		k.overdueLocked(at.Value.(*client), now)
	}
	late, open := k.overdue, k.active.Len()
	k.overdue = 0
	if k.timerRunning = open > 0; k.timerRunning {
		k.overdueTimer.Reset(overdueInterval)
	}
	k.mu.Unlock()
	if late > 0 {
		k.log.Warn("requests had no answer half a second past their time", "requests", late, "open", open)
	}
}

// scheduleReportLocked has look called from time to time while anything is open.
func (k *clients) scheduleReportLocked() {
	switch {
	case k.timerRunning:
	case k.overdueTimer == nil:
		k.overdueTimer = time.AfterFunc(overdueInterval, k.reportOverdue)
	default:
		k.overdueTimer.Reset(overdueInterval)
	}
	k.timerRunning = true
}

// expect notes how long the client of a request that has come whole waits for its answer.
func (k *clients) expect(c *client, left time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.dueAt = time.Now().Add(left + unansweredGrace)
}

// answerStarted notes that the answer to a request has begun to go out: how long the rest takes is its server's matter.
func (k *clients) answerStarted(c *client) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.overdueLocked(c, time.Now())
	c.dueAt = time.Time{}
}

// What an operator is to see before anybody who keeps a promise's score does.
const (
	unansweredGrace  = 500 * time.Millisecond // past its time a request without an answer is lost
	overdueInterval  = time.Second
	minAllRejected   = 15              // requests, of which every one was turned away,
	allRejectedAfter = 4 * time.Second // for so long, with no attempt in between
)
