package balancer

import (
	"cmp"
	"slices"
)

// The aperture is the part of the list that a balancer uses, chosen by its own lot. All balancers share the
// few connections that an endpoint accepts, and one that is met often is known well and stays connected.
const (
	usersPerEndpoint = 8 // balancers that use an endpoint, on average,
	minAperture      = 6 // and endpoints to choose from
)

// aperture returns those endpoints, others for what is out or ejected, and counts what they and the ejected
// can do in warm ones. Were only those in use or warm ones counted, each cold one's part would seem large.
func (b *Balancer) aperture(now Micros) []*endpoint {
	if now < b.capacityValidUntil {
		return b.apertureList
	}
	b.capacity, b.warmEndpoints, b.capacityValidUntil = 0, 0, now+second/10
	b.apertureList = append(b.apertureList[:0], b.endpoints...)
	edge := 1.0 // the last lot that counts
	if most := max(minAperture,
		usersPerEndpoint*len(b.endpoints)/b.settings.Balancers); most < len(b.endpoints) {
		place := func(e *endpoint) float64 {
			return b.apertureRank(e) + indicator(!b.available(e) || now < e.failures.ejectedUntil)
		}
		slices.SortFunc(b.apertureList, func(x, y *endpoint) int { return cmp.Compare(place(x), place(y)) })
		b.apertureList = b.apertureList[:most]
		edge = place(b.apertureList[most-1])
	}
	for _, e := range b.endpoints {
		if b.available(e) && b.apertureRank(e) <= edge {
			b.capacity += e.guaranteedCapacity(now, b)
			b.warmEndpoints += indicator(!e.warmingUp)
		}
	}
	return b.apertureList
}

// apertureRank is e's place, in [0,1), in this balancer's order of endpoints: the same for as long as
// both live.
func (b *Balancer) apertureRank(e *endpoint) float64 {
	s := randSource(b.apertureSeed + uint64(e.ID)*0xd1342543de82ef95)
	return s.float()
}
