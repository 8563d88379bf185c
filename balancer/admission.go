package balancer

import (
	"math"
	"strconv"
)

const (
	maxQueueShare = 0.6 // of what the latency objective leaves, that a request of the highest priority may wait
	minQueueShare = 0.2 // and one of the lowest
	// A rejected client is told to come back after a part of its latency objective: spread, and while it still
	// wants an answer.
	minRetryAfterShare    = 0.1
	retryAfterShareSpread = 0.2
)

// Request handles a client's request.
func (b *Balancer) Request(now Micros, in Request) {
	if b.requests[in.ID] != nil {
		return
	}
	if in.Rules == nil {
		in.Rules = b.rules
	}
	if int(in.Class) >= len(in.Rules.slots) {
		b.out.Reject(in.ID, 0) // of no known class; it is owed an answer all the same
		return
	}
	r := b.admit(now, in)
	if now >= in.Deadline || b.open > b.settings.Limits.MaxOpen {
		b.rejectOrFail(now, r)
		return
	}
	if !b.waitForProbes(now, r) {
		b.dispatch(now, r)
	}
}

// admit takes a request into the records and the averages.
func (b *Balancer) admit(now Micros, in Request) *request {
	r := b.newRequest(now, in)
	b.demand.add(now, 1)
	b.retryBudget = min(maxRetryBudget, b.retryBudget+retriesPerRequest)
	c := &b.classes[r.slot]
	c.demand.add(now, 1)
	if int(in.Tenant) < len(b.tenantDemand) {
		b.tenantDemand[in.Tenant].add(now, 1)
	}
	r.work = c.meanWork.value
	r.logHint = 0
	if in.HasHint && in.Hint > 0 {
		c.meanWork.add(float64(in.Hint), workWeight)
		r.logHint = math.Log(float64(in.Hint) / c.meanWork.value)
		r.work = c.meanWork.value * math.Exp(b.hintTrust*r.logHint)
	}
	b.meanWork.add(r.work, workWeight)
	return r
}

// dispatch makes the first attempt of a request, or rejects it.
func (b *Balancer) dispatch(now Micros, r *request) {
	sent := b.tryAttempt(now, r, true)
	b.rejectionRate.add(indicator(!sent), shareWeight)
	if !sent {
		b.rejectOrFail(now, r)
	}
}

// tryAttempt picks an endpoint and sends the request there. If the breaker rejects the pick, the next best gets a
// chance.
func (b *Balancer) tryAttempt(now Micros, r *request, first bool) bool {
	if e := b.undrainedCandidate(now, r); e != nil && first {
		return b.send(now, r, e)
	}
	e := b.pick(now, r, nil)
	if e == nil || !b.inTime(now, r, e, first) {
		return false
	}
	if b.breakerAllows(now, r, e) {
		return b.send(now, r, e)
	}
	e = b.pick(now, r, e)
	if e == nil || !b.breakerAllows(now, r, e) {
		return false
	}
	return b.send(now, r, e)
}

// inTime reports whether a request is predicted to be answered by e within its latency budget. A first attempt that
// is not passes now and then all the same, so that a wrong prediction is corrected.
func (b *Balancer) inTime(now Micros, r *request, e *endpoint, first bool) bool {
	predicted, limit := b.predict(now, e, r.work), b.latencyBudget(now, r, e)
	if predicted <= limit {
		return true
	}
	c := &b.classes[r.slot]
	if first && now-c.lastForcedAt >= forcedPassInterval {
		c.lastForcedAt = now
		return true
	}
	if now-b.lastLogged[topicRejection] >= second { // rejections come in thousands: build the line only when it is due
		b.log(now, topicRejection, "refusing, "+strconv.Itoa(int(100*b.rejectionRate.value))+
			"% of late: the best, endpoint "+strconv.Itoa(int(e.ID))+", would take "+
			strconv.Itoa(int(predicted/1000))+" ms, limit "+strconv.Itoa(int(limit/1000))+" ms")
	}
	return false
}

// latencyBudget is the longest predicted latency at which r is still sent to e: its latency there without a queue,
// and a part of what the latency objective leaves for waiting. Classes of low priority for their work give way
// first.
func (b *Balancer) latencyBudget(now Micros, r *request, e *endpoint) float64 {
	alone := b.latencyAlone(now, e, r.work, 1)
	share := max(minQueueShare, maxQueueShare*b.priority(now, r))
	if b.reportsLate {
		share = 1 // the least loaded endpoint is not known: averages must not reject what it would serve
	}
	spare := float64(b.class(r).LatencyObjective) - float64(now-r.arrivedAt) - alone
	return min(alone+share*spare, float64(r.Deadline-now))
}

// mayReject reports whether a rejection would be true: it promises that a retry is harmless.
func (b *Balancer) mayReject(r *request) bool {
	c := b.class(r)
	return c.Idempotency == Idempotent || r.firstThatMayHaveRun() == nil ||
		c.Idempotency == WithIdempotencyKey && c.DedupScope == DedupAll
}

// rejectOrFail gives the final answer "rejected" if that is true, else "failed".
func (b *Balancer) rejectOrFail(_ Micros, r *request) {
	if r.ended || !b.mayReject(r) {
		b.fail(r)
		return
	}
	var retryAfter Micros
	if b.settings.Limits.RetryAfter {
		share := minRetryAfterShare + retryAfterShareSpread*b.rng.float()
		retryAfter = Micros(share * float64(b.class(r).LatencyObjective))
		retryAfter = min(retryAfter, b.settings.Limits.MaxRetryAfter)
	}
	b.out.Reject(r.ID, retryAfter)
	b.finish(r)
}

// fail gives the final answer "failed".
func (b *Balancer) fail(r *request) {
	if !r.ended {
		b.out.Fail(r.ID)
		b.finish(r)
	}
}
