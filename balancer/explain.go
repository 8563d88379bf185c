package balancer

// Candidate is a balancer's estimate of an endpoint and whether it would send a request there. It is output for
// operators; no decision reads it. The command line prints the names in the json tags.
type Candidate struct {
	Endpoint        uint32  `json:"endpoint"`
	Inflight        int     `json:"inflight"`      // this balancer's requests there
	Load            float64 `json:"load"`          // estimate of all balancers' requests there
	Pooled          bool    `json:"pooled"`        // it has a fresh load report in the pool
	ReportAge       Micros  `json:"answer_age_us"` // age of its latest load report; 0 without one
	Pace            float64 `json:"pace"`          // time per unit of work; without hints 1 is the fleet's mean
	Capacity        float64 `json:"warmth"`        // guaranteed share of its capacity, below 1 while it warms up
	SlowStartBudget float64 `json:"room_us"`       // work that it may be sent while it warms up
	Predicted       float64 `json:"predicted_us"`  // predicted latency
	Limit           float64 `json:"limit_us"`      // longest predicted latency at which the request is still sent there
	Cost            float64 `json:"cost"`          // the endpoint of lowest cost is picked

	ErrorChance   float64 `json:"error_chance"`   // of a rejection by the breaker because of failures
	LatencyChance float64 `json:"latency_chance"` // of a rejection by the breaker because of latency
	EjectedFor    Micros  `json:"out_for_us"`     // remaining ejection for all requests; 0 if not ejected

	Exclusions []string `json:"avoided,omitempty"` // why the request is not sent there
}

// Explain returns the candidates for a request that is about to be dispatched: the open request with this ID, or else
// in as if it arrived now. It changes state that later decisions depend on, so call it on a copy made by Resume.
func (b *Balancer) Explain(now Micros, in Request) []Candidate {
	r := b.requests[in.ID]
	if r == nil {
		if in.Rules == nil {
			in.Rules = b.rules
		}
		if int(in.Class) >= len(in.Rules.classSlots) {
			return nil
		}
		r = b.recordArrival(now, in)
	}
	list := make([]Candidate, 0, len(b.endpoints))
	for _, e := range b.endpoints {
		c := b.Estimate(now, e.ID, r.work)
		c.Limit = b.latencyBudget(now, r, e)
		c.Cost = b.cost(now, r, e)
		c.LatencyChance = e.breaker.latencyChance(float64(b.class(r).Timeout))
		c.Exclusions = b.exclusionReasons(now, r, e)
		list = append(list, c)
	}
	return list
}

// Estimate returns the estimate of an endpoint for a request of this work; work 0 stands for the mean. Limit, Cost and
// LatencyChance depend on a request's class and stay 0.
func (b *Balancer) Estimate(now Micros, id uint32, work float64) Candidate {
	c := Candidate{Endpoint: id}
	e := b.byID[id]
	if e == nil {
		c.Exclusions = []string{"not listed"}
		return c
	}
	if work <= 0 {
		work = max(minWork, b.meanWork.value)
	}
	for _, pooled := range b.pool {
		c.Pooled = c.Pooled || pooled == e && e.lastReportAt >= now-b.reportLifetime(now)
	}
	if e.hasLoad {
		c.ReportAge = now - e.lastReportAt
	}
	c.Inflight = e.inflight
	c.Load = b.load(now, e)
	c.Pace = e.currentPace(now, b)
	c.Capacity = e.guaranteedCapacity(now, b)
	c.SlowStartBudget = e.slowStartBudget
	c.Predicted = b.predict(now, e, work)
	c.ErrorChance = e.breaker.errorChance(now)
	c.EjectedFor = max(0, e.failures.ejectedUntil-now)
	return c
}

// exclusionReasons returns the reasons why a request is not sent to an endpoint; none if it may be.
func (b *Balancer) exclusionReasons(now Micros, r *request, e *endpoint) []string {
	var reasons []string
	add := func(applies bool, reason string) {
		if applies {
			reasons = append(reasons, reason)
		}
	}
	add(e.State == Draining, "discovery lists it as draining")
	add(e.State == Removed, "discovery has removed it")
	add(b.administrativelyDrained(e.ID), "an operator has drained it")
	add(now < e.failures.ejectedUntil, "ejected for all requests after failures")
	for _, i := range b.trafficParts(r) {
		add(now < e.partFailures[i].ejectedUntil, "ejected after failures of the request's class or tenant")
	}
	add(r.tried(e), "an earlier attempt of the request went there")
	add(now >= r.Deadline, "the request's deadline has passed")
	add(len(r.attempts) >= r.Rules.settings.Limits.MaxAttempts, "the request has no attempt left")
	add(e.isWarmingUp(now, b) && !b.fitsSlowStartBudget(now, e, r.work),
		"warming up, and its slow-start budget is spent")
	add(len(reasons) == 0 && !b.maySend(now, r, e), "the rules allow no further attempt there")
	add(b.predict(now, e, r.work) > b.latencyBudget(now, r, e), "its predicted latency exceeds the limit")
	return reasons
}
