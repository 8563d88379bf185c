package replay

import (
	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
)

// maxExplanations bounds the explanations in a report.
const maxExplanations = 64

// keepStateBefore keeps the state that an event meets, if the request to explain may be decided upon.
func (p *player) keepStateBefore(x *capture.Record) {
	p.stateBefore = nil
	if p.options.Explain == 0 || len(p.report.Explanations) >= maxExplanations {
		return
	}
	if x.Kind == capture.KindRequest && x.Request.ID == p.options.Explain {
		p.explainedIsOpen = true
	}
	if p.explainedIsOpen {
		p.stateBefore = p.balancer.Snapshot(x.At, true)
	}
}

// explain records what was weighed, if the latest event decided upon the request to explain.
func (p *player) explain() {
	if p.stateBefore == nil {
		return
	}
	var mine []string
	for i, x := range p.replayed {
		if x.ID == p.options.Explain && x.Kind != capture.KindSetTimer {
			mine = append(mine, p.lines(p.replayed[i:i+1])...)
			p.explainedIsOpen = p.explainedIsOpen && x.Kind != capture.KindReject && x.Kind != capture.KindFail
		}
	}
	ended := p.input.Kind == capture.KindOutcome && p.input.ID == p.options.Explain && p.input.Flag
	p.explainedIsOpen = p.explainedIsOpen && !ended
	if len(mine) == 0 {
		return
	}
	copied, err := balancer.Resume(p.stateBefore, balancer.NoActions{})
	if err != nil {
		return // cannot happen: the state was taken a moment ago
	}
	in := balancer.Request{ID: p.options.Explain}
	if p.input.Kind == capture.KindRequest {
		in = p.input.Request
	}
	w := Explanation{At: p.input.At, Input: p.input.String(), Decisions: mine}
	for _, c := range copied.Explain(p.input.At, in) {
		w.Candidates = append(w.Candidates, NamedCandidate{Server: p.names[c.Endpoint], Candidate: c})
	}
	p.report.Explanations = append(p.report.Explanations, w)
}
