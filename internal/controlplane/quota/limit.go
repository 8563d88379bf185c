// Package quota enforces limits that hold for a whole fleet: what a limit is, how a process spends its quota of one
// (Consumer), and how one process allocates each limit among all (Allocator). It does no I/O and reads no clock:
// instants, changes of the store, sessions and requests come in; decisions and the records to write come out. Of this
// module it may import lease, store and stricttoml alone.
//
// A limit is an amount for the fleet: a rate, an amount in any window of a length, or a concurrency. A process has a
// quota of it and spends that without a round trip. The sum of what all processes may spend stays within the limit
// whatever is stopped, killed, partitioned or slow (docs/design/limits.md has the proof):
//
//   - A quota is used only while the process's session is valid, which ends by the process's own clock before the
//     store ends the session (package lease compares rates of clocks, never clocks). A process reports its demand
//     under a key that is deleted with the session.
//   - A reduced quota counts at its previous amount until the process acknowledges the reduction.
//   - The quota of a process that is gone counts until the requests that it may have admitted are over: a window's
//     length, or for a concurrency the longest that a request lasts.
//   - All of this is in the store, and each allocation is a transaction conditional on the previous one
//     (AllocationKey): an allocator with an old copy, or beside another, changes nothing.
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

// Amount is in millionths of what a limit counts.
type Amount = int64

// AmountUnit is one request, or one of whatever is counted.
const AmountUnit Amount = 1_000_000

const nanosPerSecond = 1e9

// Kind says how a limit bounds what it counts.
type Kind string

// The kinds of limits.
const (
	Rate        Kind = "rate"    // Capacity a second; the rate of one Window may be spent at once
	Window      Kind = "window"  // Capacity in any time of the length Window
	Concurrency Kind = "at-once" // Capacity at a time; no request lasts longer than Window
)

// Unit is what a limit counts.
type Unit string

// The units.
const (
	Requests Unit = "requests"
	Cost     Unit = "cost" // the work that the client expects, in ms; 1 where it gives none
)

// FallbackMode is what a process does once its session has ended because the store is unreachable.
type FallbackMode string

// The fallback modes.
const (
	Strict FallbackMode = "strict" // rejects all: the limit is never exceeded
	Fair   FallbackMode = "fair"   // goes on with FallbackFraction of the limit, divided by MinProcesses
	Open   FallbackMode = "open"   // admits all
)

// Limit is one limit of the fleet, with its parts.
type Limit struct {
	Name string `json:"name"`
	// Generation changes with the meaning of quotas: those of another generation are not of this limit.
	Generation uint64 `json:"gen"`
	Kind       Kind   `json:"kind"`
	Unit       Unit   `json:"of"`
	Window     int64  `json:"span"` // nanoseconds; its meaning depends on Kind

	Fallback         FallbackMode `json:"without"`
	FallbackFraction float64      `json:"part,omitempty"`
	// FallbackTimeout in nanoseconds: a Fair or Open fallback becomes Strict after it; 0: never.
	FallbackTimeout int64   `json:"for,omitempty"`
	MinProcesses    int     `json:"hosts,omitempty"` // least number of processes in the fleet, for Fair
	ReserveFraction float64 `json:"reserve,omitempty"`

	Classes     []string `json:"classes,omitempty"` // that the limit applies to; none: all
	Paths       []string `json:"paths,omitempty"`   // prefixes that it applies to; none: all
	PartitionBy []string `json:"by,omitempty"`      // one per level of parts: header:NAME, class, or path:N
	Nodes       []Node   `json:"nodes"`             // the root first, and every node after its parent
}

// Node is the root of a limit, or a part of its parent, such as an organisation or one of its agencies.
type Node struct {
	Path       string  `json:"path"` // names joined by "/"; empty: the root
	Parent     int     `json:"parent"`
	Capacity   Amount  `json:"most"`
	Guaranteed Amount  `json:"least,omitempty"` // available whenever there is demand
	Weight     float64 `json:"weight"`          // of demand beyond the guarantee
}

// Config is all limits of a fleet.
type Config struct {
	Version uint64   `json:"version"`
	Limits  []*Limit `json:"limits"`
}

// Find returns the limit of a name, or nil.
func (c *Config) Find(name string) *Limit {
	for _, l := range c.Limits {
		if l.Name == name {
			return l
		}
	}
	return nil
}

// AssignGenerations numbers the configuration as the successor of previous. A limit keeps its generation unless a
// quota of it has another meaning now.
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

// Key returns the key of a node in Demand.Nodes and Grant.Quotas.
func (l *Limit) Key(node int) string {
	return l.Name + "@" + strconv.FormatUint(l.Generation, 10) + "/" + l.Nodes[node].Path
}

// pathToRoot yields a node and all above it, the root last.
func (l *Limit) pathToRoot(node int) iter.Seq[int] {
	return func(yield func(int) bool) {
		for yield(node) && node > 0 {
			node = l.Nodes[node].Parent
		}
	}
}

// limitNameOf returns the name of the limit that a key belongs to, of whatever generation.
func limitNameOf(key string) string {
	name, _, _ := strings.Cut(key, "@")
	return name
}

// burstOf returns how much of a quota may be spent at once.
func (l *Limit) burstOf(amount Amount) Amount {
	if l.Kind == Rate {
		return Amount(float64(amount) * float64(l.Window) / nanosPerSecond)
	}
	return amount
}

// minUseful returns the smallest quota by which a request is ever admitted.
func (l *Limit) minUseful() Amount {
	if l.Kind == Rate {
		return max(1, Amount(math.Ceil(float64(AmountUnit)*nanosPerSecond/float64(l.Window))))
	}
	return AmountUnit
}

// linger returns for how many nanoseconds a quota counts after its process is gone.
func (l *Limit) linger() int64 {
	if l.Kind == Rate {
		return 0 // unspent tokens are gone with the process, and spent ones are past
	}
	return l.Window
}

// fallbackAmount returns a process's quota of a node while the store is unreachable.
func (l *Limit) fallbackAmount(node int) Amount {
	if l.Fallback != Fair {
		return 0
	}
	amount := Amount(float64(l.Nodes[node].Capacity) * l.FallbackFraction / float64(max(1, l.MinProcesses)))
	return l.roundDown(amount)
}

// roundDown rounds an amount down to one that can be granted: a concurrency is granted in whole units.
func (l *Limit) roundDown(amount Amount) Amount {
	if l.Kind == Concurrency {
		return amount / AmountUnit * AmountUnit
	}
	return amount
}

// UpperBound returns the most of a node, in units, that servers see in any true time of a length while a number of
// processes are cut off from the store for longer than their sessions last. A request is sent at most maxSendDelay
// after it was admitted; clocks gain at most skew on true time. Length and maxSendDelay are in nanoseconds. It
// returns false if there is no bound.
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

// FormatAmount formats an amount for people.
func FormatAmount(a Amount) string {
	return strconv.FormatFloat(float64(a)/float64(AmountUnit), 'g', 6, 64)
}
