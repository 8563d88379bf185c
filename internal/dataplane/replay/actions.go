package replay

import (
	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
)

// actions collects the actions of the module.
type actions struct{ p *player }

// record adds an action on the latest event.
func (a actions) record(x capture.Record) {
	if a.p.muted {
		return
	}
	x.At = a.p.input.At
	a.p.replayed = append(a.p.replayed, x)
}

// Send collects the action.
func (a actions) Send(id uint64, e uint32, t balancer.Micros) {
	a.record(capture.Record{Kind: capture.KindSend, ID: id, Endpoint: e, Time: t})
}

// Reject collects the action.
func (a actions) Reject(id uint64, t balancer.Micros) {
	a.record(capture.Record{Kind: capture.KindReject, ID: id, Time: t})
}

// Fail collects the action.
func (a actions) Fail(id uint64) { a.record(capture.Record{Kind: capture.KindFail, ID: id}) }

// Cancel collects the action.
func (a actions) Cancel(id uint64, attempt int) {
	a.record(capture.Record{Kind: capture.KindCancel, ID: id, Attempt: attempt})
}

// Timer collects the action.
func (a actions) Timer(t balancer.Micros, token uint32) {
	a.record(capture.Record{Kind: capture.KindSetTimer, Time: t, Token: token})
}

// Probe collects the action.
func (a actions) Probe(e uint32) { a.record(capture.Record{Kind: capture.KindProbe, Endpoint: e}) }

// Watch collects the action.
func (a actions) Watch(on bool) { a.record(capture.Record{Kind: capture.KindWatch, Flag: on}) }

// Log collects the action.
func (a actions) Log(line string) { a.record(capture.Record{Kind: capture.KindLog, Line: line}) }
