package main

import (
	"strings"
	"testing"
)

// Guards against a simulation that never ends, or that succeeds though it did not find the defect it was to find.
func TestSimulationsExitCodes(t *testing.T) {
	t.Parallel()
	for _, verb := range []string{"task", "limit", "store"} {
		for _, seeds := range []string{"-1", "0"} {
			code, _, errs := birchmoor(verb, "sim", "--seeds="+seeds)
			if code != exitUsage || !strings.Contains(errs, "--seeds: "+seeds+" is less than 1") {
				t.Errorf("%s sim --seeds=%s: exit code %d, %s", verb, seeds, code, errs)
			}
		}
	}
	// One seed does not find this defect; more than that is in the test of the simulation.
	const defect = "old-leaders-rest"
	code, out, errs := birchmoor("task", "sim", "--plant", defect, "--seeds", "1", "--calm")
	if code != exitFailure || !strings.Contains(out, "not found in 1 seeds") {
		t.Errorf("task sim that misses a defect: exit code %d, %s%s", code, out, errs)
	}
}
