package balancer

import (
	"math"
	"testing"
)

// All balancers send less to an endpoint in slow start. Without a report its load must be estimated as the typical load
// times its capacity.
func TestTypicalLoadIsScaledDuringSlowStart(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(3))
	b.startSlowStart(second, b.byID[1], second)
	b.typicalLoad = ewma{value: 5, samples: settledSamples}
	for _, c := range []struct {
		after Micros
		want  float64
	}{{0, 1}, {5 * second, 3}, {11 * second, 5}} {
		if got := b.load(second+c.after, b.byID[1]); math.Abs(got-c.want) > 0.01 {
			t.Errorf("%d s after its start: estimated load %v, want %v", c.after/second, got, c.want)
		}
		if got := b.load(second+c.after, b.byID[2]); got != 5 {
			t.Errorf("estimated load of a warm endpoint %v, want 5", got)
		}
	}
	// A new report counts as it is. As it ages, the estimate returns to the scaled typical load.
	b.meanWork = ewma{value: 1000, samples: settledSamples}
	b.startSlowStart(second, b.byID[1], second)
	b.ProbeCompleted(2*second, 1, OK, 500, []float32{9})
	b.typicalLoad = ewma{value: 5, samples: settledSamples}
	if fresh, old := b.load(2*second, b.byID[1]), b.load(4*second, b.byID[1]); math.Abs(fresh-9) > 0.1 ||
		math.Abs(old-2.2) > 0.1 {
		t.Errorf("estimated load %v by a new report and %v by an old one, want 9 and 2.2", fresh, old)
	}
}

// The settings give the capacity that an endpoint in slow start has at least. What such endpoints achieve must be
// learned, for all of them together, and be restored in a new process, which would have to learn it from few endpoints.
func TestSlowStartCorrectionIsLearned(t *testing.T) {
	for _, c := range []struct {
		slower   float64 // observed latency over that at the guaranteed capacity
		from, to float64 // range of the estimated over the guaranteed capacity
	}{{1, 0.99, 1.01}, {0.5, 1.5, 2.1}, {3, 0.99, 1.01}} {
		s := testSettings()
		s.Contract.SlowStartDuration = 1000 * second
		b, r := startBalancer(t, s, readyEndpoints(8))
		b.fleetPace, b.meanWork, b.classes[0].meanWork = ewma{value: 1, samples: settledSamples},
			ewma{value: 1000, samples: settledSamples}, ewma{value: 1000, samples: settledSamples}
		for id := range uint64(200) {
			now := second + Micros(id)*second/10
			for _, e := range b.endpoints {
				e.warmingUp, e.slowStartAt, e.slowStartBudget, e.failures, e.partFailures = true, now-100*second,
					1e12, failureRun{}, b.newPartFailures()
			}
			b.Request(now, Request{ID: id, Deadline: now + 100*second, Hint: 1000, HasHint: true})
			if len(r.sends) != int(id)+1 {
				t.Fatal("request was not sent")
			}
			e := b.byID[r.sends[id].endpoint]
			latency := Micros(c.slower * 1000 / e.guaranteedCapacity(now, b))
			b.Outcome(now+latency, Outcome{ID: id, Endpoint: e.ID, Status: OK, Latency: latency, Answered: true})
		}
		now := 30 * second
		e := b.endpoints[0]
		e.warmingUp, e.slowStartAt = true, now-100*second
		if got := e.estimatedCapacity(now, b) / e.guaranteedCapacity(now, b); got < c.from || got > c.to {
			t.Errorf("latency %v times the guaranteed: estimated over guaranteed capacity %v, want %v to %v",
				c.slower, got, c.from, c.to)
		}
		if e.slowStartAt = now - 900*second; e.estimatedCapacity(now, b) > 1 {
			t.Errorf("estimated capacity %v late in slow start, want at most 1", e.estimatedCapacity(now, b))
		}
		// Restore takes it over: a new process would also meet few endpoints in slow start.
		restored, _ := startBalancer(t, s, readyEndpoints(8))
		if _, err := restored.Restore(now, b.Snapshot(now, false), second); err != nil ||
			restored.slowStartCorrection != b.slowStartCorrection {
			t.Errorf("Restore: correction %v, want %v; error %v",
				restored.slowStartCorrection, b.slowStartCorrection, err)
		}
	}
}

// After the start the first endpoint that reports may be an overloaded one, which is probed several times to learn how
// often reports change. Its load must not become the typical load: with few probes it would stay so for a whole day.
func TestOneOverloadedEndpointIsNotTheTypicalLoad(t *testing.T) {
	s := testSettings()
	b, _ := startBalancer(t, s, readyEndpoints(10))
	now := second
	for range 7 {
		now += second / 20
		b.ProbeCompleted(now, 1, OK, 500, []float32{30})
	}
	if b.typicalLoad.value > 2*maxTypicalLoadStep {
		t.Errorf("typical load %v after reports of 30 by one endpoint only", b.typicalLoad.value)
	}
	for id := range uint32(9) {
		now += second
		b.ProbeCompleted(now, id+2, OK, 500, []float32{1})
	}
	if b.typicalLoad.value > 1.5 || b.typicalLoad.value < 0.9 {
		t.Errorf("typical load %v after nine of ten endpoints reported 1, want 0.9 to 1.5", b.typicalLoad.value)
	}
}

// The slow-start budget must follow the capacity that endpoints in slow start have shown, but stay below the multiple
// of the guaranteed capacity at which they are overloaded.
func TestSlowStartBudgetFollowsCorrection(t *testing.T) {
	for _, c := range []struct{ correction, want float64 }{{1, 1.4}, {0.9, 1.4 / 0.9}, {0.5, 1.8}, {0.2, 1.8}} {
		s := testSettings()
		s.Contract.OverloadMultiple = 3
		s.Contract.SlowStartDuration = 1000 * second
		b, _ := startBalancer(t, s, readyEndpoints(4))
		now := second
		b.sentWork.add(now, 1000)
		b.aperture(now)
		e := b.endpoints[0]
		b.startSlowStart(now, e, now)
		b.slowStartCorrection, e.slowStartBudget = c.correction, 0
		perEndpoint := b.sentWork.rate(now+1000) / b.capacity
		b.fitsSlowStartBudget(now+1000, e, 1e6)
		if got := e.slowStartBudget / (perEndpoint * 0.001 * e.guaranteedCapacity(now+1000,
			b)); math.Abs(got-c.want) > 0.01 {
			t.Errorf("correction %v: budget of %.3f times the guaranteed capacity, want %.3f",
				c.correction, got, c.want)
		}
	}
}

// Slow-start budgets follow the work that warm endpoints do. Attempts that never ran must not count as such work, or
// each retry of a rejected request would raise the budgets.
func TestRejectedAttemptsRaiseNoSlowStartBudget(t *testing.T) {
	for status, counts := range map[Status]bool{OK: true, Error: true, Timeout: true, Reset: true,
		Rejected: false, ConnectFailed: false, NotSent: false} {
		s := testSettings()
		s.Limits.MaxAttempts = 1
		b, r := startBalancer(t, s, readyEndpoints(4))
		b.Request(second, testRequest(1, 0, second))
		if got := b.sentWork.rate(second); got != 0 || len(r.sends) != 1 {
			t.Errorf("status %d: %v of work per second counted before the outcome, want 0; %d sends, want 1",
				status, got, len(r.sends))
		}
		b.Outcome(second+1000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: status, Latency: 1000})
		if got := b.sentWork.rate(second + 1000); (got > 0) != counts {
			t.Errorf("status %d: %v of work per second counted", status, got)
		}
	}
}
