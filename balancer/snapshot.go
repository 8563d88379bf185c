package balancer

import (
	"cmp"
	"slices"
)

// Snapshot returns the balancer's state as data. With requests it has all that Resume needs; without them it is for
// Restore in another process.
func (b *Balancer) Snapshot(now Micros, withRequests bool) *Snapshot {
	s := b.baseState(now)
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
		s.Undrained = append(s.Undrained, DrainState{ID: u.id, Age: now - u.undrainedAt})
	}
	if withRequests {
		b.addRequests(now, s, index)
	}
	return s
}

// baseState returns the snapshot without endpoints and requests.
func (b *Balancer) baseState(now Micros) *Snapshot {
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
		OwnLoad:             b.ownLoad.state(),
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
			Records:        c.records,
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

// addRequests adds the records of requests, and the probes that they wait for, to a snapshot. index gives the index of
// an endpoint in Snapshot.Endpoints.
func (b *Balancer) addRequests(now Micros, s *Snapshot, index map[*endpoint]int) {
	s.PendingProbes = b.pendingProbes
	s.ProbeRound = b.probeRound
	rules := map[*Rules]int{b.rules: 0}
	for _, r := range b.requestSlots {
		if b.requests[r.ID] != r {
			s.RequestSlots = append(s.RequestSlots, RequestState{Token: r.token})
			continue
		}
		rulesIndex, included := rules[r.Rules]
		if !included {
			rulesIndex = len(s.Rules)
			rules[r.Rules] = rulesIndex
			s.Rules = append(s.Rules, r.Rules.State())
		}
		s.RequestSlots = append(s.RequestSlots, r.state(now, rulesIndex, index))
	}
	for _, r := range b.freeRequestSlots {
		s.FreeRequestSlots = append(s.FreeRequestSlots, slotIndex(r.token))
	}
	for _, r := range b.waiting {
		s.Waiting = append(s.Waiting, slotIndex(r.token))
	}
	for topic, rulesIndex := range b.lastLogged {
		s.Logged = append(s.Logged, LoggedState{Topic: topic, Age: now - rulesIndex})
	}
	slices.SortFunc(s.Logged, func(x, y LoggedState) int { return cmp.Compare(x.Topic, y.Topic) })
}

// state returns a request as data. rulesIndex is the index of its rules in Snapshot.Rules, and index is as in
// addRequests.
func (r *request) state(now Micros, rulesIndex int, index map[*endpoint]int) RequestState {
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
		Rules:         rulesIndex,
		ClassSlot:     r.classSlot,
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
		endpointIndex, listed := index[a.endpoint]
		if !listed {
			endpointIndex = forgottenEndpoint
		}
		s.Attempts = append(s.Attempts, AttemptState{
			Endpoint:     endpointIndex,
			Zone:         a.zone,
			Cell:         a.cell,
			Age:          now - a.sentAt,
			Expected:     a.expectedLatency,
			ExpectedWork: a.expectedWork,
			Pending:      a.pending,
			Streaming:    a.streaming,
			MayHaveRun:   a.mayHaveRun,
		})
	}
	return s
}

func (a ewma) state() MeanState { return MeanState{Value: a.value, Samples: a.samples} }

func (m rateMeter) state(now Micros, name string) RateState {
	if m.sum == 0 {
		return RateState{Name: name}
	}
	return RateState{Sum: m.sum, Age: now - m.updatedAt, Name: name}
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
		SlowStartToken:  max(0, e.slowStartTokenUntil-now),
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
	s.addFailureRun(now, allTraffic, e.failures)
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
	s.Base = k.baseLatency
	s.Current = k.currentLatency
	s.LastForced = now - k.lastForcedAt
	s.Head = min(bucketCount, now/(breakerWindow/bucketCount)-k.newestBucket)
	if s.Head >= bucketCount {
		return // all buckets are older than the window
	}
	for back := range bucketCount {
		number := k.newestBucket - int64(back)
		if number < 0 {
			return
		}
		counts := k.buckets[number%bucketCount]
		if counts != (bucket{}) {
			s.Buckets = append(s.Buckets, BucketState{
				Back: back, Requests: counts.requests, Accepts: counts.accepts, Failures: counts.failures})
		}
	}
}
