package balancer

import (
	"math"
	"slices"
)

const (
	maxRestoreAge = 300 * second // an older snapshot says less than the first second of traffic
	restoreDecay  = window       // time constant in which belief in passing conditions fades
)

// Restore takes from the snapshot of an earlier process, taken age ago, what is still worth believing, and returns
// the number of endpoints that it knew. It is to be called once the list is known and before anything is sent. If
// that process had trouble with most endpoints, the cause was not theirs or is over: its record of failures is
// dropped.
func (b *Balancer) Restore(now Micros, s *Snapshot, age Micros) (int, error) {
	old, err := s.balancer(now-age, nil)
	if err != nil || age < 0 || age > maxRestoreAge {
		return 0, err
	}
	belief := math.Exp(-float64(age) / float64(restoreDecay))
	if old.mostlyFailing(now) {
		belief = 0
	}
	b.restoreAverages(old, belief)
	b.restoreClasses(old, belief)
	known := 0
	for _, was := range old.endpoints {
		e := b.byID[was.ID]
		if e == nil || e.StartTime != was.StartTime || e.State == Removed {
			continue // a new process has taken its place
		}
		known++
		b.restoreEndpoint(now, e, was, belief > 0)
		b.restoreFailures(old, e, was, belief > 0)
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

func (b *Balancer) restoreAverages(old *Balancer, belief float64) {
	b.fleetPace = old.fleetPace
	b.meanWork = old.meanWork
	b.serviceTime = old.serviceTime
	b.typicalLoad = old.typicalLoad
	b.lateReports = old.lateReports
	b.reportsLate = old.reportsLate
	b.reportTime = old.reportTime
	b.reportChanges = old.reportChanges
	b.repeatProbes = old.repeatProbes
	b.demand = old.demand
	b.sentWork = old.sentWork
	b.hintTrust = old.hintTrust
	b.slowStartCorrection = old.slowStartCorrection
	b.latencyTrend = math.Pow(old.latencyTrend, belief)
	b.rejectionRate.value = old.rejectionRate.value * belief
	b.retryBudget = maxRetryBudget + (min(maxRetryBudget, old.retryBudget)-maxRetryBudget)*belief
	b.capacityValidUntil = 0
}

func (b *Balancer) restoreClasses(old *Balancer, belief float64) {
	for i := range b.classes {
		c := &b.classes[i]
		for _, was := range old.classes {
			if !was.inUse || was.name != c.name {
				continue
			}
			c.meanWork = was.meanWork
			c.demand = was.demand
			c.onTime = was.onTime
			c.onTime.value = 1 - (1-c.onTime.value)*belief
		}
	}
	for i, t := range b.settings.Tenants {
		if at := tenantIndex(old.settings.Tenants, t.Name); at >= 0 {
			b.tenantDemand[i] = old.tenantDemand[at]
		}
	}
}

// restoreEndpoint takes over what was known of an endpoint, failures only if withFailures is set.
func (b *Balancer) restoreEndpoint(now Micros, e, was *endpoint, withFailures bool) {
	if was.isWarmingUp(now, b) {
		e.warmingUp = true
		e.slowStartAt = was.slowStartAt
		e.slowStartBudget = was.slowStartBudget
		e.budgetRefilledAt = was.budgetRefilledAt
	}
	e.rtt = was.rtt
	e.pace = was.pace
	e.paceLearnedAt = was.paceLearnedAt
	e.breaker = was.breaker
	if !withFailures {
		e.breaker = breaker{base: was.breaker.base, current: was.breaker.base}
	}
	if was.hasLoad && !e.hasLoad && b.available(e) {
		e.hasLoad = true
		e.reportSum = was.reportSum
		e.lastReportAt = was.lastReportAt
		// The earlier process's requests may still be there, and to this one they are others'.
		e.othersLoad = was.othersLoad + float64(was.inflight)
		b.pool = append(b.pool, e)
	}
}

// restoreFailures takes over an endpoint's failure runs. None is on trial: the outcome of that attempt will not
// come here.
func (b *Balancer) restoreFailures(old *Balancer, e, was *endpoint, withFailures bool) {
	e.failures = failureRun{}
	e.partFailures = b.newPartFailures()
	if withFailures {
		e.failures = was.failures
		e.partFailures = b.translateFailures(old, was)
	}
	e.failures.onTrial = false
	e.ejectedUntil = e.failures.ejectedUntil
	for i := range e.partFailures {
		e.partFailures[i].onTrial = false
		e.ejectedUntil = max(e.ejectedUntil, e.partFailures[i].ejectedUntil)
	}
}

// translateFailures returns an endpoint's failure runs by the classes and tenants of this balancer, from those of
// another.
func (b *Balancer) translateFailures(old *Balancer, e *endpoint) []failureRun {
	runs := b.newPartFailures()
	for part, run := range e.partFailures {
		if to := b.translatePart(old, part); to >= 0 {
			runs[to] = run
		}
	}
	return runs
}

// translatePart returns the index of the class or tenant that has an index in another balancer, or -1.
func (b *Balancer) translatePart(old *Balancer, part int) int {
	if part < len(old.classes) {
		name := old.classes[part].name
		return slices.IndexFunc(b.classes, func(c classStats) bool { return c.inUse && c.name == name })
	}
	to := tenantIndex(b.settings.Tenants, old.settings.Tenants[part-len(old.classes)].Name)
	if to < 0 {
		return -1
	}
	return len(b.classes) + to
}
