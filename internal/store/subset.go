package store

import (
	"fmt"
	"slices"
)

// Limits of the history of a subset, which serves only the watches at that copy.
const (
	maxSubsetEvents       = 4096
	maxSubsetHistoryBytes = 1 << 20
)

// subset is what a state knows of being a partial copy.
type subset struct {
	interest Interest // the keys that it holds
	tracking bool     // reads are recorded in the fields below
	tracked  Interest // the keys that were read
	missed   bool     // some of them are not in the interest
}

// NotHeldError reports a read of keys that a partial copy does not hold, so that it cannot say whether they exist.
type NotHeldError struct{ Interest Interest }

// Error implements error.
func (e *NotHeldError) Error() string {
	what := "keys"
	if all := slices.Concat(e.Interest.Keys, e.Interest.Prefixes); len(all) > 0 {
		what = fmt.Sprintf("%q", all[0])
	}
	return fmt.Sprintf("this daemon's copy does not hold %s: a replica has to be asked", what)
}

// Interest returns the keys that this state holds, or nil if it is complete.
func (s *State) Interest() *Interest {
	if s.subset == nil {
		return nil
	}
	interest := s.subset.interest
	return &interest
}

// Subset returns a partial copy of the keys of an interest at the same revision, without history. The items are
// shared, and neither state modifies them. The copy follows by ApplyEvent and must not be given to Apply. The cost is
// proportional to the items of the copy.
func (s *State) Subset(of Interest) *State {
	c := New(s.cluster, s.limits)
	c.revision, c.level, c.index, c.lastID = s.revision, s.level, s.index, s.lastID
	c.members = slices.Clone(s.members)
	c.history.oldest, c.results.ring.oldest = s.revision, s.index
	interest := Interest{}.Union(of)
	c.subset = &subset{interest: interest}
	for _, prefix := range interest.Prefixes {
		s.ascend(prefix, PrefixEnd(prefix), func(i *Item) bool {
			c.adopt(i, s)
			return true
		})
	}
	for _, key := range interest.Keys {
		if i, ok := s.items.Get(&Item{Key: key}); ok {
			c.adopt(i, s)
		}
	}
	return c
}

// adopt adds an item of another state with its lease.
func (s *State) adopt(i *Item, from *State) {
	s.items.ReplaceOrInsert(i)
	s.size += i.size()
	original := from.leases[i.LeaseID]
	if original == nil {
		return
	}
	l := s.leases[i.LeaseID]
	if l == nil {
		l = newLease(original.Lease)
		s.leases[i.LeaseID] = l
	}
	l.keys[i.Key] = struct{}{}
}

// SubsetWithHistory is Subset with the events of the subset's keys, as far as they are retained and fit its limits.
func (s *State) SubsetWithHistory(of Interest) *State {
	c := s.Subset(of)
	c.history.oldest = s.history.oldest
	for i := range s.history.len() {
		e := s.history.at(i)
		if c.subset.interest.Covers(e.Item.Key) {
			c.appendHistory(*e)
		}
	}
	return c
}

// TrackReads starts to record which keys are read of a partial copy. It has no effect on a complete state.
func (s *State) TrackReads() {
	if s.subset != nil {
		s.subset.tracking, s.subset.tracked, s.subset.missed = true, Interest{}, false
	}
}

// TrackedReads stops recording. It returns the keys that were read, and whether the state holds all of them.
func (s *State) TrackedReads() (read Interest, held bool) {
	if s.subset == nil {
		return Interest{}, true
	}
	s.subset.tracking = false
	return s.subset.tracked, !s.subset.missed
}

// track records a read. s may be nil, for a complete state.
func (s *subset) track(read Interest) {
	if s == nil || !s.tracking {
		return
	}
	s.tracked = s.tracked.Union(read)
	s.missed = s.missed || !s.interest.Contains(read)
}
