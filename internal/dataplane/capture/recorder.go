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
	name               func(id uint32) string
	sidecar            string
	run                uint64
	every              balancer.Micros // between two segments, at most

	batch           *batch
	last            balancer.Micros // instant of the latest record of the batch
	now             balancer.Micros // of the event under way
	begunAt         balancer.Micros // of the segment
	begun           bool            // a segment is under way
	lost            uint64          // records dropped since it ended
	why             string
	going           bool // a segment has been begun
	closed, started bool
}

// Sink takes batches. Offer says whether it took one; it never waits. Ready says whether there is room to begin a
// segment, and Fresh whether one is wanted now.
type Sink interface {
	Offer(b *batch) bool
	Ready() bool
	Fresh() bool
	Lose(records uint64) // counts what was dropped
}

// batch is a row of records on its way to a file: a frame.
type batch struct {
	base    balancer.Micros // what the first record's instant is told from
	segment bool            // begins one: gap and snapshot come first
	follows bool            // the segment before, of the same process, and nothing is missing between
	gap     *Record
	kept    *snapshot.Saved // encoded on the way, not by the loop
	at      balancer.Micros
	data    []byte
	records uint64
}

const (
	batchBytes = 24 << 10
	batchSpan  = 250_000 // microseconds that records wait at most, while more come
)

var batches = sync.Pool{New: func() any { return &batch{data: make([]byte, 0, batchBytes+4<<10)} }}

// Options say how a recorder works.
type Options struct {
	Sidecar string
	Run     uint64                 // names the process, where several of a sidecar record into one folder
	Every   balancer.Micros        // a fresh segment at least so often
	Name    func(id uint32) string // of an endpoint, "" if it has none; nil for none
	Sink    Sink
}

// New returns a recorder around the balancer that begin makes with the actions given to it.
func New(o Options, out balancer.Actions, begin func(balancer.Actions) (*balancer.Balancer, error)) (*Recorder, error) {
	r := &Recorder{out: out, sink: o.Sink, name: o.Name, sidecar: o.Sidecar, run: o.Run, every: o.Every}
	if r.name == nil {
		r.name = func(uint32) string { return "" }
	}
	var err error
	r.Balancer, err = begin(answers{r})
	return r, err
}

// tell records an event before the module hears of it.
func (r *Recorder) tell(now balancer.Micros, x Record) {
	r.now = now
	x.At = now
	if r.begun && (now-r.begunAt >= r.every || r.sink.Fresh()) {
		r.flush()
		r.begun = false
	}
	if !r.begun && !r.begin(now) {
		r.drop(1)
		return
	}
	// A batch ends between two events: a process that is killed leaves no event without its answers.
	if b := r.batch; b != nil && r.begun && b.records > 0 && (len(b.data) >= batchBytes || now-b.at >= batchSpan) {
		if r.flush(); !r.begun && !r.begin(now) {
			r.drop(1)
			return
		}
	}
	r.add(&x)
}

// begin begins a segment with a snapshot, if the sink has room.
func (r *Recorder) begin(now balancer.Micros) bool {
	if r.closed || !r.started {
		return false
	}
	if !r.sink.Ready() {
		if r.why == "" {
			r.why = "no room"
		}
		return false
	}
	b := batches.Get().(*batch)
	*b = batch{base: now, segment: true, at: now, data: b.data[:0]}
	b.follows, r.going = r.going && r.lost == 0, true
	if r.lost > 0 {
		b.gap = &Record{Kind: KindGap, At: now, Count: r.lost, Line: r.why}
	}
	b.kept = &snapshot.Saved{Sidecar: r.sidecar, RunID: r.run, Clock: snapshot.Clock{WallMicros: now}, State: r.Balancer.Snapshot(now, true)}
	for i := range b.kept.State.Endpoints {
		b.kept.Names = append(b.kept.Names, r.name(b.kept.State.Endpoints[i].ID))
	}
	r.batch, r.last, r.begun, r.begunAt, r.lost, r.why = b, now, true, now, 0, ""
	return true
}

// add appends to the batch.
func (r *Recorder) add(x *Record) {
	if r.batch == nil {
		b := batches.Get().(*batch)
		*b = batch{base: r.now, at: r.now, data: b.data[:0]}
		r.batch, r.last = b, r.now
	}
	r.batch.data = x.append(r.batch.data, r.last)
	r.batch.records++
	r.last = r.now
}

// flush offers the batch to the sink. If it is not taken, all up to the next segment is lost.
func (r *Recorder) flush() {
	b := r.batch
	r.batch = nil
	if b == nil {
		return
	}
	if n := b.records; !r.sink.Offer(b) {
		r.begun = false
		r.drop(n)
		r.why = "the queue was full"
		if b.gap != nil {
			r.lost += b.gap.Count
		}
	}
}

// drop counts what is missing. Before the start and after the end nothing is.
func (r *Recorder) drop(n uint64) {
	if r.started && !r.closed {
		r.lost += n
		r.sink.Lose(n)
	}
}

// Close sends off what is recorded and ends that. The module may still be told things.
func (r *Recorder) Close() {
	r.flush()
	r.begun, r.closed = false, true
}

func (r *Recorder) answer(x Record) {
	if !r.begun {
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
	x := Record{Kind: KindMembers, List: kind, Entries: entries, Names: make([]string, len(entries))}
	for i := range entries {
		x.Names[i] = r.name(entries[i].ID)
		x.Names[i] = x.Names[i][:min(len(x.Names[i]), nameLength)]
	}
	r.tell(now, x)
	r.Balancer.UpdateEndpoints(now, kind, entries)
}

// Request records and passes on.
func (r *Recorder) Request(now balancer.Micros, in balancer.Request) {
	x := Record{Kind: KindRequest, Request: in}
	x.Request.Key, x.Request.Rules = 0, nil
	if in.Rules != nil && in.Rules != r.Rules() {
		x.Rules, _ = snapshot.Marshal(in.Rules.State()) // it came while a reload was under way
	}
	r.tell(now, x)
	r.Balancer.Request(now, in)
}

// ResponseStarted records and passes on.
func (r *Recorder) ResponseStarted(now balancer.Micros, id uint64, attempt int, latency balancer.Micros) {
	r.tell(now, Record{Kind: KindHeaders, ID: id, Attempt: attempt, Time: latency})
	r.Balancer.ResponseStarted(now, id, attempt, latency)
}

// UploadComplete records and passes on.
func (r *Recorder) UploadComplete(now balancer.Micros, id uint64, deadline balancer.Micros) {
	r.tell(now, Record{Kind: KindUploaded, ID: id, Time: deadline - now})
	r.Balancer.UploadComplete(now, id, deadline)
}

// Outcome records and passes on.
func (r *Recorder) Outcome(now balancer.Micros, o balancer.Outcome) {
	r.tell(now, Record{Kind: KindOutcome, ID: o.ID, Attempt: o.Attempt, Endpoint: o.Endpoint, Status: o.Status,
		Time: o.Latency, Flag: o.Answered, Spent: o.NotReplayable, Load: o.Load})
	r.Balancer.Outcome(now, o)
}

// ClientDisconnected records and passes on.
func (r *Recorder) ClientDisconnected(now balancer.Micros, id uint64) {
	r.tell(now, Record{Kind: KindClientGone, ID: id})
	r.Balancer.ClientDisconnected(now, id)
}

// Timer records and passes on. As an action it is SetTimer's.
func (r *Recorder) Timer(now balancer.Micros, token uint32) {
	r.tell(now, Record{Kind: KindTimer, Token: token})
	r.Balancer.Timer(now, token)
}

// ProbeCompleted records and passes on.
func (r *Recorder) ProbeCompleted(now balancer.Micros, id uint32, s balancer.Status, latency balancer.Micros, load []float32) {
	r.tell(now, Record{Kind: KindProbed, Endpoint: id, Status: s, Time: latency, Load: load})
	r.Balancer.ProbeCompleted(now, id, s, latency, load)
}

// DrainEndpoint records and passes on. The operators' instant is told as its age.
func (r *Recorder) DrainEndpoint(now balancer.Micros, id uint32, at balancer.Micros) {
	r.tell(now, Record{Kind: KindTakeOut, Endpoint: id, Time: now - at})
	r.Balancer.DrainEndpoint(id, at)
}

// UndrainEndpoint records and passes on.
func (r *Recorder) UndrainEndpoint(now balancer.Micros, id uint32, at balancer.Micros) {
	r.tell(now, Record{Kind: KindCallBack, Endpoint: id, Time: now - at})
	r.Balancer.UndrainEndpoint(now, id, at)
}

// SetCapacityShare records and passes on.
func (r *Recorder) SetCapacityShare(now balancer.Micros, part float64) {
	r.tell(now, Record{Kind: KindShare, Part: part})
	r.Balancer.SetCapacityShare(part)
}

// Reload records and passes on.
func (r *Recorder) Reload(now balancer.Micros, s balancer.Settings) (*balancer.Rules, error) {
	blob, err := snapshot.Marshal(&s)
	if err != nil {
		return nil, err
	}
	r.tell(now, Record{Kind: KindReload, Blob: blob})
	return r.Balancer.Reload(s)
}

// PeerEjected records and passes on.
func (r *Recorder) PeerEjected(now balancer.Micros, id uint32, left balancer.Micros) {
	r.tell(now, Record{Kind: KindHeard, Endpoint: id, Time: left})
	r.Balancer.PeerEjected(now, id, left)
}

// Restore records and passes on.
func (r *Recorder) Restore(now balancer.Micros, s *balancer.Snapshot, age balancer.Micros) (int, error) {
	blob, err := snapshot.Marshal(s)
	if err != nil {
		return 0, err
	}
	r.tell(now, Record{Kind: KindRecall, Blob: blob, Time: age})
	return r.Balancer.Restore(now, s, age)
}

// ---- What it answers -----------------------------------------------------------

// answers is the recorder as the module's Actions.
type answers struct{ *Recorder }

func (a answers) Send(id uint64, e uint32, timeout balancer.Micros) {
	a.answer(Record{Kind: KindSend, ID: id, Endpoint: e, Time: timeout})
	a.out.Send(id, e, timeout)
}

func (a answers) Reject(id uint64, after balancer.Micros) {
	a.answer(Record{Kind: KindRefuse, ID: id, Time: after})
	a.out.Reject(id, after)
}

func (a answers) Fail(id uint64) {
	a.answer(Record{Kind: KindFail, ID: id})
	a.out.Fail(id)
}

func (a answers) Cancel(id uint64, attempt int) {
	a.answer(Record{Kind: KindCancel, ID: id, Attempt: attempt})
	a.out.Cancel(id, attempt)
}

func (a answers) Timer(delay balancer.Micros, token uint32) {
	a.answer(Record{Kind: KindSetTimer, Time: delay, Token: token})
	a.out.Timer(delay, token)
}

func (a answers) Probe(e uint32) {
	a.answer(Record{Kind: KindProbe, Endpoint: e})
	a.out.Probe(e)
}

func (a answers) Watch(on bool) {
	a.answer(Record{Kind: KindWatch, Flag: on})
	a.out.Watch(on)
}

func (a answers) Log(line string) {
	a.answer(Record{Kind: KindLog, Line: line[:min(len(line), lineMost)]})
	a.out.Log(line)
}

var _ balancer.Actions = answers{}
