// Package leasemodel enumerates all interleavings, up to a depth, of two holders of a lease and the store that grants it: requests and
// answers that are lost, doubled and late, clocks at the ends of their allowed rates, leaders that change, holders that are stopped and
// go on, releases that cross renewals. Nothing is drawn. The holders are lease.Session itself; the store and the queue are written here
// from their definition, apart from the code.
package leasemodel

import (
	"fmt"
	"hash/maphash"

	"birchmoor/internal/controlplane/lease"
)

// Time is in units of a tick's tenth: a slow clock gains 10 a tick, a fast one 12, the rates' bound being a fifth.
const (
	slow = 10
	fast = 12
	ttl  = 48
	skew = 0.2
)

// Options say what is enumerated.
type Options struct {
	Depth int // steps
	Plant lease.Defect
	Early bool // the store ends a session a tick too early
	Rest  bool // a new leader goes on with the old one's rest

	Store, A, B bool // whose clock is fast
}

// Result is what was found.
type Result struct {
	States int      `json:"states"` // that differ
	Steps  int      `json:"steps"`  // between them
	Depth  int      `json:"depth"`  // up to which all were seen
	Broken []string `json:"broken"` // the shortest way to two who are entitled; nil: there is none
}

const (
	inFlight = 2 // requests of a holder at once
	queueMax = 3
)

type kind uint8

const (
	none kind = iota
	grant
	renew
	put
	remove
)

// message is a request on its way.
type message struct {
	kind  kind
	try   uint8 // of the holder
	lease uint8
}

// answer is one on its way back.
type answer struct {
	there bool
	try   uint8
	gone  bool
	lease uint8
}

type place struct {
	owner uint8 // 1 or 2; 0: none
	lease uint8
}

type holder struct {
	session lease.Session
	clock   int64
	try     uint8
	asked   message
	out     [inFlight]message
	back    answer
	put     uint8 // the lease of its place; 0: it has none
	number  uint64
	given   bool
	view    [queueMax]place
}

type granted struct {
	owner uint8
	end   int64 // by the store's clock
}

// world is a state. It is comparable.
type world struct {
	h       [2]holder
	clock   int64
	leases  [4]granted // by id less one
	last    uint8
	queue   [queueMax]place
	leaders uint8
}

// node is what may follow a state, and by what step.
type node struct {
	w    world
	step string
}

// Run enumerates. States are told apart by 128 bits of two hashes: that two of them have the same is out of the question.
func Run(o Options) Result {
	type way struct {
		from int32
		step string
	}
	one, two := maphash.MakeSeed(), maphash.MakeSeed()
	sum := func(w world) [2]uint64 { return [2]uint64{maphash.Comparable(one, w), maphash.Comparable(two, w)} }
	first := begin(o.Plant)
	ways, layer, at := []way{{from: -1}}, []world{first}, []int32{0}
	seen := map[[2]uint64]struct{}{sum(first): {}}
	r := Result{}
	for depth := 1; depth <= o.Depth; depth++ {
		var next []world
		var nextAt []int32
		for i := range layer {
			for _, n := range layer[i].next(o) {
				r.Steps++
				s := sum(n.w)
				if _, known := seen[s]; known {
					continue
				}
				seen[s] = struct{}{}
				ways = append(ways, way{at[i], n.step})
				next, nextAt = append(next, n.w), append(nextAt, int32(len(ways)-1))
				if n.w.h[0].entitled(1) && n.w.h[1].entitled(2) {
					for i := len(ways) - 1; i > 0; i = int(ways[i].from) {
						r.Broken = append([]string{ways[i].step}, r.Broken...)
					}
					r.States, r.Depth = len(ways), depth
					return r
				}
			}
		}
		layer, at, r.Depth = next, nextAt, depth
	}
	r.States = len(ways)
	return r
}

func rate(isFast bool) int64 {
	if isFast {
		return fast
	}
	return slow
}

// ttlOf is for how long a session of a holder's lasts: B's is the longer one, so that fewer steps are its renewals.
func ttlOf(owner uint8) int64 { return ttl * int64(owner) }

// begin is the state from which all is enumerated: A holds the lease and is to renew it soon, and B waits for it.
func begin(p lease.Defect) world {
	w := world{clock: 1}
	for i := range w.h {
		h, me := &w.h[i], uint8(i+1)
		h.session, h.clock = *lease.NewSession(lease.Rules{TTL: ttlOf(me), MaxClockSkew: skew}, p), 1000*int64(me) // clocks need not agree
		h.session.Next(h.clock)
		w.take(me, message{kind: grant})
		h.back = answer{}
		h.session.HandleResponse(h.clock, lease.Succeeded, uint64(me))
		h.put, h.number = me, h.session.Generation()
		w.take(me, message{kind: put, lease: me})
		if i == 0 {
			w.clock, h.clock = w.clock+2*slow, h.clock+2*slow
		}
	}
	for i := range w.h {
		w.h[i].view = w.queue
	}
	return w
}

// entitled says whether a holder holds itself entitled, whether or not it runs.
func (h *holder) entitled(me uint8) bool {
	return h.put != 0 && !h.given && h.number == h.session.Generation() && h.clock < h.session.ValidUntil() && h.view[0] == place{me, h.put}
}

// next lists what may happen.
func (w *world) next(o Options) (all []node) {
	add := func(x world, format string, args ...any) {
		all = append(all, node{w: x, step: fmt.Sprintf(format, args...)})
	}
	x := *w
	x.clock += rate(o.Store)
	x.h[0].clock += rate(o.A)
	x.h[1].clock += rate(o.B)
	add(x, "a tick")
	for i := range w.h {
		me := uint8(i + 1)
		name := string(rune('A' + i))
		h := &w.h[i]
		if h.asked.kind == none && h.session.ID() < 3 {
			x := *w
			y := &x.h[i]
			if ask, _ := y.session.Next(y.clock); ask != lease.NoRequest {
				y.try++
				m := message{kind: grant, try: y.try}
				if ask == lease.RenewRequest {
					m = message{kind: renew, try: y.try, lease: uint8(y.session.ID())}
				}
				y.asked = m
				if y.post(m) {
					add(x, "%s asks: %v", name, m)
				}
			}
		}
		if h.asked.kind != none {
			x := *w
			x.h[i].asked = message{}
			x.h[i].session.HandleResponse(x.h[i].clock, lease.OutcomeUnknown, 0)
			add(x, "%s waits no more for an answer", name)
		}
		for k, m := range h.out {
			if m.kind == none {
				continue
			}
			x := *w
			x.h[i].out[k] = message{}
			add(x, "%s's %v is lost", name, m)
			for _, twice := range []bool{false, true} {
				x := *w
				if !twice {
					x.h[i].out[k] = message{}
				}
				x.take(me, m)
				add(x, "%s's %v comes, and may come again: %v", name, m, twice)
			}
		}
		if h.back.there {
			x := *w
			x.h[i].back = answer{}
			add(x, "%s's answer is lost", name)
			x = *w
			y := &x.h[i]
			y.back = answer{}
			if y.asked.kind != none && y.asked.try == h.back.try { // one to a call that was given up is heard by nobody
				out := lease.Succeeded
				if h.back.gone {
					out = lease.SessionNotFound
				}
				y.asked = message{}
				y.session.HandleResponse(y.clock, out, uint64(h.back.lease))
			}
			add(x, "%s hears %+v", name, h.back)
		}
		if h.put == 0 && h.session.ID() != 0 && h.clock < h.session.ValidUntil() {
			x := *w
			y := &x.h[i]
			y.put, y.number, y.given = uint8(y.session.ID()), y.session.Generation(), false
			if y.post(message{kind: put, lease: y.put}) {
				add(x, "%s asks for a place", name)
			}
		}
		if h.put != 0 && h.number != h.session.Generation() {
			x := *w
			x.h[i].put = 0
			add(x, "%s finds its session gone", name)
		}
		if h.entitled(me) {
			x := *w
			y := &x.h[i]
			y.given = true
			if y.post(message{kind: remove, lease: y.put}) {
				add(x, "%s releases", name)
			}
		}
		if h.view != w.queue {
			x := *w
			x.h[i].view = w.queue
			add(x, "%s's copy is new", name)
		}
	}
	for id, l := range w.leases {
		end := l.end
		if o.Early {
			end -= fast
		}
		if l.owner != 0 && w.clock >= end {
			x := *w
			x.end(uint8(id + 1))
			add(x, "the store ends session %d", id+1)
		}
	}
	if w.leaders < 1 {
		x := *w
		x.leaders++
		for id := range x.leases {
			if x.leases[id].owner == 0 {
				continue
			}
			if o.Rest { // it never heard of the last renewals
				x.leases[id].end -= ttlOf(x.leases[id].owner) / 2
			} else {
				x.leases[id].end = x.clock + ttlOf(x.leases[id].owner)
			}
		}
		add(x, "another leads")
	}
	return all
}

// post puts a request on its way, if there is room.
func (h *holder) post(m message) bool {
	for k := range h.out {
		if h.out[k].kind == none {
			h.out[k] = m
			return true
		}
	}
	return false
}

// take has the store do a request.
func (w *world) take(from uint8, m message) {
	h := &w.h[from-1]
	switch m.kind {
	case grant:
		if int(w.last) == len(w.leases) {
			return
		}
		w.last++
		w.leases[w.last-1] = granted{from, w.clock + ttlOf(from)}
		h.back = answer{there: true, try: m.try, lease: w.last}
	case renew:
		l := &w.leases[m.lease-1]
		h.back = answer{there: true, try: m.try, gone: l.owner != from}
		if l.owner == from {
			l.end = w.clock + ttlOf(from)
		}
	case put:
		if w.leases[m.lease-1].owner != from {
			return
		}
		for k, p := range w.queue {
			if p == (place{from, m.lease}) {
				return // it is the same place
			}
			if p.owner == 0 {
				w.queue[k] = place{from, m.lease}
				return
			}
		}
	case remove:
		w.drop(place{from, m.lease})
	}
}

// end ends a session with its places.
func (w *world) end(id uint8) {
	owner := w.leases[id-1].owner
	w.leases[id-1] = granted{}
	w.drop(place{owner, id})
}

func (w *world) drop(p place) {
	k := 0
	var left [queueMax]place
	for _, x := range w.queue {
		if x != p && x.owner != 0 {
			left[k] = x
			k++
		}
	}
	w.queue = left
}
