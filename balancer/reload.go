package balancer

import "slices"

// Rules are the settings that a request came with.
type Rules struct {
	settings Settings
	slots    []int // by class, its place in Balancer.classes
}

// Rules returns those that requests come with at present.
func (b *Balancer) Rules() *Rules { return b.rules }

// Reload takes new settings, or returns a *SettingError and changes nothing. Requests keep the rules that
// they came with; what is known of endpoints, and of classes and tenants that stay, is kept. How discovery
// is
// asked stays as it was at the start.
func (b *Balancer) Reload(s Settings) (*Rules, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	s.Subscribe = b.settings.Subscribe
	old, classes := b.settings.Tenants, len(b.classes)
	tenants := b.tenantDemand
	b.applySettings(s)
	for _, e := range b.endpoints {
		ills := b.newPartFailures()
		copy(ills, e.partFailures[:classes])
		for i, t := range s.Tenants {
			if at := tenantIndex(old, t.Name); at >= 0 {
				ills[len(b.classes)+i] = e.partFailures[classes+at]
			}
		}
		e.partFailures = ills
	}
	for i, t := range s.Tenants {
		if at := tenantIndex(old, t.Name); at >= 0 {
			b.tenantDemand[i] = tenants[at]
		}
	}
	b.capacityValidUntil = 0
	return b.rules, nil
}

// applySettings makes settings the present ones and gives each class its slot: its old one, or a free
// one.
func (b *Balancer) applySettings(s Settings) {
	b.settings, b.tenantDemand = s, make([]rateMeter, len(s.Tenants))
	b.rules = &Rules{settings: s, slots: make([]int, len(s.Classes))}
	for i := range b.classes {
		b.classes[i].inUse = false
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		at := slices.IndexFunc(b.classes, func(o classStats) bool { return o.name == c.Name && !o.inUse })
		if at < 0 {
			fresh := classStats{name: c.Name, meanWork: ewma{value: float64(c.LatencyObjective) / 5,
				samples: settledSamples},
				onTime: ewma{value: 1, samples: settledSamples}}
			if at = b.freeSlot(s); at < 0 {
				at = len(b.classes)
				b.classes = append(b.classes, fresh)
			}
			b.classes[at] = fresh
		}
		b.classes[at].inUse, b.classes[at].priorityWeight = true, c.PriorityWeight
		b.rules.slots[i] = at
	}
}

// freeSlot returns the slot of a class that is gone for good, or -1.
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

func tenantIndex(tenants []Tenant, name string) int {
	return slices.IndexFunc(tenants, func(t Tenant) bool { return t.Name == name })
}

// classStats is what a balancer knows of a class.
type classStats struct {
	name           string
	inUse          bool      // the present settings have it
	open           int       // records of its requests
	priorityWeight float64   // of one
	meanWork       ewma      // mean work of a request
	demand         rateMeter // requests taken
	onTime         ewma      // share answered in time
	lastForcedAt   Micros    // last request sent although it seemed too late
}

func (b *Balancer) newPartFailures() []failureRun {
	return make([]failureRun, len(b.classes)+len(b.tenantDemand))
}

func (b *Balancer) classWeight(class int) float64 {
	return b.classes[class].priorityWeight * (1 +
		(b.classes[class].meanWork.value-1)*indicator(b.settings.WeightByWork))
}
