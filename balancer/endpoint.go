package balancer

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	inUpdate bool // named by the list that is being read

	warmingUp        bool
	slowStartAt      Micros  // when it began to warm up
	slowStartBudget  float64 // work that it may still be sent while it warms up
	budgetRefilledAt Micros

	inflight    int    // own attempts without outcome
	streaming   int    // of them, those with a body or an answer under way
	lastSendAt  Micros // of an own attempt
	silentSince Micros // its latest outcome, while it has attempts in flight

	probing      bool
	probeRound   uint32 // the round of waiting requests that waits for its report
	lastProbeAt  Micros
	hasLoad      bool
	lastReportAt Micros  // latest report with a load
	reportSum    float32 // of the figures of its latest report, to see whether it changes
	othersLoad   float64 // requests of others there, by that report
	ownAtReport  int     // own requests in flight at that time
	rtt          ewma    // of probes, in microseconds

	pace          ewma // time per unit of work and crowding
	paceLearnedAt Micros

	ejectedUntil Micros // the latest of its failure runs
	failures     failureRun
	partFailures []failureRun // of each class, then of each tenant: an endpoint may fail one and serve the others
	breaker      breaker
}

// newPartFailures returns empty failure runs of all classes and tenants.
func (b *Balancer) newPartFailures() []failureRun {
	return make([]failureRun, len(b.classes)+len(b.tenantDemand))
}

// resetEndpoint forgets what was learned of an endpoint's process, since a new one has taken its place.
func (b *Balancer) resetEndpoint(e *endpoint) {
	*e = endpoint{
		Endpoint:     e.Endpoint,
		inflight:     e.inflight,
		streaming:    e.streaming,
		probing:      e.probing,
		probeRound:   e.probeRound,
		lastProbeAt:  e.lastProbeAt,
		partFailures: b.newPartFailures(),
	}
	b.removeFromPool(e)
}

// available reports whether anything may be sent to e: it is listed as ready and not drained by an operator.
func (b *Balancer) available(e *endpoint) bool {
	return e.State == Ready && !b.administrativelyDrained(e.ID)
}
