package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const maxSteps = 16

// Step is the number of daemons that run the new settings: Count of them, or, if Fraction is not 0, that fraction of
// all.
type Step struct {
	Count    int     `json:"count,omitempty"`
	Fraction float64 `json:"part,omitempty"`
}

// String returns the step in the form that ParseSteps reads.
func (s Step) String() string {
	switch {
	case s.Fraction == 1:
		return "all"
	case s.Fraction > 0:
		return strconv.FormatFloat(100*s.Fraction, 'g', -1, 64) + "%"
	}
	return strconv.Itoa(s.Count)
}

// ParseSteps parses steps such as "1,10%,all". It adds the step all at the end if it is missing.
func ParseSteps(text string) ([]Step, error) {
	var steps []Step
	for _, part := range strings.Split(text, ",") {
		step, err := parseStep(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		steps = append(steps, step)
	}
	if steps[len(steps)-1].Fraction != 1 {
		steps = append(steps, Step{Fraction: 1})
	}
	if len(steps) > maxSteps {
		return nil, fmt.Errorf("steps: %d are more than %d", len(steps), maxSteps)
	}
	return steps, nil
}

func parseStep(text string) (Step, error) {
	if text == "all" {
		return Step{Fraction: 1}, nil
	}
	if number, ok := strings.CutSuffix(text, "%"); ok {
		percent, err := strconv.ParseFloat(number, 64)
		if err != nil || !(percent > 0 && percent <= 100) { // also rejects NaN
			return Step{}, fmt.Errorf("steps: %q is not a percentage above 0%% and up to 100%%", text)
		}
		return Step{Fraction: percent / 100}, nil
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 1 {
		return Step{}, fmt.Errorf("steps: %q is not a number of daemons, a percentage such as 10%%, or all", text)
	}
	return Step{Count: count}, nil
}

// SelectHosts returns the hosts of the fleet that run the new settings in a step, at least one if there is any. The
// hosts of a step are among those of the next one. Their order depends on the seed, which is the plan's ID, so that the
// first hosts differ between rollouts.
func SelectHosts(step Step, fleet []string, seed uint64) []string {
	ordered := slices.Clone(fleet)
	slices.SortFunc(ordered, func(a, b string) int {
		return cmp.Or(cmp.Compare(hostRank(a, seed), hostRank(b, seed)), cmp.Compare(a, b))
	})
	count := step.Count
	if step.Fraction > 0 {
		const roundUp = 0.999999 // below 1, so that rounding errors do not increase a product that is a whole number
		count = int(step.Fraction*float64(len(ordered)) + roundUp)
	}
	return ordered[:min(max(count, 1), len(ordered))]
}

// hostRank returns the value by which hosts are ordered for a seed.
func hostRank(host string, seed uint64) uint64 {
	return xxhash.Sum64String(host + "\x00" + strconv.FormatUint(seed, 16))
}
