package balancer

// An endpoint that warms up is sent at most a share of its guaranteed capacity's part of this balancer's mean work
// per warm endpoint. When all balancers do so their sum stays below what overloads it, and none needs to know of
// the others.
const (
	slowStartShare   = 0.6  // of the multiple of its guaranteed capacity at which it is overloaded
	maxSlowStartRate = 1.4  // times its estimated capacity
	slowStartCharge  = 1.15 // times the work of a request, for the handshake that it may cost
	rejectionGain    = 2.0  // times the rejection rate counts the estimate by pace
	probeCharge      = 0.01 // of a request's work, for a probe
)

// startSlowStart has an endpoint warm up from an instant on.
func (b *Balancer) startSlowStart(now Micros, e *endpoint, started Micros) {
	e.warmingUp = true
	e.slowStartAt = min(started, now)
	// A random part of a request's work: of many quiet balancers, none would ever save up for one.
	e.slowStartBudget = b.rng.float() * b.meanWork.value * slowStartCharge
	e.budgetRefilledAt = now
}

// fitsSlowStartBudget refills the token bucket of an endpoint that warms up and reports whether a request of this
// work fits.
func (b *Balancer) fitsSlowStartBudget(now Micros, e *endpoint, work float64) bool {
	fill := b.slowStartRate(now, e, work)
	limit := max(fill*float64(b.settings.Contract.OverloadWindow)/float64(second)/2, work*slowStartCharge)
	e.slowStartBudget = min(limit, e.slowStartBudget+fill*float64(now-e.budgetRefilledAt)/float64(second))
	e.budgetRefilledAt = now
	return e.slowStartBudget >= work*slowStartCharge
}

// slowStartRate is the work a second that this balancer may send to an endpoint that warms up.
func (b *Balancer) slowStartRate(now Micros, e *endpoint, work float64) float64 {
	rate := b.sentWork.rate(now)
	if b.warmEndpoints == 0 {
		// What was sent would only follow the budgets of endpoints that warm up.
		rate = b.demand.rate(now) * work
	}
	each := rate / max(1, b.capacity)
	// While requests are rejected little is sent, and a part of that would keep these endpoints idle and the
	// rejections going. The guide is then what an endpoint of this pace can do, over all balancers that use it.
	users := float64(b.settings.Balancers*len(b.aperture(now))) / float64(len(b.endpoints))
	able := assumedCores / (e.currentPace(now, b) * e.estimatedCapacity(now, b)) * float64(second) / max(1, users)
	each = max(each, min(1, rejectionGain*b.rejectionRate.value)*able)
	return b.capacityShare * each * min(maxSlowStartRate*e.estimatedCapacity(now, b),
		slowStartShare*b.settings.Contract.OverloadMultiple*e.guaranteedCapacity(now, b))
}

// SetCapacityShare sets the part of the slow-start budgets that this process may use. Two processes of a sidecar
// share them during a handover, since to an endpoint they are one. What was saved up is shared, too.
func (b *Balancer) SetCapacityShare(part float64) {
	for _, e := range b.endpoints {
		e.slowStartBudget *= min(1, part/b.capacityShare)
	}
	b.capacityShare = part
}

// isWarmingUp reports whether e is still within its slow start.
func (e *endpoint) isWarmingUp(now Micros, b *Balancer) bool {
	if e.warmingUp && now-e.slowStartAt >= b.settings.Contract.SlowStartDuration {
		e.warmingUp = false
	}
	return e.warmingUp
}

// guaranteedCapacity is the least share of its capacity that e has by now, by the contract.
func (e *endpoint) guaranteedCapacity(now Micros, b *Balancer) float64 {
	if !e.isWarmingUp(now, b) {
		return 1
	}
	from := b.settings.Contract.InitialCapacity
	return from + (1-from)*float64(now-e.slowStartAt)/float64(b.settings.Contract.SlowStartDuration)
}

// estimatedCapacity is the share of its capacity that e is taken to have by now: the guaranteed one, and more if what
// endpoints have served while warming up shows it. Budgets go by the guaranteed one, predictions by the estimate.
func (e *endpoint) estimatedCapacity(now Micros, b *Balancer) float64 {
	return min(1, e.guaranteedCapacity(now, b)/b.slowStartCorrection)
}
