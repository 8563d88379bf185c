package httpfront

import (
	"log/slog"
	"sync"
	"time"

	"birchmoor/internal/platform/metrics"
)

const (
	minAllRejectedRequests = 15              // consecutive rejections that make an episode
	minAllRejectedTime     = 4 * time.Second // minimum time from the first of them to the last
)

// rejectionEpisode detects that all requests are rejected: minAllRejectedRequests within at least minAllRejectedTime,
// without an attempt in between. The zero value is ready to use. It is safe for concurrent use.
type rejectionEpisode struct {
	mu             sync.Mutex
	since          time.Time // time of the episode's first rejection
	attemptsBefore uint64    // total number of attempts at that time
	rejections     int
	logged         bool // the episode was counted and logged
}

// recordRejection records the rejection of a request, and counts and logs each episode once.
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
	report := !t.logged && rejections >= minAllRejectedRequests && duration >= minAllRejectedTime
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
