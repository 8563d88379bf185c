package rollout

import (
	"fmt"
	"slices"
	"strings"
)

const (
	maxServedDrop    = 0.05 // by which the share of requests served may be lower with the new settings
	minServedShare   = 0.5  // with the new settings, where there is nothing to compare with
	minRequests      = 20   // with either settings, for a share that counts
	maxSilentSettles = 3    // settle times without a report of a host, after which the settings are rolled back
)

// Report is what a daemon reports during a plan, as stored: how its clients' requests ended since the step began
// there.
type Report struct {
	PlanID   uint64 `json:"plan"`
	Step     int    `json:"step"`
	Served   uint64 `json:"served"`
	Unserved uint64 `json:"not"` // rejected or failed
	Error    string `json:"error,omitempty"`
}

// Decision is what follows from a step.
type Decision int

// The decisions.
const (
	Wait Decision = iota
	Advance
	RollBack
)

// requests counts requests by how they ended.
type requests struct{ served, unserved uint64 }

func (r *requests) add(report Report) {
	r.served += report.Served
	r.unserved += report.Unserved
}

func (r requests) total() uint64 { return r.served + r.unserved }

func (r requests) servedShare() float64 { return float64(r.served) / max(1, float64(r.total())) }

func (r requests) enough() bool { return r.total() >= minRequests }

// Evaluate returns what follows from a step that has been in effect for elapsedMillis, and why. The fleet is the
// hosts that are there; reports are by host.
func (p *Plan) Evaluate(elapsedMillis int64, fleet []string, reports map[string]Report) (Decision, string) {
	var with, without requests // the new settings
	var silent []string        // hosts that run the new settings and have not reported
	for _, host := range fleet {
		report, reported := reports[host]
		reported = reported && report.PlanID == p.ID && report.Step == p.Step
		runs := slices.Contains(p.Hosts, host)
		switch {
		case reported && report.Error != "":
			return RollBack, fmt.Sprintf("%s: %s", host, report.Error)
		case !reported && runs:
			silent = append(silent, host)
		case runs:
			with.add(report)
		case reported:
			without.add(report)
		}
	}
	worse, reason := compare(with, without)
	switch {
	case worse:
		return RollBack, reason
	case elapsedMillis < p.SettleMillis:
		return Wait, ""
	case len(silent) == 0:
		return Advance, reason
	case elapsedMillis < maxSilentSettles*p.SettleMillis:
		return Wait, ""
	}
	return RollBack, strings.Join(silent, ", ") + " did not tell how it goes"
}

// compare reports whether fewer requests are served with the new settings than without, or too few where there are
// not enough without to compare with.
func compare(with, without requests) (worse bool, reason string) {
	reason = fmt.Sprintf("served %.3f of %d with the new settings", with.servedShare(), with.total())
	if with.enough() && !without.enough() {
		return with.servedShare() < minServedShare, reason
	}
	reason += fmt.Sprintf(", %.3f of %d with the old", without.servedShare(), without.total())
	worse = with.enough() && without.enough() && with.servedShare() < without.servedShare()-maxServedDrop
	return worse, reason
}
