package store

import (
	"errors"
	"fmt"
)

// ErrOutOfOrder says that a change does not follow on what a mirror has.
var ErrOutOfOrder = errors.New("changes out of order")

// ApplyEvent makes in a copy the change that another state told of as an event. Such a copy knows items and their history; who
// the members are, which leases run and what requests were answered it knows as of when it was loaded. A copy that is
// mirrored is never given to Apply.
func (s *State) ApplyEvent(e Event) error {
	if e.Revision < s.revision || e.Item.Key == "" {
		return fmt.Errorf("%w: revision %d after %d", ErrOutOfOrder, e.Revision, s.revision)
	}
	if s.subset != nil && !s.subset.interest.Covers(e.Item.Key) {
		return fmt.Errorf("%w: %q", ErrOutOfOrder, e.Item.Key)
	}
	s.mirrorEvent(e)
	return nil
}

// ApplyEvents makes all changes of one revision that a copy is to know of, or none: whoever reads between two calls sees whole
// revisions.
func (s *State) ApplyEvents(events []Event) error {
	if len(events) == 0 {
		return nil
	}
	for i := range events {
		e := &events[i]
		if e.Revision <= s.revision || e.Revision != events[0].Revision || e.Item.Key == "" {
			return fmt.Errorf("%w: revision %d after %d", ErrOutOfOrder, e.Revision, s.revision)
		}
		if s.subset != nil && !s.subset.interest.Covers(e.Item.Key) {
			return fmt.Errorf("%w: %q is not held", ErrOutOfOrder, e.Item.Key)
		}
	}
	for _, e := range events {
		s.mirrorEvent(e)
	}
	return nil
}

// AdvanceRevision says that the copy has been told of all that it holds up to a revision.
func (s *State) AdvanceRevision(revision uint64) error {
	if revision < s.revision {
		return fmt.Errorf("%w: revision %d after %d", ErrOutOfOrder, revision, s.revision)
	}
	s.revision = revision
	return nil
}

func (s *State) mirrorEvent(e Event) {
	old, had := s.items.Get(&Item{Key: e.Item.Key})
	if e.Deleted {
		if had {
			s.items.Delete(old)
		}
	} else {
		n := e.Item
		if s.leases[n.LeaseID] == nil {
			n.LeaseID = 0 // one that began since: its end comes as an event, too
		}
		s.size += n.size()
		s.items.ReplaceOrInsert(&n)
	}
	if had {
		s.size -= old.size()
		s.detach(old)
	}
	s.recordEvent(e)
}
