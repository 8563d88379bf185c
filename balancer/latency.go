package balancer

import "math"

// assumedCores is how many requests an endpoint is assumed to work at side by side.
const assumedCores = 2.0

// load is the last answer plus own sends since, less own answers since. A few of the other balancers
// are held to send as we do: they hold that answer, too, and would all pile up where it is low. As it ages
// it tells less and less of how e differs from others: an old low one would win over what is known now.
func (b *Balancer) load(now Micros, e *endpoint) float64 {
	usual := b.typicalLoad.value * e.estimatedCapacity(now, b)
	if b.reportsLate || !e.hasLoad {
		return usual + float64(e.inflight)
	}
	return usual + (e.othersLoad-usual)*b.reportRelevance(now, e) + float64(e.inflight) +
		min(maxHerdFactor, float64(b.settings.Balancers-1)/2)*float64(max(0, e.inflight-e.ownAtReport))
}

// coreShare is the part of a request's time alone for which it needs a core. Where endpoints report their
// service time without waiting, that is known: what waits for others slows nobody.
func (b *Balancer) coreShare() float64 {
	if !(b.serviceTime.value > 0) {
		return 1
	}
	return min(1, b.serviceTime.value/(b.meanWork.value*b.fleetPace.valueOr(1)))
}

// crowding is how much longer than alone a request takes at e's load.
func (b *Balancer) crowding(now Micros, e *endpoint) float64 {
	return max(1, (b.load(now, e)*b.coreShare()+1)/assumedCores)
}

// currentPace is e's time per unit of work, longer while it is cold. Unseen for long, it
// is the fleet's, so that an endpoint once thought slow is tried again.
func (e *endpoint) currentPace(now Micros, b *Balancer) float64 {
	usual := b.fleetPace.valueOr(1)
	trust := max(0, 1-float64(now-e.paceLearnedAt)/float64(paceMemory)) * indicator(e.pace.samples > 0)
	return max(minPace, usual+(e.pace.value-usual)*trust) / e.estimatedCapacity(now, b)
}

// predict is the latency expected of a request of this work sent to e now.
func (b *Balancer) predict(now Micros, e *endpoint, work float64) float64 {
	x := e.rtt.valueOr(0) + work*b.slowdown()*e.currentPace(now, b)*b.crowding(now, e)
	// One that owes answers and gives none is jammed or stuck, long before averages show it.
	return max(1, x, float64(now-e.silentSince)*indicator(e.inflight > e.streaming))
}

// learnPace learns from a latency; atLeast says that it is only a lower bound.
func (b *Balancer) learnPace(now Micros, r *request, a *attempt, latency float64, atLeast bool) {
	e := a.endpoint
	x := max(0, latency-e.rtt.valueOr(0)) / a.expectedWork
	if atLeast {
		// Silence is not slowness: no single one may make an endpoint of short answers seem out of reach.
		x = min(x, maxTrendStep*e.currentPace(now, b))
	}
	if atLeast && x <= e.currentPace(now, b) {
		return
	}
	b.updateLatencyTrend(latency / a.expected)
	if !atLeast && r.logHint != 0 && x > 0 {
		// Rough hints overstate the large and understate the small: learn how far they tell.
		b.hintTrust = min(1, max(0, b.hintTrust+trustWeight*r.logHint*math.Log(x/e.currentPace(now, b))))
	}
	warmth, was := e.estimatedCapacity(now, b), e.currentPace(now, b) // what is kept is the pace once warm
	if e.warmingUp && !atLeast {
		b.slowStartCorrection = min(1, max(b.settings.Contract.InitialCapacity,
			b.slowStartCorrection*(1+slowStartWeight*(min(x/was, maxSlowStartStep)-1))))
	}
	e.pace = ewma{value: was * warmth, samples: settledSamples}
	e.pace.add(x*warmth, paceWeight)
	e.paceLearnedAt = now
	if atLeast || e.warmingUp {
		return
	}
	if r.HasHint {
		b.fleetPace.add(x, 0.02)
	} else {
		// Without hints a class's work is its mean latency without a queue, and the fleet's pace is 1.
		b.classes[r.slot].meanWork.add(max(minWork, x*r.work/was), 0.02)
	}
}

// updateLatencyTrend shifts what is expected of every endpoint by one outcome: when the whole fleet turns
// slow, or
// recovers, the paces of endpoints that see little of our traffic are learned far too late.
func (b *Balancer) updateLatencyTrend(ratio float64) {
	b.latencyTrend = min(maxTrend, max(1/maxTrend, b.latencyTrend*(1+trendWeight*(min(ratio,
		maxTrendStep)-1))))
}

// slowdown is the trend beyond what chance makes of it.
func (b *Balancer) slowdown() float64 { return max(1, b.latencyTrend/trendNoise) }
