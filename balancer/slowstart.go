package balancer

// A cold endpoint gets at most a share of its warmth's part of our own mean work per warm endpoint. All
// balancers doing so, their sum stays well under what it bears; none needs to know of the others. Each send
// is charged a little more than its work, for the handshake that it may cost.
const (
	slowStartShare   = 0.6 // of the multiple at which it falls over, by its warmth, the least that it can do,
	maxSlowStartRate = 1.4 // and of what it can do by its heat, at most
	slowStartCharge  = 1.15
	rejectionGain    = 2.0  // a share of refusals above the half of which this is the inverse counts as whole
	probeCharge      = 0.01 // of a request's work, taken from a cold endpoint's room by a probe
)

func (b *Balancer) startSlowStart(now Micros, e *endpoint, started Micros) {
	// A random part of a request's room: with many quiet balancers none would ever save up a whole one.
	e.warmingUp, e.slowStartAt, e.slowStartBudget, e.budgetRefilledAt = true, min(started, now),
		b.rng.float()*b.meanWork.value*slowStartCharge, now
}

// fitsSlowStartBudget refills the token bucket of a cold endpoint and says whether a
// request of this work fits.
func (b *Balancer) fitsSlowStartBudget(now Micros, e *endpoint, work float64) bool {
	rate := b.sentWork.rate(now)
	if b.warmEndpoints == 0 { // what is sent would only follow what cold ones are let have
		rate = b.demand.rate(now) * work
	}
	each := rate / max(1, b.capacity)
	// While requests are refused little is sent, and a part of that would keep cold endpoints idle and the
	// refusals going. Then the guide is what its pace lets an endpoint of few cores do, for all who use it.
	users := float64(b.settings.Balancers*len(b.aperture(now))) / float64(len(b.endpoints))
	able := assumedCores / (e.currentPace(now, b) * e.estimatedCapacity(now, b)) * float64(second) / max(1,
		users)
	each = max(each, min(1, rejectionGain*b.rejectionRate.value)*able)
	fill := b.capacityShare * each * min(maxSlowStartRate*e.estimatedCapacity(now, b),
		slowStartShare*b.settings.Contract.OverloadMultiple*e.guaranteedCapacity(now, b))
	most := max(fill*float64(b.settings.Contract.OverloadWindow)/float64(second)/2, work*slowStartCharge)
	e.slowStartBudget = min(most, e.slowStartBudget+fill*float64(now-e.budgetRefilledAt)/float64(second))
	e.budgetRefilledAt = now
	return e.slowStartBudget >= work*slowStartCharge
}

// SetCapacityShare sets this balancer's part of what cold endpoints may be sent: two processes share it
// while one takes
// over from the other, and to an endpoint they are one. What was saved up is shared, too.
func (b *Balancer) SetCapacityShare(part float64) {
	for _, e := range b.endpoints {
		e.slowStartBudget *= min(1, part/b.capacityShare)
	}
	b.capacityShare = part
}

func (e *endpoint) isWarmingUp(now Micros, b *Balancer) bool {
	if e.warmingUp && now-e.slowStartAt >= b.settings.Contract.SlowStartDuration {
		e.warmingUp = false
	}
	return e.warmingUp
}

// guaranteedCapacity is the least share of its capacity that e has by now.
func (e *endpoint) guaranteedCapacity(now Micros, b *Balancer) float64 {
	if !e.isWarmingUp(now, b) {
		return 1
	}
	from := b.settings.Contract.InitialCapacity
	return from + (1-from)*float64(now-e.slowStartAt)/float64(b.settings.Contract.SlowStartDuration)
}

// estimatedCapacity is the share of its capacity that e is held to have by now: its warmth, and more
// if what cold
// endpoints
// serve has shown that they are warmer than they must be. Budgets go by warmth, expectations by heat.
func (e *endpoint) estimatedCapacity(now Micros, b *Balancer) float64 {
	return min(1, e.guaranteedCapacity(now, b)/b.slowStartCorrection)
}
