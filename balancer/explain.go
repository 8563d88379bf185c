package balancer

// Candidate is what a balancer knows of an endpoint, and whether it would send a request there. It is for
// operators: no decision reads it. The tags are those of the command line's output.
type Candidate struct {
	Endpoint        uint32  `json:"endpoint"`
	Inflight        int     `json:"inflight"` // own requests there
	Load            float64 `json:"load"`     // requests there, own and others', as estimated
	Pooled          bool    `json:"pooled"`   // has a fresh load report in the pool
	AnswerAge       Micros  `json:"answer_age_us"`
	Pace            float64 `json:"pace"`   // time per unit of work; 1 is the fleet's without hints
	Capacity        float64 `json:"warmth"` // share of its capacity that it has by now
	SlowStartBudget float64 `json:"room_us"`
	Predicted       float64 `json:"predicted_us"` // latency
	Limit           float64 `json:"limit_us"`     // the longest latency at which the request is still sent there
	Cost            float64 `json:"cost"`         // the endpoint of least cost is picked

	ErrorChance   float64 `json:"error_chance"`   // of the breaker
	LatencyChance float64 `json:"latency_chance"` // of the breaker
	EjectedFor    Micros  `json:"out_for_us"`     // for all requests

	Exclusions []string `json:"avoided,omitempty"` // why it gets nothing
}

// Explain returns what is weighed for a request that is about to be dispatched: an open one by its ID, else as if
// it came now. It may change later random draws and caches: ask a copy, made by Resume.
func (b *Balancer) Explain(now Micros, in Request) []Candidate {
	r := b.requests[in.ID]
	if r == nil {
		if in.Rules == nil {
			in.Rules = b.rules
		}
		if int(in.Class) >= len(in.Rules.slots) {
			return nil
		}
		r = b.admit(now, in)
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

// Estimate returns what is known of an endpoint, for a request of this work; 0 stands for the mean. Limit, Cost and
// the latency chance are those of requests, and stay 0.
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
	for _, o := range b.pool {
		c.Pooled = c.Pooled || o == e && e.lastReportAt >= now-b.freshFor(now)
	}
	if e.hasLoad {
		c.AnswerAge = now - e.lastReportAt
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

// exclusionReasons returns why a request does not go to an endpoint.
func (b *Balancer) exclusionReasons(now Micros, r *request, e *endpoint) []string {
	var why []string
	add := func(yes bool, reason string) {
		if yes {
			why = append(why, reason)
		}
	}
	add(e.State == Draining, "it drains")
	add(e.State == Removed, "it is gone")
	add(b.administrativelyDrained(e.ID), "operators have taken it out")
	add(now < e.failures.ejectedUntil, "ejected after failures")
	for _, i := range b.parts(r) {
		add(now < e.partFailures[i].ejectedUntil, "ejected after failures of its class or tenant")
	}
	add(r.tried(e), "tried already")
	add(now >= r.Deadline, "the deadline has passed")
	add(len(r.attempts) >= r.Rules.settings.Limits.MaxAttempts, "no attempt is left")
	add(e.isWarmingUp(now, b) && !b.fitsSlowStartBudget(now, e, r.work), "cold, and nothing saved up")
	add(len(why) == 0 && !b.maySend(now, r, e), "the class forbids a repeat there")
	add(b.predict(now, e, r.work) > b.latencyBudget(now, r, e), "it would come too late")
	return why
}
