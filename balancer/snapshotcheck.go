package balancer

import "slices"

// SnapshotError reports the part of a snapshot that no balancer could have made. Field is its name in the stored form,
// which need not be that of the Go field.
type SnapshotError struct{ Field, Reason string }

// Error returns the field and what is wrong with it.
func (e *SnapshotError) Error() string { return "snapshot: " + e.Field + ": " + e.Reason }

// snapshotCheck checks a snapshot and keeps the first error.
type snapshotCheck struct {
	s   *Snapshot
	err error
}

// must records an error unless ok is true or there is one already.
func (c *snapshotCheck) must(ok bool, field, reason string) {
	if !ok && c.err == nil {
		c.err = &SnapshotError{field, reason}
	}
}

// checkIndices checks that all indices are below limit and not negative.
func (c *snapshotCheck) checkIndices(indices []int, limit int, field string) {
	for _, index := range indices {
		c.must(index >= 0 && index < limit, field, "has an index out of range")
	}
}

// check returns a *SettingError or a *SnapshotError for the first thing in a snapshot that no balancer could have made,
// or nil. A balancer made from a snapshot that passes cannot panic because of it. The rules are checked first, since
// the other checks read them.
func (s *Snapshot) check() error {
	if len(s.Rules) == 0 {
		return &SnapshotError{"Rules", "the snapshot has none"}
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
		c.must(len(r.ClassSlots) == len(r.Settings.Classes), "Rules.Slots", "are not as many as the classes")
		c.checkIndices(r.ClassSlots, len(c.s.Classes), "Rules.Slots")
	}
	c.must(len(c.s.Tenants) == len(c.s.Rules[0].Settings.Tenants), "Tenant",
		"there must be one for each tenant in the settings")
}

func (c *snapshotCheck) averages() {
	s := c.s
	c.must(finiteNonNegative(s.CapacityShare, s.Capacity, s.WarmEndpoints, s.RetryBudget, s.ReportTime, s.ReportChanges,
		s.HintTrust, s.LatencyTrend), "Ours..Trend", "must all be finite and not negative")
	c.must(s.LatencyTrend > 0, "Trend", "must be positive")
	c.must(s.RepeatProbes >= 0 && s.PendingProbes >= 0, "Checks", "must not be negative")
	means := []MeanState{s.FleetPace, s.MeanWork, s.RejectionRate, s.LateReports, s.TypicalLoad, s.ServiceTime,
		s.OwnLoad}
	rates := append([]RateState{s.Demand, s.SentWork}, s.Tenants...)
	for _, class := range s.Classes {
		valid := finiteNonNegative(class.PriorityWeight) && class.Records >= 0 && class.Work.Value > 0
		c.must(valid, "Class", "has a value out of range")
		means = append(means, class.Work, class.OnTime)
		rates = append(rates, class.Demand)
	}
	for _, r := range rates {
		c.must(finiteNonNegative(r.Sum) && r.Age >= 0, "Meter", "must have a finite sum and an age, both not negative")
	}
	for _, m := range means {
		c.must(finiteNonNegative(m.Value, m.Samples), "Mean", "must be finite and not negative")
	}
}

func (c *snapshotCheck) endpoints() {
	ids := make(map[uint32]bool, len(c.s.Endpoints))
	for i := range c.s.Endpoints {
		e := &c.s.Endpoints[i]
		c.must(!ids[e.ID], "Endpoints.ID", "occurs twice")
		ids[e.ID] = true
		c.endpoint(e)
	}
}

func (c *snapshotCheck) endpoint(e *EndpointState) {
	c.must(e.State <= Removed, "Endpoints.State", "is not a known state")
	finiteBudget := e.SlowStartBudget-e.SlowStartBudget == 0 // neither NaN nor infinite; a budget may be negative
	c.must(finiteNonNegative(e.OthersLoad, e.RTT.Value, e.RTT.Samples, e.Pace.Value, e.Pace.Samples,
		e.Base, e.Current) && finiteBudget, "Endpoints", "have a value out of range")
	c.must(e.Streaming >= 0 && e.Inflight >= e.Streaming && e.OwnAtReport >= 0,
		"Endpoints.Inflight", "is out of range")
	c.must(e.Head <= bucketCount, "Endpoints.Head", "must not exceed the number of buckets")
	earliest := min(e.Head, e.SlowStart, e.BudgetRefilled, e.LastSend, e.SilentSince, e.LastProbe, e.LastReport,
		e.PaceLearned, e.LastForced)
	c.must(earliest >= 0, "Endpoints", "have an instant in the future")
	c.must(e.SlowStartToken >= 0, "Endpoints.SlowStartToken", "must not be negative")
	parts := len(c.s.Classes) + len(c.s.Tenants)
	for _, run := range e.FailureRuns {
		c.must(run.Part >= allTraffic && run.Part < parts && run.Streak >= 0, "Endpoints.Ills",
			"have a part or streak out of range")
	}
	for _, counts := range e.Buckets {
		c.must(counts.Back >= 0 && counts.Back < bucketCount &&
			counts.Requests >= 0 && counts.Accepts >= 0 && counts.Failures >= 0,
			"Endpoints.Buckets", "are out of range")
	}
}

// references checks the lists of indices of endpoints and request slots.
func (c *snapshotCheck) references() {
	s := c.s
	c.checkIndices(s.Pool, len(s.Endpoints), "Pool")
	c.checkIndices(s.FreeRequestSlots, len(s.RequestSlots), "Free")
	c.checkIndices(s.Waiting, len(s.RequestSlots), "Held")
	c.checkIndices(s.Aperture, len(s.Endpoints), "Near")
	c.must(finiteNonNegative(s.SlowStartCorrection) && s.SlowStartCorrection <= 1, "Chill", "must be in 0..1")
	c.must(len(s.Pool) <= maxPool && len(s.Undrained) <= maxUndrained, "Pool",
		"is too long, or the list of undrained endpoints is")
}

func (c *snapshotCheck) requests() {
	used := map[uint64]bool{}
	for i := range c.s.RequestSlots {
		r := &c.s.RequestSlots[i]
		c.must(slotIndex(r.Token) == i, "Slots.Token", "names another request slot")
		if slices.Contains(c.s.FreeRequestSlots, i) {
			continue
		}
		c.must(!used[r.ID], "Slots.ID", "occurs twice")
		used[r.ID] = true
		if !c.classMatchesRules(r) {
			c.err = &SnapshotError{"Slots.Class", "does not match the rules of the request"}
			return
		}
		c.request(r)
	}
}

// classMatchesRules reports whether a request's rules exist and have its class in its class slot.
func (c *snapshotCheck) classMatchesRules(r *RequestState) bool {
	if r.Rules < 0 || r.Rules >= len(c.s.Rules) {
		return false
	}
	slots := c.s.Rules[r.Rules].ClassSlots
	return int(r.Class) < len(slots) && r.ClassSlot == slots[r.Class]
}

func (c *snapshotCheck) request(r *RequestState) {
	finiteHint := r.LogHint-r.LogHint == 0
	c.must(finiteNonNegative(r.Work, r.Priority, r.OnTime) && r.Work > 0 && finiteHint, "Slots.Work", "is out of range")
	for _, a := range r.Attempts {
		c.must(a.Endpoint >= forgottenEndpoint && a.Endpoint < len(c.s.Endpoints),
			"Slots.Attempts", "name an endpoint that does not exist")
		c.must(finiteNonNegative(a.Expected, a.ExpectedWork) && a.Expected > 0 && a.ExpectedWork > 0,
			"Slots.Attempts", "have a value out of range")
	}
}

// finiteNonNegative reports whether all values are finite and at least 0.
func finiteNonNegative(values ...float64) bool {
	for _, v := range values {
		if !(v >= 0) || v-v != 0 {
			return false
		}
	}
	return true
}
