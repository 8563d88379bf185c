package core

import (
	"time"

	"birchmoor/balancer"
)

// The methods in this file implement balancer.Actions. The decision module calls them on the loop's goroutine.

// Send starts the next attempt of a request at the endpoint with a number. A timeout of 0 leaves only the client's
// deadline.
func (l *EventLoop) Send(id uint64, number uint32, timeout balancer.Micros) {
	if request := l.requests[id]; request != nil {
		l.startAttempt(request, l.endpointsByNumber[number], number, timeout)
	}
}

// Reject gives a request the final answer Rejected: the request never ran, so that the client may safely retry it.
func (l *EventLoop) Reject(id uint64, retryAfter balancer.Micros) {
	request := l.requests[id]
	if request == nil || request.ended {
		return
	}
	l.answer(request, Answer{Disposition: Rejected, RetryAfter: time.Duration(retryAfter) * time.Microsecond})
	l.removeIfDone(request)
}

// Fail gives a request the final answer Failed, or FailedTimeout after a timeout: the request may have run.
func (l *EventLoop) Fail(id uint64) {
	request := l.requests[id]
	if request == nil || request.ended {
		return
	}
	disposition := Failed
	if request.timedOut {
		disposition = FailedTimeout
	}
	l.answer(request, Answer{Disposition: disposition})
	l.removeIfDone(request)
}

// Cancel cancels an open attempt. Its outcome is NotSent if its first byte was not sent yet, else Cancelled.
func (l *EventLoop) Cancel(id uint64, number int) {
	request := l.requests[id]
	if request == nil || number < 0 || number >= len(request.attempts) {
		return
	}
	attempt := request.attempts[number]
	if attempt.phase != attemptOpen {
		return
	}
	status := balancer.Cancelled
	if attempt.gate.close() {
		status = balancer.NotSent
	}
	attempt.cancel(ErrAttemptCancelled)
	now := l.clock.Now()
	l.setTimer(now, func(now balancer.Micros) { l.attemptEnded(now, attempt, Reply{Status: status, At: now}) })
}

// Timer calls the module's Timer with token after delay.
func (l *EventLoop) Timer(delay balancer.Micros, token uint32) {
	l.setTimer(l.clock.Now()+delay, func(now balancer.Micros) { l.balancer.Timer(now, token) })
}

// Probe requests the load report of an endpoint, and passes the result on to the module.
func (l *EventLoop) Probe(number uint32) {
	endpoint := l.endpointsByNumber[number]
	if endpoint == nil {
		return
	}
	sentAt, target := l.clock.Now(), endpoint.target
	go func() {
		reply := target.Probe()
		l.post(func(now balancer.Micros) {
			l.balancer.ProbeCompleted(now, number, reply.Status, max(0, reply.At-sentAt), reply.Load)
		})
	}()
}

// Watch subscribes to changes of discovery's list, or ends the subscription.
func (l *EventLoop) Watch(subscribed bool) { l.setWatch(subscribed) }

// Log writes a line of the decision module to the operators' log.
func (l *EventLoop) Log(line string) { l.log.Info(line) }
