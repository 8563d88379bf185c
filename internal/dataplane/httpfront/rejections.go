package httpfront

import (
	"log/slog"
	"sync"
	"time"

	"birchmoor/internal/platform/metrics"
)

// rejectionEpisode finds out that all that comes is turned away. The zero value is ready; it may be used by many goroutines at once.
type rejectionEpisode struct {
	mu             sync.Mutex
	since          time.Time // the first of those of now
	attemptsBefore uint64    // the attempts up to then
	rejections     int
	logged         bool
}

// recordRejection notes a request that was turned away, and counts and logs an episode, once.
func (t *rejectionEpisode) recordRejection(figures *metrics.Registry, log *slog.Logger) {
	t.mu.Lock()
	now := time.Now()
	if sends := figures.AttemptsSent.Value(); t.rejections == 0 || sends != t.attemptsBefore {
		t.since, t.attemptsBefore, t.rejections, t.logged = now, sends, 0, false
	}
	t.rejections++
	tell := !t.logged && t.rejections >= minAllRejected && now.Sub(t.since) >= allRejectedAfter
	t.logged = t.logged || tell
	n, span := t.rejections, now.Sub(t.since)
	t.mu.Unlock()
	if tell {
		figures.AllEndpointsRefused.Inc()
		log.Warn("every request is turned away, and no attempt is made", "requests", n, "for", span.Round(time.Millisecond))
	}
}
