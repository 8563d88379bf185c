package balancer

import "math"

// While an endpoint warms up, each balancer sends it at most its own mean work per warm endpoint, times a share of the
// endpoint's guaranteed capacity. If all balancers do so, their sum stays below what overloads the endpoint, and no
// balancer needs to know of the others.
const (
	slowStartShare      = 0.6  // of Contract.OverloadMultiple times the guaranteed capacity
	maxSlowStartRate    = 1.4  // limit in multiples of the estimated capacity
	slowStartWorkFactor = 1.15 // budget spent per unit of work: a request may cost a handshake as well
	rejectionGain       = 2.0  // weight of the sustainable rate by pace, per unit of rejection rate
	probeWorkShare      = 0.01 // budget spent by a probe, in mean works of the first class
	minOwnLoad          = 1e-3 // requests of this balancer at an endpoint that its share is computed with
	maxTrafficImbalance = 4.0  // ratio of the mean traffic to this balancer's that is no sign of wrong settings
	fewAllowed          = 30.0 // requests in the overload window, below which the contract tolerates a larger excess
)

// startSlowStart makes an endpoint warm up, from startedAt or from now, whichever is earlier.
func (b *Balancer) startSlowStart(now Micros, e *endpoint, startedAt Micros) {
	e.warmingUp = true
	e.slowStartAt = min(startedAt, now)
	e.slowStartTokenUntil = 0
	// Start with a random part of a request's work. From 0, none of many balancers with little traffic would save up
	// enough for a request in time.
	e.slowStartBudget = b.rng.float() * b.meanWork.value * slowStartWorkFactor
	e.budgetRefilledAt = now
}

// fitsSlowStartBudget refills the budget of an endpoint that is warming up, and reports whether a request of this work
// may be sent. It spends nothing: spendSlowStartBudget does.
func (b *Balancer) fitsSlowStartBudget(now Micros, e *endpoint, work float64) bool {
	refillRate := b.slowStartRate(now, e, work)
	cost := work * slowStartWorkFactor
	halfWindow := b.settings.Contract.OverloadWindow / 2
	maxSaved := refillRate * float64(halfWindow) / float64(second)
	elapsed := now - e.budgetRefilledAt
	e.budgetRefilledAt = now
	e.slowStartBudget = min(max(maxSaved, cost), e.slowStartBudget+refillRate*float64(elapsed)/float64(second))
	if b.maySaveRequest(now, maxSaved/cost) {
		return e.slowStartBudget >= cost
	}
	e.drawSlowStartToken(now, min(elapsed, halfWindow), halfWindow, refillRate/cost, &b.rng)
	return now < e.slowStartTokenUntil
}

// maySaveRequest reports whether a balancer may save up a whole request for an endpoint, given how many its budget
// allows in half of the overload window. If it is less than one, the balancers that share the endpoint may all have
// saved a request when a burst comes. Their sum must not exceed what the contract tolerates above the budget.
func (b *Balancer) maySaveRequest(now Micros, requestsPerHalfWindow float64) bool {
	if requestsPerHalfWindow >= 1 || b.settings.Contract.OverloadWindow == 0 {
		return true
	}
	sharing := b.sharingBalancers(now)
	return sharing <= toleratedExcess(2*requestsPerHalfWindow*sharing)
}

// toleratedExcess returns how many requests above those that it allows the contract tolerates in the overload window.
func toleratedExcess(allowed float64) float64 {
	if allowed < fewAllowed {
		return 3*math.Sqrt(allowed) + 3
	}
	return 2*math.Sqrt(allowed) + 2
}

// drawSlowStartToken decides whether a token for one request has arrived in the elapsed time, given the rate of tokens
// per second. Tokens arrive at random and last for lifetime, so that the balancers that share the endpoint do not have
// one at the same time.
func (e *endpoint) drawSlowStartToken(now, elapsed, lifetime Micros, rate float64, rng *randSource) {
	if elapsed <= 0 || now < e.slowStartTokenUntil || rng.float() >= rate*float64(elapsed)/float64(second) {
		return
	}
	e.slowStartTokenUntil = now + lifetime - rng.below(elapsed)
}

// spendSlowStartBudget spends the budget for one request of this work.
func (e *endpoint) spendSlowStartBudget(work float64) {
	e.slowStartBudget -= work * slowStartWorkFactor
	e.slowStartTokenUntil = 0
}

// slowStartRate returns the work per second that this balancer may send to an endpoint that is warming up.
func (b *Balancer) slowStartRate(now Micros, e *endpoint, work float64) float64 {
	rate := b.sentWork.rate(now)
	if b.warmEndpoints == 0 {
		// No endpoint in use is warm, so that these budgets limit the work that is sent. It cannot set them in turn:
		// use the demand.
		rate = b.demand.rate(now) * work
	}
	perEndpoint := rate / max(1, b.capacity)
	// While requests are rejected little is sent. A share of that would keep these endpoints idle and the rejections
	// going on. The more is rejected, the more the rate follows what an endpoint of this pace can do, divided by the
	// number of balancers that use it.
	sustainable := assumedCores / (e.currentPace(now, b) * e.estimatedCapacity(now, b)) * float64(second) /
		b.sharingBalancers(now)
	perEndpoint = max(perEndpoint, min(1, rejectionGain*b.rejectionRate.value)*sustainable)
	return b.capacityShare * perEndpoint * min(maxSlowStartRate*e.estimatedCapacity(now, b),
		slowStartShare*b.settings.Contract.OverloadMultiple*e.guaranteedCapacity(now, b))
}

// sharingBalancers returns the number of balancers that use an endpoint, at least 1: by the settings, or, where it is
// far more, by the part of the endpoints' load that this balancer causes. The settings may name fewer balancers than
// there are, and then the sum of all shares would exceed one. A smaller difference is no sign of that, since balancers
// have unequal traffic.
func (b *Balancer) sharingBalancers(now Micros) float64 {
	configured := max(1, float64(b.settings.Balancers*len(b.aperture(now)))/float64(len(b.endpoints)))
	byLoad := 1 + b.typicalLoad.value/max(minOwnLoad, b.ownLoad.value)
	if b.ownLoad.samples > 0 && byLoad > maxTrafficImbalance*configured {
		return byLoad
	}
	return configured
}

// SetCapacityShare sets the share, above 0 and at most 1, of the slow-start budgets that this process may use. During a
// handover two processes of a sidecar divide the budgets, since for an endpoint they are one balancer. A smaller share
// also reduces the budgets that are saved up; a larger one does not increase them.
func (b *Balancer) SetCapacityShare(share float64) {
	for _, e := range b.endpoints {
		e.slowStartBudget *= min(1, share/b.capacityShare)
		e.slowStartTokenUntil = 0
	}
	b.capacityShare = share
}

// isWarmingUp reports whether e is still in slow start, and ends the slow start once its duration is over.
func (e *endpoint) isWarmingUp(now Micros, b *Balancer) bool {
	if e.warmingUp && now-e.slowStartAt >= b.settings.Contract.SlowStartDuration {
		e.warmingUp = false
	}
	return e.warmingUp
}

// guaranteedCapacity returns the share of its full capacity that e has by now at least, by the contract. It rises
// linearly to 1 during slow start.
func (e *endpoint) guaranteedCapacity(now Micros, b *Balancer) float64 {
	if !e.isWarmingUp(now, b) {
		return 1
	}
	initial := b.settings.Contract.InitialCapacity
	return initial + (1-initial)*float64(now-e.slowStartAt)/float64(b.settings.Contract.SlowStartDuration)
}

// estimatedCapacity returns the share of its full capacity that e probably has by now: the guaranteed one, or more if
// the latencies of endpoints that were warming up show it. Predictions use the estimate; the limit that prevents
// overload uses the guaranteed capacity.
func (e *endpoint) estimatedCapacity(now Micros, b *Balancer) float64 {
	return min(1, e.guaranteedCapacity(now, b)/b.slowStartCorrection)
}
