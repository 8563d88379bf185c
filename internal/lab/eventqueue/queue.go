// Package eventqueue is the lab's event loop: one goroutine and one clock, either virtual or the machine's.
//
// In virtual time Run jumps from event to event. In real time it sleeps until the next event is due, takes the actions
// that other goroutines post, and records how late it handled events, so that a delay of the lab itself is not
// attributed to the program under test. The package imports nothing else of this module.
package eventqueue

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Micros is an instant since the start of the run, or a duration, in microseconds.
type Micros = int64

// Second is the duration of one second.
const Second Micros = 1e6

const (
	postedCapacity      = 4096 // actions that may wait before Post blocks
	cancelCheckInterval = 4096 // events in virtual time between two checks of the context
	idleWait            = time.Hour

	maxRecordedLateness     = time.Minute // of the percentiles; the maximum is unbounded
	latenessPrecisionDigits = 3
	minRecordedLateness     = Micros(1) // the histogram's smallest value
)

// Event is a scheduled action, which Cancel takes to prevent it.
type Event struct {
	action func() // nil once done or canceled
}

// Queue holds events. Only the goroutine in Run may use it, except that any goroutine may call Post, and Now in real
// time.
type Queue struct {
	now      Micros // virtual time only
	sequence uint64 // of the event scheduled last
	events   eventHeap

	// Real time only.
	start       time.Time
	posted      chan func()
	lateness    *hdrhistogram.Histogram
	maxLateness Micros
}

// NewVirtual returns a queue in virtual time, which begins at 0.
func NewVirtual() *Queue { return &Queue{} }

// NewRealTime returns a queue on the machine's clock, whose instant 0 is the time of this call.
func NewRealTime() *Queue {
	return &Queue{
		start:    time.Now(),
		posted:   make(chan func(), postedCapacity),
		lateness: hdrhistogram.New(minRecordedLateness, maxRecordedLateness.Microseconds(), latenessPrecisionDigits),
	}
}

// isRealTime reports whether the queue runs on the machine's clock.
func (q *Queue) isRealTime() bool { return q.posted != nil }

// StartTime returns the wall-clock time of instant 0. In virtual time it has no meaning.
func (q *Queue) StartTime() time.Time { return q.start }

// Now returns the current instant.
func (q *Queue) Now() Micros {
	if q.isRealTime() {
		return time.Since(q.start).Microseconds()
	}
	return q.now
}

// At schedules an action for an instant; one in the past counts as now. Actions of the same instant run in the order
// in which they were scheduled.
func (q *Queue) At(at Micros, action func()) *Event {
	q.sequence++
	if !q.isRealTime() {
		at = max(at, q.now)
	}
	e := &Event{action: action}
	q.events.push(entry{at, q.sequence, e})
	return e
}

// After schedules an action for when a delay has passed.
func (q *Queue) After(delay Micros, action func()) *Event { return q.At(q.Now()+delay, action) }

// Cancel prevents an event that has not happened yet; nil is allowed. The event occupies the queue until its instant.
func (q *Queue) Cancel(e *Event) {
	if e != nil {
		e.action = nil
	}
}

// pop removes the first event and returns its instant and its action, which is nil if it was canceled.
func (q *Queue) pop() (Micros, func()) {
	e := q.events.pop()
	action := e.event.action
	e.event.action = nil
	return e.at, action
}

// Post has the goroutine in Run carry out an action, in real time only. It blocks while too many are waiting, and
// reports false if ctx ended first.
func (q *Queue) Post(ctx context.Context, action func()) bool {
	select {
	case q.posted <- action:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run handles events until done returns true or, in virtual time, none is left; then it returns nil. If ctx ends first,
// it returns the cause.
func (q *Queue) Run(ctx context.Context, done func() bool) error {
	if q.isRealTime() {
		return q.runRealTime(ctx, done)
	}
	return q.runVirtual(ctx, done)
}

func (q *Queue) runVirtual(ctx context.Context, done func() bool) error {
	for handled := 0; len(q.events) > 0 && !done(); handled++ {
		if handled%cancelCheckInterval == 0 && ctx.Err() != nil {
			return context.Cause(ctx)
		}
		at, action := q.pop()
		if action == nil {
			continue
		}
		q.now = at
		action()
	}
	return nil
}

func (q *Queue) runRealTime(ctx context.Context, done func() bool) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !done() {
		q.handleDue()
		timer.Reset(q.waitForNext())
		select {
		case action := <-q.posted:
			action()
		case <-timer.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// handleDue handles the events that are due at the time of the call, and records how late each was.
func (q *Queue) handleDue() {
	now := q.Now()
	for len(q.events) > 0 && q.events[0].at <= now {
		at, action := q.pop()
		if action == nil {
			continue
		}
		q.recordLateness(now - at)
		action()
	}
}

func (q *Queue) recordLateness(lateness Micros) {
	// The error says that the value exceeds maxRecordedLateness; such a value shows in the maximum only.
	_ = q.lateness.RecordValue(max(minRecordedLateness, lateness))
	q.maxLateness = max(q.maxLateness, lateness)
}

// waitForNext returns the time until the next event is due, at least 0, or idleWait if there is none.
func (q *Queue) waitForNext() time.Duration {
	if len(q.events) == 0 {
		return idleWait
	}
	return max(0, time.Duration(q.events[0].at-q.Now())*time.Microsecond)
}

// Lateness returns the 99.9th percentile and the maximum of how late events were handled; zeros in virtual time.
func (q *Queue) Lateness() (p999, maximum Micros) {
	if q.lateness == nil {
		return 0, 0
	}
	return q.lateness.ValueAtQuantile(99.9), q.maxLateness
}
