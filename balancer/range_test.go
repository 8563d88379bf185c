package balancer

import (
	"math"
	"testing"
)

// An endpoint that answers in microseconds must not make time-outs that a busy machine's scheduler reaches, and
// averages near nothing must not turn into no number.
func TestInstantEndpoints(t *testing.T) {
	for _, latency := range []Micros{0, 1, 20, 60, 400} {
		s := testSettings()
		s.Limits.Probes = false
		b, r := start(t, s, ready(4))
		now := Micros(0)
		for id := uint64(1); id <= 2000; id++ {
			now += 100
			b.Request(now, request0(id, 0, now))
			if len(r.sends) != int(id) {
				t.Fatalf("latency %d: request %d was not sent", latency, id)
			}
			if wait := r.waits[id-1]; wait != 0 && float64(wait) < minAttemptTimeout {
				t.Fatalf("latency %d: request %d may take %d µs only", latency, id, wait)
			}
			now += latency
			b.Outcome(now, Outcome{ID: id, Endpoint: r.sends[id-1].endpoint, Latency: latency, Answered: true})
		}
		for _, e := range b.endpoints {
			if x := b.predict(now, e, b.meanWork.value); !(x >= 1) || math.IsInf(x, 0) {
				t.Errorf("latency %d: endpoint %d is predicted to take %v", latency, e.ID, x)
			}
		}
		if w := b.classes[0].meanWork.value; !(w >= minWork) || math.IsInf(w, 0) {
			t.Errorf("latency %d: a request's work is %v", latency, w)
		}
	}
}

// While requests are refused, a cold endpoint may get what its pace lets it do, and no more than this balancer's
// part of that: what little is sent must not keep it idle.
func TestSlowStartBudgetGrowsWhileRejecting(t *testing.T) {
	fill := func(refused float64, balancers int) float64 {
		s := testSettings()
		s.Balancers = balancers
		b, _ := start(t, s, ready(6))
		list := ready(6)
		for i := range 5 {
			list[i].StartTime = second
		}
		b.UpdateEndpoints(2*second, ListFull, list)
		b.fleetPace.add(1, 1) // one of work takes one of time
		b.rejectionRate.value = refused
		e := b.byID[1]
		if !e.isWarmingUp(2*second, b) {
			t.Fatal("it is not cold")
		}
		e.slowStartBudget, e.budgetRefilledAt = 0, 2*second
		b.sentWork.add(2*second, 100_000) // next to nothing
		b.fitsSlowStartBudget(3*second, e, 1_000_000)
		return e.slowStartBudget / (b.capacityShare * min(maxSlowStartRate,
			slowStartShare*s.Contract.OverloadMultiple) * e.guaranteedCapacity(3*second, b))
	}
	quiet, half, busy, shared := fill(0, 2), fill(0.25, 2), fill(1, 2), fill(1, 8)
	if want := assumedCores * float64(second) / 2; math.Abs(busy-want) > 0.02*want {
		t.Errorf("while all is refused it may get %v a second, want %v", busy, want)
	}
	if math.Abs(half-busy/2) > 0.02*busy || math.Abs(shared-busy/4) > 0.02*busy || quiet > busy/10 {
		t.Errorf("it may get %v without refusals, %v with a quarter refused, %v as one of eight balancers",
			quiet, half, shared)
	}
}
