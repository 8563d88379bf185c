package leasemodel

import (
	"testing"

	"birchmoor/internal/controlplane/lease"
)

// each calls f with every choice of whose clock is fast.
func each(o Options, f func(Options)) {
	for n := range 8 {
		o.Store, o.A, o.B = n&1 != 0, n&2 != 0, n&4 != 0
		f(o)
	}
}

// No order of events up to the depth entitles two.
func TestAllInterleavings(t *testing.T) {
	const depth = 8
	each(Options{Depth: depth}, func(o Options) {
		if r := Run(o); r.Broken != nil || r.Depth != depth {
			t.Errorf("%+v: %d states to depth %d: %q", o, r.States, r.Depth, r.Broken)
		}
	})
}

// Each fault of either half does, with some choice of clocks.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, o := range map[string]Options{
		"entitled from the answer": {Plant: lease.ValidFromResponse, Store: true},
		"no rate margin":           {Plant: lease.IgnoreSkew, Store: true},
		"ended early":              {Early: true, Store: true},
		"old leader's rest":        {Rest: true},
	} {
		o.Depth = 10
		if r := Run(o); r.Broken == nil {
			t.Errorf("%s: not found among %d states to depth %d", name, r.States, r.Depth)
		} else {
			t.Logf("%s: after %d states, %q", name, r.States, r.Broken)
		}
	}
}
