package balancer

import "strconv"

const (
	ejectionThreshold     = 3 // consecutive failures
	partEjectionThreshold = 4 // the same for one class or tenant; if all fail, ejection for all requests comes first
	minEjection           = second
	maxEjection           = breakerWindow
	maxPeerEjection       = 2 * breakerWindow // longest ejection that another process may report
	maxEjectedShare       = 1.0 / 2           // share of the endpoints that may be ejected for all requests
	maxPartEjectedShare   = 1.0/2 + 1.0/6     // the same for one class or tenant
	allTraffic            = -1                // index of the run of all requests, in place of a class slot or tenant
)

// failureRun is a run of consecutive failures of an endpoint: of all requests, or of those of one class or tenant.
type failureRun struct {
	streak           int // consecutive failures
	ejectedUntil     Micros
	ejectionDuration Micros // of the latest ejection in this run, before jitter; doubles with each
	onTrial          bool   // an attempt after the ejection has no outcome yet
}

// trafficParts returns the indices in partFailures of the parts of the traffic that r belongs to: its class and its
// tenant. An endpoint may fail or limit one part and serve the others. The result is valid until the next call.
func (b *Balancer) trafficParts(r *request) []int {
	if t := int(r.Tenant); t < len(b.tenantDemand) {
		return append(b.trafficPartsBuffer[:0], r.classSlot, len(b.classes)+t)
	}
	return append(b.trafficPartsBuffer[:0], r.classSlot)
}

// recordSuccess ends e's failure runs of all requests and of r's class and tenant.
func (b *Balancer) recordSuccess(r *request, e *endpoint) {
	e.failures = failureRun{}
	for _, part := range b.trafficParts(r) {
		e.partFailures[part] = failureRun{}
	}
}

// recordFailures counts a failure in e's runs of all requests and of r's class and tenant.
func (b *Balancer) recordFailures(now Micros, r *request, e *endpoint) {
	b.recordFailure(now, e, allTraffic, &e.failures)
	for _, part := range b.trafficParts(r) {
		b.recordFailure(now, e, part, &e.partFailures[part])
	}
}

// recordFailure counts a failure in a run and ejects the endpoint once the run is long enough. After the ejection the
// first request is a trial: no other request is sent until its outcome.
func (b *Balancer) recordFailure(now Micros, e *endpoint, part int, run *failureRun) {
	run.streak++
	threshold := ejectionThreshold
	if part != allTraffic {
		threshold = partEjectionThreshold
	}
	ejected := now < run.ejectedUntil && !run.onTrial
	if run.streak < threshold || ejected || !b.mayEject(now, e, part) {
		return
	}
	run.onTrial = false
	run.ejectionDuration = min(max(2*run.ejectionDuration, minEjection), maxEjection)
	run.ejectedUntil = now + run.ejectionDuration/2 + b.rng.below(run.ejectionDuration)
	e.ejectedUntil = max(e.ejectedUntil, run.ejectedUntil)
	partText := ""
	if part != allTraffic {
		partText = " of part " + strconv.Itoa(part)
	}
	b.log(now, topicEjection, "endpoint "+strconv.Itoa(int(e.ID))+": "+strconv.Itoa(run.streak)+" failures"+partText+
		" in a row, ejected for "+strconv.Itoa(int((run.ejectedUntil-now)/1000))+" ms")
}

// startTrials marks an attempt at e as a trial in each run of r's traffic for which e was ejected.
func (b *Balancer) startTrials(now Micros, r *request, e *endpoint) {
	e.failures.startTrial(now)
	e.ejectedUntil = max(e.ejectedUntil, e.failures.ejectedUntil)
	for _, part := range b.trafficParts(r) {
		e.partFailures[part].startTrial(now)
		e.ejectedUntil = max(e.ejectedUntil, e.partFailures[part].ejectedUntil)
	}
}

func (f *failureRun) startTrial(now Micros) {
	if f.ejectionDuration > 0 {
		f.ejectedUntil = max(f.ejectedUntil, now+f.ejectionDuration)
		f.onTrial = true
	}
}

// isEjected reports whether e is ejected for all requests, or for r's class or tenant.
func (b *Balancer) isEjected(now Micros, e *endpoint, r *request) bool {
	if now >= e.ejectedUntil {
		return false
	}
	for _, part := range b.trafficParts(r) {
		if now < e.partFailures[part].ejectedUntil {
			return true
		}
	}
	return now < e.failures.ejectedUntil
}

// mayEject reports whether one more endpoint may be ejected. If many fail at once, ejecting them all would overload the
// few that are left. One class or tenant may be confined to fewer endpoints than all requests.
func (b *Balancer) mayEject(now Micros, e *endpoint, part int) bool {
	ejected := 1.0
	limit := maxEjectedShare
	if part != allTraffic {
		limit = maxPartEjectedShare
	}
	for _, other := range b.endpoints {
		isEjected := now < other.failures.ejectedUntil ||
			part != allTraffic && now < other.partFailures[part].ejectedUntil
		ejected += indicator(other != e && isEjected)
	}
	return ejected <= limit*float64(len(b.endpoints))
}

// PeerEjected handles a report from another process of this sidecar that it has ejected an endpoint for the remaining
// time.
func (b *Balancer) PeerEjected(now Micros, id uint32, remaining Micros) {
	remaining = min(remaining, maxPeerEjection)
	e := b.byID[id]
	if e == nil || now+remaining <= e.failures.ejectedUntil || !b.mayEject(now, e, allTraffic) {
		return
	}
	e.failures = failureRun{
		streak:           e.failures.streak,
		ejectedUntil:     now + remaining,
		ejectionDuration: max(e.failures.ejectionDuration, minEjection),
	}
	e.ejectedUntil = max(e.ejectedUntil, e.failures.ejectedUntil)
}

// Ejections calls f for each endpoint that is ejected for all requests, with the remaining time.
func (b *Balancer) Ejections(now Micros, f func(id uint32, remaining Micros)) {
	for _, e := range b.endpoints {
		if now < e.failures.ejectedUntil {
			f(e.ID, e.failures.ejectedUntil-now)
		}
	}
}

// ExcludedCount returns the number of listed endpoints that an operator has drained or that are ejected for all
// requests.
func (b *Balancer) ExcludedCount(now Micros) int {
	count := 0
	for _, e := range b.endpoints {
		if e.State != Removed && (b.administrativelyDrained(e.ID) || now < e.failures.ejectedUntil) {
			count++
		}
	}
	return count
}
