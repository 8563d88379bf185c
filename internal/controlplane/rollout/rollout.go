// Package rollout decides how settings come in force in steps: who runs them at which step, and whether the next step may come or
// all is taken back. It is free of I/O, clocks and chance.
package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Step says how many daemons run the new settings: Count of them, or Part of all.
type Step struct {
	Count    int     `json:"count,omitempty"`
	Fraction float64 `json:"part,omitempty"`
}

func (s Step) String() string {
	switch {
	case s.Fraction == 1:
		return "all"
	case s.Fraction > 0:
		return strconv.FormatFloat(100*s.Fraction, 'g', -1, 64) + "%"
	}
	return strconv.Itoa(s.Count)
}

const maxSteps = 16

// ParseSteps reads steps such as "1,10%,all". The last is all, whether it says so or not.
func ParseSteps(text string) ([]Step, error) {
	var all []Step
	for _, word := range strings.Split(text, ",") {
		word = strings.TrimSpace(word)
		s := Step{}
		number, percent := strings.CutSuffix(word, "%")
		switch {
		case word == "all":
			s.Fraction = 1
		case percent:
			n, err := strconv.ParseFloat(number, 64)
			if err != nil || !(n > 0 && n <= 100) {
				return nil, fmt.Errorf("steps: %q is not a part between 0%% and 100%%", word)
			}
			s.Fraction = n / 100
		default:
			n, err := strconv.Atoi(word)
			if err != nil || n < 1 {
				return nil, fmt.Errorf("steps: %q is not a number of daemons, a part such as 10%%, or all", word)
			}
			s.Count = n
		}
		all = append(all, s)
	}
	if all[len(all)-1].Fraction != 1 {
		all = append(all, Step{Fraction: 1})
	}
	if len(all) > maxSteps {
		return nil, fmt.Errorf("steps: %d are more than %d", len(all), maxSteps)
	}
	return all, nil
}

// State of a plan.
type State string

// The states.
const (
	Running    State = "running"
	Completed  State = "done"       // the settings are those of all
	RolledBack State = "taken back" // the settings of before are those of all
)

// Plan is settings on their way.
type Plan struct {
	ID           uint64   `json:"id"` // the revision that began it
	State        State    `json:"state"`
	Steps        []Step   `json:"steps"`
	SettleMillis int64    `json:"settle_ms"`       // of each step, before it is judged
	Step         int      `json:"step"`            // that is in force; -1: none yet
	Hosts        []string `json:"hosts,omitempty"` // that run it
	Reason       string   `json:"why,omitempty"`   // it was taken back, or what the last step was judged by
	Operator     string   `json:"by"`
	Note         string   `json:"note,omitempty"`
	Token        uint64   `json:"token,omitempty"` // of who drove it last
}

// RunsOn says whether a daemon is to run the plan's settings.
func (p *Plan) RunsOn(host string) bool { return p.State == Running && slices.Contains(p.Hosts, host) }

// SelectHosts are the daemons that run a step, of all there are: those of each step are among those of the next. The order is drawn from
// the seed, which is the plan's own, so that not always the same go first.
func SelectHosts(s Step, fleet []string, seed uint64) []string {
	order := slices.Clone(fleet)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a, seed), rank(b, seed)), cmp.Compare(a, b))
	})
	n := s.Count
	if s.Fraction > 0 {
		n = int(s.Fraction*float64(len(order)) + 0.999999)
	}
	return order[:min(max(n, 1), len(order))]
}

func rank(host string, seed uint64) uint64 {
	return xxhash.Sum64String(host + "\x00" + strconv.FormatUint(seed, 16))
}

// Report is what a daemon tells while a plan runs: what its clients were answered since it came to the step.
type Report struct {
	PlanID   uint64 `json:"plan"` // the revision that began it
	Step     int    `json:"step"`
	Served   uint64 `json:"served"`
	Unserved uint64 `json:"not"` // refused or failed
	Error    string `json:"error,omitempty"`
}

// Decision on a step.
type Decision int

// The verdicts.
const (
	Wait Decision = iota
	Advance
	RollBack
)

const (
	maxServedDrop    = 0.05 // share served among those with the new settings, under that of the others, beyond which it is taken back
	minRequests      = 20   // requests on either side that a comparison takes
	maxSilentSettles = 3    // settles without a word of a daemon, after which it is taken back
)

// Evaluate says what follows from a step that has been in force for so long, in milliseconds. fleet are the daemons that are there.
func (p *Plan) Evaluate(forMs int64, fleet []string, reports map[string]Report) (Decision, string) {
	var mine, others Report
	var silent []string
	for _, host := range fleet {
		r, told := reports[host]
		told = told && r.PlanID == p.ID && r.Step == p.Step
		runs := slices.Contains(p.Hosts, host)
		switch {
		case told && r.Error != "":
			return RollBack, fmt.Sprintf("%s: %s", host, r.Error)
		case !told && runs:
			silent = append(silent, host)
		case runs:
			mine.Served, mine.Unserved = mine.Served+r.Served, mine.Unserved+r.Unserved
		case told:
			others.Served, others.Unserved = others.Served+r.Served, others.Unserved+r.Unserved
		}
	}
	share := func(r Report) float64 { return float64(r.Served) / max(1, float64(r.Served+r.Unserved)) }
	enough := func(r Report) bool { return r.Served+r.Unserved >= minRequests }
	text := fmt.Sprintf("served %.3f of %d with the new settings, %.3f of %d with the old", share(mine), mine.Served+mine.Unserved, share(others), others.Served+others.Unserved)
	worse := enough(mine) && enough(others) && share(mine) < share(others)-maxServedDrop
	if enough(mine) && !enough(others) { // nobody is left to compare with: by the half
		worse, text = share(mine) < 0.5, fmt.Sprintf("served %.3f of %d with the new settings", share(mine), mine.Served+mine.Unserved)
	}
	switch {
	case worse:
		return RollBack, text
	case forMs < p.SettleMillis:
		return Wait, ""
	case len(silent) == 0:
		return Advance, text
	case forMs < maxSilentSettles*p.SettleMillis:
		return Wait, ""
	}
	return RollBack, strings.Join(silent, ", ") + " did not tell how it goes"
}

// Validate says what is wrong with a plan that is to begin.
func (p *Plan) Validate() error {
	switch {
	case len(p.Steps) == 0 || len(p.Steps) > maxSteps:
		return errors.New("steps: none, or too many")
	case p.SettleMillis < 100 || p.SettleMillis > 24*3600*1000:
		return errors.New("settle: not within 100ms and 24h")
	}
	return nil
}
