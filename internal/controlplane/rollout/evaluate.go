package rollout

import (
	"fmt"
	"slices"
	"strings"
)

const (
	maxServedDrop           = 0.05 // tolerated drop of the share of served requests with the new settings
	minServedShare          = 0.5  // minimum share of served requests if too few ran with the old settings to compare
	minRequests             = 20   // minimum number of requests for a share to be significant
	maxSettlesWithoutReport = 3    // settle times without a host's report, after which the settings are rolled back
)

// Report is the stored report of a daemon during a rollout. It counts the outcomes of its clients' requests since the
// step began on its host.
type Report struct {
	PlanID   uint64 `json:"plan"`
	Step     int    `json:"step"`
	Served   uint64 `json:"served"`
	Unserved uint64 `json:"not"`             // rejected or failed
	Error    string `json:"error,omitempty"` // why the daemon rejected the new settings; empty: it did not
}

// Decision is the result of the evaluation of a step.
type Decision int

// The decisions.
const (
	Wait     Decision = iota // evaluate the step again later
	Advance                  // begin the next step, or complete the rollout
	RollBack                 // restore the earlier settings everywhere
)

// requestCounts counts requests by outcome.
type requestCounts struct{ served, unserved uint64 }

func (r *requestCounts) add(report Report) {
	r.served += report.Served
	r.unserved += report.Unserved
}

func (r requestCounts) total() uint64 { return r.served + r.unserved }

func (r requestCounts) servedShare() float64 { return float64(r.served) / max(1, float64(r.total())) }

func (r requestCounts) isSignificant() bool { return r.total() >= minRequests }

// Evaluate decides how to proceed with a step that has been in effect for elapsedMillis, and returns the reason. fleet
// has the names of the present hosts; reports has their latest reports by host. Reports of other plans or steps are
// ignored.
func (p *Plan) Evaluate(elapsedMillis int64, fleet []string, reports map[string]Report) (Decision, string) {
	var newSettings, oldSettings requestCounts // of the hosts that run them
	var missingReports []string                // hosts that run the new settings but have not reported
	for _, host := range fleet {
		report, reported := reports[host]
		reported = reported && report.PlanID == p.ID && report.Step == p.Step
		runsNewSettings := slices.Contains(p.Hosts, host)
		switch {
		case reported && report.Error != "":
			return RollBack, fmt.Sprintf("%s: %s", host, report.Error)
		case !reported && runsNewSettings:
			missingReports = append(missingReports, host)
		case runsNewSettings:
			newSettings.add(report)
		case reported:
			oldSettings.add(report)
		}
	}
	worse, reason := compareServedShares(newSettings, oldSettings)
	switch {
	case worse:
		return RollBack, reason
	case elapsedMillis < p.SettleMillis:
		return Wait, ""
	case len(missingReports) == 0:
		return Advance, reason
	case elapsedMillis < maxSettlesWithoutReport*p.SettleMillis:
		return Wait, ""
	}
	return RollBack, strings.Join(missingReports, ", ") + " did not report on the new settings in time"
}

// compareServedShares reports whether the new settings are worse: whether the share of served requests is lower than
// with the old settings by more than maxServedDrop, or, without enough requests with the old settings, lower than
// minServedShare. Without enough requests with the new settings, it returns false.
func compareServedShares(newSettings, oldSettings requestCounts) (worse bool, reason string) {
	reason = fmt.Sprintf("served %.3f of %d with the new settings", newSettings.servedShare(), newSettings.total())
	if newSettings.isSignificant() && !oldSettings.isSignificant() {
		return newSettings.servedShare() < minServedShare, reason
	}
	reason += fmt.Sprintf(", %.3f of %d with the old", oldSettings.servedShare(), oldSettings.total())
	worse = newSettings.isSignificant() && oldSettings.isSignificant() &&
		newSettings.servedShare() < oldSettings.servedShare()-maxServedDrop
	return worse, reason
}
