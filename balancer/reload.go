package balancer

import "slices"

const (
	// initialWorkDivisor: the work of a class is taken to be such a part of its latency objective until it is
	// observed.
	initialWorkDivisor = 5
)

// Rules are the settings that a request arrived under. They never change.
type Rules struct {
	settings Settings
	slots    []int // by class, its index in Balancer.classes
}

// classStats is what a balancer has observed of a class.
type classStats struct {
	name           string
	inUse          bool      // in the current settings
	open           int       // records of its requests
	priorityWeight float64   // of one request
	meanWork       ewma      // of a request
	demand         rateMeter // requests
	onTime         ewma      // share answered within the latency objective
	lastForcedAt   Micros    // last request sent although it was predicted to be late
}

// Rules returns those of requests that arrive now.
func (b *Balancer) Rules() *Rules { return b.rules }

// Reload applies new settings, or returns a *SettingError and changes nothing. Requests keep the rules that they
// arrived under. What is known of endpoints, and of classes and tenants that remain, is kept. Whether discovery is
// polled stays as it was at the start.
func (b *Balancer) Reload(s Settings) (*Rules, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	s.Subscribe = b.settings.Subscribe
	oldTenants, oldClasses, oldDemand := b.settings.Tenants, len(b.classes), b.tenantDemand
	b.applySettings(s)
	for _, e := range b.endpoints {
		failures := b.newPartFailures()
		copy(failures, e.partFailures[:oldClasses])
		for i, t := range s.Tenants {
			if at := tenantIndex(oldTenants, t.Name); at >= 0 {
				failures[len(b.classes)+i] = e.partFailures[oldClasses+at]
			}
		}
		e.partFailures = failures
	}
	for i, t := range s.Tenants {
		if at := tenantIndex(oldTenants, t.Name); at >= 0 {
			b.tenantDemand[i] = oldDemand[at]
		}
	}
	b.capacityValidUntil = 0
	return b.rules, nil
}

// applySettings makes settings the current ones and gives each class a slot: the one it had, or a free one.
func (b *Balancer) applySettings(s Settings) {
	b.settings = s
	b.tenantDemand = make([]rateMeter, len(s.Tenants))
	b.rules = &Rules{settings: s, slots: make([]int, len(s.Classes))}
	for i := range b.classes {
		b.classes[i].inUse = false
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		at := slices.IndexFunc(b.classes, func(o classStats) bool { return o.name == c.Name && !o.inUse })
		if at < 0 {
			at = b.newClass(s, c)
		}
		b.classes[at].inUse = true
		b.classes[at].priorityWeight = c.PriorityWeight
		b.rules.slots[i] = at
	}
}

// newClass returns the slot of a class that has not been seen before.
func (b *Balancer) newClass(s Settings, c *Class) int {
	fresh := classStats{
		name:     c.Name,
		meanWork: ewma{value: float64(c.LatencyObjective) / initialWorkDivisor, samples: settledSamples},
		onTime:   ewma{value: 1, samples: settledSamples},
	}
	at := b.freeSlot(s)
	if at < 0 {
		b.classes = append(b.classes, fresh)
		return len(b.classes) - 1
	}
	b.classes[at] = fresh
	return at
}

// freeSlot returns the slot of a class that the settings no longer have and that no request belongs to, or -1.
func (b *Balancer) freeSlot(s Settings) int {
	at := slices.IndexFunc(b.classes, func(o classStats) bool {
		return !o.inUse && o.open == 0 &&
			!slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == o.name })
	})
	for _, e := range b.endpoints {
		if at >= 0 {
			e.partFailures[at] = failureRun{}
		}
	}
	return at
}

// classWeight is the priority weight of a request of a class.
func (b *Balancer) classWeight(class int) float64 {
	c := &b.classes[class]
	return c.priorityWeight * (1 + (c.meanWork.value-1)*indicator(b.settings.WeightByWork))
}

func tenantIndex(tenants []Tenant, name string) int {
	return slices.IndexFunc(tenants, func(t Tenant) bool { return t.Name == name })
}
