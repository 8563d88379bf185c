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
	NoDefect          Defect = iota
	ProgressEarly            // a replica says up to where it told all before it has told it
	SubscribeLate            // changes between the history's end and the stream's beginning are left out
	DeletionsLost            // a deletion is not told to those who hold a part
	ProgressRegresses        // a replica that is behind says so as progress
	WidenInPlace             // a copy takes a wider interest without the range that it lacks
	WidenFromOlder           // it takes a wider copy that is older than its own
	PartialAsComplete        // a part that was kept counts as all
	NarrowRetains            // what is of interest no more stays, and is told of no more
	RevisionSplit            // changes of one revision are made one by one
	NotHeldAsAbsent          // what a copy does not hold is read as not there
	CompactionIgnored        // changes that the history does not have any more are passed over
)

const maxStreamBytes = 4 << 20 // bytes that wait for one stream; who is that far behind begins anew

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

// Batch is what one revision changed of a stream's interest.
type Batch struct {
	Revision uint64
	Changes  []*Change
}

// Feed hands a replica's changes out to streams. What a change costs goes by the streams that it is of interest to, and by how many
// lengths the prefixes of all have. Any goroutine may use it.
type Feed struct {
	mu         sync.Mutex
	defect     Defect
	position   uint64 // up to where all is handed out
	advanced   chan struct{}
	unfiltered map[*Stream]struct{}
	byKey      map[string]map[*Stream]struct{}
	byPrefix   map[int]map[string]map[*Stream]struct{} // by length
}

// Stream is what one follower is to be told. One goroutine takes from it.
type Stream struct {
	feed       *Feed
	interest   *store.Interest
	ready      chan struct{}
	batches    []Batch
	bytes      int
	overflowed bool
}

// New returns a feed that has handed out all up to a revision.
func New(at uint64, p Defect) *Feed {
	return &Feed{position: at, defect: p, advanced: make(chan struct{}), unfiltered: map[*Stream]struct{}{}, byKey: map[string]map[*Stream]struct{}{},
		byPrefix: map[int]map[string]map[*Stream]struct{}{}}
}

// Position is the revision up to which all is handed out, and what is closed once it goes on.
func (f *Feed) Position() (at uint64, moved <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position, f.advanced
}

// Subscribe begins a stream of an interest, nil for all, whose first change is the next after the revision that is returned.
func (f *Feed) Subscribe(of *store.Interest) (s *Stream, from uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if of != nil { // each key is of one entry alone
		all := store.Interest{}.Union(*of)
		of = &all
	}
	s = &Stream{feed: f, interest: of, ready: make(chan struct{}, 1)}
	f.eachSet(s, func(m map[*Stream]struct{}) { m[s] = struct{}{} })
	return s, f.position
}

// Unsubscribe ends a stream.
func (f *Feed) Unsubscribe(s *Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eachSet(s, func(m map[*Stream]struct{}) { delete(m, s) })
	if s.interest == nil {
		return
	}
	for _, k := range s.interest.Keys {
		if len(f.byKey[k]) == 0 {
			delete(f.byKey, k)
		}
	}
	for _, p := range s.interest.Prefixes {
		if len(f.byPrefix[len(p)][p]) == 0 {
			delete(f.byPrefix[len(p)], p)
		}
		if len(f.byPrefix[len(p)]) == 0 {
			delete(f.byPrefix, len(p))
		}
	}
}

// eachSet calls do with each set of streams that one belongs to. The lock is held.
func (f *Feed) eachSet(s *Stream, do func(map[*Stream]struct{})) {
	if s.interest == nil {
		do(f.unfiltered)
		return
	}
	for _, k := range s.interest.Keys {
		if f.byKey[k] == nil {
			f.byKey[k] = map[*Stream]struct{}{}
		}
		do(f.byKey[k])
	}
	for _, p := range s.interest.Prefixes {
		if f.byPrefix[len(p)] == nil {
			f.byPrefix[len(p)] = map[string]map[*Stream]struct{}{}
		}
		if f.byPrefix[len(p)][p] == nil {
			f.byPrefix[len(p)][p] = map[*Stream]struct{}{}
		}
		do(f.byPrefix[len(p)][p])
	}
}

// Advance hands out what changed, in order, up to a revision: all of what is after the last call's.
func (f *Feed) Advance(events []store.Event, to uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if to <= f.position {
		return
	}
	for _, e := range events {
		if e.Revision <= f.position {
			continue
		}
		c := &Change{Event: e}
		for s := range f.unfiltered {
			s.add(c)
		}
		if e.Deleted && f.defect == DeletionsLost {
			continue
		}
		for s := range f.byKey[e.Item.Key] {
			s.add(c)
		}
		for n, of := range f.byPrefix {
			if n <= len(e.Item.Key) {
				for s := range of[e.Item.Key[:n]] {
					s.add(c)
				}
			}
		}
	}
	f.position = to
	f.notifyAdvanced()
}

// Skip says that changes up to a revision are not known here: all streams have to begin anew.
func (f *Feed) Skip(to uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for s := range f.unfiltered {
		s.overflow()
	}
	for _, of := range f.byKey {
		for s := range of {
			s.overflow()
		}
	}
	for _, lengths := range f.byPrefix {
		for _, of := range lengths {
			for s := range of {
				s.overflow()
			}
		}
	}
	f.position = max(f.position, to)
	f.notifyAdvanced()
}

func (f *Feed) notifyAdvanced() {
	close(f.advanced)
	f.advanced = make(chan struct{})
}

func (s *Stream) overflow() {
	s.overflowed, s.batches, s.bytes = true, nil, 0
	s.signal()
}

func (s *Stream) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *Stream) add(c *Change) {
	if s.overflowed {
		return
	}
	if s.bytes += len(c.Item.Key) + len(c.Item.Value) + 64; s.bytes > maxStreamBytes {
		s.overflow()
		return
	}
	if n := len(s.batches); n > 0 && s.batches[n-1].Revision == c.Revision {
		s.batches[n-1].Changes = append(s.batches[n-1].Changes, c)
	} else {
		s.batches = append(s.batches, Batch{c.Revision, []*Change{c}})
	}
	s.signal()
}

// Ready has something once there is something to take.
func (s *Stream) Ready() <-chan struct{} { return s.ready }

// take takes what waits, and up to where nothing is left out with it.
func (s *Stream) take() (txns []Batch, through uint64, over bool) {
	s.feed.mu.Lock()
	defer s.feed.mu.Unlock()
	txns, s.batches, s.bytes = s.batches, nil, 0
	return txns, s.feed.position, s.overflowed
}

// Sender tells one follower of its interest: of what changed while it was away from the history, then of what changes. It is for one
// goroutine.
type Sender struct {
	*Stream
	streamStart    uint64 // the stream has what is behind it
	requestedAfter uint64 // up to where the follower had all when it came,
	sentThrough    uint64 // has now,
	announced      uint64 // and was told that it has
}

// NewSender begins to tell a follower that has all of an interest up to a revision.
func (f *Feed) NewSender(of *store.Interest, after uint64) *Sender {
	s, from := f.Subscribe(of)
	return &Sender{Stream: s, streamStart: from, requestedAfter: after, sentThrough: after, announced: after}
}

// CatchUp returns what a state's history has of what the follower does not know, of some changes at a time, and whether that was all.
// The error is a *store.ErrCompacted if the history does not reach back: the follower has to take a copy.
func (t *Sender) CatchUp(s *store.State, most int) (txns []Batch, done bool, err error) {
	if t.sentThrough >= t.streamStart || t.feed.defect == SubscribeLate {
		t.sentThrough = max(t.sentThrough, t.streamStart)
		return nil, true, nil
	}
	events, to, err := s.ChangesIn(nil, t.interest, t.sentThrough, most)
	if gone := (*store.CompactedError)(nil); errors.As(err, &gone) && t.feed.defect == CompactionIgnored {
		t.sentThrough = gone.Oldest - 1
		return nil, false, nil
	}
	if err == nil && to <= t.sentThrough {
		err = store.ErrOutOfOrder // another state in the place of the one that the stream began with
	}
	if err != nil {
		return nil, false, err
	}
	for i := range events {
		c := &Change{Event: events[i]}
		switch n := len(txns); {
		case c.Revision > t.streamStart: // the stream has it
		case n > 0 && txns[n-1].Revision == c.Revision:
			txns[n-1].Changes = append(txns[n-1].Changes, c)
		default:
			txns = append(txns, Batch{c.Revision, []*Change{c}})
		}
	}
	t.sentThrough = min(to, t.streamStart)
	return txns, t.sentThrough >= t.streamStart, nil
}

// Take takes what is to be told: whole revisions, in order. through, if it is not 0, is to be said behind the last of them: up to there the
// follower was told all. progress has it said also if nothing changed. over says that the stream has ended, since it was too far behind.
func (t *Sender) Take(progress bool) (txns []Batch, through uint64, over bool) {
	txns, at, over := t.take()
	for len(txns) > 0 && txns[0].Revision <= t.sentThrough { // the follower is ahead of this replica
		txns = txns[1:]
	}
	if t.sentThrough = max(t.sentThrough, at); t.feed.defect == ProgressRegresses {
		t.sentThrough = at
	}
	if len(txns) > 0 || progress && (t.sentThrough > t.announced || t.feed.defect == ProgressRegresses) {
		t.announced, through = t.sentThrough, t.sentThrough
	}
	return txns, through, over
}

// ConfirmedRevision is what this replica's word that a quorum confirms a revision says to the follower: nothing, if that had more when it came.
func (t *Sender) ConfirmedRevision(revision uint64, proved bool) (uint64, bool) {
	if revision < t.requestedAfter {
		return t.requestedAfter, false
	}
	return revision, proved
}
