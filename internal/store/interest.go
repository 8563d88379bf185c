package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Interest is what a copy holds of a state: some keys, and all keys with some prefixes. As a pointer nil is everything, the
// zero value is nothing.
type Interest struct {
	Prefixes []string `cbor:"1,keyasint,omitempty" json:"prefixes,omitempty"`
	Keys     []string `cbor:"2,keyasint,omitempty" json:"keys,omitempty"`
}

// Bounds of an interest that one may ask for.
const (
	MaxInterestEntries = 128     // prefixes and keys
	MaxInterestBytes   = 8 << 10 // of all of them
)

// ErrInvalidInterest says that an interest is out of bounds.
var ErrInvalidInterest = errors.New("not an interest")

// NotHeldError says that a copy was asked for what it does not hold: whether that is there, it cannot say.
type NotHeldError struct{ Interest Interest }

func (e *NotHeldError) Error() string {
	what := "keys"
	if all := append(slices.Clone(e.Interest.Keys), e.Interest.Prefixes...); len(all) > 0 {
		what = fmt.Sprintf("%q", all[0])
	}
	return fmt.Sprintf("this daemon's copy does not hold %s: a replica has to be asked", what)
}

// Validate says what is out of bounds.
func (i Interest) Validate() error {
	if n := len(i.Prefixes) + len(i.Keys); n > MaxInterestEntries {
		return fmt.Errorf("%w: %d prefixes and keys are more than %d", ErrInvalidInterest, n, MaxInterestEntries)
	}
	bytes := 0
	for _, all := range [][]string{i.Prefixes, i.Keys} {
		for _, k := range all {
			if k == "" || len(k) > DefaultLimits.KeyBytes {
				return fmt.Errorf("%w: %q is not of 1 to %d bytes", ErrInvalidInterest, k, DefaultLimits.KeyBytes)
			}
			bytes += len(k)
		}
	}
	if bytes > MaxInterestBytes {
		return fmt.Errorf("%w: %d bytes are more than %d", ErrInvalidInterest, bytes, MaxInterestBytes)
	}
	return nil
}

// Union is what either of them holds, in order and each once.
func (i Interest) Union(o Interest) Interest {
	var all Interest
	prefixes := slices.Concat(i.Prefixes, o.Prefixes)
	slices.Sort(prefixes)
	for _, p := range prefixes { // a shorter one stands before those that it covers
		if n := len(all.Prefixes); n == 0 || !strings.HasPrefix(p, all.Prefixes[n-1]) {
			all.Prefixes = append(all.Prefixes, p)
		}
	}
	keys := slices.Concat(i.Keys, o.Keys)
	slices.Sort(keys)
	for _, k := range slices.Compact(keys) {
		if !all.Covers(k) {
			all.Keys = append(all.Keys, k)
		}
	}
	return all
}

// Covers says whether a key is of it.
func (i Interest) Covers(key string) bool {
	return slices.ContainsFunc(i.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) }) || slices.Contains(i.Keys, key)
}

// CoversPrefix says whether all keys with a prefix are of it.
func (i Interest) CoversPrefix(prefix string) bool {
	return slices.ContainsFunc(i.Prefixes, func(p string) bool { return strings.HasPrefix(prefix, p) })
}

// Contains says whether all that another holds is of it.
func (i Interest) Contains(o Interest) bool {
	return !slices.ContainsFunc(o.Prefixes, func(p string) bool { return !i.CoversPrefix(p) }) &&
		!slices.ContainsFunc(o.Keys, func(k string) bool { return !i.Covers(k) })
}

// Equal says whether two that Join made are the same.
func (i Interest) Equal(o Interest) bool {
	return slices.Equal(i.Prefixes, o.Prefixes) && slices.Equal(i.Keys, o.Keys)
}

// Bounds of the history of a state that holds a part: it is for those who watch at that copy.
const (
	maxSubsetEvents       = 4096
	maxSubsetHistoryBytes = 1 << 20
)

// subset is what a state has that holds a part alone.
type subset struct {
	interest Interest
	tracking bool     // it is noted what is read:
	tracked  Interest // this,
	missed   bool     // some of which is not held
}

// Interest is what this state holds, or nil if it holds all.
func (s *State) Interest() *Interest {
	if s.subset == nil {
		return nil
	}
	i := s.subset.interest
	return &i
}

// Subset is a state that holds what this one does of an interest, at the same revision, and no history. The items are shared;
// neither changes them. It is mirrored, and never given to Apply. Its cost goes by the items that it holds.
func (s *State) Subset(of Interest) *State {
	p := New(s.cluster, s.limits)
	p.revision, p.level, p.index, p.lastID, p.members = s.revision, s.level, s.index, s.lastID, slices.Clone(s.members)
	p.history.oldest, p.results.ring.oldest = s.revision, s.index
	p.subset = &subset{interest: Interest{}.Union(of)}
	take := func(i *Item) {
		p.items.ReplaceOrInsert(i)
		p.size += i.size()
		if l := s.leases[i.LeaseID]; l != nil && p.leases[i.LeaseID] == nil {
			p.leases[i.LeaseID] = &lease{Lease: l.Lease, keys: map[string]struct{}{}}
		}
		if l := p.leases[i.LeaseID]; l != nil {
			l.keys[i.Key] = struct{}{}
		}
	}
	for _, prefix := range p.subset.interest.Prefixes {
		s.ascend(prefix, PrefixEnd(prefix), func(i *Item) bool { take(i); return true })
	}
	for _, key := range p.subset.interest.Keys {
		if i, ok := s.items.Get(&Item{Key: key}); ok {
			take(i)
		}
	}
	return p
}

// SubsetWithHistory is a Part that keeps the history of what it holds, as far as it is known and has room.
func (s *State) SubsetWithHistory(of Interest) *State {
	p := s.Subset(of)
	p.history.oldest = s.history.oldest
	for n := range s.history.len() {
		if e := s.history.at(n); p.subset.interest.Covers(e.Item.Key) {
			p.appendHistory(*e)
		}
	}
	return p
}

// TrackReads has it noted from now on what is read of a state that holds a part.
func (s *State) TrackReads() {
	if s.subset != nil {
		s.subset.tracking, s.subset.tracked, s.subset.missed = true, Interest{}, false
	}
}

// TrackedReads ends that. It returns what was read, and whether the state holds all of it.
func (s *State) TrackedReads() (read Interest, held bool) {
	if s.subset == nil {
		return Interest{}, true
	}
	p := s.subset
	p.tracking = false
	return p.tracked, !p.missed
}

func (p *subset) track(o Interest) {
	if p == nil || !p.tracking {
		return
	}
	p.tracked = p.tracked.Union(o)
	p.missed = p.missed || !p.interest.Contains(o)
}

// rangeInterest is an interest that covers the keys from one on and before another.
func rangeInterest(from, end string) Interest {
	switch {
	case end == from+"\x00":
		return Interest{Keys: []string{from}}
	case end == PrefixEnd(from):
		return Interest{Prefixes: []string{from}}
	}
	n := 0
	for n < len(from) && n < len(end) && from[n] == end[n] {
		n++
	}
	return Interest{Prefixes: []string{from[:n]}}
}

// ChangesIn appends to buf the events of an interest after a revision, and returns the revision up to which nothing was left
// out: it looks at n events at most, but never parts those of one revision. After a revision that the history no longer covers the
// error is ErrCompacted. nil is all keys.
func (s *State) ChangesIn(buf []Event, of *Interest, after uint64, n int) ([]Event, uint64, error) {
	if oldest := s.Oldest(); after+1 < oldest {
		return buf, after, &CompactedError{Oldest: oldest}
	}
	if after > s.revision {
		return buf, after, nil
	}
	start := s.history.search(func(e *Event) bool { return e.Revision > after })
	for i := start; i < s.history.len(); i++ {
		e := s.history.at(i)
		if i-start >= n && e.Revision != s.history.at(i-1).Revision {
			return buf, s.history.at(i - 1).Revision, nil
		}
		if of == nil || of.Covers(e.Item.Key) {
			buf = append(buf, *e)
		}
	}
	return buf, s.revision, nil
}

// PrefixSize is how many keys a range has, and how many bytes they and their values take.
type PrefixSize struct {
	Keys  int `json:"keys"`
	Bytes int `json:"bytes"`
}

// PrefixSize adds up the keys with a prefix.
func (s *State) PrefixSize(prefix string) (n PrefixSize) {
	s.ascend(prefix, PrefixEnd(prefix), func(i *Item) bool { n.Keys++; n.Bytes += i.size(); return true })
	return n
}
