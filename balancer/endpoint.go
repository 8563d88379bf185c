package balancer

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	inUpdate         bool // named by the list being read
	warmingUp        bool
	hasLoad          bool
	probing          bool
	slowStartAt      Micros  // start of its warm-up
	slowStartBudget  float64 // work that it may still get while cold
	budgetRefilledAt Micros

	inflight     int     // own attempts without outcome
	streaming    int     // of them with a body or an answer under way
	lastSendAt   Micros  // latest own send
	silentSince  Micros  // its latest answer since it holds any
	reportSum    float32 // of its latest report
	probeRound   uint32  // the round of held requests that waits for its answer
	lastProbeAt  Micros
	lastReportAt Micros  // latest probe answer with a load figure
	othersLoad   float64 // load of others when it answered
	ownAtReport  int     // own in flight then
	rtt          ewma

	pace          ewma // time taken per work and crowding
	paceLearnedAt Micros
	ejectedUntil  Micros       // no part of the traffic shuns it from then on
	failures      failureRun   // failures of any request
	partFailures  []failureRun // of each class, then of each tenant: an endpoint may fail one and serve the others
	breaker       breaker
}

// resetEndpoint forgets what is known of an endpoint's process: a new one owes nothing to the old one's
// record.
func (b *Balancer) resetEndpoint(e *endpoint) {
	*e = endpoint{Endpoint: e.Endpoint, inflight: e.inflight, streaming: e.streaming, probing: e.probing,
		probeRound:  e.probeRound,
		lastProbeAt: e.lastProbeAt, partFailures: b.newPartFailures()}
	b.removeFromPool(e)
}

// available says whether anything may go to e: neither discovery nor the operators take it out.
func (b *Balancer) available(e *endpoint) bool {
	return e.State == Ready && !b.administrativelyDrained(e.ID)
}
