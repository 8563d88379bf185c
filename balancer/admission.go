package balancer

import (
	"math"
	"strconv"
)

const (
	maxQueueShare = 0.6 // of the latency objective's spare time, for queueing at the highest priority
	minQueueShare = 0.2 // the same at the lowest priority
	// Retry-After is a random share of the latency objective: random to spread the retries, and short enough that the
	// client still wants an answer.
	minRetryAfterShare    = 0.1
	retryAfterShareSpread = 0.2
)

// Request handles a new request of a client. A request whose ID is open already is ignored.
func (b *Balancer) Request(now Micros, in Request) {
	if b.requests[in.ID] != nil {
		return
	}
	if in.Rules == nil {
		in.Rules = b.rules
	}
	if int(in.Class) >= len(in.Rules.classSlots) {
		b.actions.Reject(in.ID, 0) // unknown class: the request still needs a final answer
		return
	}
	r := b.recordArrival(now, in)
	if now >= in.Deadline || b.openRequests > b.settings.Limits.MaxOpen {
		b.rejectOrFail(now, r)
		return
	}
	if !b.waitForProbes(now, r) {
		b.dispatch(now, r)
	}
}

// recordArrival opens the record of a request, counts it in the averages and estimates its work.
func (b *Balancer) recordArrival(now Micros, in Request) *request {
	r := b.newRequest(now, in)
	b.demand.add(now, 1)
	b.retryBudget = min(maxRetryBudget, b.retryBudget+retriesPerRequest)
	c := &b.classes[r.classSlot]
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

// dispatch makes the first attempt at a request, or gives its final answer if no attempt may be made.
func (b *Balancer) dispatch(now Micros, r *request) {
	sent := b.tryAttempt(now, r, true)
	b.rejectionRate.add(indicator(!sent), shareSampleWeight)
	if !sent {
		b.rejectOrFail(now, r)
	}
}

// tryAttempt picks an endpoint and sends the request there. If the endpoint's breaker rejects the attempt, the next
// best endpoint is tried once. It reports whether the request was sent.
func (b *Balancer) tryAttempt(now Micros, r *request, first bool) bool {
	if e := b.undrainedCandidate(now, r); e != nil && first {
		return b.send(now, r, e)
	}
	e := b.pick(now, r, nil)
	if e == nil || !b.meetsLatencyBudget(now, r, e, first) {
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

// meetsLatencyBudget reports whether e is predicted to answer a request within its latency budget. It lets one first
// attempt of each class pass per forcedPassInterval in any case, so that a wrong prediction is corrected.
func (b *Balancer) meetsLatencyBudget(now Micros, r *request, e *endpoint, first bool) bool {
	predicted, limit := b.predict(now, e, r.work), b.latencyBudget(now, r, e)
	if predicted <= limit {
		return true
	}
	c := &b.classes[r.classSlot]
	if first && now-c.lastForcedAt >= forcedPassInterval {
		c.lastForcedAt = now
		return true
	}
	if now-b.lastLogged[topicRejection] >= second { // rejections come in thousands: build the line only if it is due
		b.log(now, topicRejection, "refusing, "+strconv.Itoa(int(100*b.rejectionRate.value))+
			"% of late: the best, endpoint "+strconv.Itoa(int(e.ID))+", would take "+
			strconv.Itoa(int(predicted/1000))+" ms, limit "+strconv.Itoa(int(limit/1000))+" ms")
	}
	return false
}

// latencyBudget returns the longest predicted latency, in microseconds, at which r is still sent to e: its latency
// there without queueing, plus a share of the time that the latency objective leaves for queueing. The share is smaller
// for a class of low priority, so that such classes are rejected first.
func (b *Balancer) latencyBudget(now Micros, r *request, e *endpoint) float64 {
	unqueued := b.latencyAtContention(now, e, r.work, 1)
	share := max(minQueueShare, maxQueueShare*b.priority(now, r))
	if b.reportsLate {
		share = 1 // the least loaded endpoint is unknown, and an average must not reject what it would serve
	}
	spare := float64(b.class(r).LatencyObjective) - float64(now-r.arrivedAt) - unqueued
	return min(unqueued+share*spare, float64(r.Deadline-now))
}

// mayReject reports whether r may be rejected. A rejection promises that a retry is harmless, so either no attempt may
// have run, or a repeat is harmless at every endpoint.
func (b *Balancer) mayReject(r *request) bool {
	c := b.class(r)
	return c.Idempotency == Idempotent || r.firstThatMayHaveRun() == nil ||
		c.Idempotency == WithIdempotencyKey && c.DedupScope == DedupAll
}

// rejectOrFail gives the final answer "rejected" if mayReject allows it, else "failed".
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
	b.actions.Reject(r.ID, retryAfter)
	b.finish(r)
}

// fail gives the final answer "failed", unless the request has a final answer.
func (b *Balancer) fail(r *request) {
	if !r.ended {
		b.actions.Fail(r.ID)
		b.finish(r)
	}
}
