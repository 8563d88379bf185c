// Package changefeed carries the changes of the store to complete and partial copies of it. Feed, Stream and Sender are
// the replica's half, Mirror is the follower's. The package does no I/O, reads no clock and uses no random numbers: its
// callers pass it changes, messages and snapshots, and it returns what they must send or request. It may import package
// store and nothing else of birchmoor.
//
// Its guarantee (docs/design/interest.md): a copy at revision R has the same items as a replica had at R for all keys
// of its interest, and reports of no other key whether it exists.
package changefeed

import (
	"encoding/json"
	"sync"

	"birchmoor/internal/store"
)

// Change is an event that is encoded once for all followers that receive it.
type Change struct {
	store.Event
	once    sync.Once
	encoded []byte
}

// JSON returns the event as followers receive it. It is safe for concurrent use. The caller must not modify the result.
func (c *Change) JSON() []byte {
	c.once.Do(func() {
		encoded, err := json.Marshal(&c.Event)
		if err != nil {
			panic(err) // strings, bytes and numbers can always be encoded
		}
		c.encoded = encoded
	})
	return c.encoded
}

// Batch has all changes of one revision to the keys of a stream's interest, at least one.
type Batch struct {
	Revision uint64
	Changes  []*Change
}

// appendChange appends a change to the last batch, if that has the same revision, or to a new one.
func appendChange(batches []Batch, change *Change) []Batch {
	last := len(batches) - 1
	if last >= 0 && batches[last].Revision == change.Revision {
		batches[last].Changes = append(batches[last].Changes, change)
		return batches
	}
	return append(batches, Batch{change.Revision, []*Change{change}})
}

type streamSet map[*Stream]struct{}

// Feed distributes the changes of a replica to streams. The cost of a change is proportional to the number of streams
// whose interest covers it plus the number of different prefix lengths, not to the number of all streams. Its methods
// are safe for concurrent use.
type Feed struct {
	mu         sync.Mutex
	defect     Defect
	position   uint64                       // revision up to which all changes are distributed
	advanced   chan struct{}                // closed and replaced when position increases
	unfiltered streamSet                    // streams of all keys
	byKey      map[string]streamSet         // streams by key of their interest
	byPrefix   map[int]map[string]streamSet // streams by length of a prefix of their interest, then by the prefix
}

// New returns a feed that begins with the changes after a revision.
func New(position uint64, defect Defect) *Feed {
	return &Feed{
		position:   position,
		defect:     defect,
		advanced:   make(chan struct{}),
		unfiltered: streamSet{},
		byKey:      map[string]streamSet{},
		byPrefix:   map[int]map[string]streamSet{},
	}
}

// Position returns the revision up to which all changes are distributed, and a channel that is closed when it
// increases.
func (f *Feed) Position() (revision uint64, advanced <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position, f.advanced
}

// Subscribe returns a stream of the changes to the keys of an interest, and the revision after which the stream begins.
// A nil interest means all keys. The caller must call Unsubscribe.
func (f *Feed) Subscribe(interest *store.Interest) (stream *Stream, after uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// Only one entry of a normalized interest covers a key, so that no change is added to a stream twice.
	stream = &Stream{feed: f, interest: normalized(interest), ready: make(chan struct{}, 1)}
	f.eachSet(stream, func(set streamSet) { set[stream] = struct{}{} })
	return stream, f.position
}

// Unsubscribe removes a stream, which receives no further changes.
func (f *Feed) Unsubscribe(stream *Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eachSet(stream, func(set streamSet) { delete(set, stream) })
	if stream.interest != nil {
		f.removeEmptySets(stream.interest)
	}
}

// eachSet calls visit with each set that a stream belongs to, and creates missing sets. The caller holds the lock.
func (f *Feed) eachSet(stream *Stream, visit func(streamSet)) {
	if stream.interest == nil {
		visit(f.unfiltered)
		return
	}
	for _, key := range stream.interest.Keys {
		if f.byKey[key] == nil {
			f.byKey[key] = streamSet{}
		}
		visit(f.byKey[key])
	}
	for _, prefix := range stream.interest.Prefixes {
		sets := f.byPrefix[len(prefix)]
		if sets == nil {
			sets = map[string]streamSet{}
			f.byPrefix[len(prefix)] = sets
		}
		if sets[prefix] == nil {
			sets[prefix] = streamSet{}
		}
		visit(sets[prefix])
	}
}

// removeEmptySets removes the sets of the entries of an interest that have no streams left. The caller holds the lock.
func (f *Feed) removeEmptySets(interest *store.Interest) {
	for _, key := range interest.Keys {
		if len(f.byKey[key]) == 0 {
			delete(f.byKey, key)
		}
	}
	for _, prefix := range interest.Prefixes {
		sets := f.byPrefix[len(prefix)]
		if len(sets[prefix]) == 0 {
			delete(sets, prefix)
		}
		if len(sets) == 0 {
			delete(f.byPrefix, len(prefix))
		}
	}
}

// Advance distributes the events after the feed's position, in order, and moves the position to a revision. The events
// must include all changes between the two.
func (f *Feed) Advance(events []store.Event, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.position {
		return
	}
	for _, event := range events {
		if event.Revision > f.position {
			f.distribute(&Change{Event: event})
		}
	}
	f.position = revision
	f.notifyAdvanced()
}

// distribute adds a change to the streams whose interest covers it. The caller holds the lock.
func (f *Feed) distribute(change *Change) {
	for stream := range f.unfiltered {
		stream.add(change)
	}
	if change.Deleted && f.defect == DeletionsLost {
		return
	}
	key := change.Item.Key
	for stream := range f.byKey[key] {
		stream.add(change)
	}
	for length, sets := range f.byPrefix {
		if length > len(key) {
			continue
		}
		for stream := range sets[key[:length]] {
			stream.add(change)
		}
	}
}

// Skip moves the position to a revision up to which the changes are unknown. It closes all streams; their followers
// have to fetch a snapshot.
func (f *Feed) Skip(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unfiltered.closeAll()
	for _, set := range f.byKey {
		set.closeAll()
	}
	for _, sets := range f.byPrefix {
		for _, set := range sets {
			set.closeAll()
		}
	}
	f.position = max(f.position, revision)
	f.notifyAdvanced()
}

func (s streamSet) closeAll() {
	for stream := range s {
		stream.close()
	}
}

// notifyAdvanced wakes the goroutines that wait for the position to increase. The caller holds the lock.
func (f *Feed) notifyAdvanced() {
	close(f.advanced)
	f.advanced = make(chan struct{})
}
