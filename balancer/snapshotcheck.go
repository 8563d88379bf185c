package balancer

import "slices"

// SnapshotError names the part of a snapshot that makes no sense.
type SnapshotError struct{ Field, Reason string }

// Error names the field.
func (e *SnapshotError) Error() string { return "snapshot: " + e.Field + ": " + e.Reason }

// check says what in a snapshot could not come from a balancer. Whoever passes it cannot make one fail.
func (s *Snapshot) check() error {
	var err error
	must := func(ok bool, field, reason string) {
		if !ok && err == nil {
			err = &SnapshotError{field, reason}
		}
	}
	within := func(list []int, n int, field string) {
		for _, at := range list {
			must(at >= 0 && at < n, field, "names what is not there")
		}
	}
	if len(s.Rules) == 0 {
		return &SnapshotError{"Rules", "are missing"}
	}
	for i := range s.Rules {
		if bad := s.Rules[i].Settings.Validate(); bad != nil {
			return bad
		}
		must(len(s.Rules[i].Slots) == len(s.Rules[i].Settings.Classes), "Rules.Slots",
			"are not one for each class")
		within(s.Rules[i].Slots, len(s.Classes), "Rules.Slots")
	}
	must(len(s.Tenants) == len(s.Rules[0].Settings.Tenants), "Tenant",
		"is not one for each of the settings")
	must(finite(s.CapacityShare, s.Capacity, s.WarmEndpoints, s.RetryBudget, s.ReportTime, s.ReportChanges,
		s.HintTrust, s.LatencyTrend),
		"Ours..Trend", "are not all finite and at least 0")
	must(s.LatencyTrend > 0, "Trend", "is not positive")
	must(s.RepeatProbes >= 0 && s.PendingProbes >= 0, "Checks", "is negative")
	means := []MeanState{s.FleetPace, s.MeanWork, s.RejectionRate, s.LateReports, s.TypicalLoad,
		s.ServiceTime}
	for _, c := range s.Classes {
		means = append(means, c.Work, c.OnTime)
		must(finite(c.PriorityWeight) && c.Open >= 0 && c.Work.V > 0, "Class", "has a figure out of range")
	}
	meters := append([]RateState{s.Demand, s.SentWork}, s.Tenants...)
	for _, c := range s.Classes {
		meters = append(meters, c.Demand)
	}
	for _, m := range meters {
		must(finite(m.Sum) && m.Age >= 0, "Meter", "is no sum of the past")
	}
	for _, x := range means {
		must(finite(x.V, x.N), "Mean", "is not finite and at least 0")
	}
	ids := make(map[uint32]bool, len(s.Endpoints))
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		must(!ids[e.ID], "Endpoints.ID", "stands there twice")
		ids[e.ID] = true
		must(e.State <= Removed, "Endpoints.State", "is not known")
		must(finite(e.OthersLoad, e.RTT.V, e.RTT.N, e.Pace.V, e.Pace.N, e.Base, e.Current) &&
			e.SlowStartBudget-e.SlowStartBudget == 0, "Endpoints",
			"have a figure out of range")
		must(e.Streaming >= 0 && e.Inflight >= e.Streaming && e.OwnAtReport >= 0, "Endpoints.Inflight",
			"is out of range")
		must(e.Head <= bucketCount, "Endpoints.Head", "is no age in a window")
		must(min(e.Head, e.SlowStart, e.BudgetRefilled, e.LastSend, e.SilentSince, e.LastProbe, e.LastReport,
			e.PaceLearned, e.LastForced) >= 0,
			"Endpoints", "have an instant that lies ahead")
		for _, x := range e.FailureRuns {
			must(x.Part >= -1 && x.Part < len(s.Classes)+len(s.Tenants) && x.Streak >= 0, "Endpoints.Ills",
				"name what is not there")
		}
		for _, x := range e.Buckets {
			must(x.Back >= 0 && x.Back < bucketCount && x.Requests >= 0 && x.Accepts >= 0 && x.Failures >= 0,
				"Endpoints.Buckets", "are out of range")
		}
	}
	within(s.Pool, len(s.Endpoints), "Pool")
	within(s.Free, len(s.Slots), "Free")
	within(s.Waiting, len(s.Slots), "Held")
	within(s.Aperture, len(s.Endpoints), "Near")
	must(finite(s.SlowStartCorrection) && s.SlowStartCorrection <= 1, "Chill", "is not in 0..1")
	must(len(s.Pool) <= maxPool && len(s.Undrained) <= maxUndrained, "Pool", "is too long")
	used := map[uint64]bool{}
	for i := range s.Slots {
		x := &s.Slots[i]
		must(int(x.Token&(1<<slotBits-1)) == i+firstSlot, "Slots.Token", "names another slot")
		if slices.Contains(s.Free, i) {
			continue
		}
		must(!used[x.ID], "Slots.ID", "stands there twice")
		used[x.ID] = true
		if x.Rules < 0 || x.Rules >= len(s.Rules) || int(x.Class) >= len(s.Rules[x.Rules].Slots) ||
			x.Slot != s.Rules[x.Rules].Slots[x.Class] {
			return &SnapshotError{"Slots.Class", "is not in its rules"}
		}
		must(finite(x.Work, x.Priority, x.OnTime) && x.Work > 0 && x.LogHint-x.LogHint == 0, "Slots.Work",
			"is out of range")
		for _, a := range x.Attempts {
			must(a.Endpoint >= -1 && a.Endpoint < len(s.Endpoints), "Slots.Attempts", "name what is not there")
			must(finite(a.Expected, a.ExpectedWork) && a.Expected > 0 && a.ExpectedWork > 0, "Slots.Attempts",
				"have a figure out of range")
		}
	}
	return err
}

// finite says whether all are numbers of at least 0.
func finite(list ...float64) bool {
	for _, v := range list {
		if !(v >= 0) || v-v != 0 {
			return false
		}
	}
	return true
}
