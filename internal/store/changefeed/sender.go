package changefeed

import (
	"errors"

	"birchmoor/internal/store"
)

// Sender determines what a replica sends to one follower: first the changes from the history that the follower missed
// while it was not connected, then the changes of the stream. It is not safe for concurrent use.
type Sender struct {
	*Stream
	streamStart      uint64 // revision after which the stream has all changes
	initialRevision  uint64 // the follower's revision when it connected
	sentThrough      uint64 // revision up to which all changes were returned for sending
	announcedThrough uint64 // last revision that was returned to be announced as progress
}

// NewSender returns a sender for a follower whose copy of an interest includes all changes up to a revision. A nil
// interest means all keys. The caller must pass the sender's Stream to Unsubscribe.
func (f *Feed) NewSender(interest *store.Interest, after uint64) *Sender {
	stream, start := f.Subscribe(interest)
	return &Sender{Stream: stream, streamStart: start, initialRevision: after, sentThrough: after,
		announcedThrough: after}
}

// CatchUp returns the next changes between the follower's revision and the start of the stream, from the history of the
// replica's state. It examines about maxEvents events in a call; done is false if the caller must call it again. The
// error is a *store.CompactedError if the history does not reach back far enough, so that the follower has to fetch a
// snapshot.
func (s *Sender) CatchUp(state *store.State, maxEvents int) (batches []Batch, done bool, err error) {
	if s.sentThrough >= s.streamStart || s.feed.defect == SubscribeLate {
		s.sentThrough = max(s.sentThrough, s.streamStart)
		return nil, true, nil
	}
	events, through, err := state.ChangesIn(nil, s.interest, s.sentThrough, maxEvents)
	var compacted *store.CompactedError
	if errors.As(err, &compacted) && s.feed.defect == CompactionIgnored {
		s.sentThrough = compacted.Oldest - 1
		return nil, false, nil
	}
	if err != nil {
		return nil, false, err
	}
	if through <= s.sentThrough {
		return nil, false, store.ErrOutOfOrder // the state is older than the start of the stream
	}
	for _, event := range events {
		if event.Revision <= s.streamStart { // later events are in the stream
			batches = appendChange(batches, &Change{Event: event})
		}
	}
	s.sentThrough = min(through, s.streamStart)
	return batches, s.sentThrough >= s.streamStart, nil
}

// Take returns the changes to send next: complete revisions, in order. If through is not 0, the caller announces after
// the last of them that all changes up to this revision were sent. With progress set, through may be returned without
// changes. closed is true if the stream has ended, because the follower was too far behind or the feed skipped changes.
func (s *Sender) Take(progress bool) (batches []Batch, through uint64, closed bool) {
	batches, position, closed := s.take()
	for len(batches) > 0 && batches[0].Revision <= s.sentThrough { // the follower already has these changes
		batches = batches[1:]
	}
	regresses := s.feed.defect == ProgressRegresses
	s.sentThrough = max(s.sentThrough, position)
	if regresses {
		s.sentThrough = position
	}
	hasProgress := s.sentThrough > s.announcedThrough || regresses
	if len(batches) > 0 || progress && hasProgress {
		s.announcedThrough = s.sentThrough
		through = s.sentThrough
	}
	return batches, through, closed
}

// ConfirmedRevision converts a quorum's confirmation of this replica's revision into one for the follower. It does not
// count as confirmed if the follower's revision was higher when it connected.
func (s *Sender) ConfirmedRevision(revision uint64, confirmed bool) (uint64, bool) {
	if revision < s.initialRevision {
		return s.initialRevision, false
	}
	return revision, confirmed
}
