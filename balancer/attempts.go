package balancer

import "slices"

// attempt is one send of a request.
type attempt struct {
	endpoint     *endpoint
	zone         uint8 // of ep when sent: an endpoint may move
	cell         uint16
	sentAt       Micros
	expected     float64 // latency predicted when sent
	expectedWork float64 // work times the crowding seen when sent
	pending      bool    // no outcome yet
	streaming    bool    // its body or its answer is under way: the endpoint owes nothing
	mayHaveRun   bool    // it may have had its effect, or may yet
}

// maySend says whether the rules allow an attempt at e now.
func (b *Balancer) maySend(now Micros, r *request, e *endpoint) bool {
	if r.ended || r.responding || now >= r.Deadline ||
		len(r.attempts) >= r.Rules.settings.Limits.MaxAttempts || !b.available(e) {
		return false
	}
	// Only those who have a cold endpoint in their apertures share what it may get.
	if r.pending > 0 && !r.Rules.settings.Limits.HedgedRequests ||
		e.isWarmingUp(now, b) && !(slices.Contains(b.aperture(now), e) && b.fitsSlowStartBudget(now, e, r.work)) {
		return false
	}
	c, first := b.class(r), r.firstThatMayHaveRun()
	return first == nil || c.Idempotency == Idempotent || c.Idempotency == WithIdempotencyKey &&
		now < first.sentAt+c.DedupWindow &&
		(c.DedupScope == DedupAll || c.DedupScope == DedupZone && e.Zone == first.zone ||
			c.DedupScope == DedupCell && e.Cell == first.cell)
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
	r.attempts = append(r.attempts, attempt{endpoint: e, zone: e.Zone, cell: e.Cell, sentAt: now,
		expected: expected, expectedWork: r.work * b.crowding(now, e), pending: true, mayHaveRun: true})
	r.pending++
	if e.inflight == e.streaming {
		e.silentSince = now
	}
	r.attempts[len(r.attempts)-1].setStreaming(now, r.BodyStreaming)
	e.inflight++
	e.lastSendAt = now
	b.undrained = slices.DeleteFunc(b.undrained, func(c undrainedEndpoint) bool { return c.id == e.ID })
	e.failures.startTrial(now)
	e.ejectedUntil = max(e.ejectedUntil, e.failures.ejectedUntil)
	for _, i := range b.parts(r) {
		e.partFailures[i].startTrial(now)
		e.ejectedUntil = max(e.ejectedUntil, e.partFailures[i].ejectedUntil)
	}
	b.out.Send(r.ID, e.ID, b.attemptTimeout(now, r, expected))
	b.out.Timer(max(1, r.Deadline-now), r.token)
	return true
}

// attemptTimeout is how long an attempt is waited for, 0 for as long as the client waits. One that takes
// several
// times what was expected sits on a connection that fell silent, more often than not; where a repeat is
// harmless and would still be in time, another endpoint gets the request.
func (b *Balancer) attemptTimeout(now Micros, r *request, expected float64) Micros {
	c, wait := b.class(r), max(minAttemptTimeout, attemptTimeoutFactor*expected)
	if c.Idempotency != Idempotent || r.BodyStreaming ||
		len(r.attempts) >= r.Rules.settings.Limits.MaxAttempts || b.retryBudget < 1 ||
		float64(now-r.arrivedAt)+wait+expected > float64(c.LatencyObjective) {
		return 0
	}
	return Micros(wait)
}

// setStreaming notes whether a body or an answer is under way: meanwhile the endpoint is not silent.
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

// ResponseStarted handles the start of a streamed answer. From here on neither a
// deadline nor another attempt concerns the request.
func (b *Balancer) ResponseStarted(now Micros, id uint64, attempt int, latency Micros) {
	r := b.requests[id]
	if r == nil || r.ended || attempt < 0 || attempt >= len(r.attempts) || !r.attempts[attempt].pending {
		return
	}
	r.responding = true
	r.attempts[attempt].setStreaming(now, true)
	r.onTime = indicator(now-r.arrivedAt <= b.class(r).LatencyObjective)
	b.cancelAttempts(r, attempt)
}

// UploadComplete handles the end of a body that was under way: from now on its answer is waited for.
func (b *Balancer) UploadComplete(now Micros, id uint64, deadline Micros) {
	r := b.requests[id]
	if r == nil || !r.BodyStreaming {
		return
	}
	r.BodyStreaming, r.arrivedAt, r.Deadline = false, now, deadline
	for i := range r.attempts {
		if a := &r.attempts[i]; a.pending {
			a.setStreaming(now, false)
		}
	}
	if !r.ended {
		b.out.Timer(max(1, deadline-now), r.token)
	}
}

// Outcome handles the end of an attempt.
func (b *Balancer) Outcome(now Micros, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].pending {
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
	// What proves that it never ran is paid for, too: where most endpoints are full, free retries are a storm.
	if !o.NotReplayable && b.retryBudget >= 1 && b.tryAttempt(now, r, false) {
		b.retryBudget--
		return
	}
	b.reject(now, r)
}

// recordOutcome feeds an outcome to the averages.
func (b *Balancer) recordOutcome(now Micros, r *request, a *attempt, status Status, latency Micros) {
	e := a.endpoint
	switch status {
	case OK:
		e.breaker.count(now, 1, 0)
		e.breaker.recordLatency(float64(latency))
		e.failures = failureRun{}
		for _, i := range b.parts(r) {
			e.partFailures[i] = failureRun{}
		}
		b.learnPace(now, r, a, float64(latency), false)
	case Cancelled, NotSent:
	default:
		e.breaker.count(now, 0, 1)
		b.recordFailure(now, e, -1, &e.failures)
		for _, i := range b.parts(r) {
			b.recordFailure(now, e, i, &e.partFailures[i])
		}
		if status == Timeout {
			b.learnPace(now, r, a, float64(latency), true)
		}
	}
}

const (
	maxRetryBudget       = 10.0
	retriesPerRequest    = 0.2 // retries earned by each request
	trustWeight          = 0.005
	trendWeight          = 0.1
	maxTrendStep         = 4.0 // one outcome counts as no more than this many times the prediction
	trendNoise           = 1.5
	maxTrend             = 8.0
	ejectionThreshold    = 3    // failures in a row, one more of a part: where all fail, the run of all tells first
	maxQueueShare        = 0.6  // of what the aim leaves may be waited by the class of most value: latencies vary
	minQueueShare        = 0.2  // and by any
	minTenantSample      = 0.05 // part of all allowances that a balancer must carry to judge of shares
	quotaSlack           = 1.25 // refusals below a fifth say nothing of shares
	slowStartWeight      = 0.05
	maxSlowStartStep     = 2.0  // as trendStep, for what is learned of cold endpoints
	attemptTimeoutFactor = 6.0  // times what is expected,
	minAttemptTimeout    = 5e4  // but no less than what a busy machine, a lost packet or a collector may take
	minWork              = 1.0  // of a request, so that nothing divides by none
	minPace              = 1e-3 // of an endpoint
	worstWindowGain      = 4.0  // worth counts more in the worst windows, and those are when requests are refused
)
