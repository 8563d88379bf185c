// Package limit decides which DNS queries are admitted, so that neither one client nor a flood under forged
// addresses can use up the capacity for all. It does no I/O, is told the time, and imports only the standard
// library.
//
// A client is verified if it came over TCP or returned a cookie of this server (RFC 7873): it can receive what is
// sent to its address. For others the rate of answers is limited by prefix (response rate limiting): queries beyond
// it are dropped, except that every so many is answered truncated and empty, so that an honest client asks again
// over TCP.
package limit

import (
	"container/list"
	"net/netip"
)

const (
	clientPrefixBits4 = 24
	clientPrefixBits6 = 56
	microsPerSecond   = 1e6
)

// Settings are the limits. All counts are at least 1, except TruncateEvery.
type Settings struct {
	MaxOpen          int     // open queries
	MaxOpenPerPrefix int     // open queries of one prefix
	UnverifiedShare  float64 // fraction of MaxOpen that queries of unverified clients may use
	AnswersPerSecond float64 // to an unverified prefix
	Burst            float64 // answers at once to an unverified prefix
	TruncateEvery    int     // of so many queries over the rate one is answered truncated; 0: none
	MaxPrefixes      int     // remembered; the least recently used is forgotten
}

// Decision says how a query is handled.
type Decision uint8

// The decisions.
const (
	Admit    Decision = iota // handle it, and call Done once it has its answer
	Shed                     // refuse it: too many queries are open
	Truncate                 // answer it truncated: it is over the rate
	Drop                     // do not answer it: it is over the rate
)

// ClientPrefix returns the network whose limits a query counts against: one party may hold all of its addresses.
func ClientPrefix(a netip.Addr) netip.Prefix {
	a = a.Unmap()
	bits := clientPrefixBits4
	if a.Is6() {
		bits = clientPrefixBits6
	}
	p, _ := a.Prefix(bits) // fails for an invalid address; all of those share the zero prefix
	return p
}

// Admission decides on queries. One goroutine at a time may use it.
type Admission struct {
	settings       Settings
	open           int
	openUnverified int // part of open
	prefixes       map[netip.Prefix]*list.Element
	byLastUse      *list.List // of *prefixState, the least recently used first
}

// prefixState is what is known about one network of clients.
type prefixState struct {
	prefix     netip.Prefix
	open       int     // queries
	tokens     float64 // answers that may be sent at once
	refilledAt int64   // microseconds
	overRate   int     // consecutive queries over the rate
}

// New returns an Admission without open queries.
func New(settings Settings) *Admission {
	return &Admission{settings: settings, prefixes: map[netip.Prefix]*list.Element{}, byLastUse: list.New()}
}

// Decide decides on a query of a client at the time now, in microseconds.
func (a *Admission) Decide(now int64, client netip.Prefix, verified bool) Decision {
	c := a.prefixState(now, client)
	if !verified && !a.takeToken(c, now) {
		if a.settings.TruncateEvery > 0 && c.overRate%a.settings.TruncateEvery == 0 {
			return Truncate
		}
		return Drop
	}
	if !a.hasCapacity(c, verified) {
		return Shed
	}
	a.open++
	c.open++
	if !verified {
		a.openUnverified++
	}
	return Admit
}

// takeToken takes an answer off a prefix's rate, and reports whether it was within the rate.
func (a *Admission) takeToken(c *prefixState, now int64) bool {
	refill := float64(now-c.refilledAt) / microsPerSecond * a.settings.AnswersPerSecond
	c.tokens = min(a.settings.Burst, c.tokens+refill)
	c.refilledAt = now
	if c.tokens < 1 {
		c.overRate++
		return false
	}
	c.tokens--
	c.overRate = 0
	return true
}

// hasCapacity reports whether another query may be open.
func (a *Admission) hasCapacity(c *prefixState, verified bool) bool {
	if a.open >= a.settings.MaxOpen || c.open >= a.settings.MaxOpenPerPrefix {
		return false
	}
	return verified || float64(a.openUnverified) < a.settings.UnverifiedShare*float64(a.settings.MaxOpen)
}

// Done records that an admitted query has its answer.
func (a *Admission) Done(client netip.Prefix, verified bool) {
	a.open--
	if !verified {
		a.openUnverified--
	}
	if e := a.prefixes[client]; e != nil {
		e.Value.(*prefixState).open--
	}
}

// Open returns the number of open queries.
func (a *Admission) Open() int { return a.open }

// Resize changes how many queries may be open.
func (a *Admission) Resize(maxOpen int) { a.settings.MaxOpen = max(1, maxOpen) }

// prefixState returns the state of a client's prefix. If too many are remembered, it forgets the least recently
// used without open queries; there is one unless every remembered prefix has an open query, and then the new query
// is shed.
func (a *Admission) prefixState(now int64, client netip.Prefix) *prefixState {
	if e := a.prefixes[client]; e != nil {
		a.byLastUse.MoveToBack(e)
		return e.Value.(*prefixState)
	}
	a.forgetUnused()
	c := &prefixState{prefix: client, tokens: a.settings.Burst, refilledAt: now}
	a.prefixes[client] = a.byLastUse.PushBack(c)
	return c
}

func (a *Admission) forgetUnused() {
	for range a.byLastUse.Len() {
		if len(a.prefixes) < max(a.settings.MaxPrefixes, a.settings.MaxOpen+1) {
			return
		}
		first := a.byLastUse.Front()
		oldest := first.Value.(*prefixState)
		if oldest.open > 0 {
			a.byLastUse.MoveToBack(first)
			continue
		}
		a.byLastUse.Remove(first)
		delete(a.prefixes, oldest.prefix)
	}
}
