package core

import (
	"maps"
	"slices"
	"time"

	"birchmoor/balancer"
)

// Submit hands a client's request to the loop. The one final answer comes on r.Answer.
func (l *EventLoop) Submit(r *Request) {
	l.post(func(now balancer.Micros) {
		if l.closed {
			r.ended = true
			r.Answer <- Answer{Disposition: Rejected}
			return
		}
		if l.byClientID[r.ID] != nil {
			r.ended = true
			r.Answer <- Answer{Disposition: DuplicateID}
			return
		}
		l.lastID++
		r.Input.ID = l.lastID
		l.requests[r.Input.ID], l.byClientID[r.ID] = r, r
		l.balancer.Request(now, r.Input)
	})
}

// ClientLeft reports that the client of a request has gone. The one answer still comes on r.Answer: one that was made
// in the meantime, or that the request was abandoned.
func (l *EventLoop) ClientLeft(r *Request) {
	l.post(func(now balancer.Micros) { l.abandon(now, r) })
}

// clientGone reports whether the client of a request has gone, and has the loop abandon the request then. An attempt
// calls it right before its first byte, since no attempt may begin more than 0.1 s after the client closed its
// connection, and the event of ClientLeft may be late: the client may have gone before the request was read, and the
// event waits behind others.
func (l *EventLoop) clientGone(r *Request) bool {
	if r.ClientGone == nil || !r.ClientGone() {
		return false
	}
	l.ClientLeft(r)
	return true
}

// abandon ends a request that has no answer yet: as rejected if nothing was sent for it, since now nothing will be,
// else as failed.
func (l *EventLoop) abandon(now balancer.Micros, r *Request) {
	if r.ended {
		return
	}
	disposition := Rejected
	for _, a := range r.attempts {
		if !a.gate.close() && !a.neverRan {
			disposition = Failed
		}
	}
	l.answer(r, Answer{Disposition: disposition})
	l.balancer.ClientDisconnected(now, r.Input.ID)
}

// EndAfter answers all requests that are still open after a delay, and from then on new ones at once: this process is
// about to be killed, which would lose them.
func (l *EventLoop) EndAfter(delay time.Duration) {
	l.post(func(now balancer.Micros) {
		l.setTimer(now+delay.Microseconds(), l.close)
	})
}

func (l *EventLoop) close(now balancer.Micros) {
	l.closed = true
	for _, id := range slices.Sorted(maps.Keys(l.requests)) {
		if r := l.requests[id]; r != nil {
			l.abandon(now, r)
		}
	}
}

// answer gives a request its one final answer. Nothing new is sent for it.
func (l *EventLoop) answer(r *Request, answer Answer) {
	l.end(r)
	for _, a := range r.attempts {
		answer.MayHaveRun = answer.MayHaveRun || a.gate.hasPassed()
	}
	r.Answer <- answer // does not block: there is room for one, and r.ended allows no second
}

// end ends a request: attempts that were not sent yet are not, and late replies are not awaited any more.
func (l *EventLoop) end(r *Request) {
	r.ended = true
	for _, a := range r.attempts {
		switch a.phase {
		case attemptOpen:
			a.gate.close()
		case attemptLateReply:
			a.cancel()
		case attemptDone:
		}
	}
	l.forget(r)
}

// forget removes a request that has ended once it has all outcomes.
func (l *EventLoop) forget(r *Request) {
	if r.ended && r.openAttempts == 0 {
		delete(l.requests, r.Input.ID)
		delete(l.byClientID, r.ID)
	}
}
