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

// Step says how many daemons run the new settings: Count of them, or a Fraction of all.
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

// ParseSteps reads steps such as "1,10%,all". The last step is all, whether the text says so or not.
func ParseSteps(text string) ([]Step, error) {
	var steps []Step
	for _, word := range strings.Split(text, ",") {
		step, err := parseStep(strings.TrimSpace(word))
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

func parseStep(word string) (Step, error) {
	if word == "all" {
		return Step{Fraction: 1}, nil
	}
	if number, ok := strings.CutSuffix(word, "%"); ok {
		percent, err := strconv.ParseFloat(number, 64)
		if err != nil || !(percent > 0 && percent <= 100) { // NaN is neither
			return Step{}, fmt.Errorf("steps: %q is not a part between 0%% and 100%%", word)
		}
		return Step{Fraction: percent / 100}, nil
	}
	count, err := strconv.Atoi(word)
	if err != nil || count < 1 {
		return Step{}, fmt.Errorf("steps: %q is not a number of daemons, a part such as 10%%, or all", word)
	}
	return Step{Count: count}, nil
}

// SelectHosts returns the hosts of the fleet that run a step. The hosts of each step are among those of the next.
// Their order follows from the seed, which is the plan's ID, so that it is not always the same hosts that go first.
func SelectHosts(s Step, fleet []string, seed uint64) []string {
	order := slices.Clone(fleet)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a, seed), rank(b, seed)), cmp.Compare(a, b))
	})
	n := s.Count
	if s.Fraction > 0 {
		const roundUp = 0.999999 // less than 1, for products that are whole numbers but for rounding
		n = int(s.Fraction*float64(len(order)) + roundUp)
	}
	return order[:min(max(n, 1), len(order))]
}

// rank is a host's place in the order of a seed.
func rank(host string, seed uint64) uint64 {
	return xxhash.Sum64String(host + "\x00" + strconv.FormatUint(seed, 16))
}
