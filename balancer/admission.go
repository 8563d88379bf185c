package balancer

import (
	"math"
	"strconv"
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
		b.out.Reject(in.ID, 0) // taken, so it is owed an answer; nothing is known of it, and nothing was sent
		return
	}
	r := b.admit(now, in)
	if now >= in.Deadline || b.open > b.settings.Limits.MaxOpen {
		b.reject(now, r)
		return
	}
	if !b.waitForProbes(now, r) {
		b.dispatch(now, r)
	}
}

// admit enters a request into the ledger and the averages.
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
	if r.logHint = 0; in.HasHint && in.Hint > 0 {
		c.meanWork.add(float64(in.Hint), 0.02)
		r.logHint = math.Log(float64(in.Hint) / c.meanWork.value)
		r.work = c.meanWork.value * math.Exp(b.hintTrust*r.logHint)
	}
	b.meanWork.add(r.work, 0.02)
	return r
}

// dispatch sends a new request or refuses it.
func (b *Balancer) dispatch(now Micros, r *request) {
	sent := b.tryAttempt(now, r, true)
	b.rejectionRate.add(indicator(!sent), shareWeight)
	if !sent {
		b.reject(now, r)
	}
}

// tryAttempt picks and sends; a pick that the breaker refuses tries one more.
func (b *Balancer) tryAttempt(now Micros, r *request, first bool) bool {
	if e := b.undrainedCandidate(now, r); e != nil && first {
		return b.send(now, r, e)
	}
	e := b.pick(now, r, nil)
	if e == nil {
		return false
	}
	if x, most := b.predict(now, e, r.work), b.latencyBudget(now, r, e); x > most {
		// It would come too late to be worth its work. As with the breaker, one passes
		// now and then, so that a wrong guess does not feed itself.
		c := &b.classes[r.slot]
		if !first || now-c.lastForcedAt < forcedPassInterval {
			if now-b.lastLogged["refuse"] >= second { // made only when due: refusals come in thousands
				b.log(now, "refuse", "refusing, "+strconv.Itoa(int(100*
					b.rejectionRate.value))+"% of late: the best, endpoint "+
					strconv.Itoa(int(e.ID))+", would take "+strconv.Itoa(int(x/1000))+" ms, limit "+
					strconv.Itoa(int(most/1000))+" ms")
			}
			return false
		}
		c.lastForcedAt = now
	}
	if !b.breakerAllows(now, r, e) {
		if e = b.pick(now, r, e); e == nil || !b.breakerAllows(now, r, e) {
			return false
		}
	}
	return b.send(now, r, e)
}

// latencyBudget is the longest predicted latency at which r is still sent to e: its time there without a
// queue, and
// a part of what the aim leaves for waiting. Classes of little value for their work give way first.
func (b *Balancer) latencyBudget(now Micros, r *request, e *endpoint) float64 {
	alone := e.rtt.valueOr(0) + r.work*b.slowdown()*e.currentPace(now, b)
	share := max(minQueueShare, maxQueueShare*b.priority(now, r))
	if b.reportsLate {
		share = 1 // the least loaded endpoint is not known: averages must not refuse what it would serve
	}
	spare := float64(b.class(r).LatencyObjective) - float64(now-r.arrivedAt) - alone
	return min(alone+share*spare, float64(r.Deadline-now))
}

func (b *Balancer) mayReject(r *request) bool {
	c := b.class(r)
	return c.Idempotency == Idempotent || r.firstThatMayHaveRun() == nil ||
		c.Idempotency == WithIdempotencyKey && c.DedupScope == DedupAll
}

// reject gives the final answer "refused" where that is true, else "failed".
func (b *Balancer) reject(now Micros, r *request) {
	if r.ended || !b.mayReject(r) {
		b.fail(r)
		return
	}
	var after Micros
	if b.settings.Limits.RetryAfter {
		// Spread the returns, and let them come while an answer is still wanted.
		after = Micros((0.1 + 0.2*b.rng.float()) * float64(b.class(r).LatencyObjective))
		after = min(after, b.settings.Limits.MaxRetryAfter)
	}
	b.out.Reject(r.ID, after)
	b.finish(r)
}

func (b *Balancer) fail(r *request) {
	if !r.ended {
		b.out.Fail(r.ID)
		b.finish(r)
	}
}
