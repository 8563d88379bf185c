package balancer

import "slices"

// onTimeWeight is the weight of one request in its class's average of answers on time.
const onTimeWeight = 0.02

// request is the record of a request and its attempts. It is kept until the request has its final answer and every
// attempt has its outcome, and is used again for a later request.
type request struct {
	Request
	token          uint32  // of its timers; names its request slot
	classSlot      int     // index in Balancer.classes
	arrivedAt      Micros  // its latency counts from here; UploadComplete moves it
	work           float64 // expected work
	cachedPriority float64 // as of priorityAt; 0 if not computed yet
	priorityAt     Micros
	logHint        float64 // logarithm of its hint over the mean work of its class; 0 without a hint
	attempts       []attempt
	pending        int     // number of attempts without outcome
	waiting        bool    // it waits for probes before its first attempt
	ended          bool    // it has its final answer, or its client has disconnected
	responding     bool    // a streamed answer has started, so that no other attempt may be made
	onTime         float64 // 1 if it was answered within the latency objective, else 0
}

// newRequest opens the record of a request in a free or a new request slot.
func (b *Balancer) newRequest(now Micros, in Request) *request {
	var r *request
	if n := len(b.freeRequestSlots); n > 0 {
		r, b.freeRequestSlots = b.freeRequestSlots[n-1], b.freeRequestSlots[:n-1]
	} else {
		r = &request{token: uint32(len(b.requestSlots) + firstRequestToken)}
		b.requestSlots = append(b.requestSlots, r)
	}
	// The high bits count the uses of the slot, so that a timer of an earlier request has no effect.
	r.token += 1 << slotBits
	r.Request = in
	r.arrivedAt = now
	r.attempts = r.attempts[:0]
	r.pending = 0
	r.ended = false
	r.responding = false
	r.onTime = 0
	r.cachedPriority = 0
	r.classSlot = in.Rules.classSlots[in.Class]
	b.classes[r.classSlot].records++
	b.requests[in.ID] = r
	b.openRequests++
	return r
}

// class returns the class of a request, by the rules that the request arrived under.
func (b *Balancer) class(r *request) *Class { return &r.Rules.settings.Classes[r.Class] }

// firstThatMayHaveRun returns the first attempt that may have run, or nil if none may have.
func (r *request) firstThatMayHaveRun() *attempt {
	i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
	if i < 0 {
		return nil
	}
	return &r.attempts[i]
}

// tried reports whether any attempt of the request went to e.
func (r *request) tried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// slotIndex returns the request slot that a timer token names. It is negative for the balancer's own timers.
func slotIndex(token uint32) int { return int(token&(1<<slotBits-1)) - firstRequestToken }

// finish ends a request that has its final answer or whose client disconnected, and cancels its pending attempts. The
// record is freed once all attempts have their outcome: later outcomes call finish again.
func (b *Balancer) finish(r *request) {
	if !r.ended {
		b.classes[r.classSlot].onTime.add(r.onTime, onTimeWeight)
		r.ended = true
		b.openRequests--
		if r.waiting {
			b.waiting = slices.DeleteFunc(b.waiting, func(o *request) bool { return o == r })
			r.waiting = false
		}
		b.cancelAttempts(r, -1)
	}
	if r.pending == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		b.classes[r.classSlot].records--
		b.freeRequestSlots = append(b.freeRequestSlots, r)
	}
}

// cancelAttempts cancels the pending attempts other than number kept, or all of them if kept is -1. It does nothing if
// the limits do not permit cancelling.
func (b *Balancer) cancelAttempts(r *request, kept int) {
	for i := range r.attempts {
		if i != kept && r.attempts[i].pending && b.settings.Limits.Cancel {
			b.actions.Cancel(r.ID, i)
		}
	}
}

// ClientDisconnected ends a request whose client disconnected before the final answer.
func (b *Balancer) ClientDisconnected(_ Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}
