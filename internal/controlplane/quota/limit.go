// Package quota enforces limits that hold for a whole fleet. It defines what a limit is, how a process spends its quota
// of a limit (Consumer), and how one process allocates each limit among all processes (Allocator). It does no I/O and
// reads no clock: its callers pass in instants, changes of the store, sessions and requests, and it returns decisions
// and the records to write. Of this module it may import only lease, store and stricttoml.
//
// A limit bounds the whole fleet by a rate, by an amount in any window of a given length, or by a concurrency. Each
// process has a quota of the limit and spends it without a round trip. The sum of what all processes may spend stays
// within the limit even if processes are stopped, killed, partitioned or slow (docs/design/limits.md has the proof):
//
//   - A process uses its quota only while its session is valid. By the process's own clock, the session ends before the
//     store ends it (package lease compares the rates of clocks, never their readings). The process reports its demand
//     under a key that is deleted with the session.
//   - A reduced quota counts at its previous amount until the process acknowledges the reduction.
//   - The quota of a departed process, whose session has ended, counts until the requests that the process may have
//     admitted have ended. That takes a window's length, or for a concurrency the longest duration of a request.
//   - All of this state is in the store, and each allocation is a transaction conditional on the previous one
//     (AllocationKey). An allocator with an outdated copy of the store, or a second allocator, thus changes nothing.
//
// Sources: O'Neil, The escrow transactional method (TODS 1986); Gray and Cheriton, Leases (SOSP 1989); max-min fairness
// as in Demers, Keshav and Shenker (SIGCOMM 1989).
package quota

import (
	"iter"
	"math"
	"strconv"
	"strings"
)

// Amount is an amount of requests or of cost, in millionths of the limit's Unit.
type Amount = int64

// AmountUnit is the Amount of one request, or of one millisecond of cost.
const AmountUnit Amount = 1_000_000

const nanosPerSecond = 1e9

// Kind says what a limit bounds: a rate, the amount in a window, or the amount in flight.
type Kind string

// The kinds of limits.
const (
	Rate        Kind = "rate"    // Capacity per second; a burst may spend what accrues in one Window
	Window      Kind = "window"  // Capacity in any interval of the length Window
	Concurrency Kind = "at-once" // Capacity in flight; no request lasts longer than Window
)

// Unit is what a limit counts: requests or their cost.
type Unit string

// The units.
const (
	Requests Unit = "requests"
	Cost     Unit = "cost" // the work that the client expects of its request, in ms; 1 if the client states none
)

// FallbackMode is what a process does once its session has ended because the store is unreachable.
type FallbackMode string

// The fallback modes.
const (
	Strict FallbackMode = "strict" // the process rejects all requests, so that the limit is never exceeded
	Fair   FallbackMode = "fair"   // each process may spend FallbackFraction of the limit, divided by MinProcesses
	Open   FallbackMode = "open"   // the process admits all requests
)

// Limit is one limit of the fleet. Its parts, if any, divide its capacity, such as among organisations.
type Limit struct {
	Name string `json:"name"`
	// Generation changes with Kind, Unit or Window. A quota of another generation is not a quota of this limit.
	Generation uint64 `json:"gen"`
	Kind       Kind   `json:"kind"`
	Unit       Unit   `json:"of"`
	Window     int64  `json:"span"` // nanoseconds; its meaning depends on Kind

	Fallback         FallbackMode `json:"without"`
	FallbackFraction float64      `json:"part,omitempty"`
	// FallbackTimeout is after how many nanoseconds a Fair or Open fallback becomes Strict; 0 means never.
	FallbackTimeout int64 `json:"for,omitempty"`
	// MinProcesses is the divisor of a Fair fallback: the smallest number of processes that the fleet is expected to
	// have.
	MinProcesses int `json:"hosts,omitempty"`
	// ReserveFraction is the fraction of each quota that a request of the lowest priority weight must leave free.
	ReserveFraction float64 `json:"reserve,omitempty"`

	Classes     []string `json:"classes,omitempty"` // the classes that the limit applies to; empty for all
	Paths       []string `json:"paths,omitempty"`   // prefixes of the paths that the limit applies to; empty for all
	PartitionBy []string `json:"by,omitempty"`      // one for each level of parts: header:NAME, class, or path:N
	Nodes       []Node   `json:"nodes"`             // the root first, and every node after its parent
}

// Node is the root of a limit, or a part of its parent node, such as an organisation or one of its agencies.
type Node struct {
	Path       string  `json:"path"`            // the names of the levels joined by "/"; empty for the root
	Parent     int     `json:"parent"`          // index in Limit.Nodes
	Capacity   Amount  `json:"most"`            // of the node with its parts
	Guaranteed Amount  `json:"least,omitempty"` // available to the node whenever it has demand
	Weight     float64 `json:"weight"`          // share of the demand beyond the guarantee, relative to its siblings
}

// Config holds all limits of a fleet. It is stored as JSON under ConfigKey.
type Config struct {
	Version uint64   `json:"version"`
	Limits  []*Limit `json:"limits"`
}

// Find returns the limit with the given name, or nil if there is none.
func (c *Config) Find(name string) *Limit {
	for _, l := range c.Limits {
		if l.Name == name {
			return l
		}
	}
	return nil
}

// AssignGenerations sets the version of the configuration to that after previous, and the generation of each limit. A
// limit keeps its generation if its kind, unit and window are unchanged, so that its quotas still mean the same.
func (c *Config) AssignGenerations(previous *Config) {
	c.Version = previous.Version + 1
	for _, l := range c.Limits {
		l.Generation = c.Version
		old := previous.Find(l.Name)
		if old != nil && old.Kind == l.Kind && old.Unit == l.Unit && old.Window == l.Window {
			l.Generation = old.Generation
		}
	}
}

// Key returns the key of a node in Demand.Nodes and Grant.Quotas, of the form LIMIT@GENERATION/PATH.
func (l *Limit) Key(node int) string {
	return l.Name + "@" + strconv.FormatUint(l.Generation, 10) + "/" + l.Nodes[node].Path
}

// pathToRoot yields a node and all its ancestors, the root last.
func (l *Limit) pathToRoot(node int) iter.Seq[int] {
	return func(yield func(int) bool) {
		for yield(node) && node > 0 {
			node = l.Nodes[node].Parent
		}
	}
}

// limitNameOf returns the name of the limit that a key of Limit.Key belongs to, whatever the key's generation.
func limitNameOf(key string) string {
	name, _, _ := strings.Cut(key, "@")
	return name
}

// burstOf returns how much of a quota may be spent at once: of a rate, what accrues in one Window.
func (l *Limit) burstOf(amount Amount) Amount {
	if l.Kind == Rate {
		return Amount(float64(amount) * float64(l.Window) / nanosPerSecond)
	}
	return amount
}

// minUsefulAmount returns the smallest quota that can admit a request of one unit. The burst of a smaller rate stays
// below one unit.
func (l *Limit) minUsefulAmount() Amount {
	if l.Kind == Rate {
		return max(1, Amount(math.Ceil(float64(AmountUnit)*nanosPerSecond/float64(l.Window))))
	}
	return AmountUnit
}

// linger returns for how many nanoseconds a quota counts after its process has departed.
func (l *Limit) linger() int64 {
	if l.Kind == Rate {
		return 0 // nobody can spend the process's saved tokens any more, and spent ones have been replenished
	}
	return l.Window
}

// fallbackAmount returns a process's quota of a node while the store is unreachable; 0 unless the fallback is Fair.
func (l *Limit) fallbackAmount(node int) Amount {
	if l.Fallback != Fair {
		return 0
	}
	amount := Amount(float64(l.Nodes[node].Capacity) * l.FallbackFraction / float64(max(1, l.MinProcesses)))
	return l.roundDown(amount)
}

// roundDown rounds an amount down to one that can be granted. A concurrency is granted in whole units.
func (l *Limit) roundDown(amount Amount) Amount {
	if l.Kind == Concurrency {
		return amount / AmountUnit * AmountUnit
	}
	return amount
}

// UpperBound returns the largest amount of a node, in units, that servers can receive in any interval of the given
// length in true time, while a number of unreachable processes are cut off from the store for longer than their
// sessions last. A request is sent at most maxSendDelay after it was admitted, and clocks gain at most the fraction
// skew on true time. The length and maxSendDelay are in nanoseconds. ok is false if there is no bound, as with the Open
// fallback.
func (l *Limit) UpperBound(
	node int, length, maxSendDelay int64, skew float64, unreachable int,
) (bound float64, ok bool) {
	boundOf := func(capacity float64) float64 {
		switch l.Kind {
		case Concurrency:
			return capacity
		case Rate:
			burst := capacity * float64(l.Window) / nanosPerSecond
			return burst + capacity*(1+skew)*float64(length+maxSendDelay)/nanosPerSecond
		default:
			windows := float64(length+maxSendDelay) / float64(max(1, l.Window))
			return capacity * math.Ceil(max(1, windows))
		}
	}
	capacity := float64(l.Nodes[node].Capacity) / float64(AmountUnit)
	switch {
	case unreachable == 0 || l.Fallback == Strict:
		return boundOf(capacity), true
	case l.Fallback == Open:
		return 0, false
	}
	fallback := capacity * l.FallbackFraction * float64(unreachable) / float64(max(1, l.MinProcesses))
	return boundOf(capacity) + boundOf(fallback), true
}

// FormatAmount formats an amount in units for display, with 6 significant digits.
func FormatAmount(a Amount) string {
	return strconv.FormatFloat(float64(a)/float64(AmountUnit), 'g', 6, 64)
}
