package replay

import (
	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
)

// actions implements balancer.Actions. It collects the actions of the module in replayed.
type actions struct{ player *player }

// collect adds an action on the latest event, unless actions are ignored.
func (a actions) collect(rec capture.Record) {
	if a.player.ignoreActions {
		return
	}
	rec.At = a.player.event.At
	a.player.replayed = append(a.player.replayed, rec)
}

// Send implements balancer.Actions.
func (a actions) Send(id uint64, endpoint uint32, timeout balancer.Micros) {
	a.collect(capture.Record{Kind: capture.KindSend, ID: id, Endpoint: endpoint, Time: timeout})
}

// Reject implements balancer.Actions.
func (a actions) Reject(id uint64, retryAfter balancer.Micros) {
	a.collect(capture.Record{Kind: capture.KindReject, ID: id, Time: retryAfter})
}

// Fail implements balancer.Actions.
func (a actions) Fail(id uint64) { a.collect(capture.Record{Kind: capture.KindFail, ID: id}) }

// Cancel implements balancer.Actions.
func (a actions) Cancel(id uint64, attempt int) {
	a.collect(capture.Record{Kind: capture.KindCancel, ID: id, Attempt: attempt})
}

// Timer implements balancer.Actions. The action is collected as KindSetTimer.
func (a actions) Timer(delay balancer.Micros, token uint32) {
	a.collect(capture.Record{Kind: capture.KindSetTimer, Time: delay, Token: token})
}

// Probe implements balancer.Actions.
func (a actions) Probe(endpoint uint32) {
	a.collect(capture.Record{Kind: capture.KindProbe, Endpoint: endpoint})
}

// Watch implements balancer.Actions.
func (a actions) Watch(enabled bool) {
	a.collect(capture.Record{Kind: capture.KindWatch, Flag: enabled})
}

// Log implements balancer.Actions.
func (a actions) Log(line string) { a.collect(capture.Record{Kind: capture.KindLog, Line: line}) }
