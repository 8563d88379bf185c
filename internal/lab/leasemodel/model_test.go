package leasemodel

import (
	"testing"

	"birchmoor/internal/controlplane/lease"
)

// forEachClockChoice calls f with each combination of fast and slow clocks.
func forEachClockChoice(o Options, f func(Options)) {
	for n := range 8 {
		o.Store, o.A, o.B = n&1 != 0, n&2 != 0, n&4 != 0
		f(o)
	}
}

// No sequence of steps up to the depth makes both holders entitled at once.
func TestNoInterleavingEntitlesBothHolders(t *testing.T) {
	const depth = 8
	forEachClockChoice(Options{Depth: depth}, func(o Options) {
		if r := Run(o); r.Broken != nil || r.Depth != depth {
			t.Errorf("options %+v: %d states up to depth %d, both holders entitled after %q", o, r.States, r.Depth,
				r.Broken)
		}
	})
}

// Each injected defect makes both holders entitled, with the right combination of clocks.
func TestInjectedDefectsAreFound(t *testing.T) {
	for name, o := range map[string]Options{
		"TTL counted from the response":    {SessionDefect: lease.ValidFromResponse, Store: true},
		"no allowance for clock rates":     {SessionDefect: lease.IgnoreSkew, Store: true},
		"session ended early":              {RevokeEarly: true, Store: true},
		"new leader keeps remaining times": {KeepRemainingTimes: true},
	} {
		o.Depth = 10
		if r := Run(o); r.Broken == nil {
			t.Errorf("%s: injected defect not found in %d states up to depth %d", name, r.States, r.Depth)
		} else {
			t.Logf("%s: found after %d states: %q", name, r.States, r.Broken)
		}
	}
}
