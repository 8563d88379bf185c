package balancer

// cost ranks endpoints: predicted latency, and as time a zone crossing's price.
func (b *Balancer) cost(now Micros, r *request, e *endpoint) float64 {
	aim := float64(b.class(r).LatencyObjective)
	expected := b.predict(now, e, r.work)
	// One that answers in time goes first, if far.
	c := expected + indicator(expected > b.latencyBudget(now, r, e))*aim
	c += 0.05 * b.classes[r.slot].meanWork.valueOr(0) * e.currentPace(now, b) * b.load(now, e)
	return c + zoneWeight*b.settings.Prices.CrossZone*aim*indicator(int(e.Zone) != b.settings.Zone)
}

// pick returns the best pooled endpoint for r, leaving out those it must not
// or should not go to; without fresh answers, the better of two random draws.
func (b *Balancer) pick(now Micros, r *request, not *endpoint) *endpoint {
	near, oldest := b.aperture(now), now-b.freshFor(now)
	var best *endpoint
	var least float64
	for pass := 0; pass < 2 && best == nil; pass++ {
		// weigh counts an endpoint that fits. Ejected ones serve only when nothing else is left.
		weigh := func(e *endpoint) int {
			if e == not || r.tried(e) || pass == 0 && b.ejectedFor(now, e, r) || !b.maySend(now, r, e) {
				return 0
			}
			if c := b.cost(now, r, e); best == nil || c < least {
				best, least = e, c
			}
			return 1
		}
		pooled := 0
		for i := len(b.pool) - 1; i >= 0 && b.pool[i].lastReportAt >= oldest; i-- {
			pooled += weigh(b.pool[i])
		}
		// A pool of few would take all: while most endpoints are unanswered, draws compete.
		n := 2 * int(indicator(pooled < 2 || 2*pooled < min(maxPool, len(near))))
		for try := 0; n > 0 && try < 8 && len(near) > 0; try++ {
			n -= weigh(near[b.rng.index(len(near))])
		}
		// What few endpoints may serve, chance does not find.
		for i, at := 0, b.rng.index(len(b.endpoints)); best == nil && i < len(b.endpoints); i++ {
			weigh(b.endpoints[(at+i)%len(b.endpoints)])
		}
	}
	return best
}
