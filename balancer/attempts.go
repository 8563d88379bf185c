package balancer

import "slices"

const (
	attemptTimeoutFactor    = 6.0 // timeout over predicted latency
	minAttemptTimeoutMicros = 5e4 // a busy machine or a lost packet may delay an answer by as much
)

// attempt is one send of a request.
type attempt struct {
	endpoint        *endpoint
	zone            uint8  // zone of the endpoint at the time of sending; a later list may change it
	cell            uint16 // cell of the endpoint at the time of sending
	sentAt          Micros
	expectedLatency float64 // predicted latency in microseconds, at the time of sending
	expectedWork    float64 // work times contention, at the time of sending
	pending         bool    // has no outcome yet
	streaming       bool    // its body or its answer is being streamed: the endpoint is not silent
	mayHaveRun      bool    // the endpoint may have run it, or may still run it
}

// maySend reports whether the rules allow an attempt at e now. It covers every attempt, since send checks it.
func (b *Balancer) maySend(now Micros, r *request, e *endpoint) bool {
	limits := &r.Rules.settings.Limits
	if r.ended || r.responding || now >= r.Deadline || len(r.attempts) >= limits.MaxAttempts || !b.available(e) {
		return false
	}
	if r.pending > 0 && !limits.HedgedRequests {
		return false
	}
	// The slow-start budget of an endpoint is divided among the balancers that have it in their aperture. Others must
	// not send to it.
	if e.isWarmingUp(now, b) && !(slices.Contains(b.aperture(now), e) && b.fitsSlowStartBudget(now, e, r.work)) {
		return false
	}
	return b.mayRepeat(now, r, e)
}

// mayRepeat reports whether an attempt at e is sure not to give the request a second effect.
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
		return now < first.sentAt+c.DedupWindow && first.sharesDedupScope(c.DedupScope, e)
	default:
		return false
	}
}

// sharesDedupScope reports whether e drops a repeat of this attempt, since both are in the same scope.
func (a *attempt) sharesDedupScope(scope DedupScope, e *endpoint) bool {
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

// send starts an attempt if the rules allow it, and reports whether it did.
func (b *Balancer) send(now Micros, r *request, e *endpoint) bool {
	if !b.maySend(now, r, e) {
		return false
	}
	if e.isWarmingUp(now, b) {
		e.spendSlowStartBudget(r.work)
	}
	expectedLatency := b.predict(now, e, r.work)
	r.attempts = append(r.attempts, attempt{
		endpoint:        e,
		zone:            e.Zone,
		cell:            e.Cell,
		sentAt:          now,
		expectedLatency: expectedLatency,
		expectedWork:    r.work * b.contention(now, e),
		pending:         true,
		mayHaveRun:      true,
	})
	r.pending++
	if e.inflight == e.streaming {
		e.silentSince = now
	}
	r.attempts[len(r.attempts)-1].setStreaming(now, r.BodyStreaming)
	e.inflight++
	if r.BodyStreaming {
		e.uploading++
	}
	e.lastSendAt = now
	b.undrained = slices.DeleteFunc(b.undrained, func(u undrainedEndpoint) bool { return u.id == e.ID })
	b.startTrials(now, r, e)
	b.actions.Send(r.ID, e.ID, b.attemptTimeout(now, r, expectedLatency))
	b.actions.Timer(max(1, r.Deadline-now), r.token)
	return true
}

// attemptTimeout returns the timeout of an attempt, or 0 for none but the client's deadline. An attempt that takes
// several times its predicted latency is most often on a connection that has gone silent. Where a retry is harmless and
// would still meet the latency objective, the timeout lets another endpoint get the request.
func (b *Balancer) attemptTimeout(now Micros, r *request, expectedLatency float64) Micros {
	c := b.class(r)
	timeout := max(minAttemptTimeoutMicros, attemptTimeoutFactor*expectedLatency)
	retryPossible := len(r.attempts) < r.Rules.settings.Limits.MaxAttempts && b.retryBudget >= 1
	if c.Idempotency != Idempotent || r.BodyStreaming || !retryPossible {
		return 0
	}
	if float64(now-r.arrivedAt)+timeout+expectedLatency > float64(c.LatencyObjective) {
		return 0
	}
	return Micros(timeout)
}

// setStreaming records whether the attempt's body or answer is being streamed. The endpoint does not count as silent in
// that time.
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

// ResponseStarted handles the start of a streamed answer. From then on the request has no deadline and gets no other
// attempt; pending attempts other than this one are cancelled.
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

// UploadComplete handles the end of a streamed body. The request's latency counts from now, and the deadline replaces
// the earlier one.
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
			a.endpoint.uploading--
		}
	}
	if !r.ended {
		b.actions.Timer(max(1, deadline-now), r.token)
	}
}

// isPending reports whether the request has an attempt with this number that has no outcome yet.
func (r *request) isPending(attempt int) bool {
	return attempt >= 0 && attempt < len(r.attempts) && r.attempts[attempt].pending
}

// Outcome handles the end of an attempt: the request is finished, retried, rejected or failed.
func (b *Balancer) Outcome(now Micros, outcome Outcome) {
	r := b.requests[outcome.ID]
	if r == nil || !r.isPending(outcome.Attempt) {
		return
	}
	a := &r.attempts[outcome.Attempt]
	a.pending = false
	a.setStreaming(now, false)
	r.pending--
	a.endpoint.inflight--
	if r.BodyStreaming {
		a.endpoint.uploading--
	}
	a.endpoint.silentSince = now
	a.mayHaveRun = outcome.Status != Rejected && outcome.Status != ConnectFailed && outcome.Status != NotSent
	b.sentWork.add(now, r.work*indicator(a.mayHaveRun))
	b.recordOutcome(now, r, a, outcome.Status, outcome.Latency)
	if !r.ended && (outcome.Status != OK || !r.responding) {
		r.onTime = indicator(outcome.Status == OK && now-r.arrivedAt <= b.class(r).LatencyObjective)
	}
	if outcome.Answered || outcome.Status == OK || r.ended {
		b.finish(r)
		return
	}
	if r.pending > 0 {
		return
	}
	if !outcome.NotReplayable && b.retry(now, r) {
		return
	}
	b.rejectOrFail(now, r)
}

// recordOutcome updates the averages, the breaker and the failure runs of the attempt's endpoint.
func (b *Balancer) recordOutcome(now Micros, r *request, a *attempt, status Status, latency Micros) {
	e := a.endpoint
	switch status {
	case OK:
		e.breaker.count(now, 1, 0)
		e.breaker.recordLatency(float64(latency))
		b.recordSuccess(r, e)
		b.learnPace(now, r, a, float64(latency), false)
	case Cancelled, NotSent:
		// These statuses say nothing about the endpoint.
	default:
		e.breaker.count(now, 0, 1)
		b.recordFailures(now, r, e)
		if status == Timeout {
			b.learnPace(now, r, a, float64(latency), true)
		}
	}
}
