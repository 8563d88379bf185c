package balancer

const (
	zoneWeight   = 2.0  // latency objectives that the price of a zone crossing counts as
	loadTieBreak = 0.05 // of a class's mean work, for each request at an endpoint
	maxDraws     = 8    // random endpoints that are looked at
	competitors  = 2    // random endpoints that compete with a small pool
)

// cost ranks endpoints for a request: the predicted latency, with the price of a zone crossing as time.
func (b *Balancer) cost(now Micros, r *request, e *endpoint) float64 {
	objective := float64(b.class(r).LatencyObjective)
	expected := b.predict(now, e, r.work)
	// An endpoint that answers in time goes before any that does not, in whatever zone.
	cost := expected + indicator(expected > b.latencyBudget(now, r, e))*objective
	cost += loadTieBreak * b.classes[r.slot].meanWork.valueOr(0) * e.currentPace(now, b) * b.load(now, e)
	otherZone := indicator(int(e.Zone) != b.settings.Zone)
	return cost + zoneWeight*b.settings.Prices.CrossZone*objective*otherZone
}

// selection is the search for the endpoint of least cost for a request.
type selection struct {
	b       *Balancer
	now     Micros
	r       *request
	not     *endpoint // left out
	ejected bool      // ejected endpoints are considered, too
	best    *endpoint
	least   float64 // cost of best
}

// consider takes an endpoint into account and reports whether the request may go there.
func (s *selection) consider(e *endpoint) bool {
	if e == s.not || s.r.tried(e) || !s.ejected && s.b.ejectedFor(s.now, e, s.r) || !s.b.maySend(s.now, s.r, e) {
		return false
	}
	cost := s.b.cost(s.now, s.r, e)
	if s.best == nil || cost < s.least {
		s.best = e
		s.least = cost
	}
	return true
}

// pick returns the endpoint of least cost among those with a fresh load report and, while these are few, some
// random ones. It leaves out not, those that were tried and, unless nothing else is left, ejected ones. It returns
// nil if there is none.
func (b *Balancer) pick(now Micros, r *request, not *endpoint) *endpoint {
	aperture := b.aperture(now)
	oldest := now - b.freshFor(now)
	s := selection{b: b, now: now, r: r, not: not}
	b.search(&s, aperture, oldest)
	if s.best == nil {
		s.ejected = true
		b.search(&s, aperture, oldest)
	}
	return s.best
}

// search considers the fresh part of the pool, then random endpoints, then all until one fits.
func (b *Balancer) search(s *selection, aperture []*endpoint, oldest Micros) {
	pooled := 0
	for i := len(b.pool) - 1; i >= 0 && b.pool[i].lastReportAt >= oldest; i-- {
		if s.consider(b.pool[i]) {
			pooled++
		}
	}
	// A small pool would get all requests: while most endpoints have no fresh report, random ones compete.
	wanted := 0
	if pooled < competitors || 2*pooled < min(maxPool, len(aperture)) {
		wanted = competitors
	}
	for draw := 0; wanted > 0 && draw < maxDraws && len(aperture) > 0; draw++ {
		if s.consider(aperture[b.rng.index(len(aperture))]) {
			wanted--
		}
	}
	// Random draws do not find what few endpoints may serve.
	from := b.rng.index(len(b.endpoints))
	for i := 0; s.best == nil && i < len(b.endpoints); i++ {
		s.consider(b.endpoints[(from+i)%len(b.endpoints)])
	}
}
