package balancer

import "slices"

const (
	targetProbeInterval = second / 10 // between rounds; longer if the rate allows less than a probe in it
	probeCostShare      = 0.005       // share of the result that probes may cost
	maxProbesPerRequest = 4.0
	minProbeRate        = 0.1               // probes per second
	minAdmittedShare    = 0.3               // least share of the demand that the probe rate follows
	maxProbeBatch       = 3                 // endpoints per round
	maxProbeDraws       = 4 * maxProbeBatch // random draws per round
	probeTimeout        = 5 * second        // time after which the answer to a probe counts as lost
	maxPool             = 24                // load reports in the pool
	minPoolAge          = second            // a report stays fresh for at least this time
	poolTurns           = 3                 // and for the time in which the pool is renewed this often
	maxPoolAge          = 30 * second       // but no longer than this
)

// minPrice keeps a division by a price of 0 finite.
const minPrice = 1e-9

// probeRate returns the number of probes per second that the price of a probe allows.
func (b *Balancer) probeRate(now Micros) float64 {
	perRequest := min(maxProbesPerRequest, probeCostShare/max(minPrice, b.settings.Prices.Probe))
	// The price is per request. While all requests are rejected, reports must still show when the overload ends.
	return max(minProbeRate, perRequest*b.demand.rate(now)*max(minAdmittedShare, 1-b.rejectionRate.value))
}

// reportLifetime returns the time for which a report in the pool is fresh.
func (b *Balancer) reportLifetime(now Micros) Micros {
	poolTurn := float64(min(maxPool, len(b.aperture(now)))) / b.probeRate(now) * float64(second)
	return min(max(minPoolAge, Micros(poolTurns*poolTurn)), maxPoolAge)
}

// probe requests a load report from an endpoint, unless one is pending or the endpoint must not be probed.
func (b *Balancer) probe(now Micros, e *endpoint) {
	if !b.settings.Limits.Probes || !b.available(e) || e.probing {
		return
	}
	e.probing = true
	e.lastProbeAt = now
	e.slowStartBudget -= probeWorkShare * b.classes[0].meanWork.value * indicator(e.isWarmingUp(now, b))
	b.actions.Probe(e.ID)
}

// startProbeRound probes a few random endpoints and schedules the next round, with jitter.
func (b *Balancer) startProbeRound(now Micros) {
	rate := b.probeRate(now)
	batch := max(1, min(maxProbeBatch, int(rate*float64(targetProbeInterval)/float64(second))))
	b.probeRandom(now, batch, false)
	b.actions.Timer(1+Micros(float64(batch)/rate*float64(second)*(0.5+b.rng.float())), tokenProbe)
}

// probeRandom probes up to n random endpoints of the aperture. With forWaiting, the waiting requests wait for these
// probes, and ejected endpoints are left out.
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

// ProbeCompleted handles the end of a probe: the endpoint's load report, or a status other than OK. load has the
// figures that Settings.Fields names, in that order. It is valid only during the call.
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

// addToPool makes an endpoint's report the latest in the pool. It replaces the endpoint's earlier report or, if the
// pool is full, the oldest report.
func (b *Balancer) addToPool(e *endpoint) {
	if index := slices.Index(b.pool, e); index >= 0 {
		b.pool = slices.Delete(b.pool, index, index+1)
	} else if len(b.pool) == maxPool {
		b.pool = slices.Delete(b.pool, 0, 1)
	}
	b.pool = append(b.pool, e)
}

func (b *Balancer) removeFromPool(e *endpoint) {
	b.pool = slices.DeleteFunc(b.pool, func(o *endpoint) bool { return o == e })
}
