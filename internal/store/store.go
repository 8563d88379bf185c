// Package store is the state machine of the replicated store: an ordered map of keys under one revision counter, with
// transactions, range reads, a history that watches read from, leases, and the members of the cluster.
//
// It is free of I/O, clocks and randomness: a State changes only through Apply, and equal commands in an equal order
// produce equal states on every replica, byte for byte in what Save writes. Package replica orders the commands. Apart
// from the standard library the package imports only a B-tree and CBOR.
//
// Everything that the state retains is bounded. A request for what was dropped gets an error that says so
// (CompactedError, ErrRequestExpired, ErrFull), and never a wrong answer.
package store

import (
	"fmt"
	"slices"

	"github.com/google/btree"
)

// Limits bound a state. They belong to the cluster: Apply decides by them, so that all replicas have the same.
type Limits struct {
	KeyBytes      int `cbor:"1,keyasint"`
	ValueBytes    int `cbor:"2,keyasint"`
	TotalBytes    int `cbor:"3,keyasint"` // of all keys and values, with their overhead
	TxnOps        int `cbor:"4,keyasint"` // comparisons, or operations, of a transaction
	HistoryEvents int `cbor:"5,keyasint"` // retained for watches
	HistoryBytes  int `cbor:"6,keyasint"`
	Leases        int `cbor:"7,keyasint"`
	Results       int `cbor:"8,keyasint"` // cached for retries of requests
	Members       int `cbor:"9,keyasint"`
}

// DefaultLimits are those of a new cluster.
var DefaultLimits = Limits{
	KeyBytes:      512,
	ValueBytes:    1 << 20,
	TotalBytes:    256 << 20,
	TxnOps:        128,
	HistoryEvents: 65536,
	HistoryBytes:  32 << 20,
	Leases:        16384,
	Results:       65536,
	Members:       9,
}

// validate returns an error that names the first limit out of range.
func (l *Limits) validate() error {
	for _, limit := range []struct {
		name       string
		value, max int
	}{
		{"key", l.KeyBytes, 1 << 16},
		{"value", l.ValueBytes, maxCommandBytes / 2},
		{"total", l.TotalBytes, 1 << 36},
		{"ops", l.TxnOps, 1 << 12},
		{"events", l.HistoryEvents, 1 << 24},
		{"history", l.HistoryBytes, 1 << 36},
		{"leases", l.Leases, 1 << 24},
		{"results", l.Results, 1 << 24},
		{"members", l.Members, 64},
	} {
		if limit.value < 1 || limit.value > limit.max {
			return fmt.Errorf("limit %q is %d, and must be from 1 to %d", limit.name, limit.value, limit.max)
		}
	}
	return nil
}

// Item is a key with its value.
type Item struct {
	Key            string `cbor:"1,keyasint" json:"key"`
	Value          []byte `cbor:"2,keyasint" json:"value"`
	CreateRevision uint64 `cbor:"3,keyasint" json:"created"`
	ModRevision    uint64 `cbor:"4,keyasint" json:"modified"`                  // of the last put
	Version        uint64 `cbor:"5,keyasint" json:"version"`                   // puts since CreateRevision
	LeaseID        uint64 `cbor:"6,keyasint,omitempty" json:"lease,omitempty"` // whose end deletes the key, or 0
}

const itemOverheadBytes = 64 // of memory, besides key and value

// size returns the bytes that the item counts for.
func (i *Item) size() int { return len(i.Key) + len(i.Value) + itemOverheadBytes }

// State is the replicated state. It is for one goroutine; another may read a Clone.
type State struct {
	limits   Limits
	cluster  uint64
	revision uint64
	level    uint64 // of commands that every member knows
	index    uint64 // of the last command applied
	size     int    // bytes of all items
	items    *btree.BTreeG[*Item]
	leases   map[uint64]*lease
	lastID   uint64 // of a lease or a member; none is reused
	members  []Member
	history  ring[Event]
	results  results
	onEvent  func(Event) // is called with every event, unless nil
	subset   *subset     // what a partial copy holds; nil: the state is complete
}

func byKey(a, b *Item) bool { return a.Key < b.Key }

// New returns an empty state of a cluster at revision 0.
func New(cluster uint64, limits Limits) *State {
	const btreeDegree = 32
	return &State{
		limits:  limits,
		cluster: cluster,
		level:   levelInitial,
		items:   btree.NewG(btreeDegree, byKey),
		leases:  map[uint64]*lease{},
	}
}

// Cluster returns the number that identifies the cluster.
func (s *State) Cluster() uint64 { return s.cluster }

// Revision returns the number of transactions that changed a key.
func (s *State) Revision() uint64 { return s.revision }

// Index returns the index of the last command applied.
func (s *State) Index() uint64 { return s.index }

// Level returns the level of commands that every member knows.
func (s *State) Level() uint64 { return s.level }

// Size returns the bytes of keys and values, with their overhead.
func (s *State) Size() int { return s.size }

// Len returns the number of keys.
func (s *State) Len() int { return s.items.Len() }

// Limits returns the limits of the cluster.
func (s *State) Limits() Limits { return s.limits }

// LastID returns the highest ID that a lease or a member was given.
func (s *State) LastID() uint64 { return s.lastID }

// Get returns an item. Its value must not be modified.
func (s *State) Get(key string) (Item, bool) {
	s.subset.track(Interest{Keys: []string{key}})
	i, ok := s.items.Get(&Item{Key: key})
	if !ok {
		return Item{}, false
	}
	return *i, true
}

// Range calls f with the items from a key up to but not including end, in order, until f returns false. An empty end is
// the end of all keys. The values must not be modified.
func (s *State) Range(from, end string, f func(Item) bool) {
	s.subset.track(rangeInterest(from, end))
	s.ascend(from, end, func(i *Item) bool { return f(*i) })
}

// ascend is Range without tracking.
func (s *State) ascend(from, end string, each func(*Item) bool) {
	if end == "" {
		s.items.AscendGreaterOrEqual(&Item{Key: from}, each)
		return
	}
	s.items.AscendRange(&Item{Key: from}, &Item{Key: end}, each)
}

// PrefixEnd returns the exclusive end of the range of all keys with a prefix, or "" if there is none.
func PrefixEnd(prefix string) string {
	b := []byte(prefix)
	for i := len(b) - 1; i >= 0; i-- {
		if b[i] < 0xff {
			b[i]++
			return string(b[:i+1])
		}
	}
	return ""
}

// PrefixSize is the number of keys of a range, and the bytes of the keys and their values, with their overhead.
type PrefixSize struct {
	Keys  int `json:"keys"`
	Bytes int `json:"bytes"`
}

// PrefixSize counts the keys with a prefix.
func (s *State) PrefixSize(prefix string) PrefixSize {
	var size PrefixSize
	s.ascend(prefix, PrefixEnd(prefix), func(i *Item) bool {
		size.Keys++
		size.Bytes += i.size()
		return true
	})
	return size
}

// Clone returns a copy of the state for reading and saving by another goroutine. It is cheap: the items are shared
// until either state changes. The copy cannot end leases, and finds no cached results.
func (s *State) Clone() *State {
	c := *s
	c.items, c.onEvent = s.items.Clone(), nil
	if s.subset != nil {
		c.subset = &subset{interest: s.subset.interest}
	}
	c.members = slices.Clone(s.members)
	c.history, c.results = s.history.clone(), s.results.clone()
	c.leases = make(map[uint64]*lease, len(s.leases))
	for id, l := range s.leases {
		c.leases[id] = &lease{Lease: l.Lease}
	}
	return &c
}
