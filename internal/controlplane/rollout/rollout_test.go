package rollout

import (
	"fmt"
	"strings"
	"testing"
)

func TestSelectHostsKeepsHostsOfEarlierSteps(t *testing.T) {
	steps, err := ParseSteps("1, 10%,50%")
	if err != nil || fmt.Sprint(steps) != "[1 10% 50% all]" {
		t.Fatal(steps, err)
	}
	var fleet []string
	for i := range 40 {
		fleet = append(fleet, fmt.Sprintf("h%d", i))
	}
	var previous []string
	for i, want := range []int{1, 4, 20, 40} {
		got := SelectHosts(steps[i], fleet, 7)
		if len(got) != want || strings.Join(got[:len(previous)], " ") != strings.Join(previous, " ") {
			t.Errorf("step %v selected %d hosts, not the expected number with those of the step before: %v",
				steps[i], len(got), got)
		}
		previous = got
	}
	for _, text := range []string{"", "0", "x", "110%", "-1%", "1,,2", strings.Repeat("1,", 20) + "2"} {
		if _, err := ParseSteps(text); err == nil {
			t.Errorf("ParseSteps accepted %q", text)
		}
	}
}

func TestEvaluateComparesServedShares(t *testing.T) {
	plan := Plan{ID: 9, State: Running, SettleMillis: 1000, Step: 0, Hosts: []string{"a"}}
	fleet := []string{"a", "b", "c"}
	good, bad := Report{PlanID: 9, Served: 100}, Report{PlanID: 9, Served: 80, Unserved: 20}
	for _, tc := range []struct {
		name    string
		elapsed int64
		reports map[string]Report
		want    Decision
	}{
		{"good, but too soon", 999, map[string]Report{"a": good, "b": good}, Wait},
		{"good", 1000, map[string]Report{"a": good, "b": good}, Advance},
		{"worse, at once", 10, map[string]Report{"a": bad, "b": good}, RollBack},
		{"as bad as the others", 1000, map[string]Report{"a": bad, "b": bad}, Advance},
		{"few requests", 1000, map[string]Report{"a": {PlanID: 9, Unserved: 3}, "b": good}, Advance},
		{"silent", 2999, map[string]Report{"b": good}, Wait},
		{"silent for long", 3000, map[string]Report{"b": good}, RollBack},
		{"of another plan", 1000, map[string]Report{"a": {PlanID: 8, Served: 100}}, Wait},
		{"of another step", 1000, map[string]Report{"a": {PlanID: 9, Step: 1, Served: 100}}, Wait},
		{"rejected by a host", 0, map[string]Report{"a": {PlanID: 9, Error: "settings.x: is bad"}}, RollBack},
		{
			"bad, without hosts to compare with", 0,
			map[string]Report{"a": {PlanID: 9, Served: 10, Unserved: 90}}, RollBack,
		},
	} {
		if got, reason := plan.Evaluate(tc.elapsed, fleet, tc.reports); got != tc.want {
			t.Errorf("%s: got decision %v, reason %q", tc.name, got, reason)
		}
	}
}
