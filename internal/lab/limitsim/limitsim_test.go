package limitsim

import (
	"reflect"
	"testing"
)

// Limits hold for the requests that servers see while processes are stopped, killed and cut off and messages are late,
// and they admit requests again once all faults are over.
func TestLimitsHold(t *testing.T) {
	maxUse, seeds := 0.0, uint64(16)
	if raceEnabled {
		seeds = 2
	}
	for seed := range seeds {
		r := Run(seed, Options{})
		if len(r.Broken) > 0 {
			t.Errorf("seed %d: limits were violated: %q", seed, r.Broken)
		}
		maxUse = max(maxUse, r.MaxUse)
	}
	if maxUse < 0.9 && !raceEnabled {
		t.Errorf(
			"largest use of a strict limit = %.2f of its bound, want at least 0.9: the load does not test the limits",
			maxUse)
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	if a, b := Run(3, Options{}), Run(3, Options{}); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of seed 3 differ:\n%+v\n%+v", a, b)
	}
}

// Each injected defect is found. The unit tests of package quota check those that take many seeds here; the command
// limit sim finds them too.
func TestInjectedDefectsAreFound(t *testing.T) {
	rare := map[string]bool{"nothing-lingers": true, "given-before-end": true, "not-taken-over": true, "full-at-start": true}
	for _, f := range InjectedDefects {
		if rare[f.Name] || raceEnabled {
			continue
		}
		t.Run(f.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(40) {
				if len(Run(seed, Options{Defects: f.Defects}).Broken) > 0 {
					t.Logf("found with seed %d", seed)
					return
				}
			}
			t.Error("no seed below 40 found the injected defect")
		})
	}
}
