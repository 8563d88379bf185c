package main

import (
	"strings"
	"testing"
)

// Guards against a simulation without seeds that never ends or succeeds, and against one that exits with 0 although it
// did not find the injected defect.
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
	// One seed does not find this defect. A test of package storesim finds it with more.
	const defect = "old-leaders-rest"
	code, out, errs := birchmoor("task", "sim", "--plant", defect, "--seeds", "1", "--calm")
	if code != exitFailure || !strings.Contains(out, "not found in 1 seeds") {
		t.Errorf("task sim that does not find the defect: exit code %d, %s%s", code, out, errs)
	}
}
