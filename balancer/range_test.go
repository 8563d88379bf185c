package balancer

import (
	"math"
	"testing"
)

// Guards against two failures with endpoints that answer within microseconds: attempt timeouts so short that scheduling
// on a busy machine exceeds them, and predictions that become NaN or infinite because an average is close to 0.
func TestPredictionsAndTimeoutsOfVeryFastEndpoints(t *testing.T) {
	for _, latency := range []Micros{0, 1, 20, 60, 400} {
		s := testSettings()
		s.Limits.Probes = false
		b, r := startBalancer(t, s, readyEndpoints(4))
		now := Micros(0)
		for id := uint64(1); id <= 2000; id++ {
			now += 100
			b.Request(now, testRequest(id, 0, now))
			if len(r.sends) != int(id) {
				t.Fatalf("latency %d: request %d was not sent", latency, id)
			}
			if timeout := r.timeouts[id-1]; timeout != 0 && float64(timeout) < minAttemptTimeoutMicros {
				t.Fatalf("latency %d: request %d has a timeout of only %d µs", latency, id, timeout)
			}
			now += latency
			b.Outcome(now, Outcome{ID: id, Endpoint: r.sends[id-1].endpoint, Latency: latency, Answered: true})
		}
		for _, e := range b.endpoints {
			if predicted := b.predict(now, e, b.meanWork.value); !(predicted >= 1) || math.IsInf(predicted, 0) {
				t.Errorf("latency %d: predicted latency of endpoint %d is %v, want a finite number of at least 1",
					latency, e.ID, predicted)
			}
		}
		if work := b.classes[0].meanWork.value; !(work >= minWork) || math.IsInf(work, 0) {
			t.Errorf("latency %d: mean work is %v, want a finite number of at least minWork", latency, work)
		}
	}
}

// While requests are rejected little is sent, which must not keep endpoints in slow start idle. Their budget must then
// follow what an endpoint of their pace can do, divided among the balancers.
func TestSlowStartBudgetGrowsWhileRejecting(t *testing.T) {
	savedWork := func(rejectionRate float64, balancers int) float64 {
		s := testSettings()
		s.Balancers = balancers
		b, _ := startBalancer(t, s, readyEndpoints(6))
		list := readyEndpoints(6)
		for i := range 5 {
			list[i].StartTime = second
		}
		b.UpdateEndpoints(2*second, ListFull, list)
		b.fleetPace.add(1, 1) // a unit of work takes a microsecond
		b.rejectionRate.value = rejectionRate
		e := b.byID[1]
		if !e.isWarmingUp(2*second, b) {
			t.Fatal("the restarted endpoint is not warming up")
		}
		e.slowStartBudget, e.budgetRefilledAt = 0, 2*second
		b.sentWork.add(2*second, 100_000) // very little
		b.fitsSlowStartBudget(3*second, e, 1_000_000)
		return e.slowStartBudget / (b.capacityShare * min(maxSlowStartRate,
			slowStartShare*s.Contract.OverloadMultiple) * e.guaranteedCapacity(3*second, b))
	}
	noneRejected, quarterRejected, allRejected, oneOfEight :=
		savedWork(0, 2), savedWork(0.25, 2), savedWork(1, 2), savedWork(1, 8)
	if want := assumedCores * float64(second) / 2; math.Abs(allRejected-want) > 0.02*want {
		t.Errorf("budget of %v per second while all requests are rejected, want %v", allRejected, want)
	}
	if math.Abs(quarterRejected-allRejected/2) > 0.02*allRejected ||
		math.Abs(oneOfEight-allRejected/4) > 0.02*allRejected ||
		noneRejected > allRejected/10 {
		t.Errorf("budget of %v without rejections, %v with a quarter rejected, %v as one of eight balancers",

			noneRejected, quarterRejected, oneOfEight)
	}
}

// TestSlowStartBudgetCountsOthersByLoadReports guards against a fleet whose sidecars are each configured as the only
// one: each of them took an endpoint's whole pace for itself while requests were rejected.
func TestSlowStartBudgetCountsOthersByLoadReports(t *testing.T) {
	rate := func(ownLoad, othersLoad float64) float64 {
		s := testSettings()
		s.Balancers = 1
		b, _ := startBalancer(t, s, readyEndpoints(6))
		list := readyEndpoints(6)
		list[0].StartTime = second
		b.UpdateEndpoints(2*second, ListFull, list)
		b.fleetPace.add(1, 1)
		b.rejectionRate.value = 1
		b.ownLoad, b.typicalLoad = ewma{value: ownLoad, samples: settledSamples},
			ewma{value: othersLoad, samples: settledSamples}
		return b.slowStartRate(2*second, b.byID[1], 1000)
	}
	alone := rate(1, 0)
	if got := rate(1, 9); math.Abs(got-alone/10) > 0.01*alone {
		t.Errorf("budget of %v per second with a tenth of the load, want a tenth of %v", got, alone)
	}
	if got := rate(0, 2); got > alone/100 {
		t.Errorf("budget of %v per second without load of its own, want almost none of %v", got, alone)
	}
	// A snapshot of an earlier version has the load of others alone.
	b, _ := startBalancer(t, testSettings(), readyEndpoints(6))
	b.typicalLoad = ewma{value: 9, samples: settledSamples}
	if got := b.sharingBalancers(second); got != 2 {
		t.Errorf("%v balancers share an endpoint before a report with own load, want the 2 of the settings", got)
	}
}
