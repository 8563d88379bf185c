package balancer

import "math"

const (
	assumedCores              = 2.0         // requests that an endpoint can run at once without contention
	maxHerdFactor             = 2.0         // other balancers' sends that are assumed for each own send since a report
	paceTrustDuration         = 10 * second // time in which an endpoint's pace gives way to the fleet's
	paceWeight                = 0.03
	workWeight                = 0.02
	hintTrustWeight           = 0.005
	latencyTrendWeight        = 0.1
	maxLatencyTrendStep       = 4.0 // observed over predicted latency that one outcome counts as, at most
	latencyTrendNoise         = 1.5 // trend up to which a slowdown is taken for noise
	maxLatencyTrend           = 8.0
	slowStartCorrectionWeight = 0.05
	maxSlowStartStep          = 2.0  // observed over expected pace that slowStartCorrection follows, at most
	minWork                   = 1.0  // of a request; work is a divisor, so that 0 must not occur
	minPace                   = 1e-3 // of an endpoint; pace is a divisor, so that 0 must not occur
)

// load estimates the number of requests at e: those of its latest report, plus this balancer's sends and minus its
// outcomes since. Other balancers are assumed to have the same report and to send there as this one does, or all would
// follow one low report together. As the report ages, the estimate moves to that of a typical endpoint.
func (b *Balancer) load(now Micros, e *endpoint) float64 {
	typical := b.typicalLoad.value * e.estimatedCapacity(now, b)
	if b.reportsLate || !e.hasLoad {
		return typical + float64(e.begun())
	}
	herd := min(maxHerdFactor, float64(b.settings.Balancers-1)/2) * float64(max(0, e.begun()-e.ownAtReport))
	return typical + (e.othersLoad-typical)*b.reportRelevance(now, e) + float64(e.begun()) + herd
}

// coreShare returns the share of a request's latency without queueing in which it occupies a core, 1 if endpoints do
// not report their service time. A request that waits for something else slows no other request.
func (b *Balancer) coreShare() float64 {
	if !(b.serviceTime.value > 0) {
		return 1
	}
	return min(1, b.serviceTime.value/(b.meanWork.value*b.fleetPace.valueOr(1)))
}

// contention returns how many times longer a request takes at e's load than it would take there alone.
func (b *Balancer) contention(now Micros, e *endpoint) float64 {
	return max(1, (b.load(now, e)*b.coreShare()+1)/assumedCores)
}

// currentPace returns e's time per unit of work, which is longer while e warms up. If no outcome has updated it for
// paceTrustDuration it is the fleet's, so that an endpoint that once seemed slow is tried again.
func (e *endpoint) currentPace(now Micros, b *Balancer) float64 {
	fleetPace := b.fleetPace.valueOr(1)
	trust := max(0, 1-float64(now-e.paceLearnedAt)/float64(paceTrustDuration)) * indicator(e.pace.samples > 0)
	return max(minPace, fleetPace+(e.pace.value-fleetPace)*trust) / e.estimatedCapacity(now, b)
}

// predict returns the latency, in microseconds, that is expected of a request of this work if it is sent to e now.
func (b *Balancer) predict(now Micros, e *endpoint, work float64) float64 {
	latency := b.latencyAtContention(now, e, work, b.contention(now, e))
	// An endpoint that has attempts in flight and is silent may be stuck. The averages would show that only much later.
	silence := float64(now-e.silentSince) * indicator(e.inflight > e.streaming)
	return max(1, latency, silence)
}

// latencyAtContention returns the latency, in microseconds, of a request of this work at e under a given contention,
// where 1 stands for none.
func (b *Balancer) latencyAtContention(now Micros, e *endpoint, work, contention float64) float64 {
	return e.rtt.valueOr(0) + work*b.slowdown()*e.currentPace(now, b)*contention
}

// learnPace updates the pace of an endpoint, and the averages that predictions rest on, from the latency of an attempt.
// With lowerBound the attempt timed out and its latency is only a lower bound.
func (b *Balancer) learnPace(now Micros, r *request, a *attempt, latency float64, lowerBound bool) {
	e := a.endpoint
	observed := max(0, latency-e.rtt.valueOr(0)) / a.expectedWork
	if lowerBound {
		// A timeout is long compared with the answers of a fast endpoint. One must not raise the endpoint's pace so far
		// that it is not picked again.
		observed = min(observed, maxLatencyTrendStep*e.currentPace(now, b))
	}
	if lowerBound && observed <= e.currentPace(now, b) {
		return
	}
	b.updateLatencyTrend(latency / a.expectedLatency)
	if !lowerBound && r.logHint != 0 && observed > 0 {
		// Hints may overstate large requests and understate small ones: learn how closely work follows them.
		b.hintTrust += hintTrustWeight * r.logHint * math.Log(observed/e.currentPace(now, b))
		b.hintTrust = min(1, max(0, b.hintTrust))
	}
	capacity, pace := e.estimatedCapacity(now, b), e.currentPace(now, b)
	if e.warmingUp && !lowerBound {
		step := min(observed/pace, maxSlowStartStep) - 1
		b.slowStartCorrection = min(1, max(b.settings.Contract.InitialCapacity,
			b.slowStartCorrection*(1+slowStartCorrectionWeight*step)))
	}
	// The stored pace is that of a fully warm endpoint.
	e.pace = ewma{value: pace * capacity, samples: settledSamples}
	e.pace.add(observed*capacity, paceWeight)
	e.paceLearnedAt = now
	if lowerBound || e.warmingUp {
		return
	}
	if r.HasHint {
		b.fleetPace.add(observed, workWeight)
		return
	}
	// Without hints the work of a class is its mean latency without queueing, and the fleet's pace stays 1.
	b.classes[r.classSlot].meanWork.add(max(minWork, observed*r.work/pace), workWeight)
}

// updateLatencyTrend moves the prediction for all endpoints by one outcome, given its observed over its predicted
// latency. When the whole fleet slows down or recovers, the paces of endpoints that get little of this balancer's
// traffic would follow far too late.
func (b *Balancer) updateLatencyTrend(ratio float64) {
	step := min(ratio, maxLatencyTrendStep) - 1
	b.latencyTrend = min(maxLatencyTrend, max(1/maxLatencyTrend, b.latencyTrend*(1+latencyTrendWeight*step)))
}

// slowdown returns the latency trend as far as it exceeds noise, at least 1.
func (b *Balancer) slowdown() float64 { return max(1, b.latencyTrend/latencyTrendNoise) }
