package changefeed

import (
	"errors"

	"birchmoor/internal/store"
)

// Sender decides what is sent to one follower of its interest: first, from the history, what changed while it
// was not connected, then what changes. It is not safe for concurrent use.
type Sender struct {
	*Stream
	streamStart    uint64 // the stream has the changes after this revision
	requestedAfter uint64 // the follower's revision when it connected
	sentThrough    uint64 // the revision up to which everything was taken for sending
	announced      uint64 // the last revision up to which it was announced that the follower has everything
}

// NewSender begins to send the changes of an interest to a follower that has everything up to a revision. The
// stream is to be ended by Unsubscribe.
func (f *Feed) NewSender(interest *store.Interest, after uint64) *Sender {
	stream, start := f.Subscribe(interest)
	return &Sender{Stream: stream, streamStart: start, requestedAfter: after, sentThrough: after, announced: after}
}

// CatchUp returns what a state's history has between the follower's revision and the beginning of the stream,
// from at most maxEvents events at a time, and whether that was all. The error is a *store.CompactedError if
// the history does not reach back far enough: the follower has to fetch a snapshot.
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
		return nil, false, store.ErrOutOfOrder // the state is not the one with which the stream began
	}
	for _, event := range events {
		if event.Revision <= s.streamStart { // the stream has the later ones
			batches = appendChange(batches, &Change{Event: event})
		}
	}
	s.sentThrough = min(through, s.streamStart)
	return batches, s.sentThrough >= s.streamStart, nil
}

// Take returns what is to be sent: complete revisions, in order. through, unless it is 0, is to be announced
// behind the last of them: the follower was sent everything up to there. With progress set it is returned also
// if nothing changed. closed says that the follower was too far behind, or the feed skipped changes, and that
// the stream has ended.
func (s *Sender) Take(progress bool) (batches []Batch, through uint64, closed bool) {
	batches, position, closed := s.take()
	for len(batches) > 0 && batches[0].Revision <= s.sentThrough { // the follower is ahead of this replica
		batches = batches[1:]
	}
	regresses := s.feed.defect == ProgressRegresses
	s.sentThrough = max(s.sentThrough, position)
	if regresses {
		s.sentThrough = position
	}
	isNews := s.sentThrough > s.announced || regresses
	if len(batches) > 0 || progress && isNews {
		s.announced = s.sentThrough
		through = s.sentThrough
	}
	return batches, through, closed
}

// ConfirmedRevision is what a quorum's confirmation of this replica's revision means for the follower: nothing,
// if the follower's revision was higher when it connected.
func (s *Sender) ConfirmedRevision(revision uint64, confirmed bool) (uint64, bool) {
	if revision < s.requestedAfter {
		return s.requestedAfter, false
	}
	return revision, confirmed
}
