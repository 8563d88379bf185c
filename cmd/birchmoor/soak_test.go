package main

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"time"

	"birchmoor/internal/lab/soak"
)

const (
	soakTestLength   = 8 * time.Second
	soakTestSeeds    = 4 // of which one has a crowd
	maxSeedsToDefect = 10
)

// playSoak plays seeds of the soak with processes of this binary, until stop returns true for a result. Rules with a
// bound in real time are not judged.
func playSoak(t *testing.T, env []string, seeds, beside int, stop func(*soak.Schedule, *soak.Result) bool) {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	options := soak.Options{
		Program: self,
		Args:    []string{"run", "--config"},
		Env:     append([]string{asProgramEnv + "=1"}, env...),
		Dir:     t.TempDir(),
	}
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Minute)
	defer cancel()
	for first := 1; first <= seeds; first += beside {
		var schedules []*soak.Schedule
		for seed := first; seed < first+beside && seed <= seeds; seed++ {
			schedules = append(schedules, soak.Draw(uint64(seed), soakTestLength, soak.Daemons, soak.Servers))
		}
		stopped := false
		err := runSoak(ctx, options, schedules, beside, func(s *soak.Schedule, r *soak.Result, err error) error {
			if err == nil {
				stopped = stop(s, r) || stopped
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
		if stopped {
			return
		}
	}
}

// What callers are promised holds through signals in series, kills, stops, partitions, full disks, drains and a crowd.
func TestSoak(t *testing.T) {
	t.Parallel()
	playSoak(t, nil, soakTestSeeds, 2, func(s *soak.Schedule, r *soak.Result) bool {
		if len(r.Counts) > 0 {
			schedule, err := json.Marshal(s)
			t.Errorf("seed %d: %v\n%+v\nagain: birchmoor lab soak --play FILE with\n%s %v",
				r.Seed, r.Counts, r.Violations, schedule, err)
		}
		if r.Answered == 0 || r.Served == 0 || r.ActionsDone == 0 {
			t.Errorf("seed %d played nothing: %+v", r.Seed, r)
		}
		return false
	})
}

// Each injected defect is found by the rule that it breaks. That of deaf-to-drains has a bound in real time, and is
// covered by a test of the judge.
func TestSoakFindsDefects(t *testing.T) {
	t.Parallel()
	for _, d := range soak.Defects {
		if d.Rule == soak.AfterDrain {
			continue
		}
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			found := false
			playSoak(t, d.Env(), maxSeedsToDefect, 1, func(_ *soak.Schedule, r *soak.Result) bool {
				for rule, n := range r.Counts {
					t.Logf("seed %d: %s, %d times", r.Seed, rule, n)
				}
				found = r.Counts[d.Rule] > 0
				return found
			})
			if !found {
				t.Errorf("not found within %d seeds", maxSeedsToDefect)
			}
		})
	}
}
