package balancer

import "math"

// priority is r's value, worked out once for all the endpoints that are weighed at an instant.
func (b *Balancer) priority(now Micros, r *request) float64 {
	if r.priorityAt != now || r.cachedPriority == 0 {
		r.cachedPriority, r.priorityAt = b.computePriority(now, r), now
	}
	return r.cachedPriority
}

// computePriority ranks r's class, 0 to 1, by the goal's gain from a unit of its work: worth, and more if
// served worst.
func (b *Balancer) computePriority(now Micros, r *request) float64 {
	var work, worth, top, own float64
	worst := 1.0
	counts := func(i int) bool { return b.classes[i].inUse || i == r.slot }
	for i := range b.classes {
		if c := &b.classes[i]; counts(i) {
			rate := c.demand.rate(now)
			work += rate * c.meanWork.value
			worth += rate * b.classWeight(i)
			worst = min(worst, c.onTime.valueOr(1))
		}
	}
	for i := range b.classes {
		if c := &b.classes[i]; counts(i) {
			part := c.demand.rate(now) * c.meanWork.value / work
			v := (b.settings.Goal.Total +
				worstWindowGain*b.settings.Goal.WorstWindow) * b.classWeight(i) / c.meanWork.value * work / worth
			v += b.settings.Goal.WorstClass / max(0.05, part) * math.Exp((worst-c.onTime.valueOr(1))/0.1)
			top = max(top, v)
			own += v * indicator(i == r.slot)
		}
	}
	if !(top > 0) {
		return 1 // no worth was set
	}
	return own / top * b.quotaWeight(now, r)
}

// quotaWeight is what a request of r's tenant is worth on average, given how much of the tenant's traffic
// lies beyond its share. Only this balancer's mix and refusals are known: the whole demand is taken to
// exceed the sum of the allowances as it exceeds what is let in here.
func (b *Balancer) quotaWeight(now Micros, r *request) float64 {
	if int(r.Tenant) >= len(b.tenantDemand) {
		return 1
	}
	var asked, allowed float64
	for i := range b.tenantDemand {
		asked += b.tenantDemand[i].rate(now)
		allowed += b.settings.Tenants[i].Allowance
	}
	if allowed <= 0 || asked < minTenantSample*allowed {
		return 1 // a balancer of little traffic has a mix of its own, which tells nothing of the whole
	}
	mine := b.tenantDemand[r.Tenant].rate(now) / asked
	inside := min(1, b.settings.Tenants[r.Tenant].Allowance/allowed/mine*(1-b.rejectionRate.value)*quotaSlack)
	return inside + (1-inside)*b.settings.OverQuotaWeight
}
