package balancer

import "slices"

// request is the ledger's record of a request and its attempts.
type request struct {
	Request
	token          uint32 // of its timers
	slot           int    // of its class
	arrivedAt      Micros
	work           float64
	cachedPriority float64 // of its class, as of valueAt; 0 if not worked out
	priorityAt     Micros
	logHint        float64 // logarithm of its hint over the mean of its class
	attempts       []attempt
	pending        int     // attempts without outcome
	waiting        bool    // waits for probes
	ended          bool    // the final answer is out
	responding     bool    // an answer has begun: the attempt is the client's
	onTime         float64 // 1 once answered within its aim
}

func (b *Balancer) newRequest(now Micros, in Request) *request {
	var r *request
	if n := len(b.freeSlots); n > 0 {
		r, b.freeSlots = b.freeSlots[n-1], b.freeSlots[:n-1]
	} else {
		r = &request{token: uint32(len(b.slots) + firstSlot)}
		b.slots = append(b.slots, r)
	}
	// The high bits count uses of the slot, so that an old timer finds nothing.
	r.token += 1 << slotBits
	r.Request, r.arrivedAt, r.attempts, r.pending, r.ended, r.responding = in, now, r.attempts[:0], 0,
		false, false
	r.onTime, r.cachedPriority = 0, 0
	r.slot = in.Rules.slots[in.Class]
	b.classes[r.slot].open++
	b.requests[in.ID] = r
	b.open++
	return r
}

// ---- The request ledger ----------------------------------------------------
//
// Every send, refusal and failure leaves through send, refuse and fail below.
// They alone keep the rules; no policy can get round them.

func (b *Balancer) class(r *request) *Class { return &r.Rules.settings.Classes[r.Class] }

// firstThatMayHaveRun returns the first attempt that may have run, or nil.
func (r *request) firstThatMayHaveRun() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

func (r *request) tried(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

// slotIndex is the slot that a record's token names.
func (r *request) slotIndex() int { return int(r.token&(1<<slotBits-1)) - firstSlot }

// finish marks that the final answer is out; the record stays for late outcomes.
func (b *Balancer) finish(r *request) {
	if !r.ended {
		b.classes[r.slot].onTime.add(r.onTime, 0.02)
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

// cancelAttempts cancels all attempts but one.
func (b *Balancer) cancelAttempts(r *request, keep int) {
	for i := range r.attempts {
		if i != keep && r.attempts[i].pending && b.settings.Limits.Cancel {
			b.out.Cancel(r.ID, i)
		}
	}
}

// ClientDisconnected handles a client that left before its final answer.
func (b *Balancer) ClientDisconnected(now Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.finish(r)
	}
}
