// Package store is the state of the replicated store: an ordered map of keys under one revision counter, with
// transactions, range reads, a history that watches read from, leases and the members of the cluster.
//
// It is free of I/O, clocks and randomness: a State changes only through Apply, and equal commands in an equal order
// make equal states on every replica, byte for byte in what Save writes. Package replica orders the commands.
//
// One idea is carried through: whatever the state promises to remember is bounded, and when the bound is reached the
// one who asks is told so (Compacted, Forgotten, Full) and never gets a wrong answer.
package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/google/btree"
)

// Limits bound a state. They are part of the cluster: all replicas hold the same, for Apply decides by them.
type Limits struct {
	KeyBytes      int `cbor:"1,keyasint"` // bytes of a key
	ValueBytes    int `cbor:"2,keyasint"` // bytes of a value
	TotalBytes    int `cbor:"3,keyasint"` // bytes of all keys and values
	TxnOps        int `cbor:"4,keyasint"` // comparisons, or operations, of a transaction
	HistoryEvents int `cbor:"5,keyasint"` // changes that are kept for watches,
	HistoryBytes  int `cbor:"6,keyasint"` // and their bytes
	Leases        int `cbor:"7,keyasint"`
	Results       int `cbor:"8,keyasint"` // outcomes that are kept for requests sent again
	Members       int `cbor:"9,keyasint"`
}

// DefaultLimits are those of a new cluster.
var DefaultLimits = Limits{KeyBytes: 512, ValueBytes: 1 << 20, TotalBytes: 256 << 20, TxnOps: 128, HistoryEvents: 65536, HistoryBytes: 32 << 20,
	Leases: 16384, Results: 65536, Members: 9}

// validate says which limit is none.
func (l *Limits) validate() error {
	for _, x := range []struct {
		name    string
		v, most int
	}{{"key", l.KeyBytes, 1 << 16}, {"value", l.ValueBytes, maxCommandBytes / 2}, {"total", l.TotalBytes, 1 << 36}, {"ops", l.TxnOps, 1 << 12},
		{"events", l.HistoryEvents, 1 << 24}, {"history", l.HistoryBytes, 1 << 36}, {"leases", l.Leases, 1 << 24},
		{"results", l.Results, 1 << 24}, {"members", l.Members, 64}} {
		if x.v < 1 || x.v > x.most {
			return fmt.Errorf("the limit %q is %d, and not within 1 and %d", x.name, x.v, x.most)
		}
	}
	return nil
}

// What a command may be answered. They are outcomes, not faults of a replica: every replica answers the same.
var (
	ErrTooLarge       = errors.New("key, value or transaction is too large")
	ErrFull           = errors.New("the store is full")
	ErrLeaseNotFound  = errors.New("no such lease")
	ErrBadKey         = errors.New("a key is empty or stands twice in a transaction")
	ErrRequestExpired = errors.New("the request is too old to know whether it was done before")
	ErrUnknownMember  = errors.New("the member is not known, or known otherwise")
	ErrLevel          = errors.New("a member does not know that level yet")
	ErrUnknownCommand = errors.New("the command is of a newer version")
)

// CompactedError says that a watch or a read begins before what the history keeps.
type CompactedError struct{ Oldest uint64 } // first revision that can still be read from

func (e *CompactedError) Error() string {
	return fmt.Sprintf("compacted: the history begins at revision %d", e.Oldest)
}

// Item is a key with its value.
type Item struct {
	Key            string `cbor:"1,keyasint" json:"key"`
	Value          []byte `cbor:"2,keyasint" json:"value"`
	CreateRevision uint64 `cbor:"3,keyasint" json:"created"`                   // revision that made the key
	ModRevision    uint64 `cbor:"4,keyasint" json:"modified"`                  // revision of the last put
	Version        uint64 `cbor:"5,keyasint" json:"version"`                   // puts since Created
	LeaseID        uint64 `cbor:"6,keyasint,omitempty" json:"lease,omitempty"` // with whose end the key goes, or 0
}

func (i *Item) size() int { return len(i.Key) + len(i.Value) + itemOverheadBytes }

// Event is one change of one key.
type Event struct {
	Revision uint64 `cbor:"1,keyasint" json:"revision"`
	Deleted  bool   `cbor:"2,keyasint,omitempty" json:"deleted,omitempty"` // then Item has the key alone
	Item     Item   `cbor:"3,keyasint" json:"item"`
}

// Lease is a promise that its keys go when its holder falls silent. The time itself is kept by the leader alone, on
// its own clock: what the state knows is for how long, and that it ended.
type Lease struct {
	ID        uint64 `cbor:"1,keyasint" json:"id"`
	TTLMillis uint64 `cbor:"2,keyasint" json:"ttl_ms"` // milliseconds

	Renewals uint64 `cbor:"3,keyasint,omitempty" json:"renewed"` // how often

	Owner string `cbor:"4,keyasint,omitempty" json:"owner,omitempty"` // who alone may renew and end it; empty: anybody
}

// Member is a replica of the cluster.
type Member struct {
	ID      uint64 `cbor:"1,keyasint" json:"id"`
	Name    string `cbor:"2,keyasint" json:"name"`
	Address string `cbor:"3,keyasint" json:"address"`
	Learner bool   `cbor:"4,keyasint,omitempty" json:"learner,omitempty"`
	DiskID  uint64 `cbor:"5,keyasint,omitempty" json:"disk,omitempty"` // the disk that took the place, 0 before one did
	Boot    uint64 `cbor:"6,keyasint,omitempty" json:"boot,omitempty"` // the highest start of it that was seen
	Level   uint64 `cbor:"7,keyasint,omitempty" json:"level,omitempty"`
}

const itemOverheadBytes = 64 // bytes that an item costs beside key and value

// State is what all replicas agree on. It is for one goroutine; a Clone may be read by another.
type State struct {
	limits   Limits
	cluster  uint64
	revision uint64
	level    uint64 // of commands that every member knows
	index    uint64 // of the last command that was applied
	size     int    // bytes of all items
	items    *btree.BTreeG[*Item]
	leases   map[uint64]*lease
	lastID   uint64 // of a lease or a member; none is given twice
	members  []Member
	history  ring[Event]
	results  results
	onEvent  func(Event) // told of every event as it happens, or nil
	subset   *subset     // what a copy holds that does not hold all; nil: all
}

type lease struct {
	Lease
	keys map[string]struct{}
}

func byKey(a, b *Item) bool { return a.Key < b.Key }

// New returns an empty state of a cluster at revision 0.
func New(cluster uint64, limits Limits) *State {
	return &State{limits: limits, cluster: cluster, level: levelInitial, items: btree.NewG(32, byKey), leases: map[uint64]*lease{}}
}

// Cluster is the number by which replicas know each other as of one cluster.
func (s *State) Cluster() uint64 { return s.cluster }

// Revision counts the transactions that changed a key.
func (s *State) Revision() uint64 { return s.revision }

// Index is that of the last command applied.
func (s *State) Index() uint64 { return s.index }

// Level is the version of commands that every member knows.
func (s *State) Level() uint64 { return s.level }

// Size is the bytes of keys and values, with what they cost beside.
func (s *State) Size() int { return s.size }

// Len counts the keys.
func (s *State) Len() int { return s.items.Len() }

// Limits are those of the cluster.
func (s *State) Limits() Limits { return s.limits }

// Get returns an item. It must not be changed.
func (s *State) Get(key string) (Item, bool) {
	s.subset.track(Interest{Keys: []string{key}})
	i, ok := s.items.Get(&Item{Key: key})
	if !ok {
		return Item{}, false
	}
	return *i, true
}

// Range calls f with the items from a key on and before another, in order, until f says no. An empty end is none.
// The values must not be changed.
func (s *State) Range(from, end string, f func(Item) bool) {
	s.subset.track(rangeInterest(from, end))
	s.ascend(from, end, func(i *Item) bool { return f(*i) })
}

func (s *State) ascend(from, end string, each func(*Item) bool) {
	if end == "" {
		s.items.AscendGreaterOrEqual(&Item{Key: from}, each)
		return
	}
	s.items.AscendRange(&Item{Key: from}, &Item{Key: end}, each)
}

// PrefixEnd is the end of the range of all keys that begin with a prefix, "" if there is none.
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

// Members are the replicas, by id.
func (s *State) Members() []Member { return slices.Clone(s.members) }

// Member returns one by its id.
func (s *State) Member(id uint64) (Member, bool) {
	if i := s.memberIndex(id); i >= 0 {
		return s.members[i], true
	}
	return Member{}, false
}

func (s *State) memberIndex(id uint64) int {
	return slices.IndexFunc(s.members, func(m Member) bool { return m.ID == id })
}

// Leases are those that run, by id; a state that holds a part has those of its keys alone.
func (s *State) Leases() []Lease {
	s.subset.track(rangeInterest("", ""))
	all := make([]Lease, 0, len(s.leases))
	for _, l := range s.leases {
		all = append(all, l.Lease)
	}
	slices.SortFunc(all, func(a, b Lease) int { return int(int64(a.ID - b.ID)) })
	return all
}

// Lease returns one by its id.
func (s *State) Lease(id uint64) (Lease, bool) {
	s.subset.track(rangeInterest("", ""))
	l, ok := s.leases[id]
	if !ok {
		return Lease{}, false
	}
	return l.Lease, true
}

// Changes appends to buf the events of keys with a prefix after a revision, at most n of them, and returns the
// revision up to which nothing was left out: the next call goes on from there. Events of one revision are never
// parted, so that more than n may come. After a revision that the history no longer covers the error is ErrCompacted; of keys
// that this state does not hold it is an OutsideError.
func (s *State) Changes(buf []Event, prefix string, after uint64, n int) ([]Event, uint64, error) {
	if s.subset != nil && !s.subset.interest.CoversPrefix(prefix) {
		return buf, after, &NotHeldError{Interest: Interest{Prefixes: []string{prefix}}}
	}
	if oldest := s.Oldest(); after+1 < oldest {
		return buf, after, &CompactedError{Oldest: oldest}
	}
	if after > s.revision {
		return buf, after, nil
	}
	start := s.history.search(func(e *Event) bool { return e.Revision > after })
	at, taken := s.revision, 0
	for i := start; i < s.history.len(); i++ {
		e := s.history.at(i)
		if taken >= n && e.Revision != s.history.at(i-1).Revision {
			at = s.history.at(i - 1).Revision
			break
		}
		if strings.HasPrefix(e.Item.Key, prefix) {
			buf = append(buf, *e)
			taken++
		}
	}
	return buf, at, nil
}

// Oldest is the first revision whose events are all kept.
func (s *State) Oldest() uint64 { return s.history.oldest + 1 }

// OnEvent has f called with every event, before Apply returns. It must not call back.
func (s *State) OnEvent(f func(Event)) { s.onEvent = f }

// Clone is the state as it is now, for reading and saving elsewhere. It costs little: the items are shared until
// either changes.
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
		c.leases[id] = &lease{Lease: l.Lease} // the keys are told by the items
	}
	return &c
}

// CachedResult returns what a request was answered, if that is still known.
func (s *State) CachedResult(id RequestID) (Result, bool) { return s.results.find(id) }

// LastID is the highest id that a lease or a member was given.
func (s *State) LastID() uint64 { return s.lastID }
