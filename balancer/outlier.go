package balancer

import "strconv"

const (
	ejectionThreshold     = 3 // failures in a row
	partEjectionThreshold = 4 // of one class or tenant; one more, so that where all fail the endpoint is ejected first
	minEjection           = second
	maxEjection           = window
	maxPeerEjection       = 2 * window
	maxEjectedShare       = 1.0 / 2 // of the endpoints
	maxPartEjectedShare   = 1.0/2 + 1.0/6
	allParts              = -1 // stands for all requests, where a class or tenant is named
)

// failureRun is a run of failures of an endpoint.
type failureRun struct {
	streak           int // failures in a row
	ejectedUntil     Micros
	ejectionDuration Micros
	onTrial          bool // an attempt since the last ejection has no outcome yet
}

// parts returns the indices in partFailures of the parts of the traffic that r belongs to: its class and its
// tenant. An endpoint may fail or limit one part and serve the others. The result is valid until the next call.
func (b *Balancer) parts(r *request) []int {
	if t := int(r.Tenant); t < len(b.tenantDemand) {
		return append(b.partsBuffer[:0], r.slot, len(b.classes)+t)
	}
	return append(b.partsBuffer[:0], r.slot)
}

// recordSuccess ends the failure runs that a request belongs to.
func (b *Balancer) recordSuccess(r *request, e *endpoint) {
	e.failures = failureRun{}
	for _, part := range b.parts(r) {
		e.partFailures[part] = failureRun{}
	}
}

// recordFailures counts a failure in the runs that a request belongs to.
func (b *Balancer) recordFailures(now Micros, r *request, e *endpoint) {
	b.recordFailure(now, e, allParts, &e.failures)
	for _, part := range b.parts(r) {
		b.recordFailure(now, e, part, &e.partFailures[part])
	}
}

// recordFailure counts a failure in a run and ejects the endpoint after a few. Once the ejection is over the first
// request is a trial: no other follows before its outcome.
func (b *Balancer) recordFailure(now Micros, e *endpoint, part int, run *failureRun) {
	run.streak++
	threshold := ejectionThreshold
	if part != allParts {
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
	of := ""
	if part != allParts {
		of = " of part " + strconv.Itoa(part)
	}
	b.log(now, topicEjection, "endpoint "+strconv.Itoa(int(e.ID))+": "+strconv.Itoa(run.streak)+" failures"+of+
		" in a row, ejected for "+strconv.Itoa(int((run.ejectedUntil-now)/1000))+" ms")
}

// startTrials notes an attempt at an endpoint, which is a trial in every run that it was ejected for.
func (b *Balancer) startTrials(now Micros, r *request, e *endpoint) {
	e.failures.startTrial(now)
	e.ejectedUntil = max(e.ejectedUntil, e.failures.ejectedUntil)
	for _, part := range b.parts(r) {
		e.partFailures[part].startTrial(now)
		e.ejectedUntil = max(e.ejectedUntil, e.partFailures[part].ejectedUntil)
	}
}

func (run *failureRun) startTrial(now Micros) {
	if run.ejectionDuration > 0 {
		run.ejectedUntil = max(run.ejectedUntil, now+run.ejectionDuration)
		run.onTrial = true
	}
}

// ejectedFor reports whether e is ejected for all requests or for a part that r belongs to.
func (b *Balancer) ejectedFor(now Micros, e *endpoint, r *request) bool {
	if now >= e.ejectedUntil {
		return false
	}
	for _, part := range b.parts(r) {
		if now < e.partFailures[part].ejectedUntil {
			return true
		}
	}
	return now < e.failures.ejectedUntil
}

// mayEject keeps most endpoints in use: if many failed at once, the few that are left would only be overloaded. A
// part of the traffic may crowd into fewer.
func (b *Balancer) mayEject(now Micros, e *endpoint, part int) bool {
	ejected := 1.0
	limit := maxEjectedShare
	if part != allParts {
		limit = maxPartEjectedShare
	}
	for _, o := range b.endpoints {
		isEjected := now < o.failures.ejectedUntil ||
			part != allParts && now < o.partFailures[part].ejectedUntil
		ejected += indicator(o != e && isEjected)
	}
	return ejected <= limit*float64(len(b.endpoints))
}

// PeerEjected handles the report of another process of this sidecar that it has ejected an endpoint for some time
// yet.
func (b *Balancer) PeerEjected(now Micros, id uint32, left Micros) {
	left = min(left, maxPeerEjection)
	e := b.byID[id]
	if e == nil || now+left <= e.failures.ejectedUntil || !b.mayEject(now, e, allParts) {
		return
	}
	e.failures = failureRun{
		streak:           e.failures.streak,
		ejectedUntil:     now + left,
		ejectionDuration: max(e.failures.ejectionDuration, minEjection),
	}
	e.ejectedUntil = max(e.ejectedUntil, e.failures.ejectedUntil)
}

// Ejections calls f for each endpoint that is ejected for all requests, with the time left.
func (b *Balancer) Ejections(now Micros, f func(id uint32, left Micros)) {
	for _, e := range b.endpoints {
		if now < e.failures.ejectedUntil {
			f(e.ID, e.failures.ejectedUntil-now)
		}
	}
}

// ExcludedCount counts the listed endpoints that get nothing: drained by an operator, or ejected for all requests.
func (b *Balancer) ExcludedCount(now Micros) int {
	n := 0
	for _, e := range b.endpoints {
		if e.State != Removed && (b.administrativelyDrained(e.ID) || now < e.failures.ejectedUntil) {
			n++
		}
	}
	return n
}
