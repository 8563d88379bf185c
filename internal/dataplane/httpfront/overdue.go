package httpfront

import "time"

const (
	unansweredGrace = 500 * time.Millisecond // from a request's deadline until it counts as unanswered
	overdueInterval = time.Second            // between two scans for such requests
	maxOverdueIDs   = 5                      // of requests that a log line names
)

// overdueLocked counts the open request of a connection, once, if it has no answer unansweredGrace after its deadline.
func (k *clients) overdueLocked(c *client, now time.Time) {
	if c.dueAt.IsZero() || now.Before(c.dueAt) {
		return
	}
	k.unloggedOverdue++
	if len(k.overdueIDs) < maxOverdueIDs {
		k.overdueIDs = append(k.overdueIDs, c.requestID)
	}
	c.dueAt = time.Time{}
	k.unanswered.Inc()
}

// reportOverdue counts and logs overdue requests, and schedules its next call if any request is open.
func (k *clients) reportOverdue() {
	k.mu.Lock()
	now := time.Now()
	for elem := k.active.Front(); elem != nil; elem = elem.Next() {
		k.overdueLocked(elem.Value.(*client), now)
	}
	overdue, ids, open := k.unloggedOverdue, k.overdueIDs, k.active.Len()
	k.unloggedOverdue = 0
	k.overdueIDs = nil
	k.timerRunning = open > 0
	if k.timerRunning {
		k.overdueTimer.Reset(overdueInterval)
	}
	k.mu.Unlock()
	if overdue > 0 {
		k.log.Warn("requests had no answer half a second after their deadlines",
			"requests", overdue, "open", open, "ids", ids)
	}
}

// scheduleReportLocked arms the timer that calls reportOverdue, unless it is armed.
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

// expect records that the client of a complete request, which has the given ID, waits for its answer for left from now
// on.
func (k *clients) expect(c *client, id string, left time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.requestID = id
	c.dueAt = time.Now().Add(left + unansweredGrace)
}

// answerStarted records that a streamed answer begins to go out. From now on the request cannot become overdue, since
// the endpoint decides how long the rest of its answer takes.
func (k *clients) answerStarted(c *client) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.overdueLocked(c, time.Now())
	c.dueAt = time.Time{}
}
