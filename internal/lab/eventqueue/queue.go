// Package eventqueue is the lab's queue of events: one goroutine, one clock, which is either virtual or the machine's.
//
// In virtual time Run jumps from event to event. In real time it sleeps until the next one is due, takes what other
// goroutines post, and notes how late it was: a lab that is late itself must not blame the program.
package eventqueue

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Micros is an instant since the start of the run, or a duration, in microseconds.
type Micros = int64

// Second is a second.
const Second Micros = 1e6

// Event is something to do at an instant.
type Event struct {
	action func() // nil once done or dropped
}

// Queue holds events. Only the goroutine in Run may use it, but for Post and Now in real time.
type Queue struct {
	now      Micros
	sequence uint64
	events   eventHeap

	start       time.Time // real time only
	posted      chan func()
	lateness    *hdrhistogram.Histogram
	maxLateness Micros
}

// NewVirtual returns a queue in virtual time, at 0.
func NewVirtual() *Queue { return &Queue{} }

// NewRealTime returns a queue on the machine's clock; 0 is when it is made.
func NewRealTime() *Queue {
	return &Queue{start: time.Now(), posted: make(chan func(), 4096),
		lateness: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// StartTime returns the instant of 0 on the machine's clock; it has no meaning in virtual time.
func (q *Queue) StartTime() time.Time { return q.start }

// Now returns the present instant.
func (q *Queue) Now() Micros {
	if q.posted != nil {
		return time.Since(q.start).Microseconds()
	}
	return q.now
}

// At does something at an instant; one that has passed is now. Events of the same instant run in the order set.
func (q *Queue) At(at Micros, action func()) *Event {
	q.sequence++
	if q.posted == nil {
		at = max(at, q.now)
	}
	e := &Event{action: action}
	q.events.push(entry{at, q.sequence, e})
	return e
}

// After does something after a delay.
func (q *Queue) After(delay Micros, action func()) *Event { return q.At(q.Now()+delay, action) }

// Cancel has an event not happen, if it is still to come. It may be nil. Its place is free once it would have been due.
func (q *Queue) Cancel(e *Event) {
	if e != nil {
		e.action = nil
	}
}

// pop takes the first event out, and says when it was due; nil if it was dropped.
func (q *Queue) pop() (Micros, func()) {
	e := q.events.pop()
	do := e.event.action
	e.event.action = nil
	return e.at, do
}

// Post has the goroutine in Run do something; real time only. It says no if ctx ended first.
func (q *Queue) Post(ctx context.Context, action func()) bool {
	select {
	case q.posted <- action:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run handles events until ctx ends, done says so, or, in virtual time, none is left.
func (q *Queue) Run(ctx context.Context, done func() bool) error {
	if q.posted != nil {
		return q.runRealTime(ctx, done)
	}
	for n := 0; len(q.events) > 0 && !done(); n++ {
		if n%4096 == 0 && ctx.Err() != nil {
			return context.Cause(ctx)
		}
		at, do := q.pop()
		if do != nil {
			q.now = at
			do()
		}
	}
	return nil
}

func (q *Queue) runRealTime(ctx context.Context, done func() bool) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !done() {
		now := q.Now()
		for len(q.events) > 0 && q.events[0].at <= now {
			at, do := q.pop()
			if do == nil {
				continue
			}
			lateness := now - at
			q.lateness.RecordValue(max(1, lateness))
			q.maxLateness = max(q.maxLateness, lateness)
			do()
		}
		wait := time.Hour
		if len(q.events) > 0 {
			wait = time.Duration(q.events[0].at-q.Now()) * time.Microsecond
		}
		timer.Reset(max(0, wait))
		select {
		case do := <-q.posted:
			do()
		case <-timer.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// Lateness tells by how much events were handled late: the 99.9th percentile, and the worst. Zero in virtual time.
func (q *Queue) Lateness() (p999, worst Micros) {
	if q.lateness == nil {
		return 0, 0
	}
	return q.lateness.ValueAtQuantile(99.9), q.maxLateness
}

// entry is an event in the heap, with what it is ordered by beside it: a run's heap is larger than the caches.
type entry struct {
	at       Micros
	sequence uint64
	event    *Event
}

func (a *entry) before(b *entry) bool { return a.at < b.at || a.at == b.at && a.sequence < b.sequence }

// eventHeap is a heap of four children a node.
type eventHeap []entry

func (h *eventHeap) push(e entry) {
	*h = append(*h, e)
	s := *h
	i := len(s) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !e.before(&s[parent]) {
			break
		}
		s[i] = s[parent]
		i = parent
	}
	s[i] = e
}

func (h *eventHeap) pop() entry {
	s := *h
	top, last := s[0], s[len(s)-1]
	s[len(s)-1] = entry{}
	s = s[:len(s)-1]
	*h = s
	if len(s) == 0 {
		return top
	}
	i := 0
	for {
		child := 4*i + 1
		if child >= len(s) {
			break
		}
		for c := child + 1; c < min(4*i+5, len(s)); c++ {
			if s[c].before(&s[child]) {
				child = c
			}
		}
		if !s[child].before(&last) {
			break
		}
		s[i] = s[child]
		i = child
	}
	s[i] = last
	return top
}
