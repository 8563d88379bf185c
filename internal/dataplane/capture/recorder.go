package capture

import (
	"sync"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// Recorder stands between a host and its decision module and records what passes in both directions. Its methods
// are those of balancer.Module, for one caller at a time. They never block: what the sink has no space for is
// dropped, up to the next segment.
type Recorder struct {
	*balancer.Balancer // its methods that change nothing are used as they are

	out             balancer.Actions
	sink            Sink
	endpointName    func(id uint32) string
	sidecar         string
	runID           uint64
	segmentInterval balancer.Micros

	now        balancer.Micros // of the current event
	started    bool
	closed     bool
	inSegment  bool
	anySegment bool   // one has been recorded before
	lost       uint64 // records dropped since the latest segment
	lossReason string

	segmentStart balancer.Micros
	batch        *batch
	lastInstant  balancer.Micros // of the latest record of the batch
}

// Sink takes batches. Its methods do not block.
type Sink interface {
	// Offer takes a batch, or reports that it did not.
	Offer(b *batch) bool
	// Ready reports whether there is space to begin a segment.
	Ready() bool
	// WantsSegment reports whether one should begin now.
	WantsSegment() bool
	// CountLost counts records that were dropped.
	CountLost(records uint64)
}

// batch is a sequence of records on its way to a file, where it is one frame.
type batch struct {
	base      balancer.Micros // to which the first record's instant is relative
	createdAt balancer.Micros
	data      []byte
	records   uint64

	beginsSegment bool            // then gap, if any, and snapshot come first
	follows       bool            // continues the segment before: nothing is missing in between
	gap           *Record         // or nil
	snapshot      *snapshot.Saved // encoded by the sink, not on the event loop
}

const (
	maxBatchBytes                 = 24 << 10
	maxBatchAge   balancer.Micros = 250_000 // while more records come
)

var batches = sync.Pool{New: func() any { return &batch{data: make([]byte, 0, maxBatchBytes+4<<10)} }}

// Options configures a Recorder.
type Options struct {
	Sidecar         string
	RunID           uint64                 // tells processes apart that record into one folder
	SegmentInterval balancer.Micros        // a segment begins at least this often
	EndpointName    func(id uint32) string // "" for an endpoint without a name; nil if none has one
	Sink            Sink
}

// New returns a recorder around the balancer that begin makes with the actions given to it.
func New(o Options, out balancer.Actions, begin func(balancer.Actions) (*balancer.Balancer, error)) (*Recorder, error) {
	r := &Recorder{
		out:             out,
		sink:            o.Sink,
		endpointName:    o.EndpointName,
		sidecar:         o.Sidecar,
		runID:           o.RunID,
		segmentInterval: o.SegmentInterval,
	}
	if r.endpointName == nil {
		r.endpointName = func(uint32) string { return "" }
	}
	var err error
	r.Balancer, err = begin(recordedActions{r})
	return r, err
}

// recordEvent records an event before the module gets it.
func (r *Recorder) recordEvent(now balancer.Micros, x Record) {
	r.now = now
	x.At = now
	if r.inSegment && (now-r.segmentStart >= r.segmentInterval || r.sink.WantsSegment()) {
		r.flush()
		r.inSegment = false
	}
	if !r.inSegment && !r.beginSegment(now) {
		r.drop(1)
		return
	}
	// A batch ends between two events: a process that is killed leaves no event without its actions.
	if r.inSegment && r.batchIsFull(now) {
		r.flush()
		if !r.inSegment && !r.beginSegment(now) {
			r.drop(1)
			return
		}
	}
	r.add(&x)
}

// batchIsFull reports whether the batch is due to go out.
func (r *Recorder) batchIsFull(now balancer.Micros) bool {
	b := r.batch
	if b == nil || b.records == 0 {
		return false
	}
	return len(b.data) >= maxBatchBytes || now-b.createdAt >= maxBatchAge
}

// beginSegment begins a segment with a snapshot, if the sink has space.
func (r *Recorder) beginSegment(now balancer.Micros) bool {
	if r.closed || !r.started {
		return false
	}
	if !r.sink.Ready() {
		if r.lossReason == "" {
			r.lossReason = "no room"
		}
		return false
	}
	b := newBatch(now)
	b.beginsSegment = true
	b.follows = r.anySegment && r.lost == 0
	if r.lost > 0 {
		b.gap = &Record{Kind: KindGap, At: now, Count: r.lost, Line: r.lossReason}
	}
	b.snapshot = r.takeSnapshot(now)
	r.batch = b
	r.lastInstant = now
	r.inSegment = true
	r.anySegment = true
	r.segmentStart = now
	r.lost = 0
	r.lossReason = ""
	return true
}

// takeSnapshot returns the module's state with the endpoints' names.
func (r *Recorder) takeSnapshot(now balancer.Micros) *snapshot.Saved {
	s := &snapshot.Saved{
		Sidecar: r.sidecar,
		RunID:   r.runID,
		Clock:   snapshot.Clock{WallMicros: now},
		State:   r.Snapshot(now, true),
	}
	for i := range s.State.Endpoints {
		s.Names = append(s.Names, r.endpointName(s.State.Endpoints[i].ID))
	}
	return s
}

func newBatch(now balancer.Micros) *batch {
	b := batches.Get().(*batch)
	*b = batch{base: now, createdAt: now, data: b.data[:0]}
	return b
}

// add appends a record to the batch.
func (r *Recorder) add(x *Record) {
	if r.batch == nil {
		r.batch = newBatch(r.now)
		r.lastInstant = r.now
	}
	r.batch.data = x.append(r.batch.data, r.lastInstant)
	r.batch.records++
	r.lastInstant = r.now
}

// flush offers the batch to the sink. If it is not taken, all up to the next segment is lost.
func (r *Recorder) flush() {
	b := r.batch
	r.batch = nil
	if b == nil {
		return
	}
	records := b.records // the sink owns the batch from here on
	if r.sink.Offer(b) {
		return
	}
	r.inSegment = false
	r.drop(records)
	r.lossReason = "the queue was full"
	if b.gap != nil {
		r.lost += b.gap.Count
	}
}

// drop counts records that are missing. Before the start and after Close none are.
func (r *Recorder) drop(n uint64) {
	if r.started && !r.closed {
		r.lost += n
		r.sink.CountLost(n)
	}
}

// Close flushes what is recorded and ends the recording. The module may still get events.
func (r *Recorder) Close() {
	r.flush()
	r.inSegment = false
	r.closed = true
}

// recordAction records an action that follows the current event.
func (r *Recorder) recordAction(x Record) {
	if !r.inSegment {
		r.drop(1)
		return
	}
	x.At = r.now
	r.add(&x)
}
