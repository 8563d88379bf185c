// Package changefeed carries the changes of the store to copies of it, complete ones and such as hold a part:
// Feed, Stream and Sender are a replica's half, Mirror is a follower's. It does no I/O, reads no clock and
// draws nothing at random: changes, messages and snapshots come in, what is to be sent or requested comes out.
// It may import package store and nothing else of birchmoor.
//
// What it guarantees (docs/design/interest.md): a copy at revision R holds of its interest what a replica held
// at R, key by key, and says of no other key whether it exists.
package changefeed

import (
	"encoding/json"
	"sync"

	"birchmoor/internal/store"
)

// Change is one event, encoded once for all followers to whom it is sent.
type Change struct {
	store.Event
	once    sync.Once
	encoded []byte
}

// JSON is the event as followers receive it. Any goroutine may call it.
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

// Batch is what one revision changed of a stream's interest.
type Batch struct {
	Revision uint64
	Changes  []*Change
}

// appendChange appends a change to the batch of its revision, which is the last one or a new one.
func appendChange(batches []Batch, change *Change) []Batch {
	last := len(batches) - 1
	if last >= 0 && batches[last].Revision == change.Revision {
		batches[last].Changes = append(batches[last].Changes, change)
		return batches
	}
	return append(batches, Batch{change.Revision, []*Change{change}})
}

type streamSet map[*Stream]struct{}

// Feed distributes the changes of a replica to streams. The cost of a change grows with the streams whose
// interest covers it and with the number of different lengths of all prefixes, not with the number of streams.
// All methods may be called by any goroutine.
type Feed struct {
	mu         sync.Mutex
	defect     Defect
	position   uint64        // the revision up to which all is distributed
	advanced   chan struct{} // closed and replaced when position increases
	unfiltered streamSet
	byKey      map[string]streamSet
	byPrefix   map[int]map[string]streamSet // by the prefix's length, then by the prefix
}

// New returns a feed that has distributed all changes up to a revision.
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

// Position is the revision up to which all changes are distributed, and a channel that is closed once it increases.
func (f *Feed) Position() (revision uint64, advanced <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position, f.advanced
}

// Subscribe begins a stream of the changes of an interest, nil for all keys, after the revision that it returns.
func (f *Feed) Subscribe(interest *store.Interest) (stream *Stream, after uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	// In a normalized interest one entry alone covers a key, so that no change is added to a stream twice.
	stream = &Stream{feed: f, interest: normalized(interest), ready: make(chan struct{}, 1)}
	f.eachSet(stream, func(set streamSet) { set[stream] = struct{}{} })
	return stream, f.position
}

// Unsubscribe ends a stream.
func (f *Feed) Unsubscribe(stream *Stream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eachSet(stream, func(set streamSet) { delete(set, stream) })
	if stream.interest != nil {
		f.removeEmptySets(stream.interest)
	}
}

// eachSet calls visit with each set to which a stream belongs, and creates those that do not exist. The lock is
// held.
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
		ofLength := f.byPrefix[len(prefix)]
		if ofLength == nil {
			ofLength = map[string]streamSet{}
			f.byPrefix[len(prefix)] = ofLength
		}
		if ofLength[prefix] == nil {
			ofLength[prefix] = streamSet{}
		}
		visit(ofLength[prefix])
	}
}

// removeEmptySets forgets the entries of an interest that no stream has any more. The lock is held.
func (f *Feed) removeEmptySets(interest *store.Interest) {
	for _, key := range interest.Keys {
		if len(f.byKey[key]) == 0 {
			delete(f.byKey, key)
		}
	}
	for _, prefix := range interest.Prefixes {
		ofLength := f.byPrefix[len(prefix)]
		if len(ofLength[prefix]) == 0 {
			delete(ofLength, prefix)
		}
		if len(ofLength) == 0 {
			delete(f.byPrefix, len(prefix))
		}
	}
}

// Advance distributes the events after the feed's position, in their order. They are all that changed up to a
// revision.
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

// distribute adds a change to the streams whose interest covers it. The lock is held.
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

// Skip closes all streams, since the changes up to a revision are not known here: their followers have to fetch
// a snapshot.
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

func (f *Feed) notifyAdvanced() {
	close(f.advanced)
	f.advanced = make(chan struct{})
}
