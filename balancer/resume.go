package balancer

import (
	"cmp"
	"slices"
)

// Resume returns a balancer that goes on as the one pictured in s would: told the same at the same
// instants, it
// asks the same of out. The error is a *SettingError or a *SnapshotError.
func Resume(s *Snapshot, out Actions) (*Balancer, error) { return s.make(s.At, out) }

// make builds a balancer whose now is the snapshot's instant.
func (s *Snapshot) make(now Micros, out Actions) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{settings: s.Rules[0].Settings, out: out, rng: randSource(s.Random),
		apertureSeed:        s.ApertureSeed,
		slowStartCorrection: cmp.Or(s.SlowStartCorrection, 1), requests: map[uint64]*request{},
		byID: map[uint32]*endpoint{}, lastLogged: map[string]Micros{}, drainedAt: map[uint32]Micros{},
		capacityShare: s.CapacityShare,
		capacity:      s.Capacity, warmEndpoints: s.WarmEndpoints, retryBudget: s.RetryBudget,
		reportTime:    s.ReportTime,
		reportChanges: s.ReportChanges, hintTrust: s.HintTrust,
		latencyTrend: s.LatencyTrend, repeatProbes: s.RepeatProbes, repeatProbed: s.RepeatProbed,
		everListed:  s.Listed,
		subscribed:  s.Subscribed,
		reportsLate: s.ReportsLate, nextPollAt: now - s.NextPoll, pollBackoff: s.PollBackoff,
		lastPollAt: now -
			s.LastPoll, capacityValidUntil: now - s.CapacityValid,
		fleetPace: s.FleetPace.ewma(), meanWork: s.MeanWork.ewma(), rejectionRate: s.RejectionRate.ewma(),
		lateReports: s.LateReports.ewma(), typicalLoad: s.TypicalLoad.ewma(),
		serviceTime: s.ServiceTime.ewma(), demand: s.Demand.meter(now), sentWork: s.SentWork.meter(now),
		pendingProbes: s.PendingProbes, probeRound: s.ProbeRound}
	rules := make([]*Rules, len(s.Rules))
	for i, r := range s.Rules {
		rules[i] = &Rules{settings: r.Settings, slots: slices.Clone(r.Slots)}
	}
	b.rules = rules[0]
	for _, c := range s.Classes {
		b.classes = append(b.classes, classStats{name: c.Name, inUse: c.InUse, open: c.Open,
			priorityWeight: c.PriorityWeight,
			meanWork:       c.Work.ewma(), demand: c.Demand.meter(now), onTime: c.OnTime.ewma(),
			lastForcedAt: now - c.LastForced})
	}
	for _, t := range s.Tenants {
		b.tenantDemand = append(b.tenantDemand, t.meter(now))
	}
	for i := range s.Endpoints {
		e := &endpoint{partFailures: b.newPartFailures()}
		e.restore(&s.Endpoints[i], now)
		b.endpoints = append(b.endpoints, e)
		b.byID[e.ID] = e
	}
	for _, at := range s.Pool {
		b.pool = append(b.pool, b.endpoints[at])
	}
	for _, at := range s.Aperture {
		b.apertureList = append(b.apertureList, b.endpoints[at])
	}
	if len(b.apertureList) == 0 {
		b.apertureList = slices.Clone(b.endpoints)
	}
	for _, x := range s.Drains {
		b.drainedAt[x.ID] = now - x.Age
	}
	for _, x := range s.Undrained {
		b.undrained = append(b.undrained, undrainedEndpoint{x.ID, now - x.Age})
	}
	for _, x := range s.Logged {
		b.lastLogged[x.Topic] = now - x.Age
	}
	for i := range s.Slots {
		x := &s.Slots[i]
		b.slots = append(b.slots, &request{token: x.Token, ended: true})
		if slices.Contains(s.Free, i) {
			continue
		}
		r := b.slots[i]
		*r = request{Request: Request{ID: x.ID, Deadline: now - x.Deadline, Hint: x.Hint, HasHint: x.HasHint,
			Retry: x.Retry,
			Write: x.Write, BodyStreaming: x.BodyStreaming, Tenant: x.Tenant, Class: x.Class,
			Rules: rules[x.Rules]},
			token: x.Token,
			slot:  x.Slot, arrivedAt: now - x.Arrived, work: x.Work, logHint: x.LogHint,
			cachedPriority: x.Priority,
			priorityAt:     now - x.PriorityAge,
			waiting:        x.Waiting, ended: x.Ended, responding: x.Responding, onTime: x.OnTime}
		for _, a := range x.Attempts {
			to := &endpoint{partFailures: b.newPartFailures()}
			if a.Endpoint >= 0 {
				to = b.endpoints[a.Endpoint]
			}
			r.attempts = append(r.attempts, attempt{to, a.Zone, a.Cell, now - a.Age, a.Expected,
				a.ExpectedWork, a.Pending,
				a.Streaming, a.MayHaveRun})
			r.pending += int(indicator(a.Pending))
		}
		b.requests[r.ID] = r
		b.open += int(indicator(!r.ended))
	}
	for _, at := range s.Free {
		b.freeSlots = append(b.freeSlots, b.slots[at])
	}
	for _, at := range s.Waiting {
		b.waiting = append(b.waiting, b.slots[at])
	}
	return b, nil
}

func (m MeanState) ewma() ewma { return ewma{m.V, m.N} }

func (m RateState) meter(now Micros) rateMeter {
	if m.Sum == 0 {
		return rateMeter{}
	}
	return rateMeter{m.Sum, now - m.Age}
}

func (e *endpoint) restore(s *EndpointState, now Micros) {
	ills := e.partFailures
	*e = endpoint{Endpoint: Endpoint{s.ID, s.Zone, s.Kind, s.Cell, s.State, s.Weight, s.StartTime},
		warmingUp: s.WarmingUp,
		hasLoad:   s.HasLoad, probing: s.Probing, slowStartAt: now - s.SlowStart,
		slowStartBudget:  s.SlowStartBudget,
		budgetRefilledAt: now - s.BudgetRefilled,
		inflight:         s.Inflight, streaming: s.Streaming, lastSendAt: now - s.LastSend,
		silentSince: now - s.SilentSince,
		reportSum:   s.ReportSum, probeRound: s.ProbeRound,
		lastProbeAt: now - s.LastProbe, lastReportAt: now - s.LastReport, othersLoad: s.OthersLoad,
		ownAtReport: s.OwnAtReport, rtt: s.RTT.ewma(),
		pace: s.Pace.ewma(), paceLearnedAt: now - s.PaceLearned, ejectedUntil: now - s.EjectedUntil,
		partFailures: ills}
	for _, x := range s.FailureRuns {
		i := failureRun{x.Streak, now - x.EjectedUntil, x.EjectionDuration, x.Trial}
		if x.Part < 0 {
			e.failures = i
		} else {
			ills[x.Part] = i
		}
	}
	e.breaker.head = now/(window/bucketCount) - s.Head
	e.breaker.base, e.breaker.current, e.breaker.lastForcedAt = s.Base, s.Current, now-s.LastForced
	for _, x := range s.Buckets {
		if n := e.breaker.head - int64(x.Back); n >= 0 && s.Head < bucketCount {
			e.breaker.buckets[n%bucketCount] = bucket{x.Requests, x.Accepts, x.Failures}
			e.breaker.requests += int(x.Requests)
			e.breaker.accepts += int(x.Accepts)
		}
	}
}
