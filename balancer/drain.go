package balancer

import "slices"

// After its administrative drain an endpoint warms up. It is predicted to be slower than all others, so that pick would
// send it nothing until it is warm. It therefore gets a first request out of turn: after undrainDelay one that it is
// predicted to answer within the latency budget, after undrainIdempotentDelay any idempotent one, and after
// undrainAnyDelay any.
const (
	undrainDelay           = second
	undrainIdempotentDelay = 2 * second
	undrainAnyDelay        = 3 * second
	undrainTimeout         = 10 * second // after which it no longer gets one out of turn
	maxUndrained           = 64          // endpoints that are due a first request
)

// undrainedEndpoint is an endpoint whose administrative drain has ended and to which nothing has been sent since.
type undrainedEndpoint struct {
	id          uint32
	undrainedAt Micros
}

// administrativelyDrained reports whether an operator has drained an endpoint. A drain is kept by ID, whether the
// endpoint is listed or not, and lasts until UndrainEndpoint whatever discovery reports.
func (b *Balancer) administrativelyDrained(id uint32) bool {
	_, drained := b.drainedAt[id]
	return drained
}

// DrainEndpoint begins an administrative drain. From now on the endpoint is sent neither requests nor probes; attempts
// in flight continue. orderedAt must not be in the future.
func (b *Balancer) DrainEndpoint(id uint32, orderedAt Micros) {
	b.drainedAt[id] = orderedAt
	b.capacityValidUntil = 0
	if e := b.byID[id]; e != nil {
		b.removeFromPool(e)
	}
}

// UndrainEndpoint ends an administrative drain. The endpoint counts as warming up since its restart if discovery
// reported one during the drain, else since orderedAt, which must not be in the future.
func (b *Balancer) UndrainEndpoint(now Micros, id uint32, orderedAt Micros) {
	drainedAt, wasDrained := b.drainedAt[id]
	delete(b.drainedAt, id)
	b.capacityValidUntil = 0
	b.undrained = slices.DeleteFunc(b.undrained, func(u undrainedEndpoint) bool {
		return u.id == id || now-u.undrainedAt > undrainTimeout
	})
	if len(b.undrained) < maxUndrained {
		b.undrained = append(b.undrained, undrainedEndpoint{id, now})
	}
	e := b.byID[id]
	if e == nil {
		return // once it is listed again, its start time tells how long it has been warming up
	}
	b.resetEndpoint(e)
	if wasDrained && e.StartTime > drainedAt {
		orderedAt = min(orderedAt, e.StartTime)
	}
	if now-orderedAt < b.settings.Contract.SlowStartDuration {
		b.startSlowStart(now, e, orderedAt)
	}
}

// undrainedCandidate returns an endpoint whose drain has ended and for which r may be the first request, or nil.
func (b *Balancer) undrainedCandidate(now Micros, r *request) *endpoint {
	for _, u := range b.undrained {
		e, since := b.byID[u.id], now-u.undrainedAt
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
