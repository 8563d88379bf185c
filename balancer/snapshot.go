package balancer

import (
	"cmp"
	"slices"
)

// Snapshot returns the balancer's state as data. With requests it has all that Resume needs; without, what Restore
// may use, and nothing of open requests.
func (b *Balancer) Snapshot(now Micros, requests bool) *Snapshot {
	s := b.averagesState(now)
	index := make(map[*endpoint]int, len(b.endpoints))
	s.Endpoints = make([]EndpointState, len(b.endpoints))
	for i, e := range b.endpoints {
		index[e] = i
		s.Endpoints[i] = e.state(now)
	}
	for _, e := range b.pool {
		s.Pool = append(s.Pool, index[e])
	}
	if len(b.apertureList) < len(b.endpoints) {
		for _, e := range b.apertureList {
			if at, listed := index[e]; listed {
				s.Aperture = append(s.Aperture, at)
			}
		}
	}
	for id, at := range b.drainedAt {
		s.Drains = append(s.Drains, DrainState{ID: id, Age: now - at})
	}
	slices.SortFunc(s.Drains, func(x, y DrainState) int { return cmp.Compare(x.ID, y.ID) })
	for _, u := range b.undrained {
		s.Undrained = append(s.Undrained, DrainState{ID: u.id, Age: now - u.at})
	}
	if requests {
		b.addRequests(now, s, index)
	}
	return s
}

// averagesState returns the state without endpoints and requests.
func (b *Balancer) averagesState(now Micros) *Snapshot {
	s := &Snapshot{
		At:                  now,
		Random:              uint64(b.rng),
		Rules:               []RulesState{b.rules.State()},
		Listed:              b.everListed,
		Subscribed:          b.subscribed,
		ReportsLate:         b.reportsLate,
		NextPoll:            now - b.nextPollAt,
		PollBackoff:         b.pollBackoff,
		LastPoll:            now - b.lastPollAt,
		CapacityValid:       now - b.capacityValidUntil,
		CapacityShare:       b.capacityShare,
		Capacity:            b.capacity,
		WarmEndpoints:       b.warmEndpoints,
		RetryBudget:         b.retryBudget,
		ReportTime:          b.reportTime,
		ReportChanges:       b.reportChanges,
		HintTrust:           b.hintTrust,
		LatencyTrend:        b.latencyTrend,
		RepeatProbes:        b.repeatProbes,
		RepeatProbed:        b.repeatProbed,
		FleetPace:           b.fleetPace.state(),
		MeanWork:            b.meanWork.state(),
		RejectionRate:       b.rejectionRate.state(),
		LateReports:         b.lateReports.state(),
		TypicalLoad:         b.typicalLoad.state(),
		ServiceTime:         b.serviceTime.state(),
		Demand:              b.demand.state(now, ""),
		SentWork:            b.sentWork.state(now, ""),
		ApertureSeed:        b.apertureSeed,
		SlowStartCorrection: b.slowStartCorrection,
	}
	for _, c := range b.classes {
		s.Classes = append(s.Classes, ClassState{
			Name:           c.name,
			InUse:          c.inUse,
			Open:           c.open,
			PriorityWeight: c.priorityWeight,
			Work:           c.meanWork.state(),
			Demand:         c.demand.state(now, ""),
			OnTime:         c.onTime.state(),
			LastForced:     now - c.lastForcedAt,
		})
	}
	for i, m := range b.tenantDemand {
		s.Tenants = append(s.Tenants, m.state(now, b.settings.Tenants[i].Name))
	}
	return s
}

// addRequests adds the records of requests, and what they wait for, to a snapshot. index has the endpoints' places
// in it.
func (b *Balancer) addRequests(now Micros, s *Snapshot, index map[*endpoint]int) {
	s.PendingProbes = b.pendingProbes
	s.ProbeRound = b.probeRound
	rules := map[*Rules]int{b.rules: 0}
	for _, r := range b.slots {
		if b.requests[r.ID] != r {
			s.Slots = append(s.Slots, RequestState{Token: r.token})
			continue
		}
		at, known := rules[r.Rules]
		if !known {
			at = len(s.Rules)
			rules[r.Rules] = at
			s.Rules = append(s.Rules, r.Rules.State())
		}
		s.Slots = append(s.Slots, r.state(now, at, index))
	}
	for _, r := range b.freeSlots {
		s.Free = append(s.Free, slotIndex(r.token))
	}
	for _, r := range b.waiting {
		s.Waiting = append(s.Waiting, slotIndex(r.token))
	}
	for topic, at := range b.lastLogged {
		s.Logged = append(s.Logged, LoggedState{Topic: topic, Age: now - at})
	}
	slices.SortFunc(s.Logged, func(x, y LoggedState) int { return cmp.Compare(x.Topic, y.Topic) })
}

// state returns a request as data; rules is the place of its rules in the snapshot.
func (r *request) state(now Micros, rules int, index map[*endpoint]int) RequestState {
	s := RequestState{
		Token:         r.token,
		ID:            r.ID,
		Deadline:      now - r.Deadline,
		Hint:          r.Hint,
		HasHint:       r.HasHint,
		Retry:         r.Retry,
		Write:         r.Write,
		BodyStreaming: r.BodyStreaming,
		Tenant:        r.Tenant,
		Class:         r.Class,
		Rules:         rules,
		Slot:          r.slot,
		Arrived:       now - r.arrivedAt,
		Work:          r.work,
		LogHint:       r.logHint,
		Priority:      r.cachedPriority,
		PriorityAge:   now - r.priorityAt,
		Waiting:       r.waiting,
		Ended:         r.ended,
		Responding:    r.responding,
		OnTime:        r.onTime,
	}
	for _, a := range r.attempts {
		at, listed := index[a.endpoint]
		if !listed {
			at = forgottenEndpoint
		}
		s.Attempts = append(s.Attempts, AttemptState{
			Endpoint:     at,
			Zone:         a.zone,
			Cell:         a.cell,
			Age:          now - a.sentAt,
			Expected:     a.expected,
			ExpectedWork: a.expectedWork,
			Pending:      a.pending,
			Streaming:    a.streaming,
			MayHaveRun:   a.mayHaveRun,
		})
	}
	return s
}

func (a ewma) state() MeanState { return MeanState{V: a.value, N: a.samples} }

func (m rateMeter) state(now Micros, name string) RateState {
	if m.sum == 0 {
		return RateState{Name: name}
	}
	return RateState{Sum: m.sum, Age: now - m.at, Name: name}
}

// state returns an endpoint as data.
func (e *endpoint) state(now Micros) EndpointState {
	s := EndpointState{
		ID:              e.ID,
		Zone:            e.Zone,
		Kind:            e.Kind,
		Cell:            e.Cell,
		State:           e.State,
		Weight:          e.Weight,
		StartTime:       e.StartTime,
		WarmingUp:       e.warmingUp,
		HasLoad:         e.hasLoad,
		Probing:         e.probing,
		SlowStart:       now - e.slowStartAt,
		SlowStartBudget: e.slowStartBudget,
		BudgetRefilled:  now - e.budgetRefilledAt,
		Inflight:        e.inflight,
		Streaming:       e.streaming,
		LastSend:        now - e.lastSendAt,
		SilentSince:     now - e.silentSince,
		ReportSum:       e.reportSum,
		ProbeRound:      e.probeRound,
		LastProbe:       now - e.lastProbeAt,
		LastReport:      now - e.lastReportAt,
		OthersLoad:      e.othersLoad,
		OwnAtReport:     e.ownAtReport,
		RTT:             e.rtt.state(),
		Pace:            e.pace.state(),
		PaceLearned:     now - e.paceLearnedAt,
		EjectedUntil:    now - e.ejectedUntil,
	}
	s.addFailureRun(now, allParts, e.failures)
	for part, run := range e.partFailures {
		s.addFailureRun(now, part, run)
	}
	s.addBreaker(now, &e.breaker)
	return s
}

func (s *EndpointState) addFailureRun(now Micros, part int, run failureRun) {
	if run == (failureRun{}) {
		return
	}
	s.FailureRuns = append(s.FailureRuns, FailureRunState{
		Part:             part,
		Streak:           run.streak,
		EjectedUntil:     now - run.ejectedUntil,
		EjectionDuration: run.ejectionDuration,
		Trial:            run.onTrial,
	})
}

func (s *EndpointState) addBreaker(now Micros, k *breaker) {
	s.Base = k.base
	s.Current = k.current
	s.LastForced = now - k.lastForcedAt
	s.Head = min(bucketCount, now/(window/bucketCount)-k.head)
	if s.Head >= bucketCount {
		return // all buckets are older than the window
	}
	for back := range bucketCount {
		n := k.head - int64(back)
		if n < 0 {
			return
		}
		x := k.buckets[n%bucketCount]
		if x != (bucket{}) {
			s.Buckets = append(s.Buckets, BucketState{
				Back: back, Requests: x.requests, Accepts: x.accepts, Failures: x.failures})
		}
	}
}
