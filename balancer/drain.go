package balancer

import "slices"

// ---- Maintenance -----------------------------------------------------------
//
// What operators take out stands apart from what discovery tells: a ban is on an ID, known or not, and
// holds
// whatever the list says until the call back.

// undrainedEndpoint is an endpoint that was called back and has been sent nothing since.
type undrainedEndpoint struct {
	id uint32
	at Micros
}

const (
	// After its call back an endpoint gets a request that it would serve in time, then one that is harmless
	// to repeat, and then any: what is never sent anything shows nothing.
	undrainDelay           = second
	undrainIdempotentDelay = 2 * second
	undrainAnyDelay        = 3 * second
	undrainTimeout         = 10 * second
	maxUndrained           = 64
)

func (b *Balancer) administrativelyDrained(id uint32) bool {
	_, out := b.drainedAt[id]
	return out
}

// DrainEndpoint bans an endpoint, by a call at an instant not in the future. Nothing goes there from now
// on, probes
// included; what is out there goes on.
func (b *Balancer) DrainEndpoint(id uint32, at Micros) {
	b.drainedAt[id] = at
	b.capacityValidUntil = 0
	if e := b.byID[id]; e != nil {
		b.removeFromPool(e)
	}
}

// UndrainEndpoint ends the ban of an endpoint, at an instant not in the future. It counts as cold: from
// when it was
// restarted, if discovery told of that since the ban, else from the call back on.
func (b *Balancer) UndrainEndpoint(now Micros, id uint32, at Micros) {
	outAt, wasOut := b.drainedAt[id]
	delete(b.drainedAt, id)
	b.capacityValidUntil = 0
	b.undrained = slices.DeleteFunc(b.undrained, func(c undrainedEndpoint) bool {
		return c.id == id ||
			now-c.at > undrainTimeout
	})
	if len(b.undrained) < maxUndrained {
		b.undrained = append(b.undrained, undrainedEndpoint{id, now})
	}
	e := b.byID[id]
	if e == nil {
		return // how cold it is shows when it is listed again
	}
	b.resetEndpoint(e)
	if wasOut && e.StartTime > outAt {
		at = min(at, e.StartTime)
	}
	if now-at < b.settings.Contract.SlowStartDuration {
		b.startSlowStart(now, e, at)
	}
}

// undrainedCandidate returns an endpoint that was called back and may have r for its first request. While
// it is cold it
// looks slower than any other and would wait for one until it is warm.
func (b *Balancer) undrainedCandidate(now Micros, r *request) *endpoint {
	for _, c := range b.undrained {
		e, since := b.byID[c.id], now-c.at
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
