package core

import (
	"maps"
	"slices"
	"time"

	"birchmoor/balancer"
)

// Submit hands a client's request to the loop, which sends exactly one answer on request.Answer.
func (l *EventLoop) Submit(request *Request) {
	l.post(func(now balancer.Micros) {
		if l.rejectsNewRequests {
			request.ended = true
			request.Answer <- Answer{Disposition: Rejected}
			return
		}
		if l.isDuplicate(now, request) {
			request.ended = true
			request.Answer <- Answer{Disposition: DuplicateID}
			return
		}
		l.lastRequestID++
		request.Input.ID = l.lastRequestID
		l.requests[request.Input.ID], l.requestsByClientID[request.ID] = request, request
		if reporter := l.requestReporter.Load(); reporter != nil && !request.isRepeatable() {
			reporter.report(keyOf(request.ID))
		}
		l.balancer.Request(now, request.Input)
	})
}

// BodyReceived reports that a streamed body has arrived, or that its client may have waited for its answer for as long
// as it does. The request must be answered by deadline.
func (l *EventLoop) BodyReceived(request *Request, deadline balancer.Micros) {
	l.post(func(now balancer.Micros) { l.bodyReceived(now, request, deadline) })
}

// ClientDisconnected reports that the client of a request has disconnected. The loop still sends the one answer on
// request.Answer: an answer from before it handled the report, or Rejected or Failed for the abandoned request.
func (l *EventLoop) ClientDisconnected(request *Request) {
	l.post(func(now balancer.Micros) { l.abandon(now, request) })
}

// checkClientDisconnected reports whether the client of a request has disconnected, and if so makes the loop abandon
// the request. It is called on the goroutine of an attempt right before the first byte: no attempt may begin more than
// 0.1 s after the client closed its connection, and the event of ClientDisconnected may come too late for that, since
// the client may have disconnected before the request was read, and the event waits behind others.
func (l *EventLoop) checkClientDisconnected(request *Request) bool {
	if request.ClientDisconnected == nil || !request.ClientDisconnected() {
		return false
	}
	l.ClientDisconnected(request)
	return true
}

// abandon answers a request that has no answer yet and closes the gates of its attempts. The answer is Rejected if no
// attempt has run or can still run, otherwise Failed.
func (l *EventLoop) abandon(now balancer.Micros, request *Request) {
	if request.ended {
		return
	}
	disposition := Rejected
	for _, attempt := range request.attempts {
		if !attempt.gate.close() && !attempt.neverRan {
			disposition = Failed
		}
	}
	l.answer(request, Answer{Disposition: disposition})
	l.balancer.ClientDisconnected(now, request.Input.ID)
}

// CloseAfter makes the loop abandon all requests that are still open after delay, and reject new requests from then on:
// the process is about to be killed, and requests without an answer would be lost.
func (l *EventLoop) CloseAfter(delay time.Duration) {
	l.post(func(now balancer.Micros) {
		l.setTimer(now+delay.Microseconds(), l.close)
	})
}

// close abandons all open requests and makes Submit reject new ones.
func (l *EventLoop) close(now balancer.Micros) {
	l.rejectsNewRequests = true
	for _, id := range slices.Sorted(maps.Keys(l.requests)) {
		if request := l.requests[id]; request != nil {
			l.abandon(now, request)
		}
	}
}

// answer ends a request with its final answer.
func (l *EventLoop) answer(request *Request, answer Answer) {
	l.end(request)
	for _, attempt := range request.attempts {
		answer.MayHaveRun = answer.MayHaveRun || attempt.gate.hasPassed()
	}
	request.Answer <- answer // does not block: the buffer has room for one, and request.ended prevents a second
}

// end marks a request as ended. Its attempts that were not sent yet never are, and late replies are no longer awaited.
func (l *EventLoop) end(request *Request) {
	request.ended = true
	for _, attempt := range request.attempts {
		switch attempt.phase {
		case attemptOpen:
			attempt.gate.close()
		case attemptLateReply:
			attempt.cancel(ErrAttemptCancelled)
		case attemptDone:
		}
	}
	l.removeIfDone(request)
}

// removeIfDone removes a request that has ended and whose attempts all have outcomes. If it may have run and must not
// run twice, its ID is remembered: a client that left, or lost its answer, may send it again.
func (l *EventLoop) removeIfDone(request *Request) {
	if !request.ended || request.openAttempts > 0 || l.requests[request.Input.ID] != request {
		return
	}
	delete(l.requests, request.Input.ID)
	delete(l.requestsByClientID, request.ID)
	if !request.isRepeatable() && request.mayHaveRun() {
		l.recentRequests.add(l.clock.Now(), keyOf(request.ID))
	}
}
