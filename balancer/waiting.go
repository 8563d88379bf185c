package balancer

const (
	waitCostShare       = 0.03 // share of the result that probes for waiting requests may cost
	maxProbesPerWait    = 3.0  // maximum number of probes that a request starts
	maxWaitDivisor      = 10   // a request waits for its latency objective divided by this, at most
	recentWorks         = 2.0  // time in which a report counts as recent, in mean works
	minRecentSpanMicros = 2e4  // shortest such time: a probe must not cost more time than it saves
)

// waitForProbes probes endpoints for a new request and makes it wait for the reports, since the pooled reports of a
// balancer with little traffic are old. It returns false if the request need not wait: enough pooled reports are
// recent, or no probe may be sent.
func (b *Balancer) waitForProbes(now Micros, r *request) bool {
	affordable := min(maxProbesPerWait, waitCostShare/max(minPrice, b.settings.Prices.Probe))
	wanted := min(int(affordable+b.rng.float()), len(b.aperture(now)))
	// Do not wait if the balancer is busy, since its reports are recent anyway, or if endpoints seldom renew their
	// reports: all balancers that probe would then get the same report and follow it together.
	recentSpan := max(minRecentSpanMicros, recentWorks*b.meanWork.value)
	if b.meanReportInterval() > recentSpan || b.demand.rate(now)*recentSpan > float64(second) {
		wanted = 0
	}
	for i := len(b.pool) - 1; i >= 0 && wanted > 0 && float64(now-b.pool[i].lastReportAt) < recentSpan; i-- {
		wanted--
	}
	b.probeRandom(now, wanted-b.pendingProbes, true)
	r.waiting = b.pendingProbes > 0
	if r.waiting {
		b.waiting = append(b.waiting, r)
		b.actions.Timer(max(1, min(b.class(r).LatencyObjective/maxWaitDivisor, r.Deadline-now)), r.token)
	}
	return r.waiting
}

// releaseWaiting dispatches all waiting requests, whether or not all their probes are answered.
func (b *Balancer) releaseWaiting(now Micros) {
	for _, r := range b.waiting {
		r.waiting = false
		b.dispatch(now, r)
	}
	b.waiting = b.waiting[:0]
	b.pendingProbes = 0
	b.probeRound++ // late answers to probes of this round must not count in the next
}
