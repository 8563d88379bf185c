package changefeed

import "birchmoor/internal/store"

const (
	maxStreamBytes      = 4 << 20 // pending changes of a stream; a follower that is further behind has to reconnect
	changeOverheadBytes = 64      // counted for a change in addition to its key and value
)

// Stream holds the pending changes for one follower, whose connection's goroutine is the only one that takes them.
type Stream struct {
	feed     *Feed
	interest *store.Interest // nil: all keys
	ready    chan struct{}

	// Guarded by the feed's lock.
	batches []Batch
	bytes   int
	closed  bool
}

// Ready returns a channel that receives a value when changes are pending or the stream was closed.
func (s *Stream) Ready() <-chan struct{} { return s.ready }

// add appends a change, or closes the stream if that would exceed maxStreamBytes. The caller holds the feed's lock.
func (s *Stream) add(change *Change) {
	if s.closed {
		return
	}
	s.bytes += len(change.Item.Key) + len(change.Item.Value) + changeOverheadBytes
	if s.bytes > maxStreamBytes {
		s.close()
		return
	}
	s.batches = appendChange(s.batches, change)
	s.signal()
}

// close ends the stream and drops its pending changes. The caller holds the feed's lock.
func (s *Stream) close() {
	s.closed = true
	s.batches = nil
	s.bytes = 0
	s.signal()
}

func (s *Stream) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// take removes and returns the pending changes, and the revision up to which they are complete. closed is true if the
// stream was closed.
func (s *Stream) take() (batches []Batch, through uint64, closed bool) {
	s.feed.mu.Lock()
	defer s.feed.mu.Unlock()
	batches = s.batches
	s.batches = nil
	s.bytes = 0
	return batches, s.feed.position, s.closed
}
