package chain

import (
	"math"
	"testing"

	"birchmoor/balancer"
)

// One call becomes max_attempts to the power of the levels if sidecars may retry its class after the failure, and stays
// one otherwise.
func TestMaxLeafAttempts(t *testing.T) {
	for _, c := range []struct {
		idempotency balancer.Idempotency
		failure     LeafFailure
		attempts    int
		levels      int
		want        float64
	}{
		{balancer.Idempotent, LeafErrors, 3, 14, 4782969}, {balancer.Idempotent, LeafRejects, 2, 14, 16384},
		{balancer.Idempotent, LeafSilent, 4, 3, 64},
		{balancer.WithIdempotencyKey, LeafErrors, 3, 3, 27}, {balancer.WithIdempotencyKey, LeafRejects, 3, 5, 243},
		{balancer.WithIdempotencyKey, LeafSilent, 3, 14, 1},
		{balancer.NotIdempotent, LeafErrors, 4, 14, 1}, {balancer.NotIdempotent, LeafSilent, 4, 14, 1},
		{balancer.NotIdempotent, LeafRejects, 4, 2, 16},
		{balancer.Idempotent, LeafErrors, 1, 14, 1}, {balancer.Idempotent, LeafErrors, 3, 0, 1},
	} {
		if got := MaxLeafAttempts(c.idempotency, c.failure, c.attempts, c.levels); got != c.want {
			t.Errorf("idempotency %d, failure %s, %d attempts, %d levels: %v, want %v", c.idempotency, c.failure,
				c.attempts, c.levels, got, c.want)
		}
		for _, calls := range []int{1, 7, 1000} {
			if b := BudgetedLeafAttempts(c.idempotency, c.failure, c.attempts, c.levels,
				calls, 1); b > float64(calls)*c.want ||
				b < float64(calls) {
				t.Errorf("%+v: with budgets, the bound for %d calls is %v", c, calls, b)
			}
		}
	}
}

// The budgets limit a call once max_attempts allows more: the bounds are 1, 3, 9, then 9+11, 20+14, 34+16. For many
// calls, each level adds a fifth.
func TestBudgetedLeafAttempts(t *testing.T) {
	for levels, want := range []float64{1, 3, 9, 20, 34, 50} {
		if got := BudgetedLeafAttempts(balancer.Idempotent, LeafErrors, 3, levels, 1, 1); got != want {
			t.Errorf("%d levels: %v attempts for one call, want %v", levels, got, want)
		}
	}
	if got := BudgetedLeafAttempts(balancer.Idempotent, LeafErrors, 3, 3, 1, 10); got != 27 {
		t.Errorf("3 levels of ten sidecars each: %v attempts for one call, want 27", got)
	}
	per := BudgetedLeafAttempts(balancer.Idempotent, LeafErrors, 3, 14, 1e9, 1) / 1e9
	if steady := SteadyLeafAttempts(balancer.Idempotent, LeafErrors, 3, 14); math.Abs(per-steady) > 1e-3 ||
		math.Abs(steady-12.839) > 1e-3 {
		t.Errorf("14 levels: %v attempts per call for 1e9 calls, SteadyLeafAttempts returns %v", per, steady)
	}
	if SteadyLeafAttempts(balancer.Idempotent, LeafErrors, 1, 14) != 1 || SteadyLeafAttempts(balancer.NotIdempotent,
		LeafErrors, 3, 14) != 1 {
		t.Error("SteadyLeafAttempts is not 1 where no sidecar may retry")
	}
}
