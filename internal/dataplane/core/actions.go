package core

import (
	"time"

	"birchmoor/balancer"
)

// The methods in this file implement balancer.Actions. The module calls them on the loop's goroutine.

// Send starts an attempt.
func (l *EventLoop) Send(id uint64, number uint32, timeout balancer.Micros) {
	if r := l.requests[id]; r != nil {
		l.startAttempt(r, l.byNumber[number], number, timeout)
	}
}

// Reject gives a request the final answer Rejected, which promises its client that a retry is harmless.
func (l *EventLoop) Reject(id uint64, retryAfter balancer.Micros) {
	r := l.requests[id]
	if r == nil || r.ended {
		return
	}
	l.answer(r, Answer{Disposition: Rejected, RetryAfter: time.Duration(retryAfter) * time.Microsecond})
	l.forget(r)
}

// Fail gives a request the final answer Failed, which promises nothing.
func (l *EventLoop) Fail(id uint64) {
	r := l.requests[id]
	if r == nil || r.ended {
		return
	}
	disposition := Failed
	if r.timedOut {
		disposition = FailedTimeout
	}
	l.answer(r, Answer{Disposition: disposition})
	l.forget(r)
}

// Cancel closes the connection of an attempt. One of which nothing was sent never ran.
func (l *EventLoop) Cancel(id uint64, number int) {
	r := l.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return
	}
	a := r.attempts[number]
	if a.phase != attemptOpen {
		return
	}
	status := balancer.Cancelled
	if a.gate.close() {
		status = balancer.NotSent
	}
	a.cancel()
	now := l.clock.Now()
	l.setTimer(now, func(now balancer.Micros) { l.attemptEnded(now, a, Reply{Status: status, At: now}) })
}

// Timer requests a timer event.
func (l *EventLoop) Timer(delay balancer.Micros, token uint32) {
	l.setTimer(l.clock.Now()+delay, func(now balancer.Micros) { l.balancer.Timer(now, token) })
}

// Probe asks an endpoint for its load.
func (l *EventLoop) Probe(number uint32) {
	e := l.byNumber[number]
	if e == nil {
		return
	}
	sent, target := l.clock.Now(), e.target
	go func() {
		reply := target.Probe()
		l.post(func(now balancer.Micros) {
			l.balancer.ProbeCompleted(now, number, reply.Status, max(0, reply.At-sent), reply.Load)
		})
	}()
}

// Watch subscribes to changes of discovery's list, or ends the subscription.
func (l *EventLoop) Watch(on bool) { l.setWatch(on) }

// Log logs a line for operators.
func (l *EventLoop) Log(line string) { l.log.Info(line) }
