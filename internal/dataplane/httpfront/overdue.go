package httpfront

import "time"

const (
	unansweredGrace = 500 * time.Millisecond // after its time, when a request without an answer counts as unanswered
	overdueInterval = time.Second            // between two looks for such requests
)

// overdueLocked counts a request that has no answer unansweredGrace after its time.
func (k *clients) overdueLocked(c *client, now time.Time) {
	if c.dueAt.IsZero() || now.Before(c.dueAt) {
		return
	}
	k.overdue++
	c.dueAt = time.Time{}
	k.unanswered.Inc()
}

// reportOverdue counts and logs overdue requests, and is called again while any request is open.
func (k *clients) reportOverdue() {
	k.mu.Lock()
	now := time.Now()
	for at := k.active.Front(); at != nil; at = at.Next() {
		k.overdueLocked(at.Value.(*client), now)
	}
	late, open := k.overdue, k.active.Len()
	k.overdue = 0
	k.timerRunning = open > 0
	if k.timerRunning {
		k.overdueTimer.Reset(overdueInterval)
	}
	k.mu.Unlock()
	if late > 0 {
		k.log.Warn("requests had no answer half a second past their time", "requests", late, "open", open)
	}
}

// scheduleReportLocked has reportOverdue called at intervals while any request is open.
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

// expect notes how long the client of a complete request waits for its answer.
func (k *clients) expect(c *client, left time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.dueAt = time.Now().Add(left + unansweredGrace)
}

// answerStarted notes that the answer to a request has begun to go out: how long the rest takes depends on its
// endpoint.
func (k *clients) answerStarted(c *client) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.overdueLocked(c, time.Now())
	c.dueAt = time.Time{}
}
