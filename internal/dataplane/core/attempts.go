package core

import (
	"context"
	"time"

	"birchmoor/balancer"
)

// startAttempt starts the next attempt of a request at the endpoint with a number. endpoint is nil if that was removed
// from the list in the meantime: the attempt then ends as NotSent. A timeout of 0 leaves only the client's deadline.
func (l *EventLoop) startAttempt(request *Request, endpoint *endpointState, number uint32, timeout balancer.Micros) {
	now := l.clock.Now()
	ctx, cancel := context.WithCancelCause(context.Background())
	attempt := &attemptState{
		request:     request,
		number:      len(request.attempts),
		endpoint:    endpoint,
		startedAt:   now,
		startedTime: time.Now(),
		deadline:    request.Input.Deadline,
		cancel:      cancel,
		sendDone:    make(chan struct{}),
	}
	if timeout > 0 {
		attempt.deadline = min(attempt.deadline, now+timeout)
	}
	// Both depend on the earlier attempts only, so they come before the new attempt is added.
	retryDeadline, waitForEarlierAttempts := request.retryDeadline(), request.waitForEarlierAttempts(l.upstream)
	request.attempts = append(request.attempts, attempt)
	request.openAttempts++
	if request.ended || endpoint == nil || now >= attempt.deadline || len(request.attempts) > request.maxAttempts() {
		close(attempt.sendDone)
		if endpoint == nil {
			attempt.endpoint = &endpointState{number: number}
		}
		notSent := Reply{Status: balancer.NotSent, At: now}
		l.setTimer(now, func(now balancer.Micros) { l.attemptEnded(now, attempt, notSent) })
		return
	}
	attempt.timeout = l.setTimer(attempt.deadline, func(now balancer.Micros) { l.attemptTimedOut(now, attempt) })
	attempt.uploading = request.StreamsBody
	mayContinue := l.attemptCondition(attempt, retryDeadline)
	target, deadline := endpoint.target, attempt.deadline // bodyReceived may change the attempt's
	go func() {
		defer close(attempt.sendDone)
		waitForEarlierAttempts()
		l.send(ctx, attempt, target, deadline, mayContinue)
	}()
}

// attemptCondition returns a function that reports whether an attempt may still be sent. While the attempt waited for a
// connection, the grace period of a drain, the deadline or the idempotency window may have ended, or the client may
// have disconnected. The function may be called from any goroutine.
func (l *EventLoop) attemptCondition(attempt *attemptState, retryDeadline balancer.Micros,
) func(now balancer.Micros) bool {
	endpoint, deadline := attempt.endpoint, min(attempt.deadline, retryDeadline)
	return func(now balancer.Micros) bool {
		stopAt := endpoint.stopAt.Load()
		draining := stopAt != 0 && now >= stopAt
		return !draining && now < deadline && !l.checkClientDisconnected(attempt.request)
	}
}

// send makes an attempt and posts its result to the loop. It runs on the attempt's goroutine.
func (l *EventLoop) send(ctx context.Context, attempt *attemptState, target Target, deadline balancer.Micros,
	mayContinue func(balancer.Micros) bool) {
	reply := target.Send(ctx, Attempt{
		Request:     attempt.request.Payload,
		Deadline:    deadline,
		MayContinue: mayContinue,
		Begin:       func(now balancer.Micros) bool { return mayContinue(now) && attempt.gate.pass() },
		BodyEnding:  attempt.bodyGate.pass,
		BodySent: func(balancer.Micros) {
			l.post(func(now balancer.Micros) { l.bodySent(now, attempt) })
		},
	})
	l.post(func(now balancer.Micros) {
		if reply.Content != nil && reply.Content.Streams() {
			l.streamStarted(now, attempt, reply)
			return
		}
		l.attemptEnded(now, attempt, reply)
	})
}

// bodySent records that an attempt has sent its streamed body: its latency counts from now.
func (l *EventLoop) bodySent(now balancer.Micros, attempt *attemptState) {
	if attempt.phase != attemptOpen {
		return
	}
	attempt.uploading = false
	attempt.startedAt, attempt.startedTime = now, time.Now()
}

// bodyReceived sets the deadline of a request and its open attempts when the client has written its streamed body.
func (l *EventLoop) bodyReceived(now balancer.Micros, request *Request, deadline balancer.Micros) {
	if request.ended || !request.Input.BodyStreaming {
		return
	}
	request.Input.BodyStreaming = false
	request.Input.Deadline = deadline
	for _, attempt := range request.attempts {
		if attempt.phase != attemptOpen || attempt.timeout == nil {
			continue
		}
		attempt.deadline = deadline
		l.stopTimer(attempt.timeout)
		attempt.timeout = l.setTimer(deadline, func(now balancer.Micros) { l.attemptTimedOut(now, attempt) })
	}
	l.balancer.UploadComplete(now, request.Input.ID, deadline)
}

// streamStarted gives the client a streamed answer, which is final. The attempt ends when the stream does.
func (l *EventLoop) streamStarted(now balancer.Micros, attempt *attemptState, reply Reply) {
	request := attempt.request
	if attempt.phase != attemptOpen || request.ended {
		reply.Release()
		reply.Status = balancer.Cancelled
		l.attemptEnded(now, attempt, reply)
		return
	}
	l.stopTimer(attempt.timeout)
	streamEnded := func(end StreamEnd) {
		result := Reply{Status: streamStatus(end), At: reply.At, Load: reply.Load}
		l.post(func(now balancer.Micros) { l.attemptEnded(now, attempt, result) })
	}
	l.answer(request, Answer{Disposition: Served, Reply: &reply, StreamEnded: streamEnded})
	l.balancer.ResponseStarted(now, request.Input.ID, attempt.number, max(0, reply.At-attempt.startedAt))
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

// attemptEnded passes the outcome of an attempt on to the module. The client receives the first complete reply of any
// attempt; later replies are released.
func (l *EventLoop) attemptEnded(now balancer.Micros, attempt *attemptState, reply Reply) {
	request := attempt.request
	if attempt.phase != attemptOpen {
		l.replyAfterOutcome(now, attempt, reply)
		return
	}
	attempt.neverRan = reply.Status == balancer.Rejected || reply.Status == balancer.ConnectFailed ||
		reply.Status == balancer.NotSent
	if reply.Status == balancer.Timeout && !request.ended && l.upstream.AcceptsLateReplies() {
		attempt.phase = attemptLateReply
	} else {
		attempt.phase = attemptDone
		attempt.cancel(cancelCause(reply.Status))
	}
	l.stopTimer(attempt.timeout)
	request.openAttempts--
	request.timedOut = reply.Status == balancer.Timeout
	if reply.Status == balancer.OK && !request.ended {
		l.answer(request, Answer{Disposition: Served, Reply: &reply})
	} else {
		reply.Release()
	}
	l.removeIfDone(request)
	l.balancer.Outcome(now, balancer.Outcome{
		ID:            request.Input.ID,
		Attempt:       attempt.number,
		Endpoint:      attempt.endpoint.number,
		Status:        reply.Status,
		Latency:       max(0, reply.At-attempt.startedAt),
		Answered:      request.ended,
		NotReplayable: reply.RequestConsumed,
		Load:          reply.Load,
	})
}

// cancelCause returns the cause that ends the context of an attempt with the given outcome. It has an effect only if
// Target.Send has not returned: the attempt was cancelled or timed out.
func cancelCause(outcome balancer.Status) error {
	if outcome == balancer.Cancelled {
		return ErrAttemptCancelled
	}
	return ErrAttemptTimedOut
}

// replyAfterOutcome handles the result of an attempt whose outcome the module already has. A complete reply after the
// attempt's timeout still answers a request that has no answer yet, if the transport accepts late replies.
func (l *EventLoop) replyAfterOutcome(now balancer.Micros, attempt *attemptState, reply Reply) {
	if attempt.phase == attemptLateReply && !attempt.request.ended && reply.Status == balancer.OK {
		l.lateReply(now, attempt.request, reply)
		return
	}
	reply.Release()
}

// lateReply answers a request with the reply of an attempt whose outcome for the module was a timeout. It cancels the
// open attempts, whose outcomes tell the module that the request is answered.
func (l *EventLoop) lateReply(now balancer.Micros, request *Request, reply Reply) {
	l.answer(request, Answer{Disposition: Served, Reply: &reply})
	cancelled := false
	for _, attempt := range request.attempts {
		if attempt.phase == attemptOpen {
			l.attemptEnded(now, attempt, Reply{Status: balancer.Cancelled, At: now})
			cancelled = true
		}
	}
	if !cancelled { // no outcome tells the module, which is delaying the next attempt
		l.balancer.ClientDisconnected(now, request.Input.ID)
	}
}

// attemptTimedOut ends an attempt at its deadline on the loop's clock, even if Target.Send has not returned.
func (l *EventLoop) attemptTimedOut(now balancer.Micros, attempt *attemptState) {
	if attempt.phase != attemptOpen {
		return
	}
	status := balancer.Timeout
	switch {
	case attempt.gate.close():
		// Nothing was sent. It counts against the endpoint only if the dial had the whole dial timeout.
		status = balancer.NotSent
		if now-attempt.startedAt >= l.config.Settings.Limits.DialTimeout {
			status = balancer.ConnectFailed
		}
	case attempt.uploading && attempt.bodyGate.close():
		attempt.endpoint.target.CloseUnusedSince(attempt.startedTime)
		status = balancer.ConnectFailed // the last byte of the body is not sent any more
	default:
		attempt.endpoint.target.CloseUnusedSince(attempt.startedTime)
	}
	l.attemptEnded(now, attempt, Reply{Status: status, At: now, RequestConsumed: attempt.request.StreamsBody})
}
