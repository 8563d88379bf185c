package balancer

import "math"

const (
	worstWindowGain  = 4.0  // requests are rejected in the worst windows, where weight counts more
	minClassPart     = 0.05 // of all work, for the goal's weight of the worst class
	worstClassSpread = 0.1  // in the share of answers on time, over which that weight falls off
	minTenantSample  = 0.05 // of all allowances that a balancer must see to judge a tenant's part
	quotaSlack       = 1.25 // a rejection rate below a fifth says nothing of a tenant's part
)

// priority is the priority of r's class, from 0 to 1, computed once for all endpoints that are weighed at an instant.
func (b *Balancer) priority(now Micros, r *request) float64 {
	if r.priorityAt != now || r.cachedPriority == 0 {
		r.cachedPriority = b.computePriority(now, r)
		r.priorityAt = now
	}
	return r.cachedPriority
}

// computePriority ranks r's class by what a unit of its work gains for the goal: its weight, and more if the class is
// served worst.
func (b *Balancer) computePriority(now Micros, r *request) float64 {
	var work, weight float64
	worst := 1.0
	counts := func(i int) bool { return b.classes[i].inUse || i == r.slot }
	for i := range b.classes {
		if c := &b.classes[i]; counts(i) {
			rate := c.demand.rate(now)
			work += rate * c.meanWork.value
			weight += rate * b.classWeight(i)
			worst = min(worst, c.onTime.valueOr(1))
		}
	}
	goal := &b.settings.Goal
	var highest, own float64
	for i := range b.classes {
		c := &b.classes[i]
		if !counts(i) {
			continue
		}
		part := c.demand.rate(now) * c.meanWork.value / work
		gain := (goal.Total + worstWindowGain*goal.WorstWindow) * b.classWeight(i) / c.meanWork.value * work / weight
		gain += goal.WorstClass / max(minClassPart, part) * math.Exp((worst-c.onTime.valueOr(1))/worstClassSpread)
		highest = max(highest, gain)
		own += gain * indicator(i == r.slot)
	}
	if !(highest > 0) {
		return 1 // no weights are configured
	}
	return own / highest * b.quotaWeight(now, r)
}

// quotaWeight is the mean weight of a request of r's tenant, given how much of the tenant's traffic is beyond its
// allowance. Only this balancer's traffic and rejections are known: the demand of the fleet is taken to exceed the
// sum of the allowances as far as demand exceeds what is admitted here.
func (b *Balancer) quotaWeight(now Micros, r *request) float64 {
	if int(r.Tenant) >= len(b.tenantDemand) {
		return 1
	}
	var demand, allowed float64
	for i := range b.tenantDemand {
		demand += b.tenantDemand[i].rate(now)
		allowed += b.settings.Tenants[i].Allowance
	}
	if allowed <= 0 || demand < minTenantSample*allowed {
		return 1 // the mix of a balancer of little traffic says nothing of the fleet's
	}
	part := b.tenantDemand[r.Tenant].rate(now) / demand
	within := min(1, b.settings.Tenants[r.Tenant].Allowance/allowed/part*(1-b.rejectionRate.value)*quotaSlack)
	return within + (1-within)*b.settings.OverQuotaWeight
}
