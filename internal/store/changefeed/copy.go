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
	Of   *store.Interest // nil: all
	Kept store.Interest  // of that, what is of use to the next start
	Sums []string        // prefixes of which it needs to know how many keys there are
}

// Join is what either needs.
func (n Subscription) Join(o Subscription) Subscription {
	all := Subscription{Kept: n.Kept.Union(o.Kept), Sums: slices.Compact(slices.Sorted(slices.Values(slices.Concat(n.Sums, o.Sums))))}
	if n.Of != nil && o.Of != nil {
		of := n.Of.Union(*o.Of)
		all.Of = &of
	}
	return all
}

// Mirror is a follower's half: what it holds, what it is to hold, and what it has to ask for. It is for one goroutine at a time.
type Mirror struct {
	state *store.State    // nil before the first
	want  *store.Interest // nil: all
	found bool            // it is what an earlier process kept
	plant Defect
}

// NewMirror returns one that holds nothing yet, and is to hold an interest; nil is all.
func NewMirror(want *store.Interest, p Defect) *Mirror {
	c := &Mirror{plant: p}
	c.Want(want)
	return c
}

// State is what it holds, or nil.
func (c *Mirror) State() *store.State { return c.state }

// Want says what it is to hold from now on, and whether that is another interest than before.
func (c *Mirror) Want(of *store.Interest) (other bool) {
	if of != nil {
		all := store.Interest{}.Union(*of)
		of = &all
	}
	if other = !same(c.want, of); other {
		c.want = of
	}
	return other
}

func same(a, b *store.Interest) bool {
	return a == nil && b == nil || a != nil && b != nil && a.Equal(*b)
}

// holds says whether who has one interest has all of another.
func holds(have, want *store.Interest) bool {
	return have == nil || want != nil && have.Contains(*want)
}

// FetchRequest is what a replica is to be asked for next.
type FetchRequest struct {
	Fetch bool            // a copy; else what changes
	Of    *store.Interest // nil: all
	After uint64          // changes after this revision
}

// Ask returns it.
func (c *Mirror) Ask() FetchRequest {
	a := FetchRequest{Of: c.want, Fetch: c.state == nil || !holds(c.state.Interest(), c.want)}
	if c.plant == WidenInPlace && !c.found || c.plant == PartAsWhole && c.found {
		a.Fetch = c.state == nil
	}
	if !a.Fetch {
		a.After = c.state.Revision()
	}
	return a
}

// Took takes a copy that a replica gave, unless it is older than what is here.
func (c *Mirror) Took(s *store.State) error {
	have := c.state
	if have != nil && (s.Cluster() != have.Cluster() || s.Revision() < have.Revision() && c.plant != WidenOld) {
		return fmt.Errorf("%w: revision %d of cluster %x, and here is revision %d of cluster %x", ErrReplicaBehind, s.Revision(), s.Cluster(),
			have.Revision(), have.Cluster())
	}
	c.state, c.found = s, false
	return nil
}

// Found takes what an earlier process kept.
func (c *Mirror) Found(s *store.State) { c.state, c.found = s, true }

// Scoped takes how a replica answers that was asked for changes: those of the interest, or, as one of an older version, all. What the
// copy holds beyond its interest is let go when it will be told of no more: anew says so. fetch says that all has to be taken from
// that replica first.
func (c *Mirror) Scoped(yes bool) (anew, fetch bool) {
	switch have := c.state.Interest(); {
	case !yes:
		return false, have != nil
	case c.want == nil || same(have, c.want):
		return false, false
	}
	if c.plant == NarrowKeeps && holds(c.state.Interest(), c.want) {
		return false, false
	}
	c.state = c.state.SubsetWithHistory(*c.want)
	return true, false
}

// Changes takes all that one revision changed of the interest.
func (c *Mirror) Changes(events []store.Event) error {
	if c.plant == HalfRevision && len(events) > 1 {
		return c.state.ApplyEvents(events[:1])
	}
	return c.state.ApplyEvents(events)
}

// Change takes one change of a replica that tells of all, one by one.
func (c *Mirror) Change(e store.Event) error { return c.state.ApplyEvent(e) }

// Through takes up to where nothing was left out.
func (c *Mirror) Through(revision uint64) error {
	if c.plant == BehindTells && revision < c.state.Revision() {
		return nil
	}
	return c.state.AdvanceRevision(revision)
}

// Confirmed says whether a replica's word that a quorum confirms a revision is of this copy, too.
func (c *Mirror) Confirmed(revision uint64) bool {
	return c.state != nil && revision <= c.state.Revision()
}

// Kept is what is to outlive the process: of a copy of all, all; of a part what of it is of an interest.
func (c *Mirror) Kept(of store.Interest) *store.State {
	have := c.state.Interest()
	if have == nil {
		return c.state.Clone()
	}
	return c.state.Subset(meet(*have, of))
}

// meet is what both hold.
func meet(a, b store.Interest) (both store.Interest) {
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
	return read, held || c.plant == OutsideAbsent
}
