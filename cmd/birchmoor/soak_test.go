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
	soakTestDuration = 8 * time.Second
	soakTestSeeds    = 4 // one of them has a crowd of idle clients
	maxSeedsToDefect = 10
)

// runSoakSeeds runs lab soak with seeds from 1, parallel of them at once, with processes of this binary that have env
// in their environment. It ends early once stop returns true for a result. Rules with a bound in real time are not
// checked.
func runSoakSeeds(t *testing.T, env []string, seeds, parallel int, stop func(*soak.Schedule, *soak.Result) bool) {
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
	for first := 1; first <= seeds; first += parallel {
		var schedules []*soak.Schedule
		for seed := first; seed < first+parallel && seed <= seeds; seed++ {
			schedules = append(schedules, soak.Draw(uint64(seed), soakTestDuration, soak.Daemons, soak.Servers))
		}
		stopped := false
		err := runSoak(ctx, options, schedules, parallel, func(s *soak.Schedule, r *soak.Result, err error) error {
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

// No rule about what clients and servers see is broken under series of signals, kills, stops, partitions, full disks,
// drains and a crowd of idle clients.
func TestSoak(t *testing.T) {
	t.Parallel()
	runSoakSeeds(t, nil, soakTestSeeds, 2, func(s *soak.Schedule, r *soak.Result) bool {
		if len(r.Counts) > 0 {
			schedule, err := json.Marshal(s)
			t.Errorf("seed %d: %v\n%+v\nrun again: birchmoor lab soak --play FILE with\n%s %v",
				r.Seed, r.Counts, r.Violations, schedule, err)
		}
		if r.Answered == 0 || r.Served == 0 || r.ActionsDone == 0 {
			t.Errorf("seed %d: no request was served or no action done: %+v", r.Seed, r)
		}
		return false
	})
}

// Each injected defect is found by the rule that it breaks. The rule that deaf-to-drains breaks has a bound in real
// time; the tests of package soak cover it.
func TestSoakFindsDefects(t *testing.T) {
	t.Parallel()
	for _, d := range soak.Defects {
		if d.Rule == soak.AfterDrain {
			continue
		}
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			found := false
			runSoakSeeds(t, d.Env(), maxSeedsToDefect, 1, func(_ *soak.Schedule, r *soak.Result) bool {
				for rule, n := range r.Counts {
					t.Logf("seed %d: %s, %d times", r.Seed, rule, n)
				}
				found = r.Counts[d.Rule] > 0
				return found
			})
			if !found {
				t.Errorf("defect not found within %d seeds", maxSeedsToDefect)
			}
		})
	}
}
