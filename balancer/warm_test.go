package balancer

import (
	"math"
	"testing"
)

// Others send a cold endpoint less, too: what it holds while nothing is told of it is its warmth's part of
// the usual.
func TestTypicalLoadIsScaledDuringSlowStart(t *testing.T) {
	b, _ := start(t, testSettings(), ready(3))
	b.startSlowStart(second, b.byID[1], second)
	b.typicalLoad = ewma{value: 5, samples: settledSamples}
	for _, c := range []struct {
		after Micros
		want  float64
	}{{0, 1}, {5 * second, 3}, {11 * second, 5}} {
		if got := b.load(second+c.after, b.byID[1]); math.Abs(got-c.want) > 0.01 {
			t.Errorf("%d s after its start a load of %v is expected, want %v", c.after/second, got, c.want)
		}
		if got := b.load(second+c.after, b.byID[2]); got != 5 {
			t.Errorf("a load of %v is expected of a warm one, want 5", got)
		}
	}
	// An answer counts as it is and, as it ages, gives way to the same.
	b.meanWork = ewma{value: 1000, samples: settledSamples}
	b.startSlowStart(second, b.byID[1], second)
	b.ProbeCompleted(2*second, 1, OK, 500, []float32{9})
	b.typicalLoad = ewma{value: 5, samples: settledSamples}
	if fresh, old := b.load(2*second, b.byID[1]), b.load(4*second, b.byID[1]); math.Abs(fresh-9) > 0.1 ||
		math.Abs(old-2.2) > 0.1 {
		t.Errorf("load %v as told and %v long after, want 9 and 2.2", fresh, old)
	}
}

// Settings tell the least that a cold endpoint can do. What cold ones show is learned, for all of them
// together.
func TestSlowStartCorrectionIsLearned(t *testing.T) {
	for _, c := range []struct {
		slower   float64 // than warm, of what is to be expected of the least warmth
		from, to float64 // of heat over warmth, after a few answers
	}{{1, 0.99, 1.01}, {0.5, 1.5, 2.1}, {3, 0.99, 1.01}} {
		s := testSettings()
		s.Contract.SlowStartDuration = 1000 * second
		b, r := start(t, s, ready(8))
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
				t.Fatal("not sent")
			}
			e := b.byID[r.sends[id].endpoint]
			took := Micros(c.slower * 1000 / e.guaranteedCapacity(now, b))
			b.Outcome(now+took, Outcome{ID: id, Endpoint: e.ID, Status: OK, Latency: took, Answered: true})
		}
		now := 30 * second
		e := b.endpoints[0]
		e.warmingUp, e.slowStartAt = true, now-100*second
		if got := e.estimatedCapacity(now, b) / e.guaranteedCapacity(now, b); got < c.from || got > c.to {
			t.Errorf("%v times as slow as may be: heat is %v of warmth, want %v to %v", c.slower, got, c.from, c.to)
		}
		if e.slowStartAt = now - 900*second; e.estimatedCapacity(now, b) > 1 {
			t.Errorf("heat %v", e.estimatedCapacity(now, b))
		}
		// A new process believes it, too: of cold servers it would meet as few.
		next, _ := start(t, s, ready(8))
		if _, err := next.Restore(now, b.Snapshot(now, false), second); err != nil ||
			next.slowStartCorrection != b.slowStartCorrection {
			t.Errorf("recalled %v of %v (%v)", next.slowStartCorrection, b.slowStartCorrection, err)
		}
	}
}

// After a start the first endpoint that answers may be a jammed one, asked several times to learn how old reports
// are. What is thought of all others must not be that for long: with few probes it would be for the whole day.
func TestOneJammedEndpointIsNotTheTypicalLoad(t *testing.T) {
	s := testSettings()
	b, _ := start(t, s, ready(10))
	now := second
	for range 7 {
		now += second / 20
		b.ProbeCompleted(now, 1, OK, 500, []float32{30})
	}
	if b.typicalLoad.value > 2*maxTypicalLoadStep {
		t.Errorf("one endpoint that holds 30 makes the usual load %v", b.typicalLoad.value)
	}
	for id := range uint32(9) {
		now += second
		b.ProbeCompleted(now, id+2, OK, 500, []float32{1})
	}
	if b.typicalLoad.value > 1.5 || b.typicalLoad.value < 0.9 {
		t.Errorf("nine endpoints of ten hold 1, and the usual load is %v", b.typicalLoad.value)
	}
}

// What a cold endpoint may get follows what cold ones show, but never the multiple of the least that it
// can do.
func TestSlowStartBudgetFollowsCorrection(t *testing.T) {
	for _, c := range []struct{ chill, want float64 }{{1, 1.4}, {0.9, 1.4 / 0.9}, {0.5, 1.8}, {0.2, 1.8}} {
		s := testSettings()
		s.Contract.OverloadMultiple = 3
		s.Contract.SlowStartDuration = 1000 * second
		b, _ := start(t, s, ready(4))
		now := second
		b.sentWork.add(now, 1000)
		b.aperture(now)
		e := b.endpoints[0]
		b.startSlowStart(now, e, now)
		b.slowStartCorrection, e.slowStartBudget = c.chill, 0
		each := b.sentWork.rate(now+1000) / b.capacity
		b.fitsSlowStartBudget(now+1000, e, 1e6)
		if got := e.slowStartBudget / (each * 0.001 * e.guaranteedCapacity(now+1000,
			b)); math.Abs(got-c.want) > 0.01 {
			t.Errorf("chill %v: a budget of %.3f times the least that it can do, want %.3f", c.chill, got, c.want)
		}
	}
}

// The guide to a cold budget is what warm endpoints carry. What was turned away unseen they do not: tried again and
// again it would raise the budget as often.
func TestRejectedAttemptsRaiseNoSlowStartBudget(t *testing.T) {
	for status, counts := range map[Status]bool{OK: true, Error: true, Timeout: true, Reset: true,
		Rejected: false, ConnectFailed: false, NotSent: false} {
		s := testSettings()
		s.Limits.MaxAttempts = 1
		b, r := start(t, s, ready(4))
		b.Request(second, request0(1, 0, second))
		if got := b.sentWork.rate(second); got != 0 || len(r.sends) != 1 {
			t.Errorf("status %d: %v a second carried before the outcome, %d sends", status, got, len(r.sends))
		}
		b.Outcome(second+1000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: status, Latency: 1000})
		if got := b.sentWork.rate(second + 1000); (got > 0) != counts {
			t.Errorf("status %d: %v a second carried", status, got)
		}
	}
}
