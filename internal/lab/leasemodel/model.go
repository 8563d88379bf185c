// Package leasemodel enumerates, up to a depth, all interleavings of two holders of a lease and the store that grants
// it: requests and responses that are lost, duplicated and late, clocks at the limits of their rates, changes of the
// store's leader, holders that are stopped and continue, and releases that cross renewals. Nothing is random. The
// holders use lease.Session itself. The store and the queue are modelled here after their definition, independently of
// their code.
package leasemodel

import (
	"fmt"
	"hash/maphash"

	"birchmoor/internal/controlplane/lease"
)

// Times are in tenths of a tick of a slow clock. In a tick a slow clock advances by 10 and a fast one by 12, which is
// the largest difference of rates that maxClockSkew allows.
const (
	slowTick     = 10
	fastTick     = 12
	baseTTL      = 48
	maxClockSkew = 0.2
)

// Options are the settings of an enumeration. The zero value of SessionDefect injects none.
type Options struct {
	Depth              int // largest number of steps
	SessionDefect      lease.Defect
	RevokeEarly        bool // injected defect: the store ends sessions a tick too early
	KeepRemainingTimes bool // injected defect: a new leader keeps the remaining times, but lacks the last renewals

	Store, A, B bool // whether the clock of the store, holder A and holder B is fast
}

// Result is the outcome of an enumeration. Its JSON is part of the output of task check.
type Result struct {
	States int      `json:"states"` // number of different states
	Steps  int      `json:"steps"`  // number of steps between them
	Depth  int      `json:"depth"`  // depth up to which all states were enumerated
	Broken []string `json:"broken"` // shortest sequence of steps after which both holders are entitled; nil: none
}

const (
	maxInFlight     = 2 // of a holder
	maxQueueEntries = 3
)

// requestKind is the kind of a request.
type requestKind uint8

const (
	noRequest requestKind = iota
	grant
	renew
	enqueue
	dequeue
)

// message is a request in flight.
type message struct {
	kind    requestKind
	attempt uint8 // number of the holder's request, which its response repeats
	lease   uint8
}

// response is a response in flight. Its field names are part of Result.Broken.
type response struct {
	there bool
	try   uint8
	gone  bool
	lease uint8
}

// queueEntry is an entry of the lease's queue.
type queueEntry struct {
	owner uint8 // 1 or 2; 0: none
	lease uint8
}

// holder is the state of a holder.
type holder struct {
	session     lease.Session
	clock       int64
	attempts    uint8
	openRequest message // whose response the holder waits for
	inFlight    [maxInFlight]message
	response    response
	entryLease  uint8                       // lease of its queue entry; 0: it has none
	generation  uint64                      // generation of the session of its queue entry
	released    bool                        // it has released the lease
	queueCopy   [maxQueueEntries]queueEntry // its copy of the queue
}

// session is a session in the store. It is free if its owner is 0.
type session struct {
	owner  uint8
	endsAt int64 // time of the store's clock from which it may be revoked
}

// world is a state of the model. It is comparable.
type world struct {
	holders   [2]holder
	clock     int64
	leases    [4]session // at index id-1
	lastLease uint8
	queue     [maxQueueEntries]queueEntry
	elections uint8
}

// step is a possible next state, and the step that leads to it.
type step struct {
	world world
	text  string
}

// Run enumerates the states. It identifies them by two 64-bit hashes, and neglects collisions of both.
func Run(options Options) Result {
	type origin struct {
		from int32
		step string
	}
	seed1, seed2 := maphash.MakeSeed(), maphash.MakeSeed()
	hash := func(w world) [2]uint64 { return [2]uint64{maphash.Comparable(seed1, w), maphash.Comparable(seed2, w)} }
	initial := initialWorld(options.SessionDefect)
	origins, layer, layerOrigins := []origin{{from: -1}}, []world{initial}, []int32{0}
	seen := map[[2]uint64]struct{}{hash(initial): {}}
	r := Result{}
	for depth := 1; depth <= options.Depth; depth++ {
		var next []world
		var nextOrigins []int32
		for i := range layer {
			for _, n := range layer[i].nextSteps(options) {
				r.Steps++
				key := hash(n.world)
				if _, known := seen[key]; known {
					continue
				}
				seen[key] = struct{}{}
				origins = append(origins, origin{layerOrigins[i], n.text})
				next, nextOrigins = append(next, n.world), append(nextOrigins, int32(len(origins)-1))
				if n.world.holders[0].entitled(1) && n.world.holders[1].entitled(2) {
					for i := len(origins) - 1; i > 0; i = int(origins[i].from) {
						r.Broken = append([]string{origins[i].step}, r.Broken...)
					}
					r.States, r.Depth = len(origins), depth
					return r
				}
			}
		}
		layer, layerOrigins, r.Depth = next, nextOrigins, depth
	}
	r.States = len(origins)
	return r
}

func tickLength(isFast bool) int64 {
	if isFast {
		return fastTick
	}
	return slowTick
}

// sessionTTL returns the TTL of a holder's sessions. B's is longer, so that fewer of the steps are renewals.
func sessionTTL(owner uint8) int64 { return baseTTL * int64(owner) }

// initialWorld returns the first state: A holds the lease and has to renew it soon, and B waits for it.
func initialWorld(defect lease.Defect) world {
	w := world{clock: 1}
	for i := range w.holders {
		h, owner := &w.holders[i], uint8(i+1)
		// The clocks of the holders are independent of each other and of the store's.
		h.session, h.clock = *lease.NewSession(lease.Rules{TTL: sessionTTL(owner), MaxClockSkew: maxClockSkew}, defect),
			1000*int64(owner)
		h.session.Next(h.clock)
		w.handle(owner, message{kind: grant})
		h.response = response{}
		h.session.HandleResponse(h.clock, lease.Succeeded, uint64(owner))
		h.entryLease, h.generation = owner, h.session.Generation()
		w.handle(owner, message{kind: enqueue, lease: owner})
		if i == 0 {
			w.clock, h.clock = w.clock+2*slowTick, h.clock+2*slowTick
		}
	}
	for i := range w.holders {
		w.holders[i].queueCopy = w.queue
	}
	return w
}

// entitled reports whether a holder considers itself entitled, whether or not it is stopped.
func (h *holder) entitled(owner uint8) bool {
	return h.entryLease != 0 && !h.released && h.generation == h.session.Generation() &&
		h.clock < h.session.ValidUntil() && h.queueCopy[0] == queueEntry{owner, h.entryLease}
}

// nextSteps returns all steps that are possible in a state.
func (w *world) nextSteps(options Options) (all []step) {
	add := func(x world, format string, args ...any) {
		all = append(all, step{world: x, text: fmt.Sprintf(format, args...)})
	}
	x := *w
	x.clock += tickLength(options.Store)
	x.holders[0].clock += tickLength(options.A)
	x.holders[1].clock += tickLength(options.B)
	add(x, "a tick")
	for i := range w.holders {
		owner := uint8(i + 1)
		name := string(rune('A' + i))
		h := &w.holders[i]
		if h.openRequest.kind == noRequest && h.session.ID() < 3 {
			x := *w
			y := &x.holders[i]
			if request, _ := y.session.Next(y.clock); request != lease.NoRequest {
				y.attempts++
				m := message{kind: grant, attempt: y.attempts}
				if request == lease.RenewRequest {
					m = message{kind: renew, attempt: y.attempts, lease: uint8(y.session.ID())}
				}
				y.openRequest = m
				if y.send(m) {
					add(x, "%s asks: %v", name, m)
				}
			}
		}
		if h.openRequest.kind != noRequest {
			x := *w
			x.holders[i].openRequest = message{}
			x.holders[i].session.HandleResponse(x.holders[i].clock, lease.OutcomeUnknown, 0)
			add(x, "%s waits no more for an answer", name)
		}
		for k, m := range h.inFlight {
			if m.kind == noRequest {
				continue
			}
			x := *w
			x.holders[i].inFlight[k] = message{}
			add(x, "%s's %v is lost", name, m)
			for _, twice := range []bool{false, true} {
				x := *w
				if !twice {
					x.holders[i].inFlight[k] = message{}
				}
				x.handle(owner, m)
				add(x, "%s's %v comes, and may come again: %v", name, m, twice)
			}
		}
		if h.response.there {
			x := *w
			x.holders[i].response = response{}
			add(x, "%s's answer is lost", name)
			x = *w
			y := &x.holders[i]
			y.response = response{}
			// The response of a timed-out request is ignored.
			if y.openRequest.kind != noRequest && y.openRequest.attempt == h.response.try {
				outcome := lease.Succeeded
				if h.response.gone {
					outcome = lease.SessionNotFound
				}
				y.openRequest = message{}
				y.session.HandleResponse(y.clock, outcome, uint64(h.response.lease))
			}
			add(x, "%s hears %+v", name, h.response)
		}
		if h.entryLease == 0 && h.session.ID() != 0 && h.clock < h.session.ValidUntil() {
			x := *w
			y := &x.holders[i]
			y.entryLease, y.generation, y.released = uint8(y.session.ID()), y.session.Generation(), false
			if y.send(message{kind: enqueue, lease: y.entryLease}) {
				add(x, "%s asks for a place", name)
			}
		}
		if h.entryLease != 0 && h.generation != h.session.Generation() {
			x := *w
			x.holders[i].entryLease = 0
			add(x, "%s finds its session gone", name)
		}
		if h.entitled(owner) {
			x := *w
			y := &x.holders[i]
			y.released = true
			if y.send(message{kind: dequeue, lease: y.entryLease}) {
				add(x, "%s releases", name)
			}
		}
		if h.queueCopy != w.queue {
			x := *w
			x.holders[i].queueCopy = w.queue
			add(x, "%s's copy is new", name)
		}
	}
	for id, l := range w.leases {
		end := l.endsAt
		if options.RevokeEarly {
			end -= fastTick
		}
		if l.owner != 0 && w.clock >= end {
			x := *w
			x.endSession(uint8(id + 1))
			add(x, "the store ends session %d", id+1)
		}
	}
	if w.elections < 1 {
		x := *w
		x.elections++
		for id := range x.leases {
			if x.leases[id].owner == 0 {
				continue
			}
			if options.KeepRemainingTimes { // the new leader does not know of the last renewals
				x.leases[id].endsAt -= sessionTTL(x.leases[id].owner) / 2
			} else {
				x.leases[id].endsAt = x.clock + sessionTTL(x.leases[id].owner)
			}
		}
		add(x, "another leads")
	}
	return all
}

// send puts a request in flight, and reports whether the holder had fewer than maxInFlight.
func (h *holder) send(m message) bool {
	for k := range h.inFlight {
		if h.inFlight[k].kind == noRequest {
			h.inFlight[k] = m
			return true
		}
	}
	return false
}

// handle applies a request at the store.
func (w *world) handle(from uint8, m message) {
	h := &w.holders[from-1]
	switch m.kind {
	case grant:
		if int(w.lastLease) == len(w.leases) {
			return
		}
		w.lastLease++
		w.leases[w.lastLease-1] = session{from, w.clock + sessionTTL(from)}
		h.response = response{there: true, try: m.attempt, lease: w.lastLease}
	case renew:
		l := &w.leases[m.lease-1]
		h.response = response{there: true, try: m.attempt, gone: l.owner != from}
		if l.owner == from {
			l.endsAt = w.clock + sessionTTL(from)
		}
	case enqueue:
		if w.leases[m.lease-1].owner != from {
			return
		}
		for k, p := range w.queue {
			if p == (queueEntry{from, m.lease}) {
				return // the request was duplicated
			}
			if p.owner == 0 {
				w.queue[k] = queueEntry{from, m.lease}
				return
			}
		}
	case dequeue:
		w.removeEntry(queueEntry{from, m.lease})
	}
}

// endSession ends a session and removes its queue entries.
func (w *world) endSession(id uint8) {
	owner := w.leases[id-1].owner
	w.leases[id-1] = session{}
	w.removeEntry(queueEntry{owner, id})
}

// removeEntry removes an entry from the queue.
func (w *world) removeEntry(removed queueEntry) {
	n := 0
	var left [maxQueueEntries]queueEntry
	for _, x := range w.queue {
		if x != removed && x.owner != 0 {
			left[n] = x
			n++
		}
	}
	w.queue = left
}
