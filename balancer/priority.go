package balancer

import "math"

const (
	worstWindowGain      = 4.0  // rejections happen in the worst windows, where weight counts more
	minClassShare        = 0.05 // least share of all work that is assumed for the worst class
	worstClassSpread     = 0.1  // distance from the lowest on-time share over which that gain falls by e
	minTenantSampleShare = 0.05 // share of all allowances that a balancer must see to judge quotas
	quotaSlack           = 1.25 // while up to a fifth of the requests is rejected, none counts as beyond a quota
)

// priority returns r's priority, from 0 to 1. It is computed once per instant, since it is the same for all endpoints
// that are considered.
func (b *Balancer) priority(now Micros, r *request) float64 {
	if r.priorityAt != now || r.cachedPriority == 0 {
		r.cachedPriority = b.computePriority(now, r)
		r.priorityAt = now
	}
	return r.cachedPriority
}

// computePriority returns what a unit of work of r's class gains for the goal, relative to the class with the highest
// gain, times the quota weight of r's tenant. The class with the lowest share of answers on time gains most from the
// goal's weight of the worst class.
func (b *Balancer) computePriority(now Micros, r *request) float64 {
	var work, weight float64
	lowestOnTime := 1.0
	included := func(i int) bool { return b.classes[i].inUse || i == r.classSlot }
	for i := range b.classes {
		if c := &b.classes[i]; included(i) {
			rate := c.demand.rate(now)
			work += rate * c.meanWork.value
			weight += rate * b.classWeight(i)
			lowestOnTime = min(lowestOnTime, c.onTime.valueOr(1))
		}
	}
	goal := &b.settings.Goal
	var highestGain, ownGain float64
	for i := range b.classes {
		c := &b.classes[i]
		if !included(i) {
			continue
		}
		workShare := c.demand.rate(now) * c.meanWork.value / work
		gain := (goal.Total + worstWindowGain*goal.WorstWindow) * b.classWeight(i) / c.meanWork.value * work / weight
		gain += goal.WorstClass / max(minClassShare, workShare) *
			math.Exp((lowestOnTime-c.onTime.valueOr(1))/worstClassSpread)
		highestGain = max(highestGain, gain)
		ownGain += gain * indicator(i == r.classSlot)
	}
	if !(highestGain > 0) {
		return 1 // all weights are 0
	}
	return ownGain / highestGain * b.quotaWeight(now, r)
}

// quotaWeight returns the mean weight of a request of r's tenant, given the share of the tenant's traffic that exceeds
// its quota. A balancer knows only its own traffic and rejections. It assumes that the demand of the fleet exceeds the
// sum of the quotas by the same ratio as its own demand exceeds what it admits.
func (b *Balancer) quotaWeight(now Micros, r *request) float64 {
	if int(r.Tenant) >= len(b.tenantDemand) {
		return 1
	}
	var demand, allowed float64
	for i := range b.tenantDemand {
		demand += b.tenantDemand[i].rate(now)
		allowed += b.settings.Tenants[i].Allowance
	}
	if allowed <= 0 || demand < minTenantSampleShare*allowed {
		return 1 // the tenants in little traffic say nothing about those of the fleet
	}
	demandShare := b.tenantDemand[r.Tenant].rate(now) / demand
	withinQuota := min(1,
		b.settings.Tenants[r.Tenant].Allowance/allowed/demandShare*(1-b.rejectionRate.value)*quotaSlack)
	return withinQuota + (1-withinQuota)*b.settings.OverQuotaWeight
}
