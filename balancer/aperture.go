package balancer

import (
	"cmp"
	"slices"
)

// The aperture is the subset of the endpoints that a balancer uses, drawn by its seed. All balancers share the few
// connections that an endpoint accepts, and an endpoint that is used often is known well and stays connected.
const (
	usersPerEndpoint = 8           // balancers that have an endpoint in their aperture, on average
	minAperture      = 6           // endpoints
	apertureLifetime = second / 10 // after which the aperture is computed anew
)

// apertureHashMultiplier spreads endpoint IDs over the seeds of their ranks; any odd number with mixed bits does.
const apertureHashMultiplier = 0xd1342543de82ef95

// aperture returns the endpoints in use, in whose place others come for those that are unavailable or ejected. It
// also adds up what these and the ejected ones can do: were only those in use counted, the part of each endpoint
// that warms up would seem large.
func (b *Balancer) aperture(now Micros) []*endpoint {
	if now < b.capacityValidUntil {
		return b.apertureList
	}
	b.capacityValidUntil = now + apertureLifetime
	b.apertureList = append(b.apertureList[:0], b.endpoints...)
	edge := 1.0 // the highest rank in use
	limit := max(minAperture, usersPerEndpoint*len(b.endpoints)/b.settings.Balancers)
	if limit < len(b.endpoints) {
		// Endpoints that get nothing come behind all others.
		order := func(e *endpoint) float64 {
			return b.apertureRank(e) + indicator(!b.available(e) || now < e.failures.ejectedUntil)
		}
		slices.SortFunc(b.apertureList, func(x, y *endpoint) int { return cmp.Compare(order(x), order(y)) })
		b.apertureList = b.apertureList[:limit]
		edge = order(b.apertureList[limit-1])
	}
	b.capacity = 0
	b.warmEndpoints = 0
	for _, e := range b.endpoints {
		if b.available(e) && b.apertureRank(e) <= edge {
			b.capacity += e.guaranteedCapacity(now, b)
			b.warmEndpoints += indicator(!e.warmingUp)
		}
	}
	return b.apertureList
}

// apertureRank is e's rank, in [0,1), in this balancer's order of endpoints. It stays the same for as long as both
// exist.
func (b *Balancer) apertureRank(e *endpoint) float64 {
	s := randSource(b.apertureSeed + uint64(e.ID)*apertureHashMultiplier)
	return s.float()
}
