package storesim

import (
	"slices"
	"strings"
	"testing"

	"birchmoor/internal/store/replica"

	"github.com/google/go-cmp/cmp"
)

func TestSeedsKeepAllPromises(t *testing.T) {
	seeds := uint64(2)
	if thorough {
		seeds = 60
	}
	for seed := range seeds {
		if r := Run(seed, Options{}); len(r.Broken) > 0 {
			t.Errorf("seed %d: %q", seed, r.Broken)
		}
	}
}

// Two builds in one cluster, a step up and back in turn: no promise is broken, and the newer's commands are used in the end.
func TestTwoBuildsInOneCluster(t *testing.T) {
	seeds := uint64(1)
	if thorough {
		seeds = 20
	}
	for seed := range seeds {
		if r := Run(seed, Options{Mixed: true}); len(r.Broken) > 0 || r.Steps == 0 {
			t.Errorf("seed %d: %d steps, %q", seed, r.Steps, r.Broken)
		}
	}
}

func TestASeedPlaysTheSameAgain(t *testing.T) {
	for seed := range uint64(1) {
		if d := cmp.Diff(Run(seed, Options{}), Run(seed, Options{})); d != "" {
			t.Errorf("seed %d: %s", seed, d)
		}
	}
}

// Each planted fault is found; the rarest, a forgotten vote, by the seventeenth seed.
func TestPlantedFaultsAreFound(t *testing.T) {
	faults := Faults
	if !thorough {
		faults = faults[2:3]
	}
	for _, p := range faults {
		found := false
		for seed := uint64(0); seed < 200 && !found; seed++ {
			found = len(Run(seed, Options{Planted: p.Fault, Watch: p.Watch, Mixed: p.Name == "any-level"}).Broken) > 0
		}
		if !found {
			t.Errorf("%s: not found", p.Name)
		}
	}
}

// A disk fails for good under one of three, whatever it is about: the other two answer what is put to them. A leader that goes on
// telling that it leads would keep them from it, and is found.
func TestTheOthersAnswerBesideADiskThatFailed(t *testing.T) {
	o := Options{Calm: true, Ops: 5, Clients: 1}
	seeds := uint64(8)
	if thorough {
		seeds = 60
	}
	for seed := range seeds {
		if r := Run(seed, o); len(r.Broken) > 0 || r.Beside == 0 {
			t.Errorf("seed %d: it %s, %d answers beside it, %q", seed, r.Failed, r.Beside, r.Broken)
		}
	}
	o.Planted = replica.LeadAfterFailure
	found := func(seed uint64) bool {
		return slices.ContainsFunc(Run(seed, o).Broken, func(s string) bool { return strings.HasPrefix(s, "no progress") })
	}
	for seed := uint64(0); !found(seed); seed++ {
		if seed == 40 {
			t.Fatal("a leader that leads on is not found")
		}
	}
}
