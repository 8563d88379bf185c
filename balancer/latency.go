package balancer

import "math"

const (
	assumedCores     = 2.0 // requests that an endpoint works at side by side
	maxHerdFactor    = 2.0 // requests of others that go with each of our own since a report
	paceMemory       = 10 * second
	paceWeight       = 0.03
	workWeight       = 0.02
	trustWeight      = 0.005
	trendWeight      = 0.1
	maxTrendStep     = 4.0 // times the prediction that one outcome counts for
	trendNoise       = 1.5 // up to which a trend is put down to noise
	maxTrend         = 8.0
	slowStartWeight  = 0.05
	maxSlowStartStep = 2.0  // times the prediction that one outcome of an endpoint that warms up counts for
	minWork          = 1.0  // of a request, a divisor
	minPace          = 1e-3 // of an endpoint, a divisor
)

// load is the number of requests at e: by its latest report, plus own sends and less own answers since. Some of the
// other balancers are taken to send as this one does, since they have that report, too, and would all pile up where
// it is low. As the report ages it says less and less of how e differs from the typical endpoint.
func (b *Balancer) load(now Micros, e *endpoint) float64 {
	typical := b.typicalLoad.value * e.estimatedCapacity(now, b)
	if b.reportsLate || !e.hasLoad {
		return typical + float64(e.inflight)
	}
	herd := min(maxHerdFactor, float64(b.settings.Balancers-1)/2) * float64(max(0, e.inflight-e.ownAtReport))
	return typical + (e.othersLoad-typical)*b.reportRelevance(now, e) + float64(e.inflight) + herd
}

// coreShare is the part of a request's time without queueing for which it needs a core. It is known where endpoints
// report their service time; a request that waits for something else slows no other.
func (b *Balancer) coreShare() float64 {
	if !(b.serviceTime.value > 0) {
		return 1
	}
	return min(1, b.serviceTime.value/(b.meanWork.value*b.fleetPace.valueOr(1)))
}

// crowding is how many times longer a request takes at e's load than alone.
func (b *Balancer) crowding(now Micros, e *endpoint) float64 {
	return max(1, (b.load(now, e)*b.coreShare()+1)/assumedCores)
}

// currentPace is e's time per unit of work, longer while it warms up. If it was not observed for long it is the
// fleet's, so that an endpoint that once seemed slow is tried again.
func (e *endpoint) currentPace(now Micros, b *Balancer) float64 {
	usual := b.fleetPace.valueOr(1)
	trust := max(0, 1-float64(now-e.paceLearnedAt)/float64(paceMemory)) * indicator(e.pace.samples > 0)
	return max(minPace, usual+(e.pace.value-usual)*trust) / e.estimatedCapacity(now, b)
}

// predict is the latency expected of a request of this work if it is sent to e now.
func (b *Balancer) predict(now Micros, e *endpoint, work float64) float64 {
	latency := b.latencyAlone(now, e, work, b.crowding(now, e))
	// An endpoint that owes answers and gives none is stuck, long before the averages show it.
	silence := float64(now-e.silentSince) * indicator(e.inflight > e.streaming)
	return max(1, latency, silence)
}

// latencyAlone is the latency of a request of this work at e, at a given crowding: 1 for none.
func (b *Balancer) latencyAlone(now Micros, e *endpoint, work, crowding float64) float64 {
	return e.rtt.valueOr(0) + work*b.slowdown()*e.currentPace(now, b)*crowding
}

// learnPace learns from the latency of an attempt. With atLeast the latency is only a lower bound.
func (b *Balancer) learnPace(now Micros, r *request, a *attempt, latency float64, atLeast bool) {
	e := a.endpoint
	observed := max(0, latency-e.rtt.valueOr(0)) / a.expectedWork
	if atLeast {
		// One timeout must not make an endpoint of short answers seem out of reach.
		observed = min(observed, maxTrendStep*e.currentPace(now, b))
	}
	if atLeast && observed <= e.currentPace(now, b) {
		return
	}
	b.updateLatencyTrend(latency / a.expected)
	if !atLeast && r.logHint != 0 && observed > 0 {
		// Hints may overstate large requests and understate small ones: learn how far they hold.
		b.hintTrust += trustWeight * r.logHint * math.Log(observed/e.currentPace(now, b))
		b.hintTrust = min(1, max(0, b.hintTrust))
	}
	capacity, pace := e.estimatedCapacity(now, b), e.currentPace(now, b)
	if e.warmingUp && !atLeast {
		step := min(observed/pace, maxSlowStartStep) - 1
		b.slowStartCorrection = min(1, max(b.settings.Contract.InitialCapacity,
			b.slowStartCorrection*(1+slowStartWeight*step)))
	}
	// The pace of a fully warm endpoint is stored.
	e.pace = ewma{value: pace * capacity, samples: settledSamples}
	e.pace.add(observed*capacity, paceWeight)
	e.paceLearnedAt = now
	if atLeast || e.warmingUp {
		return
	}
	if r.HasHint {
		b.fleetPace.add(observed, workWeight)
		return
	}
	// Without hints the work of a class is its mean latency without a queue, and the fleet's pace is 1.
	b.classes[r.slot].meanWork.add(max(minWork, observed*r.work/pace), workWeight)
}

// updateLatencyTrend shifts what is expected of all endpoints by one outcome. When the whole fleet slows down or
// recovers, the paces of endpoints that get little of our traffic are learned far too late.
func (b *Balancer) updateLatencyTrend(ratio float64) {
	step := min(ratio, maxTrendStep) - 1
	b.latencyTrend = min(maxTrend, max(1/maxTrend, b.latencyTrend*(1+trendWeight*step)))
}

// slowdown is the latency trend beyond noise.
func (b *Balancer) slowdown() float64 { return max(1, b.latencyTrend/trendNoise) }
