package store

import (
	"errors"
	"fmt"
)

// ErrOrder says that a change does not follow on what a mirror has.
var ErrOrder = errors.New("changes out of order")

// Mirror makes in a copy the change that another state told of as an event. Such a copy knows items and their history; who
// the members are, which leases run and what requests were answered it knows as of when it was loaded. A copy that is
// mirrored is never given to Apply.
func (s *State) Mirror(e Event) error {
	if e.Revision < s.revision || e.Item.Key == "" {
		return fmt.Errorf("%w: revision %d after %d", ErrOrder, e.Revision, s.revision)
	}
	old, had := s.items.Get(&Item{Key: e.Item.Key})
	if e.Deleted {
		if had {
			s.items.Delete(old)
		}
	} else {
		n := e.Item
		if s.leases[n.Lease] == nil {
			n.Lease = 0 // one that began since: its end comes as an event, too
		}
		s.size += n.size()
		s.items.ReplaceOrInsert(&n)
	}
	if had {
		s.size -= old.size()
		s.detach(old)
	}
	s.happened(e)
	return nil
}
