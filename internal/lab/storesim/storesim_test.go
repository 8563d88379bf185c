package storesim

import (
	"slices"
	"strings"
	"testing"

	"birchmoor/internal/store/replica"

	"github.com/google/go-cmp/cmp"
)

func TestGuaranteesHoldForSeeds(t *testing.T) {
	seeds := uint64(2)
	if thorough {
		seeds = 60
	}
	for seed := range seeds {
		if r := Run(seed, Options{}); len(r.Broken) > 0 {
			t.Errorf("seed %d: violations %q", seed, r.Broken)
		}
	}
}

// Upgrades and downgrades between two builds break no guarantee of the cluster.
func TestTwoBuildsInOneCluster(t *testing.T) {
	seeds := uint64(1)
	if thorough {
		seeds = 20
	}
	for seed := range seeds {
		if r := Run(seed, Options{Mixed: true}); len(r.Broken) > 0 || r.BuildChanges == 0 {
			t.Errorf("seed %d: %d changes of builds, violations %q", seed, r.BuildChanges, r.Broken)
		}
	}
}

func TestSameSeedGivesSameResult(t *testing.T) {
	for seed := range uint64(1) {
		if d := cmp.Diff(Run(seed, Options{}), Run(seed, Options{})); d != "" {
			t.Errorf("two runs of seed %d differ (-first +second):\n%s", seed, d)
		}
	}
}

// Each injected defect is found. The rarest, a vote that is not written, takes until the seventeenth seed.
func TestInjectedDefectsAreFound(t *testing.T) {
	faults := InjectedDefects
	if !thorough {
		faults = faults[2:3]
	}
	for _, p := range faults {
		found := false
		for seed := uint64(0); seed < 200 && !found; seed++ {
			found = len(Run(seed, Options{ReplicaDefects: p.Fault, DaemonDefect: p.Watch,
				Mixed: p.Name == "any-level"}).Broken) > 0
		}
		if !found {
			t.Errorf("%s: no seed below 200 found the injected defect", p.Name)
		}
	}
}

// The disk of one of three replicas fails permanently, in any state of the replica, and the other two must answer all
// writes. A leader that keeps sending heartbeats after its disk failed prevents that, and this defect is found.
func TestMajorityAnswersWhileADiskHasFailed(t *testing.T) {
	o := Options{Calm: true, Ops: 5, Clients: 1}
	seeds := uint64(8)
	if thorough {
		seeds = 60
	}
	for seed := range seeds {
		if r := Run(seed, o); len(r.Broken) > 0 || r.WritesDuringFailure == 0 {
			t.Errorf("seed %d: the replica whose disk failed %s, the others answered %d writes, violations %q", seed,
				r.FailureState, r.WritesDuringFailure, r.Broken)
		}
	}
	o.ReplicaDefects = replica.LeadAfterFailure
	found := func(seed uint64) bool {
		return slices.ContainsFunc(Run(seed, o).Broken, func(s string) bool { return strings.HasPrefix(s, "no progress") })
	}
	for seed := uint64(0); !found(seed); seed++ {
		if seed == 40 {
			t.Fatal("no seed below 40 found the leader that leads after its disk failed")
		}
	}
}
