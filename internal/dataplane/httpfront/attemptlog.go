package httpfront

import (
	"context"
	"log/slog"
	"time"
)

// attemptPhase is how far an attempt has come on its connection.
type attemptPhase string

const (
	phaseSendingRequest attemptPhase = "sending the request"
	phaseSendingBody    attemptPhase = "sending the body"
	phaseWaiting        attemptPhase = "waiting for the answer"
	phaseReadingAnswer  attemptPhase = "reading the answer"
)

// attemptProgress records an attempt for the log. Only the attempt's goroutine uses it.
type attemptProgress struct {
	id        string // of the request; empty for a probe
	uri       string
	endpoint  string // its address
	startedAt time.Time
	phase     attemptPhase
	bodySent  int64 // bytes of the request's body
}

func newAttemptProgress(msg *message, endpoint string) *attemptProgress {
	return &attemptProgress{
		id:        msg.header.Get("X-Trace-Id"),
		uri:       msg.uri,
		endpoint:  endpoint,
		startedAt: time.Now(),
		phase:     phaseSendingRequest,
	}
}

// logEnd logs that an attempt ended without an answer. err is the error of its last step. If the sidecar ended the
// attempt, the cause of ctx is logged in its place, and answersEnded counts an answer that had begun to arrive.
func (u *Upstream) logEnd(ctx context.Context, progress *attemptProgress, received int64, err error) {
	if progress.phase == phaseWaiting && received > 0 {
		progress.phase = phaseReadingAnswer
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if progress.phase == phaseReadingAnswer {
		u.answersEnded.Inc()
	}
	if progress.id == "" {
		return
	}
	u.attemptEvents.add(
		slog.String("id", progress.id),
		slog.String("uri", progress.uri),
		slog.String("endpoint", progress.endpoint),
		slog.String("phase", string(progress.phase)),
		slog.Any("reason", err),
		slog.Duration("after", time.Since(progress.startedAt).Round(time.Millisecond)),
		slog.Int64("bodySent", progress.bodySent),
		slog.Int64("received", received),
	)
}
