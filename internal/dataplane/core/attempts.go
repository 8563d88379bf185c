package core

import (
	"context"
	"time"

	"birchmoor/balancer"
)

// startAttempt starts the next attempt of a request at an endpoint, which is nil if it was removed from the list in the
// meantime. A timeout of 0 is none but the client's deadline.
func (l *EventLoop) startAttempt(r *Request, e *endpoint, number uint32, timeout balancer.Micros) {
	now := l.clock.Now()
	ctx, cancel := context.WithCancel(context.Background())
	a := &attemptState{
		request:     r,
		number:      len(r.attempts),
		endpoint:    e,
		startedAt:   now,
		startedTime: time.Now(),
		deadline:    r.Input.Deadline,
		cancel:      cancel,
		closed:      make(chan struct{}),
	}
	if timeout > 0 {
		a.deadline = min(a.deadline, now+timeout)
	}
	retryDeadline, waitForOthers := r.retryDeadline(), r.waitForOthers(l.upstream) // of the attempts before
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	if r.ended || e == nil || now >= a.deadline || len(r.attempts) > r.maxAttempts() {
		close(a.closed)
		if e == nil {
			a.endpoint = &endpoint{number: number}
		}
		notSent := Reply{Status: balancer.NotSent, At: now}
		l.setTimer(now, func(now balancer.Micros) { l.attemptEnded(now, a, notSent) })
		return
	}
	a.timeout = l.setTimer(a.deadline, func(now balancer.Micros) { l.attemptTimedOut(now, a) })
	a.uploading = r.StreamsBody && r.Input.BodyStreaming
	mayContinue := l.attemptCondition(a, retryDeadline)
	target := e.target
	go func() {
		defer close(a.closed)
		waitForOthers()
		l.send(ctx, a, target, mayContinue)
	}()
}

// attemptCondition returns a function that reports whether an attempt may still be sent. The dial may have outlasted
// the grace of a drain, the time of the request, or the window for its retries.
func (l *EventLoop) attemptCondition(a *attemptState, retryDeadline balancer.Micros) func(now balancer.Micros) bool {
	endpoint, deadline := a.endpoint, min(a.deadline, retryDeadline)
	return func(now balancer.Micros) bool {
		stopAt := endpoint.stopAt.Load()
		draining := stopAt != 0 && now >= stopAt
		return !draining && now < deadline && !l.clientGone(a.request)
	}
}

// send makes an attempt and posts its result to the loop. It runs on the attempt's goroutine.
func (l *EventLoop) send(ctx context.Context, a *attemptState, target Target, mayContinue func(balancer.Micros) bool) {
	reply := target.Send(ctx, Attempt{
		Request:     a.request.Payload,
		Deadline:    a.deadline,
		MayContinue: mayContinue,
		Begin:       func(now balancer.Micros) bool { return mayContinue(now) && a.gate.pass() },
		BodySent: func(balancer.Micros) {
			l.post(func(now balancer.Micros) { l.bodySent(now, a) })
		},
	})
	l.post(func(now balancer.Micros) {
		if reply.Content != nil && reply.Content.Streams() {
			l.streamBegins(now, a, reply)
			return
		}
		l.attemptEnded(now, a, reply)
	})
}

// bodySent notes that a streamed body was sent completely: the client's time counts from here.
func (l *EventLoop) bodySent(now balancer.Micros, a *attemptState) {
	if a.phase != attemptOpen {
		return
	}
	r := a.request
	a.uploading = false
	a.startedAt, a.startedTime = now, time.Now()
	r.Input.Deadline = now + r.TimeAfterBody
	a.deadline = r.Input.Deadline
	l.stopTimer(a.timeout)
	a.timeout = l.setTimer(a.deadline, func(now balancer.Micros) { l.attemptTimedOut(now, a) })
	l.balancer.UploadComplete(now, r.Input.ID, r.Input.Deadline)
}

// streamBegins gives the client a streamed answer. It is the final one; how it ends is reported later.
func (l *EventLoop) streamBegins(now balancer.Micros, a *attemptState, reply Reply) {
	r := a.request
	if a.phase != attemptOpen || r.ended {
		reply.Release()
		reply.Status = balancer.Cancelled
		l.attemptEnded(now, a, reply)
		return
	}
	l.stopTimer(a.timeout)
	streamEnded := func(end StreamEnd) {
		result := Reply{Status: streamStatus(end), At: reply.At, Load: reply.Load}
		l.post(func(now balancer.Micros) { l.attemptEnded(now, a, result) })
	}
	l.answer(r, Answer{Disposition: Served, Reply: &reply, StreamEnded: streamEnded})
	l.balancer.ResponseStarted(now, r.Input.ID, a.number, max(0, reply.At-a.startedAt))
}

func streamStatus(end StreamEnd) balancer.Status {
	switch end {
	case StreamCut:
		return balancer.Reset
	case StreamAbandoned:
		return balancer.Cancelled
	default:
		return balancer.OK
	}
}

// attemptEnded passes the outcome of an attempt on to the module. The first complete reply of an endpoint is the
// client's.
func (l *EventLoop) attemptEnded(now balancer.Micros, a *attemptState, reply Reply) {
	r := a.request
	if a.phase != attemptOpen {
		l.replyAfterOutcome(now, a, reply)
		return
	}
	a.neverRan = reply.Status == balancer.Rejected || reply.Status == balancer.ConnectFailed ||
		reply.Status == balancer.NotSent
	if reply.Status == balancer.Timeout && !r.ended && l.upstream.AcceptsLateReplies() {
		a.phase = attemptLateReply
	} else {
		a.phase = attemptDone
		a.cancel()
	}
	l.stopTimer(a.timeout)
	r.openAttempts--
	r.timedOut = reply.Status == balancer.Timeout
	if reply.Status == balancer.OK && !r.ended {
		l.answer(r, Answer{Disposition: Served, Reply: &reply})
	} else {
		reply.Release()
	}
	l.forget(r)
	l.balancer.Outcome(now, balancer.Outcome{
		ID:            r.Input.ID,
		Attempt:       a.number,
		Endpoint:      a.endpoint.number,
		Status:        reply.Status,
		Latency:       max(0, reply.At-a.startedAt),
		Answered:      r.ended,
		NotReplayable: reply.RequestConsumed,
		Load:          reply.Load,
	})
}

// replyAfterOutcome handles the result of an attempt whose outcome the module has already. After a timeout the client
// may still want it.
func (l *EventLoop) replyAfterOutcome(now balancer.Micros, a *attemptState, reply Reply) {
	if a.phase == attemptLateReply && !a.request.ended && reply.Status == balancer.OK {
		l.lateReply(now, a.request, reply)
		return
	}
	reply.Release()
}

// lateReply answers a request by an attempt that timed out for the module. Open attempts are cancelled, by which the
// module learns that the request has its answer.
func (l *EventLoop) lateReply(now balancer.Micros, r *Request, reply Reply) {
	l.answer(r, Answer{Disposition: Served, Reply: &reply})
	cancelled := false
	for _, a := range r.attempts {
		if a.phase == attemptOpen {
			l.attemptEnded(now, a, Reply{Status: balancer.Cancelled, At: now})
			cancelled = true
		}
	}
	if !cancelled { // the module is holding the request back
		l.balancer.ClientDisconnected(now, r.Input.ID)
	}
}

// attemptTimedOut ends an attempt at its deadline by the loop's clock, whatever its connection does.
func (l *EventLoop) attemptTimedOut(now balancer.Micros, a *attemptState) {
	if a.phase != attemptOpen {
		return
	}
	status := balancer.Timeout
	switch {
	case a.gate.close():
		// Nothing was sent. Only a dial that had its whole time is evidence against the endpoint.
		status = balancer.NotSent
		if now-a.startedAt >= l.config.Settings.Limits.DialTimeout {
			status = balancer.ConnectFailed
		}
	case a.uploading:
		a.endpoint.target.CloseUnusedSince(a.startedTime)
		status = balancer.ConnectFailed // its last byte was not sent
	default:
		a.endpoint.target.CloseUnusedSince(a.startedTime)
	}
	l.attemptEnded(now, a, Reply{Status: status, At: now, RequestConsumed: a.request.StreamsBody})
}
