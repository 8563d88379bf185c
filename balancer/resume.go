package balancer

import (
	"cmp"
	"fmt"
	"slices"
)

// Resume returns a balancer that continues exactly as the one in the snapshot would: given the same events at the
// same instants, it asks the same of out. The error is a *SettingError or a *SnapshotError.
func Resume(s *Snapshot, out Actions) (*Balancer, error) { return s.balancer(s.At, out) }

// balancer makes a balancer for which the snapshot's instant is now.
func (s *Snapshot) balancer(now Micros, out Actions) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := s.averages(now, out)
	rules := make([]*Rules, len(s.Rules))
	for i, r := range s.Rules {
		rules[i] = &Rules{settings: r.Settings, slots: slices.Clone(r.Slots)}
	}
	b.rules = rules[0]
	s.addEndpoints(b, now)
	for _, x := range s.Logged {
		b.lastLogged[x.Topic] = now - x.Age
	}
	for i := range s.Slots {
		s.addRequest(b, now, i, rules)
	}
	for _, at := range s.Free {
		b.freeSlots = append(b.freeSlots, b.slots[at])
	}
	for _, at := range s.Waiting {
		b.waiting = append(b.waiting, b.slots[at])
	}
	return b, nil
}

// averages makes a balancer without endpoints and requests.
func (s *Snapshot) averages(now Micros, out Actions) *Balancer {
	b := &Balancer{
		settings:            s.Rules[0].Settings,
		out:                 out,
		rng:                 randSource(s.Random),
		requests:            map[uint64]*request{},
		byID:                map[uint32]*endpoint{},
		lastLogged:          map[string]Micros{},
		drainedAt:           map[uint32]Micros{},
		apertureSeed:        s.ApertureSeed,
		slowStartCorrection: cmp.Or(s.SlowStartCorrection, 1),
		capacityShare:       s.CapacityShare,
		capacity:            s.Capacity,
		warmEndpoints:       s.WarmEndpoints,
		capacityValidUntil:  now - s.CapacityValid,
		retryBudget:         s.RetryBudget,
		reportTime:          s.ReportTime,
		reportChanges:       s.ReportChanges,
		hintTrust:           s.HintTrust,
		latencyTrend:        s.LatencyTrend,
		repeatProbes:        s.RepeatProbes,
		repeatProbed:        s.RepeatProbed,
		everListed:          s.Listed,
		subscribed:          s.Subscribed,
		reportsLate:         s.ReportsLate,
		nextPollAt:          now - s.NextPoll,
		pollBackoff:         s.PollBackoff,
		lastPollAt:          now - s.LastPoll,
		fleetPace:           s.FleetPace.ewma(),
		meanWork:            s.MeanWork.ewma(),
		rejectionRate:       s.RejectionRate.ewma(),
		lateReports:         s.LateReports.ewma(),
		typicalLoad:         s.TypicalLoad.ewma(),
		serviceTime:         s.ServiceTime.ewma(),
		demand:              s.Demand.meter(now),
		sentWork:            s.SentWork.meter(now),
		pendingProbes:       s.PendingProbes,
		probeRound:          s.ProbeRound,
	}
	for _, c := range s.Classes {
		b.classes = append(b.classes, classStats{
			name:           c.Name,
			inUse:          c.InUse,
			open:           c.Open,
			priorityWeight: c.PriorityWeight,
			meanWork:       c.Work.ewma(),
			demand:         c.Demand.meter(now),
			onTime:         c.OnTime.ewma(),
			lastForcedAt:   now - c.LastForced,
		})
	}
	for _, t := range s.Tenants {
		b.tenantDemand = append(b.tenantDemand, t.meter(now))
	}
	return b
}

// addEndpoints adds the endpoints, and what refers to them, to a balancer.
func (s *Snapshot) addEndpoints(b *Balancer, now Micros) {
	for i := range s.Endpoints {
		e := s.Endpoints[i].endpoint(now, b.newPartFailures())
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
	for _, d := range s.Drains {
		b.drainedAt[d.ID] = now - d.Age
	}
	for _, u := range s.Undrained {
		b.undrained = append(b.undrained, undrainedEndpoint{id: u.ID, at: now - u.Age})
	}
}

// addRequest adds the record in a slot to a balancer.
func (s *Snapshot) addRequest(b *Balancer, now Micros, slot int, rules []*Rules) {
	x := &s.Slots[slot]
	r := &request{token: x.Token, ended: true}
	b.slots = append(b.slots, r)
	if slices.Contains(s.Free, slot) {
		return
	}
	*r = request{
		Request: Request{
			ID:            x.ID,
			Deadline:      now - x.Deadline,
			Hint:          x.Hint,
			HasHint:       x.HasHint,
			Retry:         x.Retry,
			Write:         x.Write,
			BodyStreaming: x.BodyStreaming,
			Tenant:        x.Tenant,
			Class:         x.Class,
			Rules:         rules[x.Rules],
		},
		token:          x.Token,
		slot:           x.Slot,
		arrivedAt:      now - x.Arrived,
		work:           x.Work,
		logHint:        x.LogHint,
		cachedPriority: x.Priority,
		priorityAt:     now - x.PriorityAge,
		waiting:        x.Waiting,
		ended:          x.Ended,
		responding:     x.Responding,
		onTime:         x.OnTime,
	}
	for _, a := range x.Attempts {
		to := &endpoint{partFailures: b.newPartFailures()}
		if a.Endpoint != forgottenEndpoint {
			to = b.endpoints[a.Endpoint]
		}
		r.attempts = append(r.attempts, attempt{
			endpoint:     to,
			zone:         a.Zone,
			cell:         a.Cell,
			sentAt:       now - a.Age,
			expected:     a.Expected,
			expectedWork: a.ExpectedWork,
			pending:      a.Pending,
			streaming:    a.Streaming,
			mayHaveRun:   a.MayHaveRun,
		})
		if a.Pending {
			r.pending++
		}
	}
	b.requests[r.ID] = r
	if !r.ended {
		b.open++
	}
}

func (m MeanState) ewma() ewma { return ewma{value: m.V, samples: m.N} }

func (m RateState) meter(now Micros) rateMeter {
	if m.Sum == 0 {
		return rateMeter{}
	}
	return rateMeter{sum: m.Sum, at: now - m.Age}
}

// endpoint makes an endpoint from its state.
func (s *EndpointState) endpoint(now Micros, partFailures []failureRun) *endpoint {
	e := &endpoint{
		Endpoint: Endpoint{
			ID:        s.ID,
			Zone:      s.Zone,
			Kind:      s.Kind,
			Cell:      s.Cell,
			State:     s.State,
			Weight:    s.Weight,
			StartTime: s.StartTime,
		},
		warmingUp:        s.WarmingUp,
		hasLoad:          s.HasLoad,
		probing:          s.Probing,
		slowStartAt:      now - s.SlowStart,
		slowStartBudget:  s.SlowStartBudget,
		budgetRefilledAt: now - s.BudgetRefilled,
		inflight:         s.Inflight,
		streaming:        s.Streaming,
		lastSendAt:       now - s.LastSend,
		silentSince:      now - s.SilentSince,
		reportSum:        s.ReportSum,
		probeRound:       s.ProbeRound,
		lastProbeAt:      now - s.LastProbe,
		lastReportAt:     now - s.LastReport,
		othersLoad:       s.OthersLoad,
		ownAtReport:      s.OwnAtReport,
		rtt:              s.RTT.ewma(),
		pace:             s.Pace.ewma(),
		paceLearnedAt:    now - s.PaceLearned,
		ejectedUntil:     now - s.EjectedUntil,
		partFailures:     partFailures,
		breaker:          s.breaker(now),
	}
	for _, x := range s.FailureRuns {
		run := failureRun{
			streak:           x.Streak,
			ejectedUntil:     now - x.EjectedUntil,
			ejectionDuration: x.EjectionDuration,
			onTrial:          x.Trial,
		}
		if x.Part == allParts {
			e.failures = run
		} else {
			e.partFailures[x.Part] = run
		}
	}
	return e
}

// breaker makes a breaker from an endpoint's state.
func (s *EndpointState) breaker(now Micros) breaker {
	k := breaker{
		head:         now/(window/bucketCount) - s.Head,
		base:         s.Base,
		current:      s.Current,
		lastForcedAt: now - s.LastForced,
	}
	if s.Head >= bucketCount {
		return k // all buckets are older than the window
	}
	for _, x := range s.Buckets {
		n := k.head - int64(x.Back)
		if n < 0 {
			continue
		}
		k.buckets[n%bucketCount] = bucket{requests: x.Requests, accepts: x.Accepts, failures: x.Failures}
		k.requests += int(x.Requests)
		k.accepts += int(x.Accepts)
	}
	return k
}

// State returns the rules as data.
func (r *Rules) State() RulesState { return RulesState{Settings: r.settings, Slots: r.slots} }

// RestoreRules returns the rules for a request of a balancer that has s.Slots. The error is a *SettingError or a
// *SnapshotError.
func (b *Balancer) RestoreRules(s RulesState) (*Rules, error) {
	if err := s.Settings.Validate(); err != nil {
		return nil, err
	}
	for _, at := range s.Slots {
		if at < 0 || at >= len(b.classes) {
			return nil, &SnapshotError{"Rules.Slots", "name what is not there"}
		}
	}
	if len(s.Slots) != len(s.Settings.Classes) {
		return nil, &SnapshotError{"Rules.Slots", "are not one for each class"}
	}
	// Requests that arrived under the same rules share them, so that a snapshot has each once.
	text := fmt.Sprint(s)
	for _, r := range b.requests {
		if fmt.Sprint(r.Rules.State()) == text {
			return r.Rules, nil
		}
	}
	return &Rules{settings: s.Settings, slots: slices.Clone(s.Slots)}, nil
}
