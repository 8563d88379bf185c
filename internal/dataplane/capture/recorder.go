package capture

import (
	"sync"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// Recorder stands between a host and its decision module and records what passes, both ways. Its methods are those
// of the module, for one caller at a time. They never wait: what finds no room is dropped, up to the next segment.
type Recorder struct {
	*balancer.Balancer // whose methods that only look are as they are
	out                balancer.Actions
	sink               Sink
	endpointName       func(id uint32) string
	sidecar            string
	runID              uint64
	segmentInterval    balancer.Micros // between two segments, at most

	batch           *batch
	lastInstant     balancer.Micros // instant of the latest record of the batch
	now             balancer.Micros // of the event under way
	segmentStart    balancer.Micros // of the segment
	inSegment       bool            // a segment is under way
	lost            uint64          // records dropped since it ended
	lossReason      string
	anySegment      bool // a segment has been begun
	closed, started bool
}

// Sink takes batches. Offer says whether it took one; it never waits. Ready says whether there is room to begin a
// segment, and Fresh whether one is wanted now.
type Sink interface {
	Offer(b *batch) bool
	Ready() bool
	WantsSegment() bool
	CountLost(records uint64) // counts what was dropped
}

// batch is a row of records on its way to a file: a frame.
type batch struct {
	base          balancer.Micros // what the first record's instant is told from
	beginsSegment bool            // begins one: gap and snapshot come first
	follows       bool            // the segment before, of the same process, and nothing is missing between
	gap           *Record
	snapshot      *snapshot.Saved // encoded on the way, not by the loop
	createdAt     balancer.Micros
	data          []byte
	records       uint64
}

const (
	maxBatchBytes = 24 << 10
	maxBatchAge   = 250_000 // microseconds that records wait at most, while more come
)

var batches = sync.Pool{New: func() any { return &batch{data: make([]byte, 0, maxBatchBytes+4<<10)} }}

// Options say how a recorder works.
type Options struct {
	Sidecar         string
	RunID           uint64                 // names the process, where several of a sidecar record into one folder
	SegmentInterval balancer.Micros        // a fresh segment at least so often
	EndpointName    func(id uint32) string // of an endpoint, "" if it has none; nil for none
	Sink            Sink
}

// New returns a recorder around the balancer that begin makes with the actions given to it.
func New(o Options, out balancer.Actions, begin func(balancer.Actions) (*balancer.Balancer, error)) (*Recorder, error) {
	r := &Recorder{out: out, sink: o.Sink, endpointName: o.EndpointName, sidecar: o.Sidecar, runID: o.RunID, segmentInterval: o.SegmentInterval}
	if r.endpointName == nil {
		r.endpointName = func(uint32) string { return "" }
	}
	var err error
	r.Balancer, err = begin(recordedActions{r})
	return r, err
}

// recordEvent records an event before the module hears of it.
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
	// A batch ends between two events: a process that is killed leaves no event without its answers.
	if b := r.batch; b != nil && r.inSegment && b.records > 0 && (len(b.data) >= maxBatchBytes || now-b.createdAt >= maxBatchAge) {
		if r.flush(); !r.inSegment && !r.beginSegment(now) {
			r.drop(1)
			return
		}
	}
	r.add(&x)
}

// beginSegment begins a segment with a snapshot, if the sink has room.
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
	b := batches.Get().(*batch)
	*b = batch{base: now, beginsSegment: true, createdAt: now, data: b.data[:0]}
	b.follows, r.anySegment = r.anySegment && r.lost == 0, true
	if r.lost > 0 {
		b.gap = &Record{Kind: KindGap, At: now, Count: r.lost, Line: r.lossReason}
	}
	b.snapshot = &snapshot.Saved{Sidecar: r.sidecar, RunID: r.runID, Clock: snapshot.Clock{WallMicros: now}, State: r.Balancer.Snapshot(now, true)}
	for i := range b.snapshot.State.Endpoints {
		b.snapshot.Names = append(b.snapshot.Names, r.endpointName(b.snapshot.State.Endpoints[i].ID))
	}
	r.batch, r.lastInstant, r.inSegment, r.segmentStart, r.lost, r.lossReason = b, now, true, now, 0, ""
	return true
}

// add appends to the batch.
func (r *Recorder) add(x *Record) {
	if r.batch == nil {
		b := batches.Get().(*batch)
		*b = batch{base: r.now, createdAt: r.now, data: b.data[:0]}
		r.batch, r.lastInstant = b, r.now
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
	if n := b.records; !r.sink.Offer(b) {
		r.inSegment = false
		r.drop(n)
		r.lossReason = "the queue was full"
		if b.gap != nil {
			r.lost += b.gap.Count
		}
	}
}

// drop counts what is missing. Before the start and after the end nothing is.
func (r *Recorder) drop(n uint64) {
	if r.started && !r.closed {
		r.lost += n
		r.sink.CountLost(n)
	}
}

// Close sends off what is recorded and ends that. The module may still be told things.
func (r *Recorder) Close() {
	r.flush()
	r.inSegment, r.closed = false, true
}

func (r *Recorder) recordAction(x Record) {
	if !r.inSegment {
		r.drop(1)
		return
	}
	x.At = r.now
	r.add(&x)
}

// ---- What the module is told -------------------------------------------------

// Start records and passes on. The first segment begins after it.
func (r *Recorder) Start(now balancer.Micros) {
	r.now = now
	r.Balancer.Start(now)
	r.started, r.lost = true, 0 // what a start asks for is in the snapshot that follows
}

// UpdateEndpoints records and passes on.
func (r *Recorder) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	x := Record{Kind: KindUpdateEndpoints, List: kind, Entries: entries, Names: make([]string, len(entries))}
	for i := range entries {
		x.Names[i] = r.endpointName(entries[i].ID)
		x.Names[i] = x.Names[i][:min(len(x.Names[i]), maxNameBytes)]
	}
	r.recordEvent(now, x)
	r.Balancer.UpdateEndpoints(now, kind, entries)
}

// Request records and passes on.
func (r *Recorder) Request(now balancer.Micros, in balancer.Request) {
	x := Record{Kind: KindRequest, Request: in}
	x.Request.Key, x.Request.Rules = 0, nil
	if in.Rules != nil && in.Rules != r.Rules() {
		x.Rules, _ = snapshot.Marshal(in.Rules.State()) // it came while a reload was under way
	}
	r.recordEvent(now, x)
	r.Balancer.Request(now, in)
}

// ResponseStarted records and passes on.
func (r *Recorder) ResponseStarted(now balancer.Micros, id uint64, attempt int, latency balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindResponseStarted, ID: id, Attempt: attempt, Time: latency})
	r.Balancer.ResponseStarted(now, id, attempt, latency)
}

// UploadComplete records and passes on.
func (r *Recorder) UploadComplete(now balancer.Micros, id uint64, deadline balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindUploadComplete, ID: id, Time: deadline - now})
	r.Balancer.UploadComplete(now, id, deadline)
}

// Outcome records and passes on.
func (r *Recorder) Outcome(now balancer.Micros, o balancer.Outcome) {
	r.recordEvent(now, Record{Kind: KindOutcome, ID: o.ID, Attempt: o.Attempt, Endpoint: o.Endpoint, Status: o.Status,
		Time: o.Latency, Flag: o.Answered, NotReplayable: o.NotReplayable, Load: o.Load})
	r.Balancer.Outcome(now, o)
}

// ClientDisconnected records and passes on.
func (r *Recorder) ClientDisconnected(now balancer.Micros, id uint64) {
	r.recordEvent(now, Record{Kind: KindClientDisconnected, ID: id})
	r.Balancer.ClientDisconnected(now, id)
}

// Timer records and passes on. As an action it is SetTimer's.
func (r *Recorder) Timer(now balancer.Micros, token uint32) {
	r.recordEvent(now, Record{Kind: KindTimer, Token: token})
	r.Balancer.Timer(now, token)
}

// ProbeCompleted records and passes on.
func (r *Recorder) ProbeCompleted(now balancer.Micros, id uint32, s balancer.Status, latency balancer.Micros, load []float32) {
	r.recordEvent(now, Record{Kind: KindProbeCompleted, Endpoint: id, Status: s, Time: latency, Load: load})
	r.Balancer.ProbeCompleted(now, id, s, latency, load)
}

// DrainEndpoint records and passes on. The operators' instant is told as its age.
func (r *Recorder) DrainEndpoint(now balancer.Micros, id uint32, at balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindDrainEndpoint, Endpoint: id, Time: now - at})
	r.Balancer.DrainEndpoint(id, at)
}

// UndrainEndpoint records and passes on.
func (r *Recorder) UndrainEndpoint(now balancer.Micros, id uint32, at balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindUndrainEndpoint, Endpoint: id, Time: now - at})
	r.Balancer.UndrainEndpoint(now, id, at)
}

// SetCapacityShare records and passes on.
func (r *Recorder) SetCapacityShare(now balancer.Micros, part float64) {
	r.recordEvent(now, Record{Kind: KindSetCapacityShare, Part: part})
	r.Balancer.SetCapacityShare(part)
}

// Reload records and passes on.
func (r *Recorder) Reload(now balancer.Micros, s balancer.Settings) (*balancer.Rules, error) {
	blob, err := snapshot.Marshal(&s)
	if err != nil {
		return nil, err
	}
	r.recordEvent(now, Record{Kind: KindReload, Blob: blob})
	return r.Balancer.Reload(s)
}

// PeerEjected records and passes on.
func (r *Recorder) PeerEjected(now balancer.Micros, id uint32, left balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindPeerEjected, Endpoint: id, Time: left})
	r.Balancer.PeerEjected(now, id, left)
}

// Restore records and passes on.
func (r *Recorder) Restore(now balancer.Micros, s *balancer.Snapshot, age balancer.Micros) (int, error) {
	blob, err := snapshot.Marshal(s)
	if err != nil {
		return 0, err
	}
	r.recordEvent(now, Record{Kind: KindRestore, Blob: blob, Time: age})
	return r.Balancer.Restore(now, s, age)
}

// ---- What it answers -----------------------------------------------------------

// recordedActions is the recorder as the module's Actions.
type recordedActions struct{ *Recorder }

func (a recordedActions) Send(id uint64, e uint32, timeout balancer.Micros) {
	a.recordAction(Record{Kind: KindSend, ID: id, Endpoint: e, Time: timeout})
	a.out.Send(id, e, timeout)
}

func (a recordedActions) Reject(id uint64, after balancer.Micros) {
	a.recordAction(Record{Kind: KindReject, ID: id, Time: after})
	a.out.Reject(id, after)
}

func (a recordedActions) Fail(id uint64) {
	a.recordAction(Record{Kind: KindFail, ID: id})
	a.out.Fail(id)
}

func (a recordedActions) Cancel(id uint64, attempt int) {
	a.recordAction(Record{Kind: KindCancel, ID: id, Attempt: attempt})
	a.out.Cancel(id, attempt)
}

func (a recordedActions) Timer(delay balancer.Micros, token uint32) {
	a.recordAction(Record{Kind: KindSetTimer, Time: delay, Token: token})
	a.out.Timer(delay, token)
}

func (a recordedActions) Probe(e uint32) {
	a.recordAction(Record{Kind: KindProbe, Endpoint: e})
	a.out.Probe(e)
}

func (a recordedActions) Watch(on bool) {
	a.recordAction(Record{Kind: KindWatch, Flag: on})
	a.out.Watch(on)
}

func (a recordedActions) Log(line string) {
	a.recordAction(Record{Kind: KindLog, Line: line[:min(len(line), maxLineBytes)]})
	a.out.Log(line)
}

var _ balancer.Actions = recordedActions{}
