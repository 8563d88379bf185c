package balancer

import (
	"cmp"
	"fmt"
	"slices"
)

// Resume returns a balancer that continues exactly as the one in the snapshot would: given the same events at the same
// instants, it calls out in the same way. For that the snapshot must have been made with requests. The error is a
// *SettingError or a *SnapshotError.
func Resume(s *Snapshot, out Actions) (*Balancer, error) { return s.buildBalancer(s.At, out) }

// buildBalancer makes a balancer from a snapshot, in which now takes the place of the snapshot's instant.
func (s *Snapshot) buildBalancer(now Micros, out Actions) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := s.buildBase(now, out)
	rules := make([]*Rules, len(s.Rules))
	for i, r := range s.Rules {
		rules[i] = &Rules{settings: r.Settings, classSlots: slices.Clone(r.ClassSlots)}
	}
	b.rules = rules[0]
	s.addEndpoints(b, now)
	for _, logged := range s.Logged {
		b.lastLogged[logged.Topic] = now - logged.Age
	}
	for i := range s.RequestSlots {
		s.addRequest(b, now, i, rules)
	}
	for _, slot := range s.FreeRequestSlots {
		b.freeRequestSlots = append(b.freeRequestSlots, b.requestSlots[slot])
	}
	for _, slot := range s.Waiting {
		b.waiting = append(b.waiting, b.requestSlots[slot])
	}
	return b, nil
}

// buildBase makes the balancer without its endpoints and requests.
func (s *Snapshot) buildBase(now Micros, out Actions) *Balancer {
	b := &Balancer{
		settings:            s.Rules[0].Settings,
		actions:             out,
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
		ownLoad:             s.OwnLoad.ewma(),
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
			records:        c.Records,
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

// addEndpoints adds the endpoints to a balancer, and the lists that refer to them.
func (s *Snapshot) addEndpoints(b *Balancer, now Micros) {
	for i := range s.Endpoints {
		e := s.Endpoints[i].endpoint(now, b.newPartFailures())
		b.endpoints = append(b.endpoints, e)
		b.byID[e.ID] = e
	}
	for _, index := range s.Pool {
		b.pool = append(b.pool, b.endpoints[index])
	}
	for _, index := range s.Aperture {
		b.apertureList = append(b.apertureList, b.endpoints[index])
	}
	if len(b.apertureList) == 0 {
		b.apertureList = slices.Clone(b.endpoints)
	}
	for _, d := range s.Drains {
		b.drainedAt[d.ID] = now - d.Age
	}
	for _, u := range s.Undrained {
		b.undrained = append(b.undrained, undrainedEndpoint{id: u.ID, undrainedAt: now - u.Age})
	}
}

// addRequest adds the record in a request slot to a balancer.
func (s *Snapshot) addRequest(b *Balancer, now Micros, slot int, rules []*Rules) {
	state := &s.RequestSlots[slot]
	r := &request{token: state.Token, ended: true}
	b.requestSlots = append(b.requestSlots, r)
	if slices.Contains(s.FreeRequestSlots, slot) {
		return
	}
	*r = request{
		Request: Request{
			ID:            state.ID,
			Deadline:      now - state.Deadline,
			Hint:          state.Hint,
			HasHint:       state.HasHint,
			Retry:         state.Retry,
			Write:         state.Write,
			BodyStreaming: state.BodyStreaming,
			Tenant:        state.Tenant,
			Class:         state.Class,
			Rules:         rules[state.Rules],
		},
		token:          state.Token,
		classSlot:      state.ClassSlot,
		arrivedAt:      now - state.Arrived,
		work:           state.Work,
		logHint:        state.LogHint,
		cachedPriority: state.Priority,
		priorityAt:     now - state.PriorityAge,
		waiting:        state.Waiting,
		ended:          state.Ended,
		responding:     state.Responding,
		onTime:         state.OnTime,
	}
	for _, a := range state.Attempts {
		target := &endpoint{partFailures: b.newPartFailures()}
		if a.Endpoint != forgottenEndpoint {
			target = b.endpoints[a.Endpoint]
		}
		r.attempts = append(r.attempts, attempt{
			endpoint:        target,
			zone:            a.Zone,
			cell:            a.Cell,
			sentAt:          now - a.Age,
			expectedLatency: a.Expected,
			expectedWork:    a.ExpectedWork,
			pending:         a.Pending,
			streaming:       a.Streaming,
			mayHaveRun:      a.MayHaveRun,
		})
		if a.Pending {
			r.pending++
			if r.BodyStreaming {
				target.uploading++
			}
		}
	}
	b.requests[r.ID] = r
	if !r.ended {
		b.openRequests++
	}
}

func (m MeanState) ewma() ewma { return ewma{value: m.Value, samples: m.Samples} }

func (m RateState) meter(now Micros) rateMeter {
	if m.Sum == 0 {
		return rateMeter{}
	}
	return rateMeter{sum: m.Sum, updatedAt: now - m.Age}
}

// endpoint makes the record of an endpoint from its state.
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
	if s.SlowStartToken > 0 {
		e.slowStartTokenUntil = now + s.SlowStartToken
	}
	for _, runState := range s.FailureRuns {
		run := failureRun{
			streak:           runState.Streak,
			ejectedUntil:     now - runState.EjectedUntil,
			ejectionDuration: runState.EjectionDuration,
			onTrial:          runState.Trial,
		}
		if runState.Part == allTraffic {
			e.failures = run
		} else {
			e.partFailures[runState.Part] = run
		}
	}
	return e
}

// breaker makes the circuit breaker from an endpoint's state.
func (s *EndpointState) breaker(now Micros) breaker {
	k := breaker{
		newestBucket:   now/(breakerWindow/bucketCount) - s.Head,
		baseLatency:    s.Base,
		currentLatency: s.Current,
		lastForcedAt:   now - s.LastForced,
	}
	if s.Head >= bucketCount {
		return k // all buckets are older than the window
	}
	for _, bucketState := range s.Buckets {
		number := k.newestBucket - int64(bucketState.Back)
		if number < 0 {
			continue
		}
		k.buckets[number%bucketCount] = bucket{
			requests: bucketState.Requests, accepts: bucketState.Accepts, failures: bucketState.Failures}
		k.requests += int(bucketState.Requests)
		k.accepts += int(bucketState.Accepts)
	}
	return k
}

// State returns the rules as data.
func (r *Rules) State() RulesState { return RulesState{Settings: r.settings, ClassSlots: r.classSlots} }

// RestoreRules returns the rules that s describes, for requests of this balancer: the slots in s must be class slots of
// it. The error is a *SettingError or a *SnapshotError.
func (b *Balancer) RestoreRules(s RulesState) (*Rules, error) {
	if err := s.Settings.Validate(); err != nil {
		return nil, err
	}
	for _, slot := range s.ClassSlots {
		if slot < 0 || slot >= len(b.classes) {
			return nil, &SnapshotError{"Rules.Slots", "name a class slot that does not exist"}
		}
	}
	if len(s.ClassSlots) != len(s.Settings.Classes) {
		return nil, &SnapshotError{"Rules.Slots", "are not as many as the classes"}
	}
	// Requests that arrived under the same rules share one Rules, so that a snapshot stores it once.
	text := fmt.Sprint(s)
	for _, r := range b.requests {
		if fmt.Sprint(r.Rules.State()) == text {
			return r.Rules, nil
		}
	}
	return &Rules{settings: s.Settings, classSlots: slices.Clone(s.ClassSlots)}, nil
}
