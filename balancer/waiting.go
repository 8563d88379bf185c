package balancer

const (
	waitCostShare    = 0.03 // of the result that probes for waiting requests may cost
	maxProbesPerWait = 3.0
	maxWaitDivisor   = 10  // a request waits for no more than such a part of its latency objective
	recentWorks      = 2.0 // mean works for which a report counts as recent,
	minRecent        = 2e4 // microseconds, and no less: a probe must not cost more time than it saves
)

// waitForProbes keeps a request until the probes that it starts have been answered, since the reports that a quiet
// balancer has pooled are old. It returns false where enough recent reports are pooled or none can be had.
func (b *Balancer) waitForProbes(now Micros, r *request) bool {
	affordable := min(maxProbesPerWait, waitCostShare/max(minPrice, b.settings.Prices.Probe))
	n := min(int(affordable+b.rng.float()), len(b.aperture(now)))
	// A busy balancer's reports are recent anyway. Where reports are seldom renewed, all balancers that probe get the
	// same one and would all follow it.
	span := max(minRecent, recentWorks*b.meanWork.value)
	if b.meanReportInterval() > span || b.demand.rate(now)*span > float64(second) {
		n = 0
	}
	for i := len(b.pool) - 1; i >= 0 && n > 0 && float64(now-b.pool[i].lastReportAt) < span; i-- {
		n--
	}
	b.probeRandom(now, n-b.pendingProbes, true)
	r.waiting = b.pendingProbes > 0
	if r.waiting {
		b.waiting = append(b.waiting, r)
		b.out.Timer(max(1, min(b.class(r).LatencyObjective/maxWaitDivisor, r.Deadline-now)), r.token)
	}
	return r.waiting
}

// releaseWaiting dispatches all waiting requests.
func (b *Balancer) releaseWaiting(now Micros) {
	for _, r := range b.waiting {
		r.waiting = false
		b.dispatch(now, r)
	}
	b.waiting = b.waiting[:0]
	b.pendingProbes = 0
	b.probeRound++ // answers that come too late for this round must not count in the next
}
