package store

import (
	"fmt"
	"strings"
)

// CompactedError reports that a watch or a read of changes starts before the retained history. Oldest is the first
// revision whose events are all retained.
type CompactedError struct{ Oldest uint64 }

// Error implements error.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("events were compacted: the history begins at revision %d", e.Oldest)
}

// Event is a put or a deletion of one key. A transaction or the end of a lease may record several events at one
// revision.
type Event struct {
	Revision uint64 `cbor:"1,keyasint" json:"revision"`
	Deleted  bool   `cbor:"2,keyasint,omitempty" json:"deleted,omitempty"` // the key was deleted, and Item has only Key
	Item     Item   `cbor:"3,keyasint" json:"item"`
}

// OnEvent registers f, which Apply and the methods that mirror events then call with every event before they return. f
// must not call methods of the state. It replaces the function registered before.
func (s *State) OnEvent(f func(Event)) { s.onEvent = f }

// OldestRevision returns the first revision whose events are all retained. It is one above the current revision if none
// are.
func (s *State) OldestRevision() uint64 { return s.history.lastDropped + 1 }

// recordEvent appends an event to the history, advances the state to the event's revision and calls onEvent.
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

// Changes appends to buf the events after a revision of the keys with a prefix. It returns the revision up to which the
// events are complete, from which the next call continues. It stops after maxEvents events, but never splits the events
// of one revision, so that it may return more. The error is a *CompactedError if the history does not reach back to the
// revision, and a *NotHeldError if this state is a partial copy without these keys.
func (s *State) Changes(buf []Event, prefix string, after uint64, maxEvents int) ([]Event, uint64, error) {
	if s.subset != nil && !s.subset.interest.CoversPrefix(prefix) {
		return buf, after, &NotHeldError{Interest: Interest{Prefixes: []string{prefix}}}
	}
	return s.changes(buf, after, maxEvents, changeFilter{
		match:        func(key string) bool { return strings.HasPrefix(key, prefix) },
		countMatches: true,
	})
}

// ChangesIn appends to buf the events after a revision of the keys of an interest; nil is all keys. It returns the
// revision up to which the events are complete. It stops after it has examined maxExamined events, of whichever keys,
// but never splits the events of one revision. The error is a *CompactedError if the history does not reach back to the
// revision.
func (s *State) ChangesIn(buf []Event, interest *Interest, after uint64, maxExamined int) ([]Event, uint64, error) {
	return s.changes(buf, after, maxExamined, changeFilter{
		match: func(key string) bool { return interest == nil || interest.Covers(key) },
	})
}

// changeFilter selects the events that State.changes returns and the events that count toward its bound.
type changeFilter struct {
	match        func(key string) bool
	countMatches bool // only the events returned count, not all events examined
}

// changes implements Changes and ChangesIn. It stops after maxCounted counted events, at the end of their revision.
func (s *State) changes(buf []Event, after uint64, maxCounted int, filter changeFilter) ([]Event, uint64, error) {
	if oldest := s.OldestRevision(); after+1 < oldest {
		return buf, after, &CompactedError{Oldest: oldest}
	}
	if after > s.revision {
		return buf, after, nil
	}
	start := s.history.search(func(e *Event) bool { return e.Revision > after })
	counted := 0
	for i := start; i < s.history.len(); i++ {
		e := s.history.at(i)
		if counted >= maxCounted && i > 0 {
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
