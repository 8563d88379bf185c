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
	do func() // nil once done or dropped
}

// Queue holds events. Only the goroutine in Run may use it, but for Post and Now in real time.
type Queue struct {
	now    Micros
	order  uint64
	events eventHeap

	start  time.Time // real time only
	posted chan func()
	late   *hdrhistogram.Histogram
	worst  Micros
}

// Virtual returns a queue in virtual time, at 0.
func Virtual() *Queue { return &Queue{} }

// Real returns a queue on the machine's clock; 0 is when it is made.
func Real() *Queue {
	return &Queue{start: time.Now(), posted: make(chan func(), 4096),
		late: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// Start returns the instant of 0 on the machine's clock; it has no meaning in virtual time.
func (q *Queue) Start() time.Time { return q.start }

// Now returns the present instant.
func (q *Queue) Now() Micros {
	if q.posted != nil {
		return time.Since(q.start).Microseconds()
	}
	return q.now
}

// At does something at an instant; one that has passed is now. Events of the same instant run in the order set.
func (q *Queue) At(at Micros, do func()) *Event {
	q.order++
	if q.posted == nil {
		at = max(at, q.now)
	}
	e := &Event{do: do}
	q.events.push(entry{at, q.order, e})
	return e
}

// After does something after a delay.
func (q *Queue) After(delay Micros, do func()) *Event { return q.At(q.Now()+delay, do) }

// Drop has an event not happen, if it is still to come. It may be nil. Its place is free once it would have been due.
func (q *Queue) Drop(e *Event) {
	if e != nil {
		e.do = nil
	}
}

// next takes the first event out, and says when it was due; nil if it was dropped.
func (q *Queue) next() (Micros, func()) {
	e := q.events.pop()
	do := e.event.do
	e.event.do = nil
	return e.at, do
}

// Post has the goroutine in Run do something; real time only. It says no if ctx ended first.
func (q *Queue) Post(ctx context.Context, do func()) bool {
	select {
	case q.posted <- do:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run handles events until ctx ends, done says so, or, in virtual time, none is left.
func (q *Queue) Run(ctx context.Context, done func() bool) error {
	if q.posted != nil {
		return q.runReal(ctx, done)
	}
	for n := 0; len(q.events) > 0 && !done(); n++ {
		if n%4096 == 0 && ctx.Err() != nil {
			return context.Cause(ctx)
		}
		at, do := q.next()
		if do != nil {
			q.now = at
			do()
		}
	}
	return nil
}

func (q *Queue) runReal(ctx context.Context, done func() bool) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !done() {
		now := q.Now()
		for len(q.events) > 0 && q.events[0].at <= now {
			at, do := q.next()
			if do == nil {
				continue
			}
			by := now - at
			q.late.RecordValue(max(1, by))
			q.worst = max(q.worst, by)
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
	if q.late == nil {
		return 0, 0
	}
	return q.late.ValueAtQuantile(99.9), q.worst
}

// entry is an event in the heap, with what it is ordered by beside it: a run's heap is larger than the caches.
type entry struct {
	at    Micros
	order uint64
	event *Event
}

func (a *entry) before(b *entry) bool { return a.at < b.at || a.at == b.at && a.order < b.order }

// eventHeap is a heap of four children a node.
type eventHeap []entry

func (h *eventHeap) push(e entry) {
	*h = append(*h, e)
	s := *h
	i := len(s) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !e.before(&s[up]) {
			break
		}
		s[i] = s[up]
		i = up
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
		least := 4*i + 1
		if least >= len(s) {
			break
		}
		for c := least + 1; c < min(4*i+5, len(s)); c++ {
			if s[c].before(&s[least]) {
				least = c
			}
		}
		if !s[least].before(&last) {
			break
		}
		s[i] = s[least]
		i = least
	}
	s[i] = last
	return top
}
