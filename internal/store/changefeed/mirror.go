package changefeed

import (
	"errors"
	"fmt"

	"birchmoor/internal/store"
)

// ErrCannotFollow reports that a replica cannot be followed, because its revision is lower than the mirror's or
// because it belongs to another cluster. Package follower also returns it for a replica that sends an unusable answer.
var ErrCannotFollow = errors.New("cannot follow the replica")

// Mirror is the follower's half of the feed. It holds the copy and determines what to request from a replica next. It
// is not safe for concurrent use.
type Mirror struct {
	state    *store.State    // the copy; nil: there is none yet
	interest *store.Interest // keys that the copy must hold; nil: all keys
	restored bool            // state was saved by an earlier process
	defect   Defect
}

// NewMirror returns a mirror without a copy for an interest; nil means all keys.
func NewMirror(interest *store.Interest, defect Defect) *Mirror {
	return &Mirror{interest: normalized(interest), defect: defect}
}

// State returns the copy, or nil if there is none yet. The caller must not modify it.
func (m *Mirror) State() *store.State { return m.state }

// SetInterest sets the interest and reports whether it changed; nil means all keys. The copy changes only when the
// replica has answered the next request.
func (m *Mirror) SetInterest(interest *store.Interest) (changed bool) {
	interest = normalized(interest)
	if equalInterests(m.interest, interest) {
		return false
	}
	m.interest = interest
	return true
}

// FetchRequest describes a request to a replica, for a snapshot or for a stream of changes.
type FetchRequest struct {
	Snapshot bool            // request a snapshot instead of a stream
	Interest *store.Interest // nil: all keys
	After    uint64          // revision after which the stream begins; 0 for a snapshot
}

// NextRequest returns the request to send next: for a snapshot if the copy does not hold the interest, else for a
// stream.
func (m *Mirror) NextRequest() FetchRequest {
	request := FetchRequest{Interest: m.interest, Snapshot: m.needsSnapshot()}
	if !request.Snapshot {
		request.After = m.state.Revision()
	}
	return request
}

func (m *Mirror) needsSnapshot() bool {
	if m.state == nil {
		return true
	}
	if m.defect == WidenInPlace && !m.restored || m.defect == PartialAsComplete && m.restored {
		return false
	}
	return !coversInterest(m.state.Interest(), m.interest)
}

// Replace replaces the copy by a replica's snapshot. If the snapshot is older than the copy or of another cluster, it
// returns an error that wraps ErrCannotFollow and changes nothing.
func (m *Mirror) Replace(snapshot *store.State) error {
	current := m.state
	if current == nil {
		m.adopt(snapshot, false)
		return nil
	}
	older := snapshot.Revision() < current.Revision() && m.defect != WidenFromOlder
	if older || snapshot.Cluster() != current.Cluster() {
		return fmt.Errorf("%w: it has revision %d of cluster %x, but this copy has revision %d of cluster %x",
			ErrCannotFollow, snapshot.Revision(), snapshot.Cluster(), current.Revision(), current.Cluster())
	}
	m.adopt(snapshot, false)
	return nil
}

// Restore replaces the copy by a state that an earlier process saved.
func (m *Mirror) Restore(saved *store.State) { m.adopt(saved, true) }

func (m *Mirror) adopt(state *store.State, restored bool) {
	m.state = state
	m.restored = restored
}

// StreamOpened processes a replica's answer to a request for a stream of an interest. scoped is true if the replica
// sends only the changes of the interest; a replica of an older version sends all changes. narrowed is true if the copy
// was reduced to the interest, because changes of other keys will not arrive. needsSnapshot is true if the caller must
// first fetch a snapshot of all keys from that replica.
func (m *Mirror) StreamOpened(scoped bool) (narrowed, needsSnapshot bool) {
	heldInterest := m.state.Interest()
	if !scoped {
		return false, heldInterest != nil
	}
	if m.interest == nil || equalInterests(heldInterest, m.interest) {
		return false, false
	}
	if m.defect == NarrowRetains && coversInterest(heldInterest, m.interest) {
		return false, false
	}
	m.state = m.state.SubsetWithHistory(*m.interest)
	return true, false
}

// ApplyRevision applies all changes of one revision to the keys of the interest.
func (m *Mirror) ApplyRevision(events []store.Event) error {
	if m.defect == RevisionSplit && len(events) > 1 {
		events = events[:1]
	}
	return m.state.ApplyEvents(events)
}

// ApplyEvent applies one change from a stream of all keys, in which changes arrive one by one.
func (m *Mirror) ApplyEvent(event store.Event) error { return m.state.ApplyEvent(event) }

// Progress advances the copy to a revision up to which the replica has sent all changes of the interest.
func (m *Mirror) Progress(revision uint64) error {
	if m.defect == ProgressRegresses && revision < m.state.Revision() {
		return nil
	}
	return m.state.AdvanceRevision(revision)
}

// HasRevision reports whether the copy includes a revision. If it does, a quorum's confirmation of the revision applies
// to the copy, too.
func (m *Mirror) HasRevision(revision uint64) bool {
	return m.state != nil && revision <= m.state.Revision()
}

// Retained returns a clone of the part of the copy that is saved for the next process: a complete copy as a whole, of a
// partial copy the keys that an interest covers.
func (m *Mirror) Retained(interest store.Interest) *store.State {
	heldInterest := m.state.Interest()
	if heldInterest == nil {
		return m.state.Clone()
	}
	return m.state.Subset(intersect(*heldInterest, interest))
}

// Read calls read with the copy and returns the keys that it read, or none for a complete copy. complete is false if it
// read keys that the copy does not hold; the caller must then discard the results of read.
func (m *Mirror) Read(read func(*store.State)) (keysRead store.Interest, complete bool) {
	m.state.TrackReads()
	read(m.state)
	keysRead, complete = m.state.TrackedReads()
	return keysRead, complete || m.defect == NotHeldAsAbsent
}
