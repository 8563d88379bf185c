package balancer

// waitForProbes keeps a request until probes that it asks for have answered: the answers that a quiet
// balancer has
// pooled are older than what they tell. It says no where enough recent ones are pooled or none can be had.
func (b *Balancer) waitForProbes(now Micros, r *request) bool {
	n := min(int(min(maxProbesPerWait, waitCostShare/max(1e-9, b.settings.Prices.Probe))+b.rng.float()),
		len(b.aperture(now)))
	// A busy balancer's answers are recent without that. Where reports are rarely made anew, all who ask are
	// told the same and would all follow it.
	span := max(minRecent, recentWorks*b.meanWork.value)
	if b.meanReportInterval() > span || b.demand.rate(now)*span > float64(second) {
		n = 0
	}
	for i := len(b.pool) - 1; i >= 0 && n > 0 && float64(now-b.pool[i].lastReportAt) < span; i-- {
		n--
	}
	b.probeRandom(now, n-b.pendingProbes, true)
	if r.waiting = b.pendingProbes > 0; r.waiting {
		b.waiting = append(b.waiting, r)
		b.out.Timer(max(1, min(b.class(r).LatencyObjective/maxWaitDivisor, r.Deadline-now)), r.token)
	}
	return r.waiting
}

// releaseWaiting lets all held requests go.
func (b *Balancer) releaseWaiting(now Micros) {
	for _, r := range b.waiting {
		r.waiting = false
		b.dispatch(now, r)
	}
	// Answers that come too late for this round must not count in the next.
	b.waiting, b.pendingProbes, b.probeRound = b.waiting[:0], 0, b.probeRound+1
}
