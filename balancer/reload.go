package balancer

import "slices"

const (
	// initialWorkDivisor gives the work of a class until it is observed: its latency objective divided by this.
	initialWorkDivisor = 5
)

// Rules are the settings that a request arrived under. They are immutable.
type Rules struct {
	settings   Settings
	classSlots []int // index in Balancer.classes, by class
}

// classStats is what a balancer has observed of a class. It stays in its class slot when a reload reorders the classes.
type classStats struct {
	name           string
	inUse          bool      // the current settings have the class
	records        int       // number of records of its requests
	priorityWeight float64   // weight of one request
	meanWork       ewma      // mean work of a request
	demand         rateMeter // rate of requests
	onTime         ewma      // share of requests answered within the latency objective
	lastForcedAt   Micros    // last first attempt that was sent although it was predicted to be late
}

// Rules returns the rules of requests that arrive now.
func (b *Balancer) Rules() *Rules { return b.rules }

// Reload applies new settings and returns their rules, or returns a *SettingError and changes nothing. Open requests
// keep the rules that they arrived under. State of endpoints, and of classes and tenants of the same name, is kept.
// Settings.Subscribe keeps its value from the start.
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
			if index := tenantIndex(oldTenants, t.Name); index >= 0 {
				failures[len(b.classes)+i] = e.partFailures[oldClasses+index]
			}
		}
		e.partFailures = failures
	}
	for i, t := range s.Tenants {
		if index := tenantIndex(oldTenants, t.Name); index >= 0 {
			b.tenantDemand[i] = oldDemand[index]
		}
	}
	b.capacityValidUntil = 0
	return b.rules, nil
}

// applySettings makes s the current settings. Each class keeps its slot, found by name, or gets a free one.
func (b *Balancer) applySettings(s Settings) {
	b.settings = s
	b.tenantDemand = make([]rateMeter, len(s.Tenants))
	b.rules = &Rules{settings: s, classSlots: make([]int, len(s.Classes))}
	for i := range b.classes {
		b.classes[i].inUse = false
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		slot := slices.IndexFunc(b.classes, func(o classStats) bool { return o.name == c.Name && !o.inUse })
		if slot < 0 {
			slot = b.newClass(s, c)
		}
		b.classes[slot].inUse = true
		b.classes[slot].priorityWeight = c.PriorityWeight
		b.rules.classSlots[i] = slot
	}
}

// newClass returns a slot for a class that has none, with initial statistics.
func (b *Balancer) newClass(s Settings, c *Class) int {
	stats := classStats{
		name:     c.Name,
		meanWork: ewma{value: float64(c.LatencyObjective) / initialWorkDivisor, samples: settledSamples},
		onTime:   ewma{value: 1, samples: settledSamples},
	}
	slot := b.freeClassSlot(s)
	if slot < 0 {
		b.classes = append(b.classes, stats)
		return len(b.classes) - 1
	}
	b.classes[slot] = stats
	return slot
}

// freeClassSlot returns the slot of a class that the settings no longer have and that no request belongs to, or -1. It
// clears the slot's failure runs.
func (b *Balancer) freeClassSlot(s Settings) int {
	slot := slices.IndexFunc(b.classes, func(o classStats) bool {
		return !o.inUse && o.records == 0 &&
			!slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == o.name })
	})
	for _, e := range b.endpoints {
		if slot >= 0 {
			e.partFailures[slot] = failureRun{}
		}
	}
	return slot
}

// classWeight returns the priority weight of one request of the class in a slot.
func (b *Balancer) classWeight(class int) float64 {
	c := &b.classes[class]
	return c.priorityWeight * (1 + (c.meanWork.value-1)*indicator(b.settings.WeightByWork))
}

// tenantIndex returns the index of the tenant with a name, or -1.
func tenantIndex(tenants []Tenant, name string) int {
	return slices.IndexFunc(tenants, func(t Tenant) bool { return t.Name == name })
}
