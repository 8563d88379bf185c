package changefeed

import (
	"errors"
	"fmt"

	"birchmoor/internal/store"
)

// ErrReplicaBehind reports a replica whose revision is lower than that of the mirror, or that is of another
// cluster.
var ErrReplicaBehind = errors.New("the replica cannot be followed")

// Mirror is a follower's half of the feed: what it holds, what it is to hold, and what it has to request. It is
// not safe for concurrent use.
type Mirror struct {
	state    *store.State    // nil: nothing yet
	interest *store.Interest // what it is to hold; nil: all keys
	restored bool            // state is what an earlier process saved
	defect   Defect
}

// NewMirror returns a mirror that holds nothing yet and is to hold an interest; nil is all keys.
func NewMirror(interest *store.Interest, defect Defect) *Mirror {
	return &Mirror{interest: normalized(interest), defect: defect}
}

// State is what the mirror holds, or nil.
func (m *Mirror) State() *store.State { return m.state }

// SetInterest sets what the mirror is to hold, nil for all keys, and reports whether that changed.
func (m *Mirror) SetInterest(interest *store.Interest) (changed bool) {
	interest = normalized(interest)
	if equalInterests(m.interest, interest) {
		return false
	}
	m.interest = interest
	return true
}

// FetchRequest is what is to be requested from a replica next.
type FetchRequest struct {
	Snapshot bool            // a snapshot; else a stream of changes
	Interest *store.Interest // nil: all keys
	After    uint64          // the stream begins after this revision
}

// NextRequest returns what is to be requested next.
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

// Replace takes a snapshot of a replica in the place of the state. The error wraps ErrReplicaBehind, and
// nothing changes, if it is older than the state or of another cluster.
func (m *Mirror) Replace(snapshot *store.State) error {
	have := m.state
	if have == nil {
		m.adopt(snapshot, false)
		return nil
	}
	older := snapshot.Revision() < have.Revision() && m.defect != WidenFromOlder
	if older || snapshot.Cluster() != have.Cluster() {
		return fmt.Errorf("%w: revision %d of cluster %x, and here is revision %d of cluster %x", ErrReplicaBehind,
			snapshot.Revision(), snapshot.Cluster(), have.Revision(), have.Cluster())
	}
	m.adopt(snapshot, false)
	return nil
}

// Restore takes what an earlier process saved.
func (m *Mirror) Restore(saved *store.State) { m.adopt(saved, true) }

func (m *Mirror) adopt(state *store.State, restored bool) {
	m.state = state
	m.restored = restored
}

// StreamOpened takes how a replica answered a request for the changes of an interest. scoped says that it sends
// those of the interest alone; a replica of an older version sends all. needsSnapshot says that a snapshot of
// all keys has to be fetched from that replica first. narrowed says that the state was cut down to the
// interest, since changes of the rest are not sent.
func (m *Mirror) StreamOpened(scoped bool) (narrowed, needsSnapshot bool) {
	have := m.state.Interest()
	if !scoped {
		return false, have != nil
	}
	if m.interest == nil || equalInterests(have, m.interest) {
		return false, false
	}
	if m.defect == NarrowRetains && coversInterest(have, m.interest) {
		return false, false
	}
	m.state = m.state.SubsetWithHistory(*m.interest)
	return true, false
}

// ApplyRevision applies all that one revision changed of the interest.
func (m *Mirror) ApplyRevision(events []store.Event) error {
	if m.defect == RevisionSplit && len(events) > 1 {
		events = events[:1]
	}
	return m.state.ApplyEvents(events)
}

// ApplyEvent applies one change of a replica that sends all changes one by one.
func (m *Mirror) ApplyEvent(event store.Event) error { return m.state.ApplyEvent(event) }

// Progress takes a revision up to which the replica left out no change of the interest.
func (m *Mirror) Progress(revision uint64) error {
	if m.defect == ProgressRegresses && revision < m.state.Revision() {
		return nil
	}
	return m.state.AdvanceRevision(revision)
}

// HasRevision reports whether the state is at a revision or beyond, so that a quorum's confirmation of the
// revision applies to it, too.
func (m *Mirror) HasRevision(revision uint64) bool {
	return m.state != nil && revision <= m.state.Revision()
}

// Retained is a copy of what is to be saved for the next process: of a state of all keys all, of a part what an
// interest covers of it.
func (m *Mirror) Retained(interest store.Interest) *store.State {
	have := m.state.Interest()
	if have == nil {
		return m.state.Clone()
	}
	return m.state.Subset(intersect(*have, interest))
}

// Read calls read with the state, and returns what it read. complete is false if it read something that the
// mirror does not hold; what read made of that is void.
func (m *Mirror) Read(read func(*store.State)) (what store.Interest, complete bool) {
	m.state.TrackReads()
	read(m.state)
	what, complete = m.state.TrackedReads()
	return what, complete || m.defect == NotHeldAsAbsent
}
