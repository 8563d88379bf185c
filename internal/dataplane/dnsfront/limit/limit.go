// Package limit decides which DNS queries are taken, so that neither one client nor a flood under forged addresses takes
// the room of the others. It does no I/O and is told the time; one goroutine at a time may use a Gate.
//
// An address that came over TCP or showed a cookie of ours (RFC 7873) is proven: it can receive what we send. To others
// the rate of answers is limited by prefix, as in response-rate limiting: beyond it queries are dropped, but each so many
// is answered truncated and empty, so that an honest client behind the prefix comes again by TCP.
package limit

import (
	"container/list"
	"net/netip"
)

// Settings are the bounds. All counts are at least 1 but for Slip.
type Settings struct {
	Open      int     // queries open at once
	PerClient int     // of one prefix
	Unproven  float64 // part of Open that queries of unproven addresses may take
	Rate      float64 // answers a second to an unproven prefix
	Burst     float64 // and at once, after a quiet time
	Slip      int     // of so many queries over the rate one is answered truncated; 0: none
	Prefixes  int     // remembered at once; those that were quiet for longest are forgotten
}

// Verdict is what becomes of a query.
type Verdict uint8

// The verdicts.
const (
	Take Verdict = iota // Done is owed
	Shed                // no room: refuse it
	Slip                // over the rate: answer truncated
	Drop                // over the rate: say nothing
)

// Client is whom a query counts for: the addresses of one network, since one party may hold them all.
func Client(a netip.Addr) netip.Prefix {
	a = a.Unmap()
	bits := 24
	if a.Is6() {
		bits = 56
	}
	p, _ := a.Prefix(bits) // fails for what is no address alone, and then is one prefix
	return p
}

// Gate counts what is open and what was answered.
type Gate struct {
	s        Settings
	open     int
	unproven int // of open
	seen     map[netip.Prefix]*list.Element
	order    *list.List // *state, the one quiet for longest first
}

type state struct {
	prefix netip.Prefix
	open   int
	tokens float64
	at     int64
	over   int // queries over the rate since the last that slipped
}

// New returns a gate with nothing open.
func New(s Settings) *Gate {
	return &Gate{s: s, seen: map[netip.Prefix]*list.Element{}, order: list.New()}
}

// Ask decides on a query of a client that comes now, in microseconds.
func (g *Gate) Ask(now int64, client netip.Prefix, proven bool) Verdict {
	c := g.state(now, client)
	if !proven {
		c.tokens = min(g.s.Burst, c.tokens+float64(now-c.at)/1e6*g.s.Rate)
		c.at = now
		if c.tokens < 1 {
			if c.over++; g.s.Slip > 0 && c.over%g.s.Slip == 0 {
				return Slip
			}
			return Drop
		}
		c.tokens--
		c.over = 0
	}
	if g.open >= g.s.Open || c.open >= g.s.PerClient || !proven && float64(g.unproven) >= g.s.Unproven*float64(g.s.Open) {
		return Shed
	}
	g.open++
	c.open++
	if !proven {
		g.unproven++
	}
	return Take
}

// Done tells that a query that was taken has its answer.
func (g *Gate) Done(client netip.Prefix, proven bool) {
	g.open--
	if !proven {
		g.unproven--
	}
	if e := g.seen[client]; e != nil {
		e.Value.(*state).open--
	}
}

// Open is how many queries are open.
func (g *Gate) Open() int { return g.open }

// Resize changes how many queries may be open.
func (g *Gate) Resize(open int) { g.s.Open = max(1, open) }

// state returns what is known of a client, and forgets another where the table is full. One with open queries is not
// forgotten: there are fewer of those than the table has places, or the query is shed anyway.
func (g *Gate) state(now int64, client netip.Prefix) *state {
	if e := g.seen[client]; e != nil {
		g.order.MoveToBack(e)
		return e.Value.(*state)
	}
	for range g.order.Len() {
		if len(g.seen) < max(g.s.Prefixes, g.s.Open+1) {
			break
		}
		first := g.order.Front()
		if old := first.Value.(*state); old.open == 0 {
			g.order.Remove(first)
			delete(g.seen, old.prefix)
		} else {
			g.order.MoveToBack(first)
		}
	}
	c := &state{prefix: client, tokens: g.s.Burst, at: now}
	g.seen[client] = g.order.PushBack(c)
	return c
}
