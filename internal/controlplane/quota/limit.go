// Package quota is limits that hold for a whole fleet: what a limit is, how a process spends its share of one (Holder), and how one
// process divides a limit among all (Divider). It is free of I/O, clocks and chance: instants, changes of the store, sessions and
// requests come in; decisions and what is to be written come out.
//
// A limit is an amount for the fleet: so much a second, so much in any window of a length, or so many at once. A process holds a
// share of it and spends that without asking anybody. What keeps the sum of what all may spend within the limit, whatever is stopped,
// killed, cut or slow (docs/design/limits.md has the proof):
//
//   - A share is used within the entitlement of the process's session alone, which ends by its own clock before the store ends the
//     session (package lease: rates of clocks are compared, never clocks). A process tells of itself by a key that goes with the session.
//   - A share that is made smaller counts as large as it was until the process says that it goes by the smaller one.
//   - A share whose process is gone counts until what it may have begun is over: for a window its length, at once the longest that one
//     lasts.
//   - All of this is in the store, and each division is a transaction on what the last one left (TurnKey): one who divides by an old
//     copy, or beside another, changes nothing.
//
// Sources: O'Neil, The escrow transactional method (TODS 1986); Gray and Cheriton, Leases (SOSP 1989); max-min fairness as in Demers,
// Keshav and Shenker (SIGCOMM 1989).
package quota

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"birchmoor/internal/controlplane/lease"
)

// Amount is in millionths of what a limit counts.
type Amount = int64

// AmountUnit is one request, or one of whatever is counted.
const AmountUnit Amount = 1_000_000

// Kind of a limit.
type Kind string

// The kinds.
const (
	Rate        Kind = "rate"    // Most a second; Span of it may be spent at once
	Window      Kind = "window"  // Most in any time of the length Span
	Concurrency Kind = "at-once" // Most at a time, none of which lasts longer than Span
)

// Unit is what a limit counts.
type Unit string

// The measures.
const (
	Requests Unit = "requests"
	Cost     Unit = "cost" // the work that the client expects, in ms; 1 where it says nothing
)

// FallbackMode is what a process does whose share has ended because the store is out of its reach.
type FallbackMode string

// The modes.
const (
	Strict FallbackMode = "strict" // it lets nothing through: the limit is never passed
	Fair   FallbackMode = "fair"   // it goes on with Part of the limit, divided by Hosts
	Open   FallbackMode = "open"   // it lets all through
)

// Limit is one.
type Limit struct {
	Name             string       `json:"name"`
	Generation       uint64       `json:"gen"` // of what shares mean: others' shares are not of this limit
	Kind             Kind         `json:"kind"`
	Unit             Unit         `json:"of"`
	Window           int64        `json:"span"` // nanoseconds
	Fallback         FallbackMode `json:"without"`
	FallbackFraction float64      `json:"part,omitempty"`
	FallbackTimeout  int64        `json:"for,omitempty"`   // nanoseconds for which it is fair or open, and strict after; 0: for as long as it takes
	MinProcesses     int          `json:"hosts,omitempty"` // processes that there are at least, for fair
	ReserveFraction  float64      `json:"reserve,omitempty"`
	Classes          []string     `json:"classes,omitempty"` // that it is for; none: all
	Paths            []string     `json:"paths,omitempty"`   // beginnings; none: all
	PartitionBy      []string     `json:"by,omitempty"`      // what names the parts, a level each: header:NAME, class, or path:N
	Nodes            []Node       `json:"nodes"`             // the whole first, and each behind the one that it is part of
}

// Node is the whole of a limit or a part of it, such as an organisation or one of its agencies.
type Node struct {
	Path       string  `json:"path"` // names joined by "/"; empty: the whole
	Parent     int     `json:"parent"`
	Capacity   Amount  `json:"most"`
	Guaranteed Amount  `json:"least,omitempty"` // that it has whenever it wants it
	Weight     float64 `json:"weight"`          // beyond that
}

// Config is all limits of a fleet.
type Config struct {
	Version uint64   `json:"version"`
	Limits  []*Limit `json:"limits"`
}

// Bounds of a Conf.
const (
	MaxLimits          = 1024
	MaxNodes           = 4096 // of one limit
	maxPartitionLevels = 4
	maxAmount          = 1e9 // of what is counted
)

// Errors.
var (
	ErrInvalidName   = errors.New("1 to 64 of a-z, 0-9, '.', '_' and '-'")
	ErrLimitNotFound = errors.New("no such limit")
)

// Check says what is wrong with a limit, and names the key.
func (l *Limit) Check() error {
	fault := func(key, format string, args ...any) error {
		return fmt.Errorf("%s: %s", key, fmt.Sprintf(format, args...))
	}
	if lease.CheckName(l.Name) != nil {
		return fault("name", "%q: %v", l.Name, ErrInvalidName)
	}
	if len(l.Nodes) == 0 || len(l.Nodes) > MaxNodes {
		return fault("part", "%d parts are not within 1 and %d", len(l.Nodes), MaxNodes)
	}
	if l.Window < 1e6 || l.Window > 31*24*3600e9 {
		return fault("burst, window or longest", "not within 1ms and 744h")
	}
	switch l.Kind {
	case Rate:
		if l.burstOf(l.Nodes[0].Capacity) < AmountUnit {
			return fault("burst", "a burst of less than one lets nothing through")
		}
	case Window, Concurrency:
	default:
		return fault("kind", "%q is not a kind", l.Kind)
	}
	if l.Unit != Requests && l.Unit != Cost {
		return fault("of", "%q is not requests or cost", l.Unit)
	}
	switch l.Fallback {
	case Strict, Open:
	case Fair:
		if !(l.FallbackFraction > 0 && l.FallbackFraction <= 1) {
			return fault("part", "%g is not over 0, and 1 at most", l.FallbackFraction)
		}
		if l.MinProcesses < 1 {
			return fault("hosts", "is missing: by how many a limit is divided without the store")
		}
	default:
		return fault("without", "%q is not strict, fair or open", l.Fallback)
	}
	if l.FallbackTimeout < 0 || l.ReserveFraction < 0 || l.ReserveFraction > 0.5 {
		return fault("for or reserve", "out of range")
	}
	if len(l.PartitionBy) > maxPartitionLevels {
		return fault("by", "%d levels are more than %d", len(l.PartitionBy), maxPartitionLevels)
	}
	for _, by := range l.PartitionBy {
		kind, arg, _ := strings.Cut(by, ":")
		n, err := strconv.Atoi(arg)
		if by != "class" && !(kind == "header" && arg != "") && !(kind == "path" && err == nil && n >= 1 && n <= 16) {
			return fault("by", "%q is not header:NAME, class, or path:N", by)
		}
	}
	least := make([]Amount, len(l.Nodes))
	seen := map[string]bool{}
	for i, n := range l.Nodes {
		at := fmt.Sprintf("part.%q", n.Path)
		if i == 0 {
			at = "the limit"
		}
		switch {
		case (i == 0) != (n.Path == "") || i > 0 && (n.Parent < 0 || n.Parent >= i) || seen[n.Path]:
			return fault(at, "stands twice, or is part of nothing")
		case i > 0 && strings.Count(n.Path, "/") >= len(l.PartitionBy):
			return fault(at, "is of more levels than by names")
		case n.Capacity < 1 || n.Capacity > maxAmount*AmountUnit || n.Guaranteed < 0 || n.Guaranteed > n.Capacity:
			return fault(at, "most and least are out of range")
		case !(n.Weight > 0) || n.Weight > 1e6:
			return fault(at+".weight", "%g is not over 0", n.Weight)
		}
		if seen[n.Path] = true; i > 0 {
			least[n.Parent] += n.Guaranteed
		}
	}
	for i, sum := range least {
		if sum > l.Nodes[i].Capacity {
			return fault(fmt.Sprintf("part.%q", l.Nodes[i].Path), "its parts are promised %s, and it is %s", FormatAmount(sum), FormatAmount(l.Nodes[i].Capacity))
		}
	}
	return nil
}

// Check says what is wrong with all of them.
func (c *Config) Check() error {
	if len(c.Limits) > MaxLimits {
		return fmt.Errorf("%d limits are more than %d", len(c.Limits), MaxLimits)
	}
	seen := map[string]bool{}
	for _, l := range c.Limits {
		if err := l.Check(); err != nil {
			return fmt.Errorf("limit %s: %w", l.Name, err)
		}
		if seen[l.Name] {
			return fmt.Errorf("limit %s: stands twice", l.Name)
		}
		seen[l.Name] = true
	}
	return nil
}

// AssignGenerations numbers what changes the meaning of shares, against the limits that were in force before.
func (c *Config) AssignGenerations(was *Config) {
	c.Version = was.Version + 1
	for _, l := range c.Limits {
		l.Generation = c.Version
		if o := was.Find(l.Name); o != nil && o.Kind == l.Kind && o.Unit == l.Unit && o.Window == l.Window {
			l.Generation = o.Generation
		}
	}
}

// Find is the limit of a name, or nil.
func (c *Config) Find(name string) *Limit {
	for _, l := range c.Limits {
		if l.Name == name {
			return l
		}
	}
	return nil
}

// Key is that of a node's share: what is granted and told goes by it.
func (l *Limit) Key(node int) string {
	return l.Name + "@" + strconv.FormatUint(l.Generation, 10) + "/" + l.Nodes[node].Path
}

// limitNameOf is the limit that a key is of, of whatever generation.
func limitNameOf(key string) string {
	name, _, _ := strings.Cut(key, "@")
	return name
}

// burstOf is how much of a share may be spent at once.
func (l *Limit) burstOf(share Amount) Amount {
	if l.Kind == Rate {
		return Amount(float64(share) * float64(l.Window) / 1e9)
	}
	return share
}

// minUseful is the least share by which one request ever gets through.
func (l *Limit) minUseful() Amount {
	if l.Kind == Rate {
		return max(1, Amount(math.Ceil(float64(AmountUnit)*1e9/float64(l.Window))))
	}
	return AmountUnit
}

// linger is for how long a share counts whose process is gone.
func (l *Limit) linger() int64 {
	if l.Kind == Rate {
		return 0 // what was not spent is gone with it, and what was counts as any
	}
	return l.Window
}

// UpperBound is the most that servers see in any true time of a length, in nanoseconds, when so many processes are out of the store's reach
// for longer than their sessions last. A request is sent `late` after it was let through at most; clocks gain skew on true time at most.
// ok is false where there is none.
func (l *Limit) UpperBound(node int, length, late int64, skew float64, away int) (most float64, ok bool) {
	base := func(of float64) float64 {
		if l.Kind == Rate {
			return of*float64(l.Window)/1e9 + of*(1+skew)*float64(length+late)/1e9
		}
		return of * math.Ceil(max(1, float64(length+late)/float64(max(1, l.Window))))
	}
	of := float64(l.Nodes[node].Capacity) / float64(AmountUnit)
	if l.Kind == Concurrency {
		base = func(of float64) float64 { return of }
	}
	switch {
	case away == 0 || l.Fallback == Strict:
		return base(of), true
	case l.Fallback == Open:
		return 0, false
	}
	return base(of) + base(of*l.FallbackFraction*float64(away)/float64(max(l.MinProcesses, away))), true
}

// FormatAmount is an amount for people.
func FormatAmount(a Amount) string {
	return strconv.FormatFloat(float64(a)/float64(AmountUnit), 'g', 6, 64)
}
