package balancer

import (
	"cmp"
	"slices"
)

// The aperture is the subset of the endpoints that a balancer uses, chosen by its seed. An endpoint accepts few
// connections, which all balancers share; and a balancer that uses fewer endpoints has fresher estimates of each and
// keeps its connections open.
const (
	balancersPerEndpoint = 8           // balancers that have an endpoint in their aperture, on average
	minAperture          = 6           // endpoints
	apertureLifetime     = second / 10 // time after which the aperture is computed again
)

// apertureHashMultiplier spreads endpoint IDs over the seeds of their ranks. Any odd number with well-mixed bits works.
const apertureHashMultiplier = 0xd1342543de82ef95

// aperture returns the endpoints in use; endpoints of the next ranks replace those that are unavailable or ejected. It
// also adds up the capacity of the endpoints in use and of the ejected ones. Without the ejected ones, the share of
// each endpoint that is warming up would seem too large.
func (b *Balancer) aperture(now Micros) []*endpoint {
	if now < b.capacityValidUntil {
		return b.apertureList
	}
	b.capacityValidUntil = now + apertureLifetime
	b.apertureList = append(b.apertureList[:0], b.endpoints...)
	highestRank := 1.0 // of the endpoints in use
	size := max(minAperture, balancersPerEndpoint*len(b.endpoints)/b.settings.Balancers)
	if size < len(b.endpoints) {
		// Unavailable and ejected endpoints rank behind all others.
		rank := func(e *endpoint) float64 {
			return b.apertureRank(e) + indicator(!b.available(e) || now < e.failures.ejectedUntil)
		}
		slices.SortFunc(b.apertureList, func(x, y *endpoint) int { return cmp.Compare(rank(x), rank(y)) })
		b.apertureList = b.apertureList[:size]
		highestRank = rank(b.apertureList[size-1])
	}
	b.capacity = 0
	b.warmEndpoints = 0
	for _, e := range b.endpoints {
		if b.available(e) && b.apertureRank(e) <= highestRank {
			b.capacity += e.guaranteedCapacity(now, b)
			b.warmEndpoints += indicator(!e.warmingUp)
		}
	}
	return b.apertureList
}

// apertureRank returns the rank of e, in [0,1), in this balancer's order of the endpoints. It depends only on the seed
// and the endpoint's ID, so that it never changes.
func (b *Balancer) apertureRank(e *endpoint) float64 {
	source := randSource(b.apertureSeed + uint64(e.ID)*apertureHashMultiplier)
	return source.float()
}
