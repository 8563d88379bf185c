// Package store is the state machine of the replicated store: an ordered map of keys under one revision counter, with
// transactions, range reads, a history that watches read from, leases, and the members of the cluster.
//
// The package does no I/O and uses no clock and no random source. A State changes only through Apply, so that equal
// commands in an equal order produce equal states on every replica; Save writes equal states as equal bytes. Package
// replica orders the commands. Apart from the standard library the package imports only a B-tree and CBOR.
//
// Everything that the state retains is bounded. A request that exceeds a bound, or that needs data already dropped,
// fails with an error that says so (CompactedError, ErrRequestExpired, ErrFull); it never gets a wrong answer.
package store

import (
	"fmt"
	"slices"

	"github.com/google/btree"
)

// Limits bound the size of a state. They are fixed when the cluster is founded and are the same on all replicas,
// because the outcome of Apply depends on them.
type Limits struct {
	KeyBytes      int `cbor:"1,keyasint"`
	ValueBytes    int `cbor:"2,keyasint"`
	TotalBytes    int `cbor:"3,keyasint"` // size of all items, with itemOverheadBytes for each
	TxnOps        int `cbor:"4,keyasint"` // comparisons, operations or key limits of a transaction, each
	HistoryEvents int `cbor:"5,keyasint"` // events retained for watches
	HistoryBytes  int `cbor:"6,keyasint"`
	Leases        int `cbor:"7,keyasint"`
	Results       int `cbor:"8,keyasint"` // outcomes cached for retries of requests
	Members       int `cbor:"9,keyasint"`
}

// DefaultLimits are the limits of a new cluster for which none are configured.
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

// validate returns an error that names the first limit out of range, or nil.
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
			return fmt.Errorf("limit %q is %d, but must be from 1 to %d", limit.name, limit.value, limit.max)
		}
	}
	return nil
}

// Item is a key with its value and the revisions at which it changed.
type Item struct {
	Key            string `cbor:"1,keyasint" json:"key"`
	Value          []byte `cbor:"2,keyasint" json:"value"`
	CreateRevision uint64 `cbor:"3,keyasint" json:"created"`
	ModRevision    uint64 `cbor:"4,keyasint" json:"modified"`                  // revision of the last put
	Version        uint64 `cbor:"5,keyasint" json:"version"`                   // number of puts since the creation
	LeaseID        uint64 `cbor:"6,keyasint,omitempty" json:"lease,omitempty"` // its end deletes the key; 0: no lease
}

// itemOverheadBytes approximates the memory that an item takes besides its key and value.
const itemOverheadBytes = 64

// size returns the bytes that the item counts toward Limits.TotalBytes and Limits.HistoryBytes.
func (i *Item) size() int { return len(i.Key) + len(i.Value) + itemOverheadBytes }

// State is the replicated state. It is not safe for concurrent use; another goroutine may read a Clone.
type State struct {
	limits   Limits
	cluster  uint64
	revision uint64
	level    uint64 // highest level of commands that is enabled
	index    uint64 // log index of the last entry applied
	size     int    // bytes of all items
	items    *btree.BTreeG[*Item]
	leases   map[uint64]*lease
	lastID   uint64 // last ID assigned to a lease or a member; IDs are never reused
	members  []Member
	history  ring[Event]
	results  results
	onEvent  func(Event) // called with every event, unless nil
	subset   *subset     // describes a partial copy; nil: the state is complete
}

func lessByKey(a, b *Item) bool { return a.Key < b.Key }

// New returns an empty state at revision 0 of the cluster with that number.
func New(cluster uint64, limits Limits) *State {
	const btreeDegree = 32
	return &State{
		limits:  limits,
		cluster: cluster,
		level:   levelInitial,
		items:   btree.NewG(btreeDegree, lessByKey),
		leases:  map[uint64]*lease{},
	}
}

// Cluster returns the number that identifies the cluster to which the state belongs.
func (s *State) Cluster() uint64 { return s.cluster }

// Revision returns the current revision. Each transaction that changes a key, and the end of each lease that has keys,
// advances it by one; Reinitialize may raise it further.
func (s *State) Revision() uint64 { return s.revision }

// Index returns the log index of the last entry applied.
func (s *State) Index() uint64 { return s.index }

// Level returns the highest level of commands that the cluster has enabled. The builds of all members know these
// commands.
func (s *State) Level() uint64 { return s.level }

// Size returns the bytes of all keys and values, with a fixed overhead for each key. Limits.TotalBytes bounds it.
func (s *State) Size() int { return s.size }

// Len returns the number of keys.
func (s *State) Len() int { return s.items.Len() }

// Limits returns the limits with which the cluster was founded.
func (s *State) Limits() Limits { return s.limits }

// LastID returns the highest ID that was assigned to a lease or a member.
func (s *State) LastID() uint64 { return s.lastID }

// Get returns the item of a key and whether it exists. The caller must not modify the item's value.
func (s *State) Get(key string) (Item, bool) {
	s.subset.track(Interest{Keys: []string{key}})
	item, ok := s.items.Get(&Item{Key: key})
	if !ok {
		return Item{}, false
	}
	return *item, true
}

// Range calls visit with the items from a key up to but not including end, in order, until visit returns false. An
// empty end is the end of all keys. The caller must not modify the values.
func (s *State) Range(from, end string, visit func(Item) bool) {
	s.subset.track(rangeInterest(from, end))
	s.ascend(from, end, func(item *Item) bool { return visit(*item) })
}

// ascend is Range without recording the read for TrackReads.
func (s *State) ascend(from, end string, visit func(*Item) bool) {
	if end == "" {
		s.items.AscendGreaterOrEqual(&Item{Key: from}, visit)
		return
	}
	s.items.AscendRange(&Item{Key: from}, &Item{Key: end}, visit)
}

// PrefixEnd returns the exclusive end of the range of all keys with a prefix. It is "", the end of all keys, if the
// prefix is empty or consists of 0xff bytes only.
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

// PrefixSize is the number of keys with a prefix, and the bytes of the keys and their values with the same overhead as
// in State.Size.
type PrefixSize struct {
	Keys  int `json:"keys"`
	Bytes int `json:"bytes"`
}

// PrefixSize returns the number and the size of the keys with a prefix. It examines each of them.
func (s *State) PrefixSize(prefix string) PrefixSize {
	var size PrefixSize
	s.ascend(prefix, PrefixEnd(prefix), func(item *Item) bool {
		size.Keys++
		size.Bytes += item.size()
		return true
	})
	return size
}

// Clone returns a copy of the state that another goroutine may read and save. It is cheap, because the items are shared
// until either state changes. The copy does not know the keys of its leases, so that it cannot end them, and
// CachedResult finds nothing in it.
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
