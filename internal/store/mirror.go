package store

import (
	"errors"
	"fmt"
)

// ErrOutOfOrder reports an event that does not follow on the revision of a copy, or that is not of its keys.
var ErrOutOfOrder = errors.New("changes out of order")

// ApplyEvent applies an event of another state to a copy of it. Such a copy follows the items and their history; its
// members, leases and cached results remain those of when it was loaded. It must not be given to Apply.
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

// ApplyEvents applies all events of one revision, or none of them: between two calls a reader sees complete revisions.
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

// AdvanceRevision records that the copy has received all events of its keys up to a revision.
func (s *State) AdvanceRevision(revision uint64) error {
	if revision < s.revision {
		return s.outOfOrder(revision)
	}
	s.revision = revision
	return nil
}

func (s *State) outOfOrder(revision uint64) error {
	return fmt.Errorf("%w: revision %d after %d", ErrOutOfOrder, revision, s.revision)
}

func (s *State) checkCovered(key string) error {
	if s.subset != nil && !s.subset.interest.Covers(key) {
		return fmt.Errorf("%w: %q is not of the copy's interest", ErrOutOfOrder, key)
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
			item.LeaseID = 0 // a lease granted since the copy was loaded: its end arrives as events, too
		}
		s.size += item.size()
		s.items.ReplaceOrInsert(&item)
	}
	if existed {
		s.size -= old.size()
		s.detach(old)
	}
	s.recordEvent(e)
}
