package changefeed

import (
	"errors"
	"fmt"
	"slices"

	"birchmoor/internal/store"
)

// ErrReplicaBehind says that a replica has less than this copy, or is of another cluster.
var ErrReplicaBehind = errors.New("the replica cannot be followed")

// Subscription are what a daemon needs of the store.
type Subscription struct {
	Interest     *store.Interest // nil: all
	Retained     store.Interest  // of that, what is of use to the next start
	SizePrefixes []string        // prefixes of which it needs to know how many keys there are
}

// Union is what either needs.
func (n Subscription) Union(o Subscription) Subscription {
	all := Subscription{Retained: n.Retained.Union(o.Retained), SizePrefixes: slices.Compact(slices.Sorted(slices.Values(slices.Concat(n.SizePrefixes, o.SizePrefixes))))}
	if n.Interest != nil && o.Interest != nil {
		of := n.Interest.Union(*o.Interest)
		all.Interest = &of
	}
	return all
}

// Mirror is a follower's half: what it holds, what it is to hold, and what it has to ask for. It is for one goroutine at a time.
type Mirror struct {
	state    *store.State    // nil before the first
	interest *store.Interest // nil: all
	restored bool            // it is what an earlier process kept
	defect   Defect
}

// NewMirror returns one that holds nothing yet, and is to hold an interest; nil is all.
func NewMirror(want *store.Interest, p Defect) *Mirror {
	c := &Mirror{defect: p}
	c.SetInterest(want)
	return c
}

// State is what it holds, or nil.
func (c *Mirror) State() *store.State { return c.state }

// SetInterest says what it is to hold from now on, and whether that is another interest than before.
func (c *Mirror) SetInterest(of *store.Interest) (other bool) {
	if of != nil {
		all := store.Interest{}.Union(*of)
		of = &all
	}
	if other = !equalInterests(c.interest, of); other {
		c.interest = of
	}
	return other
}

func equalInterests(a, b *store.Interest) bool {
	return a == nil && b == nil || a != nil && b != nil && a.Equal(*b)
}

// coversInterest says whether who has one interest has all of another.
func coversInterest(have, want *store.Interest) bool {
	return have == nil || want != nil && have.Contains(*want)
}

// FetchRequest is what a replica is to be asked for next.
type FetchRequest struct {
	Snapshot bool            // a copy; else what changes
	Interest *store.Interest // nil: all
	After    uint64          // changes after this revision
}

// NextRequest returns it.
func (c *Mirror) NextRequest() FetchRequest {
	a := FetchRequest{Interest: c.interest, Snapshot: c.state == nil || !coversInterest(c.state.Interest(), c.interest)}
	if c.defect == WidenInPlace && !c.restored || c.defect == PartialAsComplete && c.restored {
		a.Snapshot = c.state == nil
	}
	if !a.Snapshot {
		a.After = c.state.Revision()
	}
	return a
}

// Replace takes a copy that a replica gave, unless it is older than what is here.
func (c *Mirror) Replace(s *store.State) error {
	have := c.state
	if have != nil && (s.Cluster() != have.Cluster() || s.Revision() < have.Revision() && c.defect != WidenFromOlder) {
		return fmt.Errorf("%w: revision %d of cluster %x, and here is revision %d of cluster %x", ErrReplicaBehind, s.Revision(), s.Cluster(),
			have.Revision(), have.Cluster())
	}
	c.state, c.restored = s, false
	return nil
}

// Restore takes what an earlier process kept.
func (c *Mirror) Restore(s *store.State) { c.state, c.restored = s, true }

// StreamOpened takes how a replica answers that was asked for changes: those of the interest, or, as one of an older version, all. What the
// copy holds beyond its interest is let go when it will be told of no more: anew says so. fetch says that all has to be taken from
// that replica first.
func (c *Mirror) StreamOpened(yes bool) (anew, fetch bool) {
	switch have := c.state.Interest(); {
	case !yes:
		return false, have != nil
	case c.interest == nil || equalInterests(have, c.interest):
		return false, false
	}
	if c.defect == NarrowRetains && coversInterest(c.state.Interest(), c.interest) {
		return false, false
	}
	c.state = c.state.SubsetWithHistory(*c.interest)
	return true, false
}

// ApplyRevision takes all that one revision changed of the interest.
func (c *Mirror) ApplyRevision(events []store.Event) error {
	if c.defect == RevisionSplit && len(events) > 1 {
		return c.state.ApplyEvents(events[:1])
	}
	return c.state.ApplyEvents(events)
}

// ApplyEvent takes one change of a replica that tells of all, one by one.
func (c *Mirror) ApplyEvent(e store.Event) error { return c.state.ApplyEvent(e) }

// Progress takes up to where nothing was left out.
func (c *Mirror) Progress(revision uint64) error {
	if c.defect == ProgressRegresses && revision < c.state.Revision() {
		return nil
	}
	return c.state.AdvanceRevision(revision)
}

// HasRevision says whether a replica's word that a quorum confirms a revision is of this copy, too.
func (c *Mirror) HasRevision(revision uint64) bool {
	return c.state != nil && revision <= c.state.Revision()
}

// Retained is what is to outlive the process: of a copy of all, all; of a part what of it is of an interest.
func (c *Mirror) Retained(of store.Interest) *store.State {
	have := c.state.Interest()
	if have == nil {
		return c.state.Clone()
	}
	return c.state.Subset(intersect(*have, of))
}

// intersect is what both hold.
func intersect(a, b store.Interest) (both store.Interest) {
	for _, x := range [][2]store.Interest{{a, b}, {b, a}} {
		for _, p := range x[0].Prefixes {
			if x[1].CoversPrefix(p) {
				both.Prefixes = append(both.Prefixes, p)
			}
		}
		for _, k := range x[0].Keys {
			if x[1].Covers(k) {
				both.Keys = append(both.Keys, k)
			}
		}
	}
	return store.Interest{}.Union(both)
}

// Read has f read the copy. What f read beyond it is told: f is to be called again with a state that has all of it.
func (c *Mirror) Read(f func(*store.State)) (read store.Interest, held bool) {
	c.state.TrackReads()
	f(c.state)
	read, held = c.state.TrackedReads()
	return read, held || c.defect == NotHeldAsAbsent
}
