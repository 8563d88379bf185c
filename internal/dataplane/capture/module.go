package capture

import (
	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// Start records the event and passes it on. The first segment begins after it.
func (r *Recorder) Start(now balancer.Micros) {
	r.now = now
	r.Balancer.Start(now)
	r.started = true
	r.lost = 0 // the actions of a start are in the snapshot that follows
}

// UpdateEndpoints records the event and passes it on.
func (r *Recorder) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	x := Record{Kind: KindUpdateEndpoints, List: kind, Entries: entries, Names: make([]string, len(entries))}
	for i := range entries {
		x.Names[i] = r.endpointName(entries[i].ID)
		x.Names[i] = x.Names[i][:min(len(x.Names[i]), maxNameBytes)]
	}
	r.recordEvent(now, x)
	r.Balancer.UpdateEndpoints(now, kind, entries)
}

// Request records the event and passes it on.
func (r *Recorder) Request(now balancer.Micros, in balancer.Request) {
	x := Record{Kind: KindRequest, Request: in}
	x.Request.Key = 0
	x.Request.Rules = nil
	if in.Rules != nil && in.Rules != r.Rules() {
		x.Rules, _ = snapshot.Marshal(in.Rules.State()) // it arrived while a reload was under way
	}
	r.recordEvent(now, x)
	r.Balancer.Request(now, in)
}

// ResponseStarted records the event and passes it on.
func (r *Recorder) ResponseStarted(now balancer.Micros, id uint64, attempt int, latency balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindResponseStarted, ID: id, Attempt: attempt, Time: latency})
	r.Balancer.ResponseStarted(now, id, attempt, latency)
}

// UploadComplete records the event and passes it on.
func (r *Recorder) UploadComplete(now balancer.Micros, id uint64, deadline balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindUploadComplete, ID: id, Time: deadline - now})
	r.Balancer.UploadComplete(now, id, deadline)
}

// Outcome records the event and passes it on.
func (r *Recorder) Outcome(now balancer.Micros, o balancer.Outcome) {
	r.recordEvent(now, Record{Kind: KindOutcome, ID: o.ID, Attempt: o.Attempt, Endpoint: o.Endpoint, Status: o.Status,
		Time: o.Latency, Flag: o.Answered, NotReplayable: o.NotReplayable, Load: o.Load})
	r.Balancer.Outcome(now, o)
}

// ClientDisconnected records the event and passes it on.
func (r *Recorder) ClientDisconnected(now balancer.Micros, id uint64) {
	r.recordEvent(now, Record{Kind: KindClientDisconnected, ID: id})
	r.Balancer.ClientDisconnected(now, id)
}

// Timer records the event and passes it on. The action is KindSetTimer.
func (r *Recorder) Timer(now balancer.Micros, token uint32) {
	r.recordEvent(now, Record{Kind: KindTimer, Token: token})
	r.Balancer.Timer(now, token)
}

// ProbeCompleted records the event and passes it on.
func (r *Recorder) ProbeCompleted(now balancer.Micros, id uint32, s balancer.Status, latency balancer.Micros,
	load []float32) {
	r.recordEvent(now, Record{Kind: KindProbeCompleted, Endpoint: id, Status: s, Time: latency, Load: load})
	r.Balancer.ProbeCompleted(now, id, s, latency, load)
}

// DrainEndpoint records the event and passes it on. The instant of the order is recorded as its age.
func (r *Recorder) DrainEndpoint(now balancer.Micros, id uint32, at balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindDrainEndpoint, Endpoint: id, Time: now - at})
	r.Balancer.DrainEndpoint(id, at)
}

// UndrainEndpoint records the event and passes it on.
func (r *Recorder) UndrainEndpoint(now balancer.Micros, id uint32, at balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindUndrainEndpoint, Endpoint: id, Time: now - at})
	r.Balancer.UndrainEndpoint(now, id, at)
}

// SetCapacityShare records the event and passes it on.
func (r *Recorder) SetCapacityShare(now balancer.Micros, part float64) {
	r.recordEvent(now, Record{Kind: KindSetCapacityShare, Part: part})
	r.Balancer.SetCapacityShare(part)
}

// Reload records the event and passes it on.
func (r *Recorder) Reload(now balancer.Micros, s balancer.Settings) (*balancer.Rules, error) {
	blob, err := snapshot.Marshal(&s)
	if err != nil {
		return nil, err
	}
	r.recordEvent(now, Record{Kind: KindReload, Blob: blob})
	return r.Balancer.Reload(s)
}

// PeerEjected records the event and passes it on.
func (r *Recorder) PeerEjected(now balancer.Micros, id uint32, left balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindPeerEjected, Endpoint: id, Time: left})
	r.Balancer.PeerEjected(now, id, left)
}

// Restore records the event and passes it on.
func (r *Recorder) Restore(now balancer.Micros, s *balancer.Snapshot, age balancer.Micros) (int, error) {
	blob, err := snapshot.Marshal(s)
	if err != nil {
		return 0, err
	}
	r.recordEvent(now, Record{Kind: KindRestore, Blob: blob, Time: age})
	return r.Balancer.Restore(now, s, age)
}

// recordedActions records the actions of a module and passes them on to the host.
type recordedActions struct{ *Recorder }

// Send records the action and passes it on.
func (a recordedActions) Send(id uint64, e uint32, timeout balancer.Micros) {
	a.recordAction(Record{Kind: KindSend, ID: id, Endpoint: e, Time: timeout})
	a.out.Send(id, e, timeout)
}

// Reject records the action and passes it on.
func (a recordedActions) Reject(id uint64, after balancer.Micros) {
	a.recordAction(Record{Kind: KindReject, ID: id, Time: after})
	a.out.Reject(id, after)
}

// Fail records the action and passes it on.
func (a recordedActions) Fail(id uint64) {
	a.recordAction(Record{Kind: KindFail, ID: id})
	a.out.Fail(id)
}

// Cancel records the action and passes it on.
func (a recordedActions) Cancel(id uint64, attempt int) {
	a.recordAction(Record{Kind: KindCancel, ID: id, Attempt: attempt})
	a.out.Cancel(id, attempt)
}

// Timer records the action and passes it on.
func (a recordedActions) Timer(delay balancer.Micros, token uint32) {
	a.recordAction(Record{Kind: KindSetTimer, Time: delay, Token: token})
	a.out.Timer(delay, token)
}

// Probe records the action and passes it on.
func (a recordedActions) Probe(e uint32) {
	a.recordAction(Record{Kind: KindProbe, Endpoint: e})
	a.out.Probe(e)
}

// Watch records the action and passes it on.
func (a recordedActions) Watch(on bool) {
	a.recordAction(Record{Kind: KindWatch, Flag: on})
	a.out.Watch(on)
}

// Log records the action and passes it on.
func (a recordedActions) Log(line string) {
	a.recordAction(Record{Kind: KindLog, Line: line[:min(len(line), maxLineBytes)]})
	a.out.Log(line)
}

var _ balancer.Actions = recordedActions{}
