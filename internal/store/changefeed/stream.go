package changefeed

import "birchmoor/internal/store"

const (
	maxStreamBytes      = 4 << 20 // of changes that wait; a follower that is further behind begins anew
	changeOverheadBytes = 64      // counted for a change besides its key and value
)

// Stream holds the changes that wait for one follower. One goroutine takes from it.
type Stream struct {
	feed     *Feed
	interest *store.Interest // nil: all keys
	ready    chan struct{}

	// Guarded by the feed's lock.
	batches []Batch
	bytes   int
	closed  bool
}

// Ready receives a value once there is something to take.
func (s *Stream) Ready() <-chan struct{} { return s.ready }

// add appends a change. The feed's lock is held.
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

// close drops what waits. The feed's lock is held.
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

// take removes and returns what waits, and the revision up to which it leaves out nothing.
func (s *Stream) take() (batches []Batch, through uint64, closed bool) {
	s.feed.mu.Lock()
	defer s.feed.mu.Unlock()
	batches = s.batches
	s.batches = nil
	s.bytes = 0
	return batches, s.feed.position, s.closed
}
