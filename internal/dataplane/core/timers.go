package core

import (
	"container/heap"
	"time"

	"birchmoor/balancer"
)

// timer fires an event of the loop at an instant; timers of the same instant fire in the order in which they were set.
type timer struct {
	at    balancer.Micros
	seq   uint64
	fire  event
	index int // in the heap; -1 once out of it
}

// timerHeap implements heap.Interface.
type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = -1
	return t
}

func (l *EventLoop) setTimer(at balancer.Micros, fire event) *timer {
	l.timersSet++
	t := &timer{at: at, seq: l.timersSet, fire: fire}
	heap.Push(&l.timers, t)
	return t
}

// stopTimer removes a timer that has not fired, so that what it refers to can be freed. t may be nil.
func (l *EventLoop) stopTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// fireTimers fires all timers that are due, and returns the time until the next one, if there is one.
func (l *EventLoop) fireTimers(now balancer.Micros) (next time.Duration, ok bool) {
	for len(l.timers) > 0 && l.timers[0].at <= now {
		heap.Pop(&l.timers).(*timer).fire(now)
	}
	if len(l.timers) == 0 {
		return 0, false
	}
	return time.Duration(l.timers[0].at-now) * time.Microsecond, true
}
