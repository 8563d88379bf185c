package balancer

// endpoint is a balancer's record of one endpoint: its entry in the endpoint list, and what was learned of its
// process.
type endpoint struct {
	Endpoint
	inUpdate bool // the endpoint list update that is being handled names it

	warmingUp        bool
	slowStartAt      Micros  // when it began to warm up; valid while warmingUp is set
	slowStartBudget  float64 // work that may be sent to it while it warms up; may be negative
	budgetRefilledAt Micros  // when slowStartBudget was last refilled

	slowStartTokenUntil Micros // one request may be sent before that, where slowStartBudget cannot save up one

	inflight    int    // this balancer's attempts without outcome
	streaming   int    // those of them whose body or answer is being streamed
	uploading   int    // those of them whose body is still arriving
	lastSendAt  Micros // latest attempt of this balancer
	silentSince Micros // latest sign of activity, while it has attempts in flight

	probing      bool   // a probe has no answer yet
	probeRound   uint32 // round of waiting requests that waits for its report; 0 for none
	lastProbeAt  Micros
	hasLoad      bool    // it has sent a report with a load
	lastReportAt Micros  // when its latest report with a load came
	reportSum    float32 // weighted sum of the figures of its latest report, to detect a change
	othersLoad   float64 // other balancers' requests there, by that report
	ownAtReport  int     // begun() when that report came
	rtt          ewma    // round-trip time of probes, in microseconds

	pace          ewma   // time per unit of work without contention, scaled to a fully warm endpoint
	paceLearnedAt Micros // when pace was last updated

	ejectedUntil Micros       // latest ejectedUntil of all its failure runs
	failures     failureRun   // of all requests
	partFailures []failureRun // by class slot, then by tenant: an endpoint may fail one of them and serve others
	breaker      breaker
}

// begun returns the number of this balancer's attempts that the endpoint may have begun: it does so once the last byte
// of a request has come.
func (e *endpoint) begun() int { return e.inflight - e.uploading }

// newPartFailures returns empty failure runs for all classes and tenants.
func (b *Balancer) newPartFailures() []failureRun {
	return make([]failureRun, len(b.classes)+len(b.tenantDemand))
}

// resetEndpoint drops what was learned of an endpoint's process when a new process replaces it. Attempts and probes in
// flight remain.
func (b *Balancer) resetEndpoint(e *endpoint) {
	*e = endpoint{
		Endpoint:     e.Endpoint,
		inflight:     e.inflight,
		streaming:    e.streaming,
		uploading:    e.uploading,
		probing:      e.probing,
		probeRound:   e.probeRound,
		lastProbeAt:  e.lastProbeAt,
		partFailures: b.newPartFailures(),
	}
	b.removeFromPool(e)
}

// available reports whether requests and probes may be sent to e: it is listed as ready and no operator has drained it.
func (b *Balancer) available(e *endpoint) bool {
	return e.State == Ready && !b.administrativelyDrained(e.ID)
}
