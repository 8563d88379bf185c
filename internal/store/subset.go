package store

import (
	"fmt"
	"slices"
)

// The history of a subset is bounded more tightly than Limits, because it serves only the watches at that copy.
const (
	maxSubsetEvents       = 4096
	maxSubsetHistoryBytes = 1 << 20
)

// subset describes a state that is a partial copy.
type subset struct {
	interest  Interest // keys that the copy holds
	tracking  bool     // reads are recorded in tracked and uncovered
	tracked   Interest // keys that were read
	uncovered bool     // some of the keys that were read are not in interest
}

// NotHeldError reports a read of keys that a partial copy does not hold. The copy cannot tell whether they exist.
// Interest contains the keys that were read.
type NotHeldError struct{ Interest Interest }

// Error implements error.
func (e *NotHeldError) Error() string {
	notHeld := "keys"
	if entries := slices.Concat(e.Interest.Keys, e.Interest.Prefixes); len(entries) > 0 {
		notHeld = fmt.Sprintf("%q", entries[0])
	}
	return fmt.Sprintf("this daemon's copy does not hold %s: a replica has to be asked", notHeld)
}

// Interest returns the keys that this state holds, or nil if it is complete, that is, holds all keys.
func (s *State) Interest() *Interest {
	if s.subset == nil {
		return nil
	}
	interest := s.subset.interest
	return &interest
}

// Subset returns a partial copy with the keys of an interest at the same revision, without history. The two states
// share the items, which neither modifies. ApplyEvent and ApplyEvents update the copy, which must not be given to
// Apply. The cost is proportional to the number of items copied.
func (s *State) Subset(requested Interest) *State {
	partial := New(s.cluster, s.limits)
	partial.revision, partial.level, partial.index, partial.lastID = s.revision, s.level, s.index, s.lastID
	partial.members = slices.Clone(s.members)
	partial.history.lastDropped, partial.results.ring.lastDropped = s.revision, s.index
	interest := Interest{}.Union(requested)
	partial.subset = &subset{interest: interest}
	for _, prefix := range interest.Prefixes {
		s.ascend(prefix, PrefixEnd(prefix), func(item *Item) bool {
			partial.addItemFrom(item, s)
			return true
		})
	}
	for _, key := range interest.Keys {
		if item, ok := s.items.Get(&Item{Key: key}); ok {
			partial.addItemFrom(item, s)
		}
	}
	return partial
}

// addItemFrom adds an item of the source state and, if it is attached to one, a copy of its lease.
func (s *State) addItemFrom(item *Item, source *State) {
	s.items.ReplaceOrInsert(item)
	s.size += item.size()
	original := source.leases[item.LeaseID]
	if original == nil {
		return
	}
	copied := s.leases[item.LeaseID]
	if copied == nil {
		copied = newLease(original.Lease)
		s.leases[item.LeaseID] = copied
	}
	copied.keys[item.Key] = struct{}{}
}

// SubsetWithHistory is Subset with the history of the subset's keys: the events that this state retains and that fit
// the limits of a subset.
func (s *State) SubsetWithHistory(interest Interest) *State {
	partial := s.Subset(interest)
	partial.history.lastDropped = s.history.lastDropped
	for i := range s.history.len() {
		event := s.history.at(i)
		if partial.subset.interest.Covers(event.Item.Key) {
			partial.appendHistory(*event)
		}
	}
	return partial
}

// TrackReads starts to record which keys are read from a partial copy, until TrackedReads is called. It has no effect
// on a complete state.
func (s *State) TrackReads() {
	if s.subset != nil {
		s.subset.tracking, s.subset.tracked, s.subset.uncovered = true, Interest{}, false
	}
}

// TrackedReads stops recording. It returns the keys that were read since TrackReads and whether the state holds all of
// them. For a complete state it returns no keys and true.
func (s *State) TrackedReads() (read Interest, covered bool) {
	if s.subset == nil {
		return Interest{}, true
	}
	s.subset.tracking = false
	return s.subset.tracked, !s.subset.uncovered
}

// track records a read, if reads are tracked. s is nil for a complete state.
func (s *subset) track(read Interest) {
	if s == nil || !s.tracking {
		return
	}
	s.tracked = s.tracked.Union(read)
	s.uncovered = s.uncovered || !s.interest.Contains(read)
}
