package balancer

import "slices"

// An endpoint that is back in service looks slower than any other while it warms up, and would get nothing until it
// is warm. It is due a first request: soon one that it is predicted to answer in time, then an idempotent one, then
// any.
const (
	undrainDelay           = second
	undrainIdempotentDelay = 2 * second
	undrainAnyDelay        = 3 * second
	undrainTimeout         = 10 * second
	maxUndrained           = 64
)

// undrainedEndpoint is an endpoint whose administrative drain has ended and that has been sent nothing since.
type undrainedEndpoint struct {
	id uint32
	at Micros
}

// administrativelyDrained reports whether operators have drained an endpoint. A drain is on an ID, listed or not, and
// holds whatever discovery says until it is ended.
func (b *Balancer) administrativelyDrained(id uint32) bool {
	_, drained := b.drainedAt[id]
	return drained
}

// DrainEndpoint begins an administrative drain, ordered at an instant that is not in the future. From now on nothing
// is sent to the endpoint, probes included; attempts in flight continue.
func (b *Balancer) DrainEndpoint(id uint32, at Micros) {
	b.drainedAt[id] = at
	b.capacityValidUntil = 0
	if e := b.byID[id]; e != nil {
		b.removeFromPool(e)
	}
}

// UndrainEndpoint ends an administrative drain, ordered at an instant that is not in the future. The endpoint warms
// up: since its restart if discovery reported one during the drain, else since that instant.
func (b *Balancer) UndrainEndpoint(now Micros, id uint32, at Micros) {
	drainedAt, wasDrained := b.drainedAt[id]
	delete(b.drainedAt, id)
	b.capacityValidUntil = 0
	b.undrained = slices.DeleteFunc(b.undrained, func(u undrainedEndpoint) bool {
		return u.id == id || now-u.at > undrainTimeout
	})
	if len(b.undrained) < maxUndrained {
		b.undrained = append(b.undrained, undrainedEndpoint{id, now})
	}
	e := b.byID[id]
	if e == nil {
		return // its start time shows how warm it is, once it is listed again
	}
	b.resetEndpoint(e)
	if wasDrained && e.StartTime > drainedAt {
		at = min(at, e.StartTime)
	}
	if now-at < b.settings.Contract.SlowStartDuration {
		b.startSlowStart(now, e, at)
	}
}

// undrainedCandidate returns an endpoint that is back in service and may have r for its first request, or nil.
func (b *Balancer) undrainedCandidate(now Micros, r *request) *endpoint {
	for _, u := range b.undrained {
		e, since := b.byID[u.id], now-u.at
		if e == nil || since < undrainDelay || since > undrainTimeout || !b.maySend(now, r, e) {
			continue
		}
		if since > undrainAnyDelay || since > undrainIdempotentDelay && b.class(r).Idempotency == Idempotent ||
			b.predict(now, e, r.work) <= b.latencyBudget(now, r, e) {
			return e
		}
	}
	return nil
}
