package balancer

import (
	"math"
	"slices"
)

const (
	maxRestoreAge = 300 * second // a snapshot older than this tells less than the first second of traffic
	restoreDecay  = window       // in which belief in what passes by itself fades
)

// Restore takes from the snapshot of an earlier process, pictured age ago, what is still worth believing,
// and
// returns of how many endpoints. Call it once the list is known, as nothing is sent yet. A process that
// thought most endpoints sick saw something that was not theirs, or is over: its word on failures is
// dropped.
func (b *Balancer) Restore(now Micros, s *Snapshot, age Micros) (int, error) {
	o, err := s.make(now-age, nil)
	if err != nil || age < 0 || age > maxRestoreAge {
		return 0, err
	}
	fade := math.Exp(-float64(age) / float64(restoreDecay))
	sick := 0
	for _, e := range o.endpoints {
		sick += int(indicator(now < e.failures.ejectedUntil || e.breaker.errorChance(now) > 0))
	}
	if 2*sick > len(o.endpoints) {
		fade = 0
	}
	b.fleetPace, b.meanWork, b.serviceTime, b.typicalLoad, b.lateReports = o.fleetPace, o.meanWork,
		o.serviceTime, o.typicalLoad, o.lateReports
	b.reportsLate = o.reportsLate
	b.reportTime, b.reportChanges, b.repeatProbes, b.demand, b.sentWork = o.reportTime, o.reportChanges,
		o.repeatProbes, o.demand, o.sentWork
	b.hintTrust, b.slowStartCorrection, b.latencyTrend, b.rejectionRate.value = o.hintTrust,
		o.slowStartCorrection, math.Pow(o.latencyTrend, fade), o.rejectionRate.value*fade
	b.retryBudget, b.capacityValidUntil = maxRetryBudget+(min(maxRetryBudget,
		o.retryBudget)-maxRetryBudget)*fade, 0
	for i := range b.classes {
		c := &b.classes[i]
		for _, was := range o.classes {
			if was.inUse && was.name == c.name {
				c.meanWork, c.demand, c.onTime = was.meanWork, was.demand, was.onTime
				c.onTime.value = 1 - (1-c.onTime.value)*fade
			}
		}
	}
	for i, t := range b.settings.Tenants {
		if at := tenantIndex(o.settings.Tenants, t.Name); at >= 0 {
			b.tenantDemand[i] = o.tenantDemand[at]
		}
	}
	known := 0
	for _, was := range o.endpoints {
		e := b.byID[was.ID]
		if e == nil || e.StartTime != was.StartTime || e.State == Removed {
			continue // a new process there owes nothing to the old one's record
		}
		known++
		b.restoreEndpoint(now, e, was, fade > 0)
		if e.failures, e.partFailures = (failureRun{}), b.newPartFailures(); fade > 0 {
			e.failures, e.partFailures = was.failures, b.translateFailures(o, was)
		}
		e.ejectedUntil, e.failures.onTrial = e.failures.ejectedUntil, false
		for i := range e.partFailures {
			e.partFailures[i].onTrial = false // its outcome will not be told here
			e.ejectedUntil = max(e.ejectedUntil, e.partFailures[i].ejectedUntil)
		}
	}
	slices.SortStableFunc(b.pool, func(x, y *endpoint) int { return int(x.lastReportAt - y.lastReportAt) })
	b.pool = b.pool[max(0, len(b.pool)-maxPool):]
	return known, nil
}

// restoreEndpoint takes over what was known of an endpoint; failures says whether theirs counts.
func (b *Balancer) restoreEndpoint(now Micros, e, was *endpoint, failures bool) {
	if was.isWarmingUp(now, b) {
		e.warmingUp, e.slowStartAt, e.slowStartBudget, e.budgetRefilledAt = true, was.slowStartAt,
			was.slowStartBudget, was.budgetRefilledAt
	}
	e.rtt, e.pace, e.paceLearnedAt, e.breaker = was.rtt, was.pace, was.paceLearnedAt, was.breaker
	if !failures {
		e.breaker = breaker{base: was.breaker.base, current: was.breaker.base}
	}
	if was.hasLoad && !e.hasLoad && b.available(e) {
		// What the earlier process had there is there still, and to this one it is others'.
		e.hasLoad, e.reportSum, e.lastReportAt, e.othersLoad = true, was.reportSum, was.lastReportAt,
			was.othersLoad+float64(was.inflight)
		b.pool = append(b.pool, e)
	}
}

// translateFailures translates an endpoint's runs of failures from the classes and tenants of another
// balancer.
func (b *Balancer) translateFailures(o *Balancer, e *endpoint) []failureRun {
	ills := b.newPartFailures()
	for at, i := range e.partFailures {
		var to int
		if at < len(o.classes) {
			to = slices.IndexFunc(b.classes, func(c classStats) bool {
				return c.inUse &&
					c.name == o.classes[at].name
			})
		} else if to = tenantIndex(b.settings.Tenants, o.settings.Tenants[at-len(o.classes)].Name); to >= 0 {
			to += len(b.classes)
		}
		if to >= 0 {
			ills[to] = i
		}
	}
	return ills
}
