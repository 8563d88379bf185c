package balancer

const (
	zoneWeight        = 2.0  // cost of a zone crossing of price 1, in latency objectives
	loadTieBreak      = 0.05 // cost of each request at an endpoint, in the class's mean work
	maxRandomDraws    = 8    // random endpoints that a search considers
	randomCompetitors = 2    // random endpoints that a search adds to a small pool
)

// cost ranks endpoints for a request, lowest first. It is the predicted latency plus penalties, all in microseconds.
func (b *Balancer) cost(now Micros, r *request, e *endpoint) float64 {
	objective := float64(b.class(r).LatencyObjective)
	expected := b.predict(now, e, r.work)
	// An endpoint within the latency budget ranks before any beyond it, whatever its zone.
	cost := expected + indicator(expected > b.latencyBudget(now, r, e))*objective
	cost += loadTieBreak * b.classes[r.classSlot].meanWork.valueOr(0) * e.currentPace(now, b) * b.load(now, e)
	otherZone := indicator(int(e.Zone) != b.settings.Zone)
	return cost + zoneWeight*b.settings.Prices.CrossZone*objective*otherZone
}

// selection is the state of a search for the endpoint of lowest cost for a request.
type selection struct {
	b              *Balancer
	now            Micros
	r              *request
	excluded       *endpoint // not considered; nil for none
	includeEjected bool      // ejected endpoints are considered as well
	best           *endpoint // lowest cost so far; nil before one is found
	lowestCost     float64   // cost of best
}

// consider makes e the best endpoint if the request may be sent there at a lower cost. It reports whether the request
// may be sent there.
func (s *selection) consider(e *endpoint) bool {
	if e == s.excluded || s.r.tried(e) || !s.includeEjected && s.b.isEjected(s.now, e, s.r) ||
		!s.b.maySend(s.now, s.r, e) {
		return false
	}
	cost := s.b.cost(s.now, s.r, e)
	if s.best == nil || cost < s.lowestCost {
		s.best = e
		s.lowestCost = cost
	}
	return true
}

// pick returns the endpoint of lowest cost among those with a fresh load report and, while these are few, some random
// ones; nil if no endpoint may get the request. It never returns excluded or an endpoint that was tried, and an ejected
// one only if there is no other.
func (b *Balancer) pick(now Micros, r *request, excluded *endpoint) *endpoint {
	aperture := b.aperture(now)
	oldestReport := now - b.reportLifetime(now)
	s := selection{b: b, now: now, r: r, excluded: excluded}
	b.search(&s, aperture, oldestReport)
	if s.best == nil {
		s.includeEjected = true
		b.search(&s, aperture, oldestReport)
	}
	return s.best
}

// search considers the endpoints with fresh reports in the pool, then random endpoints of the aperture, and, while none
// fits, all endpoints in turn.
func (b *Balancer) search(s *selection, aperture []*endpoint, oldestReport Micros) {
	pooled := 0
	for i := len(b.pool) - 1; i >= 0 && b.pool[i].lastReportAt >= oldestReport; i-- {
		if s.consider(b.pool[i]) {
			pooled++
		}
	}
	// A small pool would get all requests. While most endpoints have no fresh report, random ones compete with it.
	randomLeft := 0
	if pooled < randomCompetitors || 2*pooled < min(maxPool, len(aperture)) {
		randomLeft = randomCompetitors
	}
	for draw := 0; randomLeft > 0 && draw < maxRandomDraws && len(aperture) > 0; draw++ {
		if s.consider(aperture[b.rng.index(len(aperture))]) {
			randomLeft--
		}
	}
	// Random draws may miss the few endpoints that may serve the request.
	offset := b.rng.index(len(b.endpoints))
	for i := 0; s.best == nil && i < len(b.endpoints); i++ {
		s.consider(b.endpoints[(offset+i)%len(b.endpoints)])
	}
}
