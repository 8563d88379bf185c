package balancer

import "slices"

// onTimeWeight is the weight of one request in a class's share of answers on time.
const onTimeWeight = 0.02

// request is the record of a request and its attempts, kept until it has its final answer and all outcomes.
type request struct {
	Request
	token          uint32 // of its timers
	slot           int    // of its class
	arrivedAt      Micros
	work           float64
	cachedPriority float64 // as of priorityAt; 0 if it was not computed
	priorityAt     Micros
	logHint        float64 // logarithm of its hint over the mean work of its class
	attempts       []attempt
	pending        int     // attempts without outcome
	waiting        bool    // for probes
	ended          bool    // the final answer has been given
	responding     bool    // a streamed answer has begun: the request is bound to that attempt
	onTime         float64 // 1 once it is answered within the latency objective
}

// newRequest opens the record of a request.
func (b *Balancer) newRequest(now Micros, in Request) *request {
	var r *request
	if n := len(b.freeSlots); n > 0 {
		r, b.freeSlots = b.freeSlots[n-1], b.freeSlots[:n-1]
	} else {
		r = &request{token: uint32(len(b.slots) + firstSlot)}
		b.slots = append(b.slots, r)
	}
	// The high bits count the uses of the slot, so that a timer of an earlier request finds nothing.
	r.token += 1 << slotBits
	r.Request = in
	r.arrivedAt = now
	r.attempts = r.attempts[:0]
	r.pending = 0
	r.ended = false
	r.responding = false
	r.onTime = 0
	r.cachedPriority = 0
	r.slot = in.Rules.slots[in.Class]
	b.classes[r.slot].open++
	b.requests[in.ID] = r
	b.open++
	return r
}

// class returns the class of a request in the rules that it arrived under.
func (b *Balancer) class(r *request) *Class { return &r.Rules.settings.Classes[r.Class] }

// firstThatMayHaveRun returns the first attempt that may have had an effect, or nil.
func (r *request) firstThatMayHaveRun() *attempt {
	i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
	if i < 0 {
		return nil
	}
	return &r.attempts[i]
}

// tried reports whether an attempt went to e.
func (r *request) tried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// slotIndex returns the slot of the request that a timer token names.
func slotIndex(token uint32) int { return int(token&(1<<slotBits-1)) - firstSlot }

// finish notes that the final answer has been given. The record stays until all attempts have their outcome.
func (b *Balancer) finish(r *request) {
	if !r.ended {
		b.classes[r.slot].onTime.add(r.onTime, onTimeWeight)
		r.ended = true
		b.open--
		if r.waiting {
			b.waiting = slices.DeleteFunc(b.waiting, func(o *request) bool { return o == r })
			r.waiting = false
		}
		b.cancelAttempts(r, -1)
	}
	if r.pending == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		b.classes[r.slot].open--
		b.freeSlots = append(b.freeSlots, r)
	}
}

// cancelAttempts cancels all pending attempts but keep; -1 keeps none.
func (b *Balancer) cancelAttempts(r *request, keep int) {
	for i := range r.attempts {
		if i != keep && r.attempts[i].pending && b.settings.Limits.Cancel {
			b.out.Cancel(r.ID, i)
		}
	}
}

// ClientDisconnected handles a client that left before its final answer.
func (b *Balancer) ClientDisconnected(_ Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}
