package balancer

import "strconv"

// failureRun is a run of failures.
type failureRun struct {
	streak           int    // failures in a row
	ejectedUntil     Micros // ejected until then
	ejectionDuration Micros
	onTrial          bool // a send since the last ejection has no outcome yet
}

// parts tells which parts of the traffic r belongs to, by their places in ills: its class and its tenant.
// An
// endpoint may fail one part, or limit it, and serve the others.
func (b *Balancer) parts(r *request) []int {
	if t := int(r.Tenant); t < len(b.tenantDemand) {
		return append(b.partsBuffer[:0], r.slot, len(b.classes)+t)
	}
	return append(b.partsBuffer[:0], r.slot)
}

// recordFailure counts a failure of a part, or of any for -1, and ejects the endpoint for it after a few
// in a row.
// When it is let in again the first request is a trial: until its outcome no other follows.
func (b *Balancer) recordFailure(now Micros, e *endpoint, part int, i *failureRun) {
	i.streak++
	if i.streak < ejectionThreshold+int(indicator(part >= 0)) || now < i.ejectedUntil && !i.onTrial ||
		!b.mayEject(now, e, part) {
		return
	}
	i.onTrial = false
	i.ejectionDuration = min(max(2*i.ejectionDuration, second), window)
	i.ejectedUntil = now + i.ejectionDuration/2 + b.rng.below(i.ejectionDuration)
	e.ejectedUntil = max(e.ejectedUntil, i.ejectedUntil)
	of := ""
	if part >= 0 {
		of = " of part " + strconv.Itoa(part)
	}
	b.log(now, "eject", "endpoint "+strconv.Itoa(int(e.ID))+": "+strconv.Itoa(i.streak)+" failures"+of+
		" in a row, ejected for "+strconv.Itoa(int((i.ejectedUntil-now)/1000))+" ms")
}

// startTrial notes a send: to an endpoint that was ejected it is a trial.
func (i *failureRun) startTrial(now Micros) {
	if i.ejectionDuration > 0 {
		i.ejectedUntil, i.onTrial = max(i.ejectedUntil, now+i.ejectionDuration), true
	}
}

// ejectedFor says whether e is ejected, for a part that r belongs to or as a whole.
func (b *Balancer) ejectedFor(now Micros, e *endpoint, r *request) bool {
	if now >= e.ejectedUntil {
		return false
	}
	for _, i := range b.parts(r) {
		if now < e.partFailures[i].ejectedUntil {
			return true
		}
	}
	return now < e.failures.ejectedUntil
}

// mayEject keeps most endpoints in: if many fail at once, the few left would only be overrun. A part of the
// traffic may crowd into fewer.
func (b *Balancer) mayEject(now Micros, e *endpoint, part int) bool {
	out := 1.0
	for _, o := range b.endpoints {
		out += indicator(o != e && (now < o.failures.ejectedUntil || part >= 0 &&
			now < o.partFailures[part].ejectedUntil))
	}
	return out <= (1.0/2+indicator(part >= 0)/6)*float64(len(b.endpoints))
}

// PeerEjected takes the word of a process beside this one that it has ejected an endpoint for so long yet.
func (b *Balancer) PeerEjected(now Micros, id uint32, left Micros) {
	e := b.byID[id]
	if left = min(left, 2*window); e == nil || now+left <= e.failures.ejectedUntil || !b.mayEject(now, e, -1) {
		return
	}
	e.failures = failureRun{streak: e.failures.streak, ejectedUntil: now + left,
		ejectionDuration: max(e.failures.ejectionDuration, second)}
	e.ejectedUntil = max(e.ejectedUntil, e.failures.ejectedUntil)
}

// Ejections calls f for each endpoint that is ejected as a whole, with the time left.
func (b *Balancer) Ejections(now Micros, f func(id uint32, left Micros)) {
	for _, e := range b.endpoints {
		if now < e.failures.ejectedUntil {
			f(e.ID, e.failures.ejectedUntil-now)
		}
	}
}

// ExcludedCount counts the listed endpoints that nothing goes to by the operators' word or by our own
// choice.
func (b *Balancer) ExcludedCount(now Micros) int {
	n := 0
	for _, e := range b.endpoints {
		if e.State != Removed && (b.administrativelyDrained(e.ID) || now < e.failures.ejectedUntil) {
			n++
		}
	}
	return n
}
