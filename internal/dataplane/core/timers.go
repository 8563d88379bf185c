package core

import (
	"container/heap"
	"time"

	"birchmoor/balancer"
)

// timer fires an event of the loop at a given time. Timers that are due at the same time fire in the order in which
// they were set.
type timer struct {
	due   balancer.Micros
	seq   uint64
	fire  event
	index int // index in the heap; -1 once removed from it
}

// timerHeap implements heap.Interface; the first timer is the next one that is due.
type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if h[i].due != h[j].due {
		return h[i].due < h[j].due
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

// setTimer sets a timer for a time on the loop's clock. If that has passed, the timer fires when the loop
// next handles timers.
func (l *EventLoop) setTimer(due balancer.Micros, fire event) *timer {
	l.timerCount++
	t := &timer{due: due, seq: l.timerCount, fire: fire}
	heap.Push(&l.timers, t)
	return t
}

// stopTimer removes a timer that has not fired, so that the objects it refers to can be freed. t may be nil.
func (l *EventLoop) stopTimer(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&l.timers, t.index)
	}
}

// fireTimers fires all timers that are due, and returns the time until the next one. ok is false if no timer is set.
func (l *EventLoop) fireTimers(now balancer.Micros) (next time.Duration, ok bool) {
	for len(l.timers) > 0 && l.timers[0].due <= now {
		heap.Pop(&l.timers).(*timer).fire(now)
	}
	if len(l.timers) == 0 {
		return 0, false
	}
	return time.Duration(l.timers[0].due-now) * time.Microsecond, true
}
