package store

import (
	"fmt"
	"strings"
)

// CompactedError reports that a watch or a read starts before the retained history.
type CompactedError struct{ Oldest uint64 } // first revision that can still be read

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("compacted: the history begins at revision %d", e.Oldest)
}

// Event is one change of one key.
type Event struct {
	Revision uint64 `cbor:"1,keyasint" json:"revision"`
	Deleted  bool   `cbor:"2,keyasint,omitempty" json:"deleted,omitempty"` // then Item has only the key
	Item     Item   `cbor:"3,keyasint" json:"item"`
}

// OnEvent has f called with every event, before Apply returns. f must not call the state.
func (s *State) OnEvent(f func(Event)) { s.onEvent = f }

// Oldest returns the first revision whose events are all retained.
func (s *State) Oldest() uint64 { return s.history.oldest + 1 }

// recordEvent appends an event to the history. The first event of a revision advances the state to it.
func (s *State) recordEvent(e Event) {
	s.revision = e.Revision
	s.appendHistory(e)
	if s.onEvent != nil {
		s.onEvent(e)
	}
}

// appendHistory appends an event and drops the oldest ones beyond the limits of the history.
func (s *State) appendHistory(e Event) {
	maxEvents, maxBytes := s.limits.HistoryEvents, s.limits.HistoryBytes
	if s.subset != nil {
		maxEvents, maxBytes = min(maxEvents, maxSubsetEvents), min(maxBytes, maxSubsetHistoryBytes)
	}
	h := &s.history
	h.push(e, e.Item.size())
	for h.len() > 1 && (h.len() > maxEvents || h.bytes > maxBytes) {
		oldest := h.at(0)
		h.drop(oldest.Item.size(), oldest.Revision)
	}
}

// Changes appends to buf up to n events after a revision of keys with a prefix. It returns the revision up to which
// the events are complete, from which the next call continues. Events of one revision are never split, so that more
// than n may be returned. The error is a *CompactedError if the history does not reach back to the revision, and a
// *NotHeldError if this state does not hold the keys.
func (s *State) Changes(buf []Event, prefix string, after uint64, n int) ([]Event, uint64, error) {
	if s.subset != nil && !s.subset.interest.CoversPrefix(prefix) {
		return buf, after, &NotHeldError{Interest: Interest{Prefixes: []string{prefix}}}
	}
	return s.changes(buf, after, n, changeFilter{
		match:        func(key string) bool { return strings.HasPrefix(key, prefix) },
		countMatches: true,
	})
}

// ChangesIn appends to buf the events after a revision of the keys of an interest; nil is all keys. It returns the
// revision up to which the events are complete. It examines up to n events, but never splits those of one revision. The
// error is a *CompactedError if the history does not reach back to the revision.
func (s *State) ChangesIn(buf []Event, interest *Interest, after uint64, n int) ([]Event, uint64, error) {
	return s.changes(buf, after, n, changeFilter{
		match: func(key string) bool { return interest == nil || interest.Covers(key) },
	})
}

// changeFilter selects the events that changes returns.
type changeFilter struct {
	match        func(key string) bool
	countMatches bool // the bound n is on the events returned, not on those examined
}

func (s *State) changes(buf []Event, after uint64, n int, filter changeFilter) ([]Event, uint64, error) {
	if oldest := s.Oldest(); after+1 < oldest {
		return buf, after, &CompactedError{Oldest: oldest}
	}
	if after > s.revision {
		return buf, after, nil
	}
	start := s.history.search(func(e *Event) bool { return e.Revision > after })
	counted := 0
	for i := start; i < s.history.len(); i++ {
		e := s.history.at(i)
		if counted >= n && i > 0 {
			if previous := s.history.at(i - 1).Revision; e.Revision != previous {
				return buf, previous, nil
			}
		}
		matches := filter.match(e.Item.Key)
		if matches {
			buf = append(buf, *e)
		}
		if matches || !filter.countMatches {
			counted++
		}
	}
	return buf, s.revision, nil
}
