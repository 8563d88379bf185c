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
	MaxOpen          int     // queries open at once
	MaxOpenPerPrefix int     // of one prefix
	UnverifiedShare  float64 // part of Open that queries of unproven addresses may take
	AnswersPerSecond float64 // answers a second to an unproven prefix
	Burst            float64 // and at once, after a quiet time
	TruncateEvery    int     // of so many queries over the rate one is answered truncated; 0: none
	MaxPrefixes      int     // remembered at once; those that were quiet for longest are forgotten
}

// Decision is what becomes of a query.
type Decision uint8

// The verdicts.
const (
	Admit    Decision = iota // Done is owed
	Shed                     // no room: refuse it
	Truncate                 // over the rate: answer truncated
	Drop                     // over the rate: say nothing
)

// ClientPrefix is whom a query counts for: the addresses of one network, since one party may hold them all.
func ClientPrefix(a netip.Addr) netip.Prefix {
	a = a.Unmap()
	bits := 24
	if a.Is6() {
		bits = 56
	}
	p, _ := a.Prefix(bits) // fails for what is no address alone, and then is one prefix
	return p
}

// Admission counts what is open and what was answered.
type Admission struct {
	settings       Settings
	open           int
	openUnverified int // of open
	prefixes       map[netip.Prefix]*list.Element
	byLastUse      *list.List // *state, the one quiet for longest first
}

type prefixState struct {
	prefix     netip.Prefix
	open       int
	tokens     float64
	refilledAt int64
	overRate   int // queries over the rate since the last that slipped
}

// New returns a gate with nothing open.
func New(s Settings) *Admission {
	return &Admission{settings: s, prefixes: map[netip.Prefix]*list.Element{}, byLastUse: list.New()}
}

// Decide decides on a query of a client that comes now, in microseconds.
func (g *Admission) Decide(now int64, client netip.Prefix, proven bool) Decision {
	c := g.prefixState(now, client)
	if !proven {
		c.tokens = min(g.settings.Burst, c.tokens+float64(now-c.refilledAt)/1e6*g.settings.AnswersPerSecond)
		c.refilledAt = now
		if c.tokens < 1 {
			if c.overRate++; g.settings.TruncateEvery > 0 && c.overRate%g.settings.TruncateEvery == 0 {
				return Truncate
			}
			return Drop
		}
		c.tokens--
		c.overRate = 0
	}
	if g.open >= g.settings.MaxOpen || c.open >= g.settings.MaxOpenPerPrefix || !proven && float64(g.openUnverified) >= g.settings.UnverifiedShare*float64(g.settings.MaxOpen) {
		return Shed
	}
	g.open++
	c.open++
	if !proven {
		g.openUnverified++
	}
	return Admit
}

// Done tells that a query that was taken has its answer.
func (g *Admission) Done(client netip.Prefix, proven bool) {
	g.open--
	if !proven {
		g.openUnverified--
	}
	if e := g.prefixes[client]; e != nil {
		e.Value.(*prefixState).open--
	}
}

// Open is how many queries are open.
func (g *Admission) Open() int { return g.open }

// Resize changes how many queries may be open.
func (g *Admission) Resize(open int) { g.settings.MaxOpen = max(1, open) }

// prefixState returns what is known of a client, and forgets another where the table is full. One with open queries is not
// forgotten: there are fewer of those than the table has places, or the query is shed anyway.
func (g *Admission) prefixState(now int64, client netip.Prefix) *prefixState {
	if e := g.prefixes[client]; e != nil {
		g.byLastUse.MoveToBack(e)
		return e.Value.(*prefixState)
	}
	for range g.byLastUse.Len() {
		if len(g.prefixes) < max(g.settings.MaxPrefixes, g.settings.MaxOpen+1) {
			break
		}
		first := g.byLastUse.Front()
		if old := first.Value.(*prefixState); old.open == 0 {
			g.byLastUse.Remove(first)
			delete(g.prefixes, old.prefix)
		} else {
			g.byLastUse.MoveToBack(first)
		}
	}
	c := &prefixState{prefix: client, tokens: g.settings.Burst, refilledAt: now}
	g.prefixes[client] = g.byLastUse.PushBack(c)
	return c
}
