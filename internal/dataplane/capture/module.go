package capture

import (
	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// Start passes the event on without recording it. Recording begins with the next event, whose segment begins with a
// snapshot.
func (r *Recorder) Start(now balancer.Micros) {
	r.now = now
	r.Balancer.Start(now)
	r.started = true
	r.lost = 0 // the snapshot that begins the first segment includes the effects of the start
}

// UpdateEndpoints records the event and passes it on.
func (r *Recorder) UpdateEndpoints(now balancer.Micros, kind balancer.ListKind, entries []balancer.Endpoint) {
	rec := Record{Kind: KindUpdateEndpoints, List: kind, Entries: entries, Names: make([]string, len(entries))}
	for i := range entries {
		rec.Names[i] = r.endpointName(entries[i].ID)
		rec.Names[i] = rec.Names[i][:min(len(rec.Names[i]), maxNameBytes)]
	}
	r.recordEvent(now, rec)
	r.Balancer.UpdateEndpoints(now, kind, entries)
}

// Request records the event and passes it on.
func (r *Recorder) Request(now balancer.Micros, in balancer.Request) {
	rec := Record{Kind: KindRequest, Request: in}
	rec.Request.Key = 0
	rec.Request.Rules = nil
	if in.Rules != nil && in.Rules != r.Rules() {
		rec.Rules, _ = snapshot.Marshal(in.Rules.State()) // the request arrived before the latest reload
	}
	r.recordEvent(now, rec)
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

// Timer records the event and passes it on. The action of that name is recorded as KindSetTimer.
func (r *Recorder) Timer(now balancer.Micros, token uint32) {
	r.recordEvent(now, Record{Kind: KindTimer, Token: token})
	r.Balancer.Timer(now, token)
}

// ProbeCompleted records the event and passes it on.
func (r *Recorder) ProbeCompleted(now balancer.Micros, id uint32, status balancer.Status, latency balancer.Micros,
	load []float32) {
	r.recordEvent(now, Record{Kind: KindProbeCompleted, Endpoint: id, Status: status, Time: latency, Load: load})
	r.Balancer.ProbeCompleted(now, id, status, latency, load)
}

// DrainEndpoint records the event and passes it on. The instant of the operator's order is recorded as the order's age.
func (r *Recorder) DrainEndpoint(now balancer.Micros, id uint32, orderedAt balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindDrainEndpoint, Endpoint: id, Time: now - orderedAt})
	r.Balancer.DrainEndpoint(id, orderedAt)
}

// UndrainEndpoint records the event and passes it on. The instant of the operator's order is recorded as its age.
func (r *Recorder) UndrainEndpoint(now balancer.Micros, id uint32, orderedAt balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindUndrainEndpoint, Endpoint: id, Time: now - orderedAt})
	r.Balancer.UndrainEndpoint(now, id, orderedAt)
}

// SetCapacityShare records the event and passes it on.
func (r *Recorder) SetCapacityShare(now balancer.Micros, share float64) {
	r.recordEvent(now, Record{Kind: KindSetCapacityShare, Part: share})
	r.Balancer.SetCapacityShare(share)
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
func (r *Recorder) PeerEjected(now balancer.Micros, id uint32, timeLeft balancer.Micros) {
	r.recordEvent(now, Record{Kind: KindPeerEjected, Endpoint: id, Time: timeLeft})
	r.Balancer.PeerEjected(now, id, timeLeft)
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

// recordedActions records the actions of a decision module and passes them on to the host's actions.
type recordedActions struct{ *Recorder }

// Send records the action and passes it on.
func (a recordedActions) Send(id uint64, endpoint uint32, timeout balancer.Micros) {
	a.recordAction(Record{Kind: KindSend, ID: id, Endpoint: endpoint, Time: timeout})
	a.out.Send(id, endpoint, timeout)
}

// Reject records the action and passes it on.
func (a recordedActions) Reject(id uint64, retryAfter balancer.Micros) {
	a.recordAction(Record{Kind: KindReject, ID: id, Time: retryAfter})
	a.out.Reject(id, retryAfter)
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
func (a recordedActions) Probe(endpoint uint32) {
	a.recordAction(Record{Kind: KindProbe, Endpoint: endpoint})
	a.out.Probe(endpoint)
}

// Watch records the action and passes it on.
func (a recordedActions) Watch(enabled bool) {
	a.recordAction(Record{Kind: KindWatch, Flag: enabled})
	a.out.Watch(enabled)
}

// Log records the action and passes it on.
func (a recordedActions) Log(line string) {
	a.recordAction(Record{Kind: KindLog, Line: line[:min(len(line), maxLineBytes)]})
	a.out.Log(line)
}

var _ balancer.Actions = recordedActions{}
