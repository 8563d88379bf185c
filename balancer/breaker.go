package balancer

// go-zero's constants.
const (
	window              = 10 * second
	bucketCount         = 40
	maxK                = 1.5
	minK                = 1.1
	protectedRequests   = 5
	forcedPassInterval  = second
	latencyActivation   = 3
	latencyCeilingShare = 0.95
	baseFallDivisor     = 4
	baseRiseDivisor     = 100
	currentDivisor      = 4
	maxLatencyRejection = 0.3
)

// breaker holds an endpoint's window of outcomes and its two latency averages.
type breaker struct {
	buckets       [bucketCount]bucket
	head          int64 // number of the newest bucket
	requests      int   // over the window
	accepts       int
	base, current float64
	lastForcedAt  Micros // last forced pass
}

// bucket counts a fortieth of the window. An endpoint has a ring of them at each balancer: they are
// kept small.
type bucket struct{ requests, accepts, failures int32 }

func (k *breaker) slide(now Micros) *bucket {
	n := now / (window / bucketCount)
	if n-k.head >= bucketCount {
		k.buckets, k.requests, k.accepts, k.head = [bucketCount]bucket{}, 0, 0, n
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

// count adds to the newest bucket. Whatever is asked counts as a request.
func (k *breaker) count(now Micros, accepts, failures int) {
	at := k.slide(now)
	at.requests++
	at.accepts += int32(accepts)
	at.failures += int32(failures)
	k.requests++
	k.accepts += accepts
}

func (k *breaker) recordLatency(x float64) {
	if k.base <= 0 {
		k.base, k.current = x, x
		return
	}
	divisor := float64(baseRiseDivisor)
	if x < k.base {
		divisor = baseFallDivisor
	}
	k.base = (x + (divisor-1)*k.base) / divisor
	k.current = (x + (currentDivisor-1)*k.current) / currentDivisor
}

func (k *breaker) errorChance(now Micros) float64 {
	k.slide(now)
	failing := 0
	for i := k.head + 1; i <= k.head+bucketCount; i++ {
		if at := &k.buckets[i%bucketCount]; at.accepts > 0 {
			failing = 0
		} else if at.failures > 0 {
			failing++
		}
	}
	weight := max(minK, maxK-(maxK-minK)*float64(failing)/bucketCount)
	total := float64(k.requests)
	return max(0, (total-protectedRequests-weight*float64(k.accepts))/(total+1))
}

func (k *breaker) latencyChance(timeout float64) float64 {
	threshold := latencyActivation * k.base
	ceiling := latencyCeilingShare * timeout
	if k.base <= 0 || ceiling <= threshold {
		return 0
	}
	return min(maxLatencyRejection, max(0, (k.current-threshold)/(ceiling-threshold)*maxLatencyRejection))
}

// breakerAllows draws the breaker's lot for a request; a refusal counts as a request.
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
