package balancer

// Candidate is what a balancer believes of an endpoint, and whether it would send a request there. For people:
// no decision reads it.
type Candidate struct {
	Endpoint  uint32  `json:"endpoint"`
	Inflight  int     `json:"inflight"` // own requests there
	Load      float64 `json:"load"`     // requests held there, own and others', as believed
	Pooled    bool    `json:"pooled"`   // has a fresh load answer in the pool: only such ones, and a few drawn, are weighed
	AnswerAge Micros  `json:"answer_age_us"`
	Pace      float64 `json:"pace"`   // time by work, 1 as reckoned
	Warmth    float64 `json:"warmth"` // share of its strength that it has by now
	Room      float64 `json:"room_us"`
	Predicted float64 `json:"predicted_us"` // latency
	Limit     float64 `json:"limit_us"`     // the longest at which the request is still sent there
	Cost      float64 `json:"cost"`         // the least is picked

	ErrorChance   float64 `json:"error_chance"`   // of the breaker
	LatencyChance float64 `json:"latency_chance"` // of the breaker
	OutFor        Micros  `json:"out_for_us"`     // as a whole

	Avoided []string `json:"avoided,omitempty"` // why it gets nothing
}

// Explain returns what is weighed for a request that is about to be placed: an open one by its ID, else as if it
// came now. It may change what chance and caches decide later: ask a copy, made by Resume.
func (b *Balancer) Explain(now Micros, in Request) []Candidate {
	r := b.requests[in.ID]
	if r == nil {
		if in.Rules == nil {
			in.Rules = b.rules
		}
		if int(in.Class) >= len(in.Rules.slots) {
			return nil
		}
		r = b.take(now, in)
	}
	list := make([]Candidate, 0, len(b.list))
	for _, e := range b.list {
		c := b.Belief(now, e.ID, r.work)
		c.Limit, c.Cost = b.room(now, r, e), b.cost(now, r, e)
		c.LatencyChance = e.br.latencyChance(float64(b.class(r).GiveUp))
		c.Avoided = b.whyNot(now, r, e)
		list = append(list, c)
	}
	return list
}

// Belief returns what is believed of an endpoint, for a request of this work; 0 for the mean. Limits and costs are
// those of requests, and stay 0.
func (b *Balancer) Belief(now Micros, id uint32, work float64) Candidate {
	c := Candidate{Endpoint: id}
	e := b.byID[id]
	if e == nil {
		c.Avoided = []string{"not listed"}
		return c
	}
	if work <= 0 {
		work = max(workLeast, b.work.v)
	}
	for _, o := range b.pool {
		c.Pooled = c.Pooled || o == e && e.answerAt >= now-b.freshFor(now)
	}
	if e.hasLoad {
		c.AnswerAge = now - e.answerAt
	}
	c.Inflight, c.Load, c.Pace, c.Warmth, c.Room = e.inflight, b.load(now, e), e.paceNow(now, b), e.warmth(now, b), e.room
	c.Predicted, c.ErrorChance = b.predict(now, e, work), e.br.errorChance(now)
	c.OutFor = max(0, e.whole.outTo-now)
	return c
}

// whyNot says why a request does not go to an endpoint.
func (b *Balancer) whyNot(now Micros, r *request, e *endpoint) []string {
	var why []string
	add := func(yes bool, reason string) {
		if yes {
			why = append(why, reason)
		}
	}
	add(e.State == Draining, "it drains")
	add(e.State == Gone, "it is gone")
	add(b.isOut(e.ID), "operators have taken it out")
	add(now < e.whole.outTo, "ejected after failures")
	for _, i := range b.parts(r) {
		add(now < e.ills[i].outTo, "ejected after failures of its class or tenant")
	}
	add(r.tried(e), "tried already")
	add(now >= r.Deadline, "the deadline has passed")
	add(len(r.attempts) >= r.Rules.s.Limits.MaxAttempts, "no attempt is left")
	add(e.cold(now, b) && !b.coldRoom(now, e, r.work), "cold, and nothing saved up")
	add(len(why) == 0 && !b.maySend(now, r, e), "the class forbids a repeat there")
	add(b.predict(now, e, r.work) > b.room(now, r, e), "it would come too late")
	return why
}
