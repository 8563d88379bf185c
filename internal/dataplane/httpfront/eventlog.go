package httpfront

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxEventsPerSecond bounds the lines of an eventLog, so that a client or an endpoint that misbehaves cannot fill the
// log or take the processor time of others.
const maxEventsPerSecond = 10

// eventLog logs events of one kind, at most maxEventsPerSecond in a second. Further ones are counted, and the next line
// says how many they were. It is safe for concurrent use.
type eventLog struct {
	log     *slog.Logger
	message string

	mu         sync.Mutex
	second     time.Time // start of the current second
	lines      int       // logged since then
	suppressed int       // not logged since the last line
}

func newEventLog(log *slog.Logger, message string) *eventLog {
	return &eventLog{log: log, message: message}
}

// add logs an event, or counts it as suppressed.
func (e *eventLog) add(attrs ...slog.Attr) {
	suppressed, ok := e.admit(time.Now())
	if !ok {
		return
	}
	if suppressed > 0 {
		attrs = append(attrs, slog.Int("suppressed", suppressed))
	}
	e.log.LogAttrs(context.Background(), slog.LevelInfo, e.message, attrs...)
}

// admit reports whether an event may be logged now and, if so, how many were suppressed before it.
func (e *eventLog) admit(now time.Time) (suppressed int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.second) >= time.Second {
		e.second = now
		e.lines = 0
	}
	if e.lines >= maxEventsPerSecond {
		e.suppressed++
		return 0, false
	}
	e.lines++
	suppressed = e.suppressed
	e.suppressed = 0
	return suppressed, true
}
