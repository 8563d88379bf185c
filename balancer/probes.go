package balancer

import "slices"

const (
	maxProbeInterval    = second / 10 // between two rounds of probes
	probeCostShare      = 0.005       // of the result that probes may cost
	maxProbesPerRequest = 4.0
	minProbeRate        = 0.1 // probes a second
	minAdmittedShare    = 0.3 // of the demand, by which the rate of probes goes
	maxProbeBatch       = 3   // endpoints a round
	maxProbeDraws       = 4 * maxProbeBatch
	probeTimeout        = 5 * second // after which the answer to a probe is taken to be lost
	maxPool             = 24         // load reports
	minPoolAge          = second     // for which a report is fresh at least,
	poolRounds          = 3          // and for so many turns of the pool,
	maxPoolAge          = 30 * second
)

// minPrice keeps divisions by a price of 0 finite.
const minPrice = 1e-9

// probeRate is the number of probes a second that the price of a probe allows.
func (b *Balancer) probeRate(now Micros) float64 {
	perRequest := min(maxProbesPerRequest, probeCostShare/max(minPrice, b.settings.Prices.Probe))
	// The price counts per request. While all are rejected, reports must still show when the overload ends.
	return max(minProbeRate, perRequest*b.demand.rate(now)*max(minAdmittedShare, 1-b.rejectionRate.value))
}

// freshFor is how long a report in the pool may be used.
func (b *Balancer) freshFor(now Micros) Micros {
	turn := float64(min(maxPool, len(b.aperture(now)))) / b.probeRate(now) * float64(second)
	return min(max(minPoolAge, Micros(poolRounds*turn)), maxPoolAge)
}

// probe asks an endpoint for its load, unless an answer is pending.
func (b *Balancer) probe(now Micros, e *endpoint) {
	if !b.settings.Limits.Probes || !b.available(e) || e.probing {
		return
	}
	e.probing = true
	e.lastProbeAt = now
	e.slowStartBudget -= probeCharge * b.classes[0].meanWork.value * indicator(e.isWarmingUp(now, b))
	b.out.Probe(e.ID)
}

// startProbeRound probes a few random endpoints and schedules the next round.
func (b *Balancer) startProbeRound(now Micros) {
	rate := b.probeRate(now)
	n := max(1, min(maxProbeBatch, int(rate*float64(maxProbeInterval)/float64(second))))
	b.probeRandom(now, n, false)
	b.out.Timer(1+Micros(float64(n)/rate*float64(second)*(0.5+b.rng.float())), tokenProbe)
}

// probeRandom probes n random endpoints of the aperture. With forWaiting, waiting requests wait for their answers.
func (b *Balancer) probeRandom(now Micros, n int, forWaiting bool) {
	aperture := b.aperture(now)
	for draw := 0; n > 0 && draw < maxProbeDraws && len(aperture) > 0; draw++ {
		e := aperture[b.rng.index(len(aperture))]
		if e.probing && now-e.lastProbeAt > probeTimeout {
			e.probing = false
		}
		ejected := forWaiting && now < e.failures.ejectedUntil
		if !b.available(e) || e.probing || ejected || !b.settings.Limits.Probes {
			continue
		}
		b.probe(now, e)
		e.probeRound = 0
		if forWaiting {
			e.probeRound = b.probeRound
			b.pendingProbes++
		}
		n--
	}
}

// ProbeCompleted handles the answer to a probe, or its failure.
func (b *Balancer) ProbeCompleted(now Micros, id uint32, status Status, latency Micros, load []float32) {
	e := b.byID[id]
	if e == nil {
		return
	}
	e.probing = false
	if status == OK && !b.administrativelyDrained(id) {
		b.recordReport(now, e, latency, load)
	}
	if e.probeRound != b.probeRound || b.pendingProbes == 0 {
		return
	}
	e.probeRound = 0
	b.pendingProbes--
	if b.pendingProbes == 0 {
		b.releaseWaiting(now)
	}
}

// addToPool makes an endpoint's report the latest of the pool, in place of its earlier or the oldest one.
func (b *Balancer) addToPool(e *endpoint) {
	if at := slices.Index(b.pool, e); at >= 0 {
		b.pool = slices.Delete(b.pool, at, at+1)
	} else if len(b.pool) == maxPool {
		b.pool = slices.Delete(b.pool, 0, 1)
	}
	b.pool = append(b.pool, e)
}

func (b *Balancer) removeFromPool(e *endpoint) {
	b.pool = slices.DeleteFunc(b.pool, func(o *endpoint) bool { return o == e })
}
