package balancer

import "slices"

const (
	attemptTimeoutFactor = 6.0 // times the predicted latency
	minAttemptTimeout    = 5e4 // microseconds; a busy machine or a lost packet may take as long
)

// attempt is one send of a request.
type attempt struct {
	endpoint     *endpoint
	zone         uint8 // of the endpoint when it was sent: the list may move it
	cell         uint16
	sentAt       Micros
	expected     float64 // latency predicted when it was sent
	expectedWork float64 // work times the crowding when it was sent
	pending      bool    // without outcome
	streaming    bool    // its body or its answer is under way: the endpoint owes nothing
	mayHaveRun   bool    // it may have had its effect, or may yet
}

// maySend reports whether the rules allow an attempt at e now. Every attempt goes through send, which asks it.
func (b *Balancer) maySend(now Micros, r *request, e *endpoint) bool {
	limits := &r.Rules.settings.Limits
	if r.ended || r.responding || now >= r.Deadline || len(r.attempts) >= limits.MaxAttempts || !b.available(e) {
		return false
	}
	if r.pending > 0 && !limits.HedgedRequests {
		return false
	}
	// Only balancers that have the endpoint in their aperture share its slow-start budget.
	if e.isWarmingUp(now, b) && !(slices.Contains(b.aperture(now), e) && b.fitsSlowStartBudget(now, e, r.work)) {
		return false
	}
	return b.mayRepeat(now, r, e)
}

// mayRepeat reports whether an attempt at e cannot give the request a second effect.
func (b *Balancer) mayRepeat(now Micros, r *request, e *endpoint) bool {
	first := r.firstThatMayHaveRun()
	if first == nil {
		return true
	}
	c := b.class(r)
	switch c.Idempotency {
	case Idempotent:
		return true
	case WithIdempotencyKey:
		return now < first.sentAt+c.DedupWindow && first.sharesDedup(c.DedupScope, e)
	default:
		return false
	}
}

// sharesDedup reports whether e would recognise a repetition of an attempt.
func (a *attempt) sharesDedup(scope DedupScope, e *endpoint) bool {
	switch scope {
	case DedupAll:
		return true
	case DedupZone:
		return e.Zone == a.zone
	case DedupCell:
		return e.Cell == a.cell
	default:
		return false
	}
}

// send starts an attempt if the rules allow it.
func (b *Balancer) send(now Micros, r *request, e *endpoint) bool {
	if !b.maySend(now, r, e) {
		return false
	}
	if e.isWarmingUp(now, b) {
		e.slowStartBudget -= r.work * slowStartCharge
	}
	expected := b.predict(now, e, r.work)
	r.attempts = append(r.attempts, attempt{
		endpoint:     e,
		zone:         e.Zone,
		cell:         e.Cell,
		sentAt:       now,
		expected:     expected,
		expectedWork: r.work * b.crowding(now, e),
		pending:      true,
		mayHaveRun:   true,
	})
	r.pending++
	if e.inflight == e.streaming {
		e.silentSince = now
	}
	r.attempts[len(r.attempts)-1].setStreaming(now, r.BodyStreaming)
	e.inflight++
	e.lastSendAt = now
	b.undrained = slices.DeleteFunc(b.undrained, func(u undrainedEndpoint) bool { return u.id == e.ID })
	b.startTrials(now, r, e)
	b.out.Send(r.ID, e.ID, b.attemptTimeout(now, r, expected))
	b.out.Timer(max(1, r.Deadline-now), r.token)
	return true
}

// attemptTimeout is how long to wait for an attempt; 0 is for as long as the client waits. An attempt that takes
// several times the predicted latency most often sits on a connection that has fallen silent: where a retry is
// harmless and would still be in time, another endpoint gets the request.
func (b *Balancer) attemptTimeout(now Micros, r *request, expected float64) Micros {
	c := b.class(r)
	timeout := max(minAttemptTimeout, attemptTimeoutFactor*expected)
	retryPossible := len(r.attempts) < r.Rules.settings.Limits.MaxAttempts && b.retryBudget >= 1
	if c.Idempotency != Idempotent || r.BodyStreaming || !retryPossible {
		return 0
	}
	if float64(now-r.arrivedAt)+timeout+expected > float64(c.LatencyObjective) {
		return 0
	}
	return Micros(timeout)
}

// setStreaming notes whether a body or an answer is under way: the endpoint is not silent meanwhile.
func (a *attempt) setStreaming(now Micros, on bool) {
	if a.streaming == on {
		return
	}
	a.streaming = on
	if on {
		a.endpoint.streaming++
	} else {
		a.endpoint.streaming--
	}
	a.endpoint.silentSince = now
}

// ResponseStarted handles the start of a streamed answer. From now on neither a deadline nor another attempt
// concerns the request.
func (b *Balancer) ResponseStarted(now Micros, id uint64, attempt int, _ Micros) {
	r := b.requests[id]
	if r == nil || r.ended || !r.isPending(attempt) {
		return
	}
	r.responding = true
	r.attempts[attempt].setStreaming(now, true)
	r.onTime = indicator(now-r.arrivedAt <= b.class(r).LatencyObjective)
	b.cancelAttempts(r, attempt)
}

// UploadComplete handles the end of a streamed body. From now on the answer is waited for, until a new deadline.
func (b *Balancer) UploadComplete(now Micros, id uint64, deadline Micros) {
	r := b.requests[id]
	if r == nil || !r.BodyStreaming {
		return
	}
	r.BodyStreaming = false
	r.arrivedAt = now
	r.Deadline = deadline
	for i := range r.attempts {
		if a := &r.attempts[i]; a.pending {
			a.setStreaming(now, false)
		}
	}
	if !r.ended {
		b.out.Timer(max(1, deadline-now), r.token)
	}
}

// isPending reports whether a request has an attempt of this number without outcome.
func (r *request) isPending(attempt int) bool {
	return attempt >= 0 && attempt < len(r.attempts) && r.attempts[attempt].pending
}

// Outcome handles the end of an attempt: the request is finished, retried, or rejected.
func (b *Balancer) Outcome(now Micros, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || !r.isPending(o.Attempt) {
		return
	}
	a := &r.attempts[o.Attempt]
	a.pending = false
	a.setStreaming(now, false)
	r.pending--
	a.endpoint.inflight--
	a.endpoint.silentSince = now
	a.mayHaveRun = o.Status != Rejected && o.Status != ConnectFailed && o.Status != NotSent
	b.sentWork.add(now, r.work*indicator(a.mayHaveRun))
	b.recordOutcome(now, r, a, o.Status, o.Latency)
	if !r.ended && (o.Status != OK || !r.responding) {
		r.onTime = indicator(o.Status == OK && now-r.arrivedAt <= b.class(r).LatencyObjective)
	}
	if o.Answered || o.Status == OK || r.ended {
		b.finish(r)
		return
	}
	if r.pending > 0 {
		return
	}
	if !o.NotReplayable && b.retry(now, r) {
		return
	}
	b.rejectOrFail(now, r)
}

// recordOutcome takes an outcome into the averages, the breaker and the failure runs.
func (b *Balancer) recordOutcome(now Micros, r *request, a *attempt, status Status, latency Micros) {
	e := a.endpoint
	switch status {
	case OK:
		e.breaker.count(now, 1, 0)
		e.breaker.recordLatency(float64(latency))
		b.recordSuccess(r, e)
		b.learnPace(now, r, a, float64(latency), false)
	case Cancelled, NotSent:
		// These say nothing of the endpoint.
	default:
		e.breaker.count(now, 0, 1)
		b.recordFailures(now, r, e)
		if status == Timeout {
			b.learnPace(now, r, a, float64(latency), true)
		}
	}
}
