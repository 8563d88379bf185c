package store

import (
	"errors"
	"fmt"
)

// ErrOutOfOrder reports an event that does not follow the revision of a mirrored copy, or whose key the copy does not
// cover.
var ErrOutOfOrder = errors.New("changes out of order")

// ApplyEvent applies an event of another state to a copy of that state. The items and the history of the copy follow
// those of the other state, while its members, leases and cached results stay as they were loaded. Such a copy must not
// be given to Apply.
func (s *State) ApplyEvent(e Event) error {
	if e.Revision < s.revision || e.Item.Key == "" {
		return s.outOfOrder(e.Revision)
	}
	if err := s.checkCovered(e.Item.Key); err != nil {
		return err
	}
	s.mirrorEvent(e)
	return nil
}

// ApplyEvents applies all events of one revision, as ApplyEvent does, or on an error none of them. Readers between two
// calls therefore see only complete revisions.
func (s *State) ApplyEvents(events []Event) error {
	for i := range events {
		e := &events[i]
		if e.Revision <= s.revision || e.Revision != events[0].Revision || e.Item.Key == "" {
			return s.outOfOrder(e.Revision)
		}
		if err := s.checkCovered(e.Item.Key); err != nil {
			return err
		}
	}
	for _, e := range events {
		s.mirrorEvent(e)
	}
	return nil
}

// AdvanceRevision sets the revision of a mirrored copy after it has received all events of its keys up to that
// revision.
func (s *State) AdvanceRevision(revision uint64) error {
	if revision < s.revision {
		return s.outOfOrder(revision)
	}
	s.revision = revision
	return nil
}

func (s *State) outOfOrder(revision uint64) error {
	return fmt.Errorf("%w: revision %d follows revision %d", ErrOutOfOrder, revision, s.revision)
}

func (s *State) checkCovered(key string) error {
	if s.subset != nil && !s.subset.interest.Covers(key) {
		return fmt.Errorf("%w: key %q is not covered by the copy's interest", ErrOutOfOrder, key)
	}
	return nil
}

func (s *State) mirrorEvent(e Event) {
	old, existed := s.items.Get(&Item{Key: e.Item.Key})
	if e.Deleted {
		if existed {
			s.items.Delete(old)
		}
	} else {
		item := e.Item
		if s.leases[item.LeaseID] == nil {
			item.LeaseID = 0 // the lease was granted after the copy was loaded; its end deletes the key by an event
		}
		s.size += item.size()
		s.items.ReplaceOrInsert(&item)
	}
	if existed {
		s.size -= old.size()
		s.detachFromLease(old)
	}
	s.recordEvent(e)
}
