package balancer

import "slices"

const (
	maxProbeInterval    = second / 10 // longest pause between probe rounds
	probeCostShare      = 0.005       // of the result, at most, goes to probes
	minAdmittedShare    = 0.3         // at least, of what is asked
	maxProbesPerRequest = 4.0         // probes a request, at most
	minProbeRate        = 0.1         // probes a second, at least
	waitCostShare       = 0.03        // of the result, at most, goes to probes that held requests wait for
	maxProbesPerWait    = 3.0         // probes for a held request, at most
	maxWaitDivisor      = 10          // a request is held for no more than such a part of its aim
	maxPool             = 24          // answers in the pool
	maxProbeBatch       = 3           // endpoints a round
	recentWorks         = 2.0         // mean works that an answer is recent for,
	minRecent           = 2e4         // and no shorter: a probe must not cost more time than it saves
	maxRepeatProbes     = 6           // endpoints asked twice to learn how old reports are
	maxTypicalLoadStep  = 2.0         // an answer moves the usual load as if it were no more than this above it
	loadMemory          = 10.0        // mean works in which loads differ from what they were
	minPoolAge          = second      // an answer is fresh for this long,
	poolRounds          = 3           // or for so many turns of the pool,
	maxPoolAge          = 30 * second // but no longer
	maxLateShare        = 0.1         // share of late reports above which their averages serve
	shareWeight         = 0.02
	paceMemory          = 10 * second
	paceWeight          = 0.03
	maxHerdFactor       = 2.0 // sends of others held to go with one of our own since an answer, at most
	arrivalRTTs         = 5.0 // round trips after which a send has surely arrived
	zoneWeight          = 2.0 // aims of latency that a crossing's price counts as
)

// probeRate is the pace of probes a second that the settings' price allows.
func (b *Balancer) probeRate(now Micros) float64 {
	per := min(maxProbesPerRequest, probeCostShare/max(1e-9, b.settings.Prices.Probe))
	// The price counts first tries. While all is refused, answers must still show when that may end.
	return max(minProbeRate, per*b.demand.rate(now)*max(minAdmittedShare, 1-b.rejectionRate.value))
}

// freshFor is how long a pooled answer may be used.
func (b *Balancer) freshFor(now Micros) Micros {
	turn := float64(min(maxPool, len(b.aperture(now)))) / b.probeRate(now) * float64(second)
	return min(max(minPoolAge, Micros(poolRounds*turn)), maxPoolAge)
}

func (b *Balancer) probe(now Micros, e *endpoint) {
	if b.settings.Limits.Probes && b.available(e) && !e.probing {
		e.probing, e.lastProbeAt = true, now
		e.slowStartBudget -= probeCharge * b.classes[0].meanWork.value * indicator(e.isWarmingUp(now, b))
		b.out.Probe(e.ID)
	}
}

// startProbeRound probes a few random ready endpoints and arms the next round.
func (b *Balancer) startProbeRound(now Micros) {
	rate := b.probeRate(now)
	n := max(1, min(maxProbeBatch, int(rate*float64(maxProbeInterval)/float64(second))))
	b.probeRandom(now, n, false)
	b.out.Timer(1+Micros(float64(n)/rate*float64(second)*(0.5+b.rng.float())), tokenProbe)
}

// probeRandom probes n random endpoints of the aperture; asked says that held requests wait for them.
func (b *Balancer) probeRandom(now Micros, n int, asked bool) {
	near := b.aperture(now)
	for try := 0; n > 0 && try < 4*maxProbeBatch && len(near) > 0; try++ {
		e := near[b.rng.index(len(near))]
		if e.probing && now-e.lastProbeAt > 5*second {
			e.probing = false // its answer was lost
		}
		if b.available(e) && !e.probing && !(asked && now < e.failures.ejectedUntil) && b.settings.Limits.Probes {
			b.probe(now, e)
			if e.probeRound = 0; asked {
				e.probeRound = b.probeRound
				b.pendingProbes++
			}
			n--
		}
	}
}

// ProbeCompleted handles a probe's answer.
func (b *Balancer) ProbeCompleted(now Micros, id uint32, status Status, latency Micros, load []float32) {
	e := b.byID[id]
	if e == nil {
		return
	}
	e.probing = false
	if status == OK && !b.administrativelyDrained(id) {
		b.recordReport(now, e, latency, load)
	}
	if e.probeRound == b.probeRound && b.pendingProbes > 0 {
		e.probeRound = 0
		if b.pendingProbes--; b.pendingProbes == 0 {
			b.releaseWaiting(now)
		}
	}
}

func (b *Balancer) removeFromPool(e *endpoint) {
	b.pool = slices.DeleteFunc(b.pool, func(o *endpoint) bool { return o == e })
}
