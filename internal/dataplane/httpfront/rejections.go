package httpfront

import (
	"log/slog"
	"sync"
	"time"

	"birchmoor/internal/platform/metrics"
)

const (
	minAllRejected   = 15              // requests, all of which were rejected,
	allRejectedAfter = 4 * time.Second // for so long, with no attempt in between: an episode
)

// rejectionEpisode detects that all requests are rejected. The zero value is ready to use, by any number of
// goroutines.
type rejectionEpisode struct {
	mu             sync.Mutex
	since          time.Time // the first rejection of the episode
	attemptsBefore uint64    // attempts made before it
	rejections     int
	logged         bool
}

// recordRejection records the rejection of a request, and counts and logs an episode once.
func (t *rejectionEpisode) recordRejection(figures *metrics.Registry, log *slog.Logger) {
	t.mu.Lock()
	now := time.Now()
	attempts := figures.AttemptsSent.Value()
	if t.rejections == 0 || attempts != t.attemptsBefore {
		t.since = now
		t.attemptsBefore = attempts
		t.rejections = 0
		t.logged = false
	}
	t.rejections++
	rejections := t.rejections
	duration := now.Sub(t.since)
	report := !t.logged && rejections >= minAllRejected && duration >= allRejectedAfter
	if report {
		t.logged = true
	}
	t.mu.Unlock()
	if report {
		figures.AllRequestsRejected.Inc()
		log.Warn("all requests are rejected, and no attempt is made",
			"requests", rejections, "for", duration.Round(time.Millisecond))
	}
}
