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
	Count int     `json:"count,omitempty"`
	Part  float64 `json:"part,omitempty"`
}

func (s Step) String() string {
	switch {
	case s.Part == 1:
		return "all"
	case s.Part > 0:
		return strconv.FormatFloat(100*s.Part, 'g', -1, 64) + "%"
	}
	return strconv.Itoa(s.Count)
}

const stepsMost = 16

// Parse reads steps such as "1,10%,all". The last is all, whether it says so or not.
func Parse(text string) ([]Step, error) {
	var all []Step
	for _, word := range strings.Split(text, ",") {
		word = strings.TrimSpace(word)
		s := Step{}
		number, percent := strings.CutSuffix(word, "%")
		switch {
		case word == "all":
			s.Part = 1
		case percent:
			n, err := strconv.ParseFloat(number, 64)
			if err != nil || !(n > 0 && n <= 100) {
				return nil, fmt.Errorf("steps: %q is not a part between 0%% and 100%%", word)
			}
			s.Part = n / 100
		default:
			n, err := strconv.Atoi(word)
			if err != nil || n < 1 {
				return nil, fmt.Errorf("steps: %q is not a number of daemons, a part such as 10%%, or all", word)
			}
			s.Count = n
		}
		all = append(all, s)
	}
	if all[len(all)-1].Part != 1 {
		all = append(all, Step{Part: 1})
	}
	if len(all) > stepsMost {
		return nil, fmt.Errorf("steps: %d are more than %d", len(all), stepsMost)
	}
	return all, nil
}

// State of a plan.
type State string

// The states.
const (
	Running State = "running"
	Done    State = "done"       // the settings are those of all
	Back    State = "taken back" // the settings of before are those of all
)

// Plan is settings on their way.
type Plan struct {
	ID     uint64   `json:"id"` // the revision that began it
	State  State    `json:"state"`
	Steps  []Step   `json:"steps"`
	Settle int64    `json:"settle_ms"`       // of each step, before it is judged
	Step   int      `json:"step"`            // that is in force; -1: none yet
	Hosts  []string `json:"hosts,omitempty"` // that run it
	Why    string   `json:"why,omitempty"`   // it was taken back, or what the last step was judged by
	By     string   `json:"by"`
	Note   string   `json:"note,omitempty"`
	Token  uint64   `json:"token,omitempty"` // of who drove it last
}

// Runs says whether a daemon is to run the plan's settings.
func (p *Plan) Runs(host string) bool { return p.State == Running && slices.Contains(p.Hosts, host) }

// Selected are the daemons that run a step, of all there are: those of each step are among those of the next. The order is drawn from
// the seed, which is the plan's own, so that not always the same go first.
func Selected(s Step, fleet []string, seed uint64) []string {
	order := slices.Clone(fleet)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a, seed), rank(b, seed)), cmp.Compare(a, b))
	})
	n := s.Count
	if s.Part > 0 {
		n = int(s.Part*float64(len(order)) + 0.999999)
	}
	return order[:min(max(n, 1), len(order))]
}

func rank(host string, seed uint64) uint64 {
	return xxhash.Sum64String(host + "\x00" + strconv.FormatUint(seed, 16))
}

// Report is what a daemon tells while a plan runs: what its clients were answered since it came to the step.
type Report struct {
	Plan   uint64 `json:"plan"` // the revision that began it
	Step   int    `json:"step"`
	Served uint64 `json:"served"`
	Not    uint64 `json:"not"` // refused or failed
	Error  string `json:"error,omitempty"`
}

// Decision on a step.
type Decision int

// The verdicts.
const (
	Wait Decision = iota
	GoOn
	TakeBack
)

const (
	worseBy    = 0.05 // share served among those with the new settings, under that of the others, beyond which it is taken back
	fewest     = 20   // requests on either side that a comparison takes
	silentPart = 3    // settles without a word of a daemon, after which it is taken back
)

// Judge says what follows from a step that has been in force for so long, in milliseconds. fleet are the daemons that are there.
func (p *Plan) Judge(forMs int64, fleet []string, reports map[string]Report) (Decision, string) {
	var mine, others Report
	var silent []string
	for _, host := range fleet {
		r, told := reports[host]
		told = told && r.Plan == p.ID && r.Step == p.Step
		runs := slices.Contains(p.Hosts, host)
		switch {
		case told && r.Error != "":
			return TakeBack, fmt.Sprintf("%s: %s", host, r.Error)
		case !told && runs:
			silent = append(silent, host)
		case runs:
			mine.Served, mine.Not = mine.Served+r.Served, mine.Not+r.Not
		case told:
			others.Served, others.Not = others.Served+r.Served, others.Not+r.Not
		}
	}
	share := func(r Report) float64 { return float64(r.Served) / max(1, float64(r.Served+r.Not)) }
	enough := func(r Report) bool { return r.Served+r.Not >= fewest }
	text := fmt.Sprintf("served %.3f of %d with the new settings, %.3f of %d with the old", share(mine), mine.Served+mine.Not, share(others), others.Served+others.Not)
	worse := enough(mine) && enough(others) && share(mine) < share(others)-worseBy
	if enough(mine) && !enough(others) { // nobody is left to compare with: by the half
		worse, text = share(mine) < 0.5, fmt.Sprintf("served %.3f of %d with the new settings", share(mine), mine.Served+mine.Not)
	}
	switch {
	case worse:
		return TakeBack, text
	case forMs < p.Settle:
		return Wait, ""
	case len(silent) == 0:
		return GoOn, text
	case forMs < silentPart*p.Settle:
		return Wait, ""
	}
	return TakeBack, strings.Join(silent, ", ") + " did not tell how it goes"
}

// Check says what is wrong with a plan that is to begin.
func (p *Plan) Check() error {
	switch {
	case len(p.Steps) == 0 || len(p.Steps) > stepsMost:
		return errors.New("steps: none, or too many")
	case p.Settle < 100 || p.Settle > 24*3600*1000:
		return errors.New("settle: not within 100ms and 24h")
	}
	return nil
}
