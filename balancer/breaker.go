package balancer

// The circuit breaker is that of go-zero. It rejects attempts at an endpoint at random, with a chance that grows with
// the share of recent failures and with the endpoint's latency. The constants are go-zero's.
const (
	breakerWindow       = 10 * second
	bucketCount         = 40
	maxAcceptFactor     = 1.5    // requests over accepts above which attempts are rejected, K in go-zero
	minAcceptFactor     = 1.1    // the same for an endpoint that only fails throughout the window
	protectedRequests   = 5      // requests in the window up to which none is rejected for failures
	forcedPassInterval  = second // in which one attempt passes whatever the chance of rejection
	latencyActivation   = 3      // current over base latency, above which attempts are rejected
	latencyCeilingShare = 0.95   // of the timeout: the latency of maxLatencyRejection
	baseFallDivisor     = 4      // base moves by 1/4 of the way down,
	baseRiseDivisor     = 100    // and by 1/100 of the way up
	currentDivisor      = 4      // current moves by 1/4 of the way
	maxLatencyRejection = 0.3    // highest chance of rejection because of latency
)

// breaker counts the outcomes of one endpoint in a sliding window and averages its latency over a long time (base) and
// a short one (current).
type breaker struct {
	buckets        [bucketCount]bucket
	newestBucket   int64   // number of the newest bucket, from 0 at instant 0
	requests       int     // in the window
	accepts        int     // in the window
	baseLatency    float64 // microseconds; 0 before the first sample
	currentLatency float64 // microseconds
	lastForcedAt   Micros  // last attempt that passed whatever the chance of rejection
}

// bucket counts the outcomes in one part of the window. Its types are small, since each endpoint has bucketCount of
// them.
type bucket struct{ requests, accepts, failures int32 }

// slide moves the window forward to now and returns the newest bucket.
func (k *breaker) slide(now Micros) *bucket {
	newest := now / (breakerWindow / bucketCount)
	if newest-k.newestBucket >= bucketCount {
		k.buckets = [bucketCount]bucket{}
		k.requests = 0
		k.accepts = 0
		k.newestBucket = newest
	}
	for k.newestBucket < newest {
		k.newestBucket++
		expired := &k.buckets[k.newestBucket%bucketCount]
		k.requests -= int(expired.requests)
		k.accepts -= int(expired.accepts)
		*expired = bucket{}
	}
	return &k.buckets[newest%bucketCount]
}

// count adds one request to the newest bucket. A request that the breaker rejects counts neither as an accept nor as a
// failure.
func (k *breaker) count(now Micros, accepts, failures int) {
	newest := k.slide(now)
	newest.requests++
	newest.accepts += int32(accepts)
	newest.failures += int32(failures)
	k.requests++
	k.accepts += accepts
}

// recordLatency updates both averages: the base latency falls quickly and rises slowly, the current latency follows
// quickly both ways.
func (k *breaker) recordLatency(latency float64) {
	if k.baseLatency <= 0 {
		k.baseLatency = latency
		k.currentLatency = latency
		return
	}
	divisor := float64(baseRiseDivisor)
	if latency < k.baseLatency {
		divisor = baseFallDivisor
	}
	k.baseLatency = (latency + (divisor-1)*k.baseLatency) / divisor
	k.currentLatency = (latency + (currentDivisor-1)*k.currentLatency) / currentDivisor
}

// errorChance returns the chance that an attempt is rejected because of failures.
func (k *breaker) errorChance(now Micros) float64 {
	k.slide(now)
	failing := 0 // buckets with failures and no accept, since the latest accept
	for i := k.newestBucket + 1; i <= k.newestBucket+bucketCount; i++ {
		counts := &k.buckets[i%bucketCount]
		if counts.accepts > 0 {
			failing = 0
		} else if counts.failures > 0 {
			failing++
		}
	}
	factor := max(minAcceptFactor, maxAcceptFactor-(maxAcceptFactor-minAcceptFactor)*float64(failing)/bucketCount)
	total := float64(k.requests)
	return max(0, (total-protectedRequests-factor*float64(k.accepts))/(total+1))
}

// latencyChance returns the chance that an attempt is rejected because of latency. timeout is that of the class, in
// microseconds.
func (k *breaker) latencyChance(timeout float64) float64 {
	threshold := latencyActivation * k.baseLatency
	ceiling := latencyCeilingShare * timeout
	if k.baseLatency <= 0 || ceiling <= threshold {
		return 0
	}
	return min(maxLatencyRejection, max(0, (k.currentLatency-threshold)/(ceiling-threshold)*maxLatencyRejection))
}

// breakerAllows decides at random whether e's breaker lets an attempt pass. A rejected attempt counts as a request in
// the breaker's window, which keeps the breaker open longer.
func (b *Balancer) breakerAllows(now Micros, r *request, e *endpoint) bool {
	chance := max(e.breaker.errorChance(now), e.breaker.latencyChance(float64(b.class(r).Timeout)))
	if chance <= 0 {
		return true
	}
	if now-e.breaker.lastForcedAt > forcedPassInterval {
		e.breaker.lastForcedAt = now
		return true
	}
	if b.rng.float() < chance {
		e.breaker.count(now, 0, 0)
		return false
	}
	return true
}
