package balancer

import (
	"math"
	"slices"
)

const (
	maxRestoreAge          = 300 * second  // an older snapshot tells less than the first second of traffic
	confidenceTimeConstant = breakerWindow // time constant of the confidence in temporary conditions, such as failures
)

// Restore takes over what is still valid from the snapshot of an earlier process, which was taken age ago, and returns
// the number of listed endpoints that the snapshot has. Call it once the endpoint list is known and before anything is
// sent. A snapshot older than maxRestoreAge is ignored. If most endpoints were failing for the earlier process, the
// cause was not the endpoints or is over by now, so that no failures are taken over.
//
// The error is a *SettingError or a *SnapshotError.
func (b *Balancer) Restore(now Micros, s *Snapshot, age Micros) (int, error) {
	old, err := s.buildBalancer(now-age, nil)
	if err != nil || age < 0 || age > maxRestoreAge {
		return 0, err
	}
	confidence := math.Exp(-float64(age) / float64(confidenceTimeConstant))
	if old.mostlyFailing(now) {
		confidence = 0
	}
	b.restoreAverages(old, confidence)
	b.restoreClasses(old, confidence)
	known := 0
	for _, oldEndpoint := range old.endpoints {
		e := b.byID[oldEndpoint.ID]
		if e == nil || e.StartTime != oldEndpoint.StartTime || e.State == Removed {
			continue // not listed, or a new process has replaced it
		}
		known++
		b.restoreEndpoint(now, e, oldEndpoint, confidence > 0)
		b.restoreFailures(old, e, oldEndpoint, confidence > 0)
	}
	slices.SortStableFunc(b.pool, func(x, y *endpoint) int { return int(x.lastReportAt - y.lastReportAt) })
	b.pool = b.pool[max(0, len(b.pool)-maxPool):]
	return known, nil
}

// mostlyFailing reports whether more than half of the endpoints are ejected or have an open breaker.
func (b *Balancer) mostlyFailing(now Micros) bool {
	failing := 0
	for _, e := range b.endpoints {
		if now < e.failures.ejectedUntil || e.breaker.errorChance(now) > 0 {
			failing++
		}
	}
	return 2*failing > len(b.endpoints)
}

// restoreAverages takes over the averages of all traffic. confidence, from 0 to 1, is that in temporary
// conditions.
func (b *Balancer) restoreAverages(old *Balancer, confidence float64) {
	b.fleetPace = old.fleetPace
	b.meanWork = old.meanWork
	b.serviceTime = old.serviceTime
	b.typicalLoad = old.typicalLoad
	b.ownLoad = old.ownLoad
	b.lateReports = old.lateReports
	b.reportsLate = old.reportsLate
	b.reportTime = old.reportTime
	b.reportChanges = old.reportChanges
	b.repeatProbes = old.repeatProbes
	b.demand = old.demand
	b.sentWork = old.sentWork
	b.hintTrust = old.hintTrust
	b.slowStartCorrection = old.slowStartCorrection
	b.latencyTrend = math.Pow(old.latencyTrend, confidence)
	b.rejectionRate.value = old.rejectionRate.value * confidence
	b.retryBudget = maxRetryBudget + (min(maxRetryBudget, old.retryBudget)-maxRetryBudget)*confidence
	b.capacityValidUntil = 0
}

// restoreClasses takes over the statistics of classes and tenants of the same name.
func (b *Balancer) restoreClasses(old *Balancer, confidence float64) {
	for i := range b.classes {
		c := &b.classes[i]
		for _, oldClass := range old.classes {
			if !oldClass.inUse || oldClass.name != c.name {
				continue
			}
			c.meanWork = oldClass.meanWork
			c.demand = oldClass.demand
			c.onTime = oldClass.onTime
			c.onTime.value = 1 - (1-c.onTime.value)*confidence
		}
	}
	for i, t := range b.settings.Tenants {
		if index := tenantIndex(old.settings.Tenants, t.Name); index >= 0 {
			b.tenantDemand[i] = old.tenantDemand[index]
		}
	}
}

// restoreEndpoint takes over the state of an endpoint: the breaker's outcomes only if withFailures is set, and never
// attempts in flight.
func (b *Balancer) restoreEndpoint(now Micros, e, old *endpoint, withFailures bool) {
	if old.isWarmingUp(now, b) {
		e.warmingUp = true
		e.slowStartAt = old.slowStartAt
		e.slowStartBudget = old.slowStartBudget
		e.budgetRefilledAt = old.budgetRefilledAt
	}
	e.rtt = old.rtt
	e.pace = old.pace
	e.paceLearnedAt = old.paceLearnedAt
	e.breaker = old.breaker
	if !withFailures {
		e.breaker = breaker{baseLatency: old.breaker.baseLatency, currentLatency: old.breaker.baseLatency}
	}
	if old.hasLoad && !e.hasLoad && b.available(e) {
		e.hasLoad = true
		e.reportSum = old.reportSum
		e.lastReportAt = old.lastReportAt
		// Requests of the earlier process may still be there. For this process they are other balancers' load.
		e.othersLoad = old.othersLoad + float64(old.begun())
		b.pool = append(b.pool, e)
	}
}

// restoreFailures takes over an endpoint's failure runs if withFailures is set. None is on trial, since the outcome of
// the earlier process's attempt is not reported to this one.
func (b *Balancer) restoreFailures(old *Balancer, e, oldEndpoint *endpoint, withFailures bool) {
	e.failures = failureRun{}
	e.partFailures = b.newPartFailures()
	if withFailures {
		e.failures = oldEndpoint.failures
		e.partFailures = b.translateFailures(old, oldEndpoint)
	}
	e.failures.onTrial = false
	e.ejectedUntil = e.failures.ejectedUntil
	for i := range e.partFailures {
		e.partFailures[i].onTrial = false
		e.ejectedUntil = max(e.ejectedUntil, e.partFailures[i].ejectedUntil)
	}
}

// translateFailures returns the failure runs of an endpoint of the old balancer, at the indices of the same classes and
// tenants in this one.
func (b *Balancer) translateFailures(old *Balancer, e *endpoint) []failureRun {
	runs := b.newPartFailures()
	for part, run := range e.partFailures {
		if newPart := b.translatePart(old, part); newPart >= 0 {
			runs[newPart] = run
		}
	}
	return runs
}

// translatePart returns the index in partFailures of the class or tenant that has index part in the old balancer, or -1
// if this balancer does not have it.
func (b *Balancer) translatePart(old *Balancer, part int) int {
	if part < len(old.classes) {
		name := old.classes[part].name
		return slices.IndexFunc(b.classes, func(c classStats) bool { return c.inUse && c.name == name })
	}
	tenant := tenantIndex(b.settings.Tenants, old.settings.Tenants[part-len(old.classes)].Name)
	if tenant < 0 {
		return -1
	}
	return len(b.classes) + tenant
}
