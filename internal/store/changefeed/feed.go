// Package changefeed is how the store's changes come to copies of it, whole ones and such as hold a part: Feed is a replica's half, Copy a
// follower's. It is free of I/O, clocks and chance: changes, lines and copies come in, what is to be sent or asked comes out.
//
// What is promised (docs/design/interest.md): a copy at revision R holds of its interest what a replica held at R, key by key, and says
// of nothing else whether it is there.
package changefeed

import (
	"encoding/json"
	"errors"
	"sync"

	"birchmoor/internal/store"
)

// Defect is a fault that is put in so that a test shows that it is found.
type Defect int

// The faults.
const (
	NoDefect        Defect = iota
	ProgressEarly          // a replica says up to where it told all before it has told it
	JoinLate               // changes between the history's end and the stream's beginning are left out
	DeletesLost            // a deletion is not told to those who hold a part
	BehindTells            // a replica that is behind says so as progress
	WidenInPlace           // a copy takes a wider interest without the range that it lacks
	WidenOld               // it takes a wider copy that is older than its own
	PartAsWhole            // a part that was kept counts as all
	NarrowKeeps            // what is of interest no more stays, and is told of no more
	HalfRevision           // changes of one revision are made one by one
	OutsideAbsent          // what a copy does not hold is read as not there
	CompactedPassed        // changes that the history does not have any more are passed over
)

const streamMost = 4 << 20 // bytes that wait for one stream; who is that far behind begins anew

// Change is one event, written out once for all who are told of it.
type Change struct {
	store.Event
	once sync.Once
	text []byte
}

// JSON is the event as it is sent.
func (c *Change) JSON() []byte {
	c.once.Do(func() { c.text, _ = json.Marshal(&c.Event) }) // strings, bytes and numbers always can be written
	return c.text
}

// Txn is what one revision changed of a stream's interest.
type Txn struct {
	Revision uint64
	Changes  []*Change
}

// Feed hands a replica's changes out to streams. What a change costs goes by the streams that it is of interest to, and by how many
// lengths the prefixes of all have. Any goroutine may use it.
type Feed struct {
	mu       sync.Mutex
	plant    Defect
	at       uint64 // up to where all is handed out
	moved    chan struct{}
	whole    map[*Stream]struct{}
	keys     map[string]map[*Stream]struct{}
	prefixes map[int]map[string]map[*Stream]struct{} // by length
}

// Stream is what one follower is to be told. One goroutine takes from it.
type Stream struct {
	f     *Feed
	of    *store.Interest
	wake  chan struct{}
	txns  []Txn
	bytes int
	over  bool
}

// New returns a feed that has handed out all up to a revision.
func New(at uint64, p Defect) *Feed {
	return &Feed{at: at, plant: p, moved: make(chan struct{}), whole: map[*Stream]struct{}{}, keys: map[string]map[*Stream]struct{}{},
		prefixes: map[int]map[string]map[*Stream]struct{}{}}
}

// At is the revision up to which all is handed out, and what is closed once it goes on.
func (f *Feed) At() (at uint64, moved <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at, f.moved
}

// Join begins a stream of an interest, nil for all, whose first change is the next after the revision that is returned.
func (f *Feed) Join(of *store.Interest) (s *Stream, from uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if of != nil { // each key is of one entry alone
		all := store.Interest{}.Union(*of)
		of = &all
	}
	s = &Stream{f: f, of: of, wake: make(chan struct{}, 1)}
	f.index(s, func(m map[*Stream]struct{}) { m[s] = struct{}{} })
	return s, f.at
}

// Leave ends a stream.
func (f *Feed) Leave(s *Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index(s, func(m map[*Stream]struct{}) { delete(m, s) })
	if s.of == nil {
		return
	}
	for _, k := range s.of.Keys {
		if len(f.keys[k]) == 0 {
			delete(f.keys, k)
		}
	}
	for _, p := range s.of.Prefixes {
		if len(f.prefixes[len(p)][p]) == 0 {
			delete(f.prefixes[len(p)], p)
		}
		if len(f.prefixes[len(p)]) == 0 {
			delete(f.prefixes, len(p))
		}
	}
}

// index calls do with each set of streams that one belongs to. The lock is held.
func (f *Feed) index(s *Stream, do func(map[*Stream]struct{})) {
	if s.of == nil {
		do(f.whole)
		return
	}
	for _, k := range s.of.Keys {
		if f.keys[k] == nil {
			f.keys[k] = map[*Stream]struct{}{}
		}
		do(f.keys[k])
	}
	for _, p := range s.of.Prefixes {
		if f.prefixes[len(p)] == nil {
			f.prefixes[len(p)] = map[string]map[*Stream]struct{}{}
		}
		if f.prefixes[len(p)][p] == nil {
			f.prefixes[len(p)][p] = map[*Stream]struct{}{}
		}
		do(f.prefixes[len(p)][p])
	}
}

// Advance hands out what changed, in order, up to a revision: all of what is after the last call's.
func (f *Feed) Advance(events []store.Event, to uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if to <= f.at {
		return
	}
	for _, e := range events {
		if e.Revision <= f.at {
			continue
		}
		c := &Change{Event: e}
		for s := range f.whole {
			s.add(c)
		}
		if e.Deleted && f.plant == DeletesLost {
			continue
		}
		for s := range f.keys[e.Item.Key] {
			s.add(c)
		}
		for n, of := range f.prefixes {
			if n <= len(e.Item.Key) {
				for s := range of[e.Item.Key[:n]] {
					s.add(c)
				}
			}
		}
	}
	f.at = to
	f.went()
}

// Skip says that changes up to a revision are not known here: all streams have to begin anew.
func (f *Feed) Skip(to uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.whole {
		s.end()
	}
	for _, of := range f.keys {
		for s := range of {
			s.end()
		}
	}
	for _, lengths := range f.prefixes {
		for _, of := range lengths {
			for s := range of {
				s.end()
			}
		}
	}
	f.at = max(f.at, to)
	f.went()
}

func (f *Feed) went() {
	close(f.moved)
	f.moved = make(chan struct{})
}

func (s *Stream) end() {
	s.over, s.txns, s.bytes = true, nil, 0
	s.poke()
}

func (s *Stream) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Stream) add(c *Change) {
	if s.over {
		return
	}
	if s.bytes += len(c.Item.Key) + len(c.Item.Value) + 64; s.bytes > streamMost {
		s.end()
		return
	}
	if n := len(s.txns); n > 0 && s.txns[n-1].Revision == c.Revision {
		s.txns[n-1].Changes = append(s.txns[n-1].Changes, c)
	} else {
		s.txns = append(s.txns, Txn{c.Revision, []*Change{c}})
	}
	s.poke()
}

// Wake has something once there is something to take.
func (s *Stream) Wake() <-chan struct{} { return s.wake }

// take takes what waits, and up to where nothing is left out with it.
func (s *Stream) take() (txns []Txn, through uint64, over bool) {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	txns, s.txns, s.bytes = s.txns, nil, 0
	return txns, s.f.at, s.over
}

// Sender tells one follower of its interest: of what changed while it was away from the history, then of what changes. It is for one
// goroutine.
type Sender struct {
	*Stream
	from  uint64 // the stream has what is behind it
	asked uint64 // up to where the follower had all when it came,
	after uint64 // has now,
	said  uint64 // and was told that it has
}

// Tell begins to tell a follower that has all of an interest up to a revision.
func (f *Feed) Tell(of *store.Interest, after uint64) *Sender {
	s, from := f.Join(of)
	return &Sender{Stream: s, from: from, asked: after, after: after, said: after}
}

// CatchUp returns what a state's history has of what the follower does not know, of some changes at a time, and whether that was all.
// The error is a *store.ErrCompacted if the history does not reach back: the follower has to take a copy.
func (t *Sender) CatchUp(s *store.State, most int) (txns []Txn, done bool, err error) {
	if t.after >= t.from || t.f.plant == JoinLate {
		t.after = max(t.after, t.from)
		return nil, true, nil
	}
	events, to, err := s.ChangesIn(nil, t.of, t.after, most)
	if gone := (*store.CompactedError)(nil); errors.As(err, &gone) && t.f.plant == CompactedPassed {
		t.after = gone.Oldest - 1
		return nil, false, nil
	}
	if err == nil && to <= t.after {
		err = store.ErrOutOfOrder // another state in the place of the one that the stream began with
	}
	if err != nil {
		return nil, false, err
	}
	for i := range events {
		c := &Change{Event: events[i]}
		switch n := len(txns); {
		case c.Revision > t.from: // the stream has it
		case n > 0 && txns[n-1].Revision == c.Revision:
			txns[n-1].Changes = append(txns[n-1].Changes, c)
		default:
			txns = append(txns, Txn{c.Revision, []*Change{c}})
		}
	}
	t.after = min(to, t.from)
	return txns, t.after >= t.from, nil
}

// Take takes what is to be told: whole revisions, in order. through, if it is not 0, is to be said behind the last of them: up to there the
// follower was told all. progress has it said also if nothing changed. over says that the stream has ended, since it was too far behind.
func (t *Sender) Take(progress bool) (txns []Txn, through uint64, over bool) {
	txns, at, over := t.take()
	for len(txns) > 0 && txns[0].Revision <= t.after { // the follower is ahead of this replica
		txns = txns[1:]
	}
	if t.after = max(t.after, at); t.f.plant == BehindTells {
		t.after = at
	}
	if len(txns) > 0 || progress && (t.after > t.said || t.f.plant == BehindTells) {
		t.said, through = t.after, t.after
	}
	return txns, through, over
}

// Confirms is what this replica's word that a quorum confirms a revision says to the follower: nothing, if that had more when it came.
func (t *Sender) Confirms(revision uint64, proved bool) (uint64, bool) {
	if revision < t.asked {
		return t.asked, false
	}
	return revision, proved
}
