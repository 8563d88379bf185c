package replay

import (
	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
)

// maxExplanations bounds the explanations in a report.
const maxExplanations = 64

// keepStateBefore takes a snapshot of the module before it receives an event, if the request to explain is open and the
// event may lead to a decision upon it.
func (p *player) keepStateBefore(rec *capture.Record) {
	p.stateBefore = nil
	if p.options.Explain == 0 || len(p.report.Explanations) >= maxExplanations {
		return
	}
	if rec.Kind == capture.KindRequest && rec.Request.ID == p.options.Explain {
		p.explainedOpen = true
	}
	if p.explainedOpen {
		p.stateBefore = p.balancer.Snapshot(rec.At, true)
	}
}

// explain adds an explanation to the report if the latest event led to a decision upon the request to explain: it has a
// copy of the module as it was before the event list the candidates.
func (p *player) explain() {
	if p.stateBefore == nil {
		return
	}
	var decisions []string
	for i, rec := range p.replayed {
		if rec.ID == p.options.Explain && rec.Kind != capture.KindSetTimer {
			decisions = append(decisions, p.lines(p.replayed[i:i+1])...)
			p.explainedOpen = p.explainedOpen && rec.Kind != capture.KindReject && rec.Kind != capture.KindFail
		}
	}
	ended := p.event.Kind == capture.KindOutcome && p.event.ID == p.options.Explain && p.event.Flag
	p.explainedOpen = p.explainedOpen && !ended
	if len(decisions) == 0 {
		return
	}
	before, err := balancer.Resume(p.stateBefore, balancer.NoActions{})
	if err != nil {
		return // cannot happen: the snapshot is that of this module
	}
	req := balancer.Request{ID: p.options.Explain}
	if p.event.Kind == capture.KindRequest {
		req = p.event.Request
	}
	explanation := Explanation{At: p.event.At, Input: p.event.String(), Decisions: decisions}
	for _, c := range before.Explain(p.event.At, req) {
		explanation.Candidates = append(explanation.Candidates,
			NamedCandidate{Server: p.names[c.Endpoint], Candidate: c})
	}
	p.report.Explanations = append(p.report.Explanations, explanation)
}
