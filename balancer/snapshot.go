package balancer

import (
	"cmp"
	"slices"
)

// Snapshot pictures the balancer. With ledger it has all that Resume needs; without, what Recall may
// use, and
// nothing of open requests.
func (b *Balancer) Snapshot(now Micros, ledger bool) *Snapshot {
	meterOf := func(m rateMeter, name string) RateState {
		if m.sum == 0 {
			return RateState{Name: name}
		}
		return RateState{m.sum, now - m.at, name}
	}
	s := &Snapshot{At: now, Random: uint64(b.rng), ApertureSeed: b.apertureSeed,
		SlowStartCorrection: b.slowStartCorrection, Listed: b.everListed, Subscribed: b.subscribed,
		ReportsLate: b.reportsLate,
		NextPoll:    now - b.nextPollAt, PollBackoff: b.pollBackoff, LastPoll: now - b.lastPollAt,
		CapacityValid: now -
			b.capacityValidUntil, CapacityShare: b.capacityShare, Capacity: b.capacity,
		WarmEndpoints: b.warmEndpoints,
		RetryBudget:   b.retryBudget, ReportTime: b.reportTime, ReportChanges: b.reportChanges,
		HintTrust:    b.hintTrust,
		LatencyTrend: b.latencyTrend,
		RepeatProbes: b.repeatProbes, RepeatProbed: b.repeatProbed, FleetPace: b.fleetPace.state(),
		MeanWork: b.meanWork.state(), RejectionRate: b.rejectionRate.state(),
		LateReports: b.lateReports.state(), TypicalLoad: b.typicalLoad.state(),
		ServiceTime: b.serviceTime.state(),
		Demand:      meterOf(b.demand, ""),
		SentWork:    meterOf(b.sentWork, ""), Rules: []RulesState{{b.rules.settings, b.rules.slots}}}
	for _, c := range b.classes {
		s.Classes = append(s.Classes, ClassState{c.name, c.inUse, c.open, c.priorityWeight,
			c.meanWork.state(),
			meterOf(c.demand, ""),
			c.onTime.state(), now - c.lastForcedAt})
	}
	for i, m := range b.tenantDemand {
		s.Tenants = append(s.Tenants, meterOf(m, b.settings.Tenants[i].Name))
	}
	place := make(map[*endpoint]int, len(b.endpoints))
	s.Endpoints = make([]EndpointState, len(b.endpoints))
	for i, e := range b.endpoints {
		place[e] = i
		e.state(&s.Endpoints[i], now)
	}
	for _, e := range b.pool {
		s.Pool = append(s.Pool, place[e])
	}
	for _, e := range b.apertureList {
		if at, listed := place[e]; listed && len(b.apertureList) < len(b.endpoints) {
			s.Aperture = append(s.Aperture, at)
		}
	}
	for id, at := range b.drainedAt {
		s.Drains = append(s.Drains, DrainState{id, now - at})
	}
	slices.SortFunc(s.Drains, func(x, y DrainState) int { return cmp.Compare(x.ID, y.ID) })
	for _, c := range b.undrained {
		s.Undrained = append(s.Undrained, DrainState{c.id, now - c.at})
	}
	if !ledger {
		return s
	}
	s.PendingProbes, s.ProbeRound = b.pendingProbes, b.probeRound
	rules := map[*Rules]int{b.rules: 0}
	for _, r := range b.slots {
		x := RequestState{Token: r.token}
		if b.requests[r.ID] == r {
			at, met := rules[r.Rules]
			if !met {
				at = len(s.Rules)
				rules[r.Rules] = at
				s.Rules = append(s.Rules, RulesState{r.Rules.settings, r.Rules.slots})
			}
			x = RequestState{r.token, r.ID, now - r.Deadline, r.Hint, r.HasHint, r.Retry, r.Write,
				r.BodyStreaming, r.Tenant,
				r.Class,
				at, r.slot, now - r.arrivedAt, r.work, r.logHint, r.cachedPriority, now - r.priorityAt, r.waiting,
				r.ended,
				r.responding, r.onTime, nil}
			for _, a := range r.attempts {
				at, listed := place[a.endpoint]
				if !listed {
					at = -1
				}
				x.Attempts = append(x.Attempts, AttemptState{at, a.zone, a.cell, now - a.sentAt, a.expected,
					a.expectedWork,
					a.pending, a.streaming, a.mayHaveRun})
			}
		}
		s.Slots = append(s.Slots, x)
	}
	for _, r := range b.freeSlots {
		s.Free = append(s.Free, slotIndex(r.token))
	}
	for _, r := range b.waiting {
		s.Waiting = append(s.Waiting, slotIndex(r.token))
	}
	for topic, at := range b.lastLogged {
		s.Logged = append(s.Logged, LoggedState{topic, now - at})
	}
	slices.SortFunc(s.Logged, func(x, y LoggedState) int { return cmp.Compare(x.Topic, y.Topic) })
	return s
}

func (a ewma) state() MeanState { return MeanState{a.value, a.samples} }

func (e *endpoint) state(s *EndpointState, now Micros) {
	*s = EndpointState{ID: e.ID, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State,
		Weight:    e.Weight,
		StartTime: e.StartTime, WarmingUp: e.warmingUp, HasLoad: e.hasLoad, Probing: e.probing,
		SlowStart: now -
			e.slowStartAt,
		SlowStartBudget: e.slowStartBudget, BudgetRefilled: now - e.budgetRefilledAt, Inflight: e.inflight,
		Streaming: e.streaming, LastSend: now - e.lastSendAt,
		SilentSince: now - e.silentSince, ReportSum: e.reportSum, ProbeRound: e.probeRound, LastProbe: now -
			e.lastProbeAt, LastReport: now - e.lastReportAt,
		OthersLoad: e.othersLoad, OwnAtReport: e.ownAtReport, RTT: e.rtt.state(), Pace: e.pace.state(),
		PaceLearned: now -
			e.paceLearnedAt,
		EjectedUntil: now - e.ejectedUntil, Base: e.breaker.base, Current: e.breaker.current,
		LastForced: now -
			e.breaker.lastForcedAt,
		Head: min(bucketCount, now/(window/bucketCount)-e.breaker.head)}
	add := func(part int, i failureRun) {
		if i != (failureRun{}) {
			s.FailureRuns = append(s.FailureRuns, FailureRunState{part, i.streak, now - i.ejectedUntil,
				i.ejectionDuration,
				i.onTrial})
		}
	}
	add(-1, e.failures)
	for part, i := range e.partFailures {
		add(part, i)
	}
	for back := range bucketCount {
		if n := e.breaker.head - int64(back); n >= 0 && s.Head < bucketCount {
			if x := e.breaker.buckets[n%bucketCount]; x != (bucket{}) {
				s.Buckets = append(s.Buckets, BucketState{back, x.requests, x.accepts, x.failures})
			}
		}
	}
}
