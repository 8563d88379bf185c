// Package limit decides which DNS queries are admitted, so that neither a single client nor a flood from forged
// addresses can use up the capacity for all clients. It does no I/O, takes the time as a parameter, and imports only
// the standard library.
//
// A client is verified if it sent the query over TCP or returned a cookie of this server (RFC 7873): it has then shown
// that it receives what is sent to its address. For unverified clients the rate of answers is limited by prefix
// (response rate limiting). Queries over the rate are dropped, except for a fraction that is answered truncated and
// empty, so that a genuine client sends its query again over TCP.
package limit

import (
	"container/list"
	"net/netip"
)

const (
	clientPrefixBitsIPv4 = 24
	clientPrefixBitsIPv6 = 56
	microsPerSecond      = 1e6
)

// Settings are the limits. All counts must be at least 1, except TruncateEvery.
type Settings struct {
	MaxOpen          int     // open queries of all clients
	MaxOpenPerPrefix int     // open queries of one prefix
	UnverifiedShare  float64 // maximum fraction of MaxOpen for the queries of unverified clients
	AnswersPerSecond float64 // rate of answers to the unverified clients of one prefix
	Burst            float64 // maximum answers at once to the unverified clients of one prefix
	TruncateEvery    int     // one of this many consecutive queries over the rate is answered truncated; 0 for none
	MaxPrefixes      int     // prefixes whose state is stored, unless MaxOpen requires more
}

// Decision says how a query is handled.
type Decision uint8

// Decisions on a query.
const (
	Admit    Decision = iota // handle the query, and call Done once it has its answer
	Shed                     // reject the query: too many queries are open
	Truncate                 // answer the query truncated and empty: it is over the rate
	Drop                     // do not answer the query: it is over the rate
)

// ClientPrefix returns the prefix of a client, against whose limits its queries count. Addresses are not counted one by
// one, since a single client may have all addresses of its prefix.
func ClientPrefix(addr netip.Addr) netip.Prefix {
	addr = addr.Unmap()
	bits := clientPrefixBitsIPv4
	if addr.Is6() {
		bits = clientPrefixBitsIPv6
	}
	prefix, _ := addr.Prefix(bits) // fails for an invalid address; all invalid addresses share the zero prefix
	return prefix
}

// Admission decides on queries and counts the open ones. Only one goroutine at a time may use it.
type Admission struct {
	settings              Settings
	openQueries           int
	openUnverifiedQueries int // those of unverified clients; included in openQueries
	prefixes              map[netip.Prefix]*list.Element
	byLastUse             *list.List // of *prefixState, the least recently used one first
}

// prefixState is the state of one client prefix.
type prefixState struct {
	prefix           netip.Prefix
	openQueries      int
	tokens           float64 // answers to unverified clients that may be sent now
	refilledAtMicros int64   // when tokens was last refilled
	queriesOverRate  int     // consecutive queries over the rate, up to the latest one
}

// New returns an Admission without open queries.
func New(settings Settings) *Admission {
	return &Admission{settings: settings, prefixes: map[netip.Prefix]*list.Element{}, byLastUse: list.New()}
}

// Decide decides on a query of a client. nowMicros must not decrease from call to call.
func (a *Admission) Decide(nowMicros int64, client netip.Prefix, verified bool) Decision {
	state := a.prefixState(nowMicros, client)
	if !verified && !a.takeToken(state, nowMicros) {
		if a.settings.TruncateEvery > 0 && state.queriesOverRate%a.settings.TruncateEvery == 0 {
			return Truncate
		}
		return Drop
	}
	if !a.hasCapacity(state, verified) {
		return Shed
	}
	a.openQueries++
	state.openQueries++
	if !verified {
		a.openUnverifiedQueries++
	}
	return Admit
}

// takeToken takes the token for an answer to a prefix. It returns false if there is none: the query is over the rate.
func (a *Admission) takeToken(state *prefixState, nowMicros int64) bool {
	refill := float64(nowMicros-state.refilledAtMicros) / microsPerSecond * a.settings.AnswersPerSecond
	state.tokens = min(a.settings.Burst, state.tokens+refill)
	state.refilledAtMicros = nowMicros
	if state.tokens < 1 {
		state.queriesOverRate++
		return false
	}
	state.tokens--
	state.queriesOverRate = 0
	return true
}

// hasCapacity reports whether another query of a prefix may be open.
func (a *Admission) hasCapacity(state *prefixState, verified bool) bool {
	if a.openQueries >= a.settings.MaxOpen || state.openQueries >= a.settings.MaxOpenPerPrefix {
		return false
	}
	return verified || float64(a.openUnverifiedQueries) < a.settings.UnverifiedShare*float64(a.settings.MaxOpen)
}

// Done records that an admitted query has its answer. The arguments must be those of its Decide.
func (a *Admission) Done(client netip.Prefix, verified bool) {
	a.openQueries--
	if !verified {
		a.openUnverifiedQueries--
	}
	if element := a.prefixes[client]; element != nil {
		element.Value.(*prefixState).openQueries--
	}
}

// OpenQueries returns the number of admitted queries for which Done has not been called.
func (a *Admission) OpenQueries() int { return a.openQueries }

// Resize sets the maximum number of open queries to maxOpen, but at least 1. Queries over it stay open.
func (a *Admission) Resize(maxOpen int) { a.settings.MaxOpen = max(1, maxOpen) }

// prefixState returns the state of a client's prefix. For a new prefix it first makes room by forgetUnused. That fails
// only if each stored prefix has an open query, and the new query is then shed.
func (a *Admission) prefixState(nowMicros int64, client netip.Prefix) *prefixState {
	if element := a.prefixes[client]; element != nil {
		a.byLastUse.MoveToBack(element)
		return element.Value.(*prefixState)
	}
	a.forgetUnused()
	state := &prefixState{prefix: client, tokens: a.settings.Burst, refilledAtMicros: nowMicros}
	a.prefixes[client] = a.byLastUse.PushBack(state)
	return state
}

// forgetUnused removes the least recently used prefixes without open queries until another one may be stored.
func (a *Admission) forgetUnused() {
	for range a.byLastUse.Len() {
		if len(a.prefixes) < max(a.settings.MaxPrefixes, a.settings.MaxOpen+1) {
			return
		}
		element := a.byLastUse.Front()
		oldest := element.Value.(*prefixState)
		if oldest.openQueries > 0 {
			a.byLastUse.MoveToBack(element)
			continue
		}
		a.byLastUse.Remove(element)
		delete(a.prefixes, oldest.prefix)
	}
}
