package capture

import (
	"sync"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// Recorder wraps a decision module, and records the events that the host passes to it and the actions that it passes to
// the host. It implements balancer.Module, for one caller at a time. Its methods block only if the sink does: if the
// sink has no space, records are dropped until the next segment begins.
type Recorder struct {
	*balancer.Balancer // methods that change no state are not wrapped

	out             balancer.Actions // the host's
	sink            Sink
	endpointName    func(id uint32) string
	sidecar         string
	runID           uint64
	segmentInterval balancer.Micros

	now        balancer.Micros // instant of the current event
	started    bool
	closed     bool
	inSegment  bool   // records are being added to a segment, not dropped
	anySegment bool   // a segment has begun before
	lost       uint64 // number of records dropped since the latest segment
	lossReason string // why they were dropped

	segmentStart balancer.Micros
	batch        *batch          // records that were not offered to the sink yet; nil for none
	lastInstant  balancer.Micros // instant of the latest record of the batch
}

// Sink stores batches. Its methods must not block in an event loop. They are called by one goroutine at a time.
type Sink interface {
	// Offer takes over a batch and returns true, or returns false if it has no space.
	Offer(b *batch) bool
	// Ready reports whether there is space to begin a segment.
	Ready() bool
	// WantsSegment reports whether a segment should begin before SegmentInterval is over, to begin a new file.
	WantsSegment() bool
	// CountLost adds to the count of dropped records.
	CountLost(records uint64)
}

// batch is a sequence of records that a sink writes as one frame.
type batch struct {
	base      balancer.Micros // the first record's instant is relative to it
	createdAt balancer.Micros
	data      []byte
	records   uint64

	beginsSegment bool            // gap, if any, and snapshot precede the records
	follows       bool            // no record is missing between the previous segment and this one
	gap           *Record         // nil if no records are missing
	snapshot      *snapshot.Saved // the sink encodes it, so that the event loop need not
}

const (
	maxBatchBytes                 = 24 << 10
	maxBatchAge   balancer.Micros = 250_000 // checked when the next event is recorded
)

var batches = sync.Pool{New: func() any { return &batch{data: make([]byte, 0, maxBatchBytes+4<<10)} }}

// Options configures a Recorder.
type Options struct {
	Sidecar         string
	RunID           uint64                 // distinguishes processes that record into one folder
	SegmentInterval balancer.Micros        // maximum length of a segment
	EndpointName    func(id uint32) string // returns "" for an endpoint without a name; nil if no endpoint has one
	Sink            Sink
}

// New returns a recorder around the module that newBalancer returns. The module must use the actions that newBalancer
// gets; they are recorded and passed on to out.
func New(options Options, out balancer.Actions,
	newBalancer func(balancer.Actions) (*balancer.Balancer, error)) (*Recorder, error) {
	r := &Recorder{
		out:             out,
		sink:            options.Sink,
		endpointName:    options.EndpointName,
		sidecar:         options.Sidecar,
		runID:           options.RunID,
		segmentInterval: options.SegmentInterval,
	}
	if r.endpointName == nil {
		r.endpointName = func(uint32) string { return "" }
	}
	var err error
	r.Balancer, err = newBalancer(recordedActions{r})
	return r, err
}

// recordEvent records an event before the module receives it. It begins a segment if one is due.
func (r *Recorder) recordEvent(now balancer.Micros, rec Record) {
	r.now = now
	rec.At = now
	if r.inSegment && (now-r.segmentStart >= r.segmentInterval || r.sink.WantsSegment()) {
		r.flush()
		r.inSegment = false
	}
	if !r.inSegment && !r.beginSegment(now) {
		r.drop(1)
		return
	}
	// A batch ends between two events, so that a process that is killed leaves no event without its actions.
	if r.inSegment && r.batchIsFull(now) {
		r.flush()
		if !r.inSegment && !r.beginSegment(now) {
			r.drop(1)
			return
		}
	}
	r.add(&rec)
}

// batchIsFull reports whether the batch is large or old enough to be offered to the sink.
func (r *Recorder) batchIsFull(now balancer.Micros) bool {
	b := r.batch
	if b == nil || b.records == 0 {
		return false
	}
	return len(b.data) >= maxBatchBytes || now-b.createdAt >= maxBatchAge
}

// beginSegment begins a segment with a snapshot. It returns false if the sink has no space or the recorder is not
// running.
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

// takeSnapshot returns the module's state together with the endpoints' names.
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
func (r *Recorder) add(rec *Record) {
	if r.batch == nil {
		r.batch = newBatch(r.now)
		r.lastInstant = r.now
	}
	r.batch.data = rec.append(r.batch.data, r.lastInstant)
	r.batch.records++
	r.lastInstant = r.now
}

// flush offers the batch to the sink. If the sink does not take it, all records until the next segment are dropped.
func (r *Recorder) flush() {
	b := r.batch
	r.batch = nil
	if b == nil {
		return
	}
	records := b.records // read before Offer, which takes over the batch
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

// drop counts dropped records. Records before Start and after Close do not count.
func (r *Recorder) drop(records uint64) {
	if r.started && !r.closed {
		r.lost += records
		r.sink.CountLost(records)
	}
}

// Close offers the last batch to the sink and ends the recording. The module may still receive events.
func (r *Recorder) Close() {
	r.flush()
	r.inSegment = false
	r.closed = true
}

// recordAction records an action of the module on the current event.
func (r *Recorder) recordAction(rec Record) {
	if !r.inSegment {
		r.drop(1)
		return
	}
	rec.At = r.now
	r.add(&rec)
}
