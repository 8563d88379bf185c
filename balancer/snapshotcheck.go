package balancer

import "slices"

// SnapshotError names the part of a snapshot that could not come from a balancer. Field is the stored name.
type SnapshotError struct{ Field, Reason string }

// Error names the field and what is wrong with it.
func (e *SnapshotError) Error() string { return "snapshot: " + e.Field + ": " + e.Reason }

// snapshotCheck collects the first error in a snapshot.
type snapshotCheck struct {
	s   *Snapshot
	err error
}

// must notes an error unless a condition holds.
func (c *snapshotCheck) must(ok bool, field, reason string) {
	if !ok && c.err == nil {
		c.err = &SnapshotError{field, reason}
	}
}

// within checks that indices are below n.
func (c *snapshotCheck) within(indices []int, n int, field string) {
	for _, at := range indices {
		c.must(at >= 0 && at < n, field, "names what is not there")
	}
}

// check returns what in a snapshot could not come from a balancer. One that passes cannot make a balancer fail.
// Rules are checked first, since the other checks read them.
func (s *Snapshot) check() error {
	if len(s.Rules) == 0 {
		return &SnapshotError{"Rules", "are missing"}
	}
	for i := range s.Rules {
		if err := s.Rules[i].Settings.Validate(); err != nil {
			return err
		}
	}
	c := &snapshotCheck{s: s}
	c.rules()
	c.averages()
	c.endpoints()
	c.references()
	c.requests()
	return c.err
}

func (c *snapshotCheck) rules() {
	for _, r := range c.s.Rules {
		c.must(len(r.Slots) == len(r.Settings.Classes), "Rules.Slots", "are not one for each class")
		c.within(r.Slots, len(c.s.Classes), "Rules.Slots")
	}
	c.must(len(c.s.Tenants) == len(c.s.Rules[0].Settings.Tenants), "Tenant", "is not one for each of the settings")
}

func (c *snapshotCheck) averages() {
	s := c.s
	c.must(finite(s.CapacityShare, s.Capacity, s.WarmEndpoints, s.RetryBudget, s.ReportTime, s.ReportChanges,
		s.HintTrust, s.LatencyTrend), "Ours..Trend", "are not all finite and at least 0")
	c.must(s.LatencyTrend > 0, "Trend", "is not positive")
	c.must(s.RepeatProbes >= 0 && s.PendingProbes >= 0, "Checks", "is negative")
	means := []MeanState{s.FleetPace, s.MeanWork, s.RejectionRate, s.LateReports, s.TypicalLoad, s.ServiceTime}
	rates := append([]RateState{s.Demand, s.SentWork}, s.Tenants...)
	for _, class := range s.Classes {
		valid := finite(class.PriorityWeight) && class.Open >= 0 && class.Work.V > 0
		c.must(valid, "Class", "has a figure out of range")
		means = append(means, class.Work, class.OnTime)
		rates = append(rates, class.Demand)
	}
	for _, r := range rates {
		c.must(finite(r.Sum) && r.Age >= 0, "Meter", "is no sum of the past")
	}
	for _, m := range means {
		c.must(finite(m.V, m.N), "Mean", "is not finite and at least 0")
	}
}

func (c *snapshotCheck) endpoints() {
	ids := make(map[uint32]bool, len(c.s.Endpoints))
	for i := range c.s.Endpoints {
		e := &c.s.Endpoints[i]
		c.must(!ids[e.ID], "Endpoints.ID", "stands there twice")
		ids[e.ID] = true
		c.endpoint(e)
	}
}

func (c *snapshotCheck) endpoint(e *EndpointState) {
	c.must(e.State <= Removed, "Endpoints.State", "is not known")
	isNumber := e.SlowStartBudget-e.SlowStartBudget == 0 // neither NaN nor infinite; it may be negative
	c.must(finite(e.OthersLoad, e.RTT.V, e.RTT.N, e.Pace.V, e.Pace.N, e.Base, e.Current) && isNumber,
		"Endpoints", "have a figure out of range")
	c.must(e.Streaming >= 0 && e.Inflight >= e.Streaming && e.OwnAtReport >= 0,
		"Endpoints.Inflight", "is out of range")
	c.must(e.Head <= bucketCount, "Endpoints.Head", "is no age in a window")
	earliest := min(e.Head, e.SlowStart, e.BudgetRefilled, e.LastSend, e.SilentSince, e.LastProbe, e.LastReport,
		e.PaceLearned, e.LastForced)
	c.must(earliest >= 0, "Endpoints", "have an instant that lies ahead")
	parts := len(c.s.Classes) + len(c.s.Tenants)
	for _, x := range e.FailureRuns {
		c.must(x.Part >= allParts && x.Part < parts && x.Streak >= 0, "Endpoints.Ills", "name what is not there")
	}
	for _, x := range e.Buckets {
		c.must(x.Back >= 0 && x.Back < bucketCount && x.Requests >= 0 && x.Accepts >= 0 && x.Failures >= 0,
			"Endpoints.Buckets", "are out of range")
	}
}

// references checks what names endpoints and slots by their index.
func (c *snapshotCheck) references() {
	s := c.s
	c.within(s.Pool, len(s.Endpoints), "Pool")
	c.within(s.Free, len(s.Slots), "Free")
	c.within(s.Waiting, len(s.Slots), "Held")
	c.within(s.Aperture, len(s.Endpoints), "Near")
	c.must(finite(s.SlowStartCorrection) && s.SlowStartCorrection <= 1, "Chill", "is not in 0..1")
	c.must(len(s.Pool) <= maxPool && len(s.Undrained) <= maxUndrained, "Pool", "is too long")
}

func (c *snapshotCheck) requests() {
	used := map[uint64]bool{}
	for i := range c.s.Slots {
		r := &c.s.Slots[i]
		c.must(slotIndex(r.Token) == i, "Slots.Token", "names another slot")
		if slices.Contains(c.s.Free, i) {
			continue
		}
		c.must(!used[r.ID], "Slots.ID", "stands there twice")
		used[r.ID] = true
		if !c.hasItsRules(r) {
			c.err = &SnapshotError{"Slots.Class", "is not in its rules"}
			return
		}
		c.request(r)
	}
}

// hasItsRules reports whether a request's class and slot are those of its rules.
func (c *snapshotCheck) hasItsRules(r *RequestState) bool {
	if r.Rules < 0 || r.Rules >= len(c.s.Rules) {
		return false
	}
	slots := c.s.Rules[r.Rules].Slots
	return int(r.Class) < len(slots) && r.Slot == slots[r.Class]
}

func (c *snapshotCheck) request(r *RequestState) {
	isNumber := r.LogHint-r.LogHint == 0
	c.must(finite(r.Work, r.Priority, r.OnTime) && r.Work > 0 && isNumber, "Slots.Work", "is out of range")
	for _, a := range r.Attempts {
		c.must(a.Endpoint >= forgottenEndpoint && a.Endpoint < len(c.s.Endpoints),
			"Slots.Attempts", "name what is not there")
		c.must(finite(a.Expected, a.ExpectedWork) && a.Expected > 0 && a.ExpectedWork > 0,
			"Slots.Attempts", "have a figure out of range")
	}
}

// finite reports whether all are numbers of at least 0.
func finite(list ...float64) bool {
	for _, v := range list {
		if !(v >= 0) || v-v != 0 {
			return false
		}
	}
	return true
}
