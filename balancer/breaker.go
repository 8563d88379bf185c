package balancer

// The circuit breaker is that of go-zero: it rejects attempts at an endpoint at random, the more of them the more
// of the latest ones failed or the slower the endpoint has become. The figures are go-zero's.
const (
	window              = 10 * second
	bucketCount         = 40
	maxK                = 1.5 // requests by accepted ones, above which attempts are rejected; less the longer it fails
	minK                = 1.1
	protectedRequests   = 5 // in the window, below which nothing is rejected
	forcedPassInterval  = second
	latencyActivation   = 3    // times the base latency, above which attempts are rejected
	latencyCeilingShare = 0.95 // of the timeout, at which the most are rejected
	baseFallDivisor     = 4
	baseRiseDivisor     = 100
	currentDivisor      = 4
	maxLatencyRejection = 0.3
)

// breaker holds the outcomes of an endpoint in a sliding window and two averages of its latency.
type breaker struct {
	buckets      [bucketCount]bucket
	head         int64 // number of the newest bucket, counted from instant 0
	requests     int   // in the window
	accepts      int   // in the window
	base         float64
	current      float64
	lastForcedAt Micros // last attempt that passed although the breaker was open
}

// bucket counts a part of the window. There are bucketCount for each endpoint, hence the small types.
type bucket struct{ requests, accepts, failures int32 }

// slide moves the window up to now and returns the newest bucket.
func (k *breaker) slide(now Micros) *bucket {
	n := now / (window / bucketCount)
	if n-k.head >= bucketCount {
		k.buckets = [bucketCount]bucket{}
		k.requests = 0
		k.accepts = 0
		k.head = n
	}
	for k.head < n {
		k.head++
		old := &k.buckets[k.head%bucketCount]
		k.requests -= int(old.requests)
		k.accepts -= int(old.accepts)
		*old = bucket{}
	}
	return &k.buckets[n%bucketCount]
}

// count adds one request to the newest bucket; one that the breaker rejects has neither an accept nor a failure.
func (k *breaker) count(now Micros, accepts, failures int) {
	newest := k.slide(now)
	newest.requests++
	newest.accepts += int32(accepts)
	newest.failures += int32(failures)
	k.requests++
	k.accepts += accepts
}

// recordLatency takes a latency into the averages: base falls quickly and rises slowly, current follows.
func (k *breaker) recordLatency(latency float64) {
	if k.base <= 0 {
		k.base = latency
		k.current = latency
		return
	}
	divisor := float64(baseRiseDivisor)
	if latency < k.base {
		divisor = baseFallDivisor
	}
	k.base = (latency + (divisor-1)*k.base) / divisor
	k.current = (latency + (currentDivisor-1)*k.current) / currentDivisor
}

// errorChance is the chance that an attempt is rejected because of failures.
func (k *breaker) errorChance(now Micros) float64 {
	k.slide(now)
	failing := 0 // buckets with failures alone, since the latest accept
	for i := k.head + 1; i <= k.head+bucketCount; i++ {
		at := &k.buckets[i%bucketCount]
		if at.accepts > 0 {
			failing = 0
		} else if at.failures > 0 {
			failing++
		}
	}
	weight := max(minK, maxK-(maxK-minK)*float64(failing)/bucketCount)
	total := float64(k.requests)
	return max(0, (total-protectedRequests-weight*float64(k.accepts))/(total+1))
}

// latencyChance is the chance that an attempt is rejected because of latency.
func (k *breaker) latencyChance(timeout float64) float64 {
	threshold := latencyActivation * k.base
	ceiling := latencyCeilingShare * timeout
	if k.base <= 0 || ceiling <= threshold {
		return 0
	}
	return min(maxLatencyRejection, max(0, (k.current-threshold)/(ceiling-threshold)*maxLatencyRejection))
}

// breakerAllows decides at random whether e's breaker lets an attempt pass. A rejected one counts as a request.
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
