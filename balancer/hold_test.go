package balancer

import (
	"testing"
)

// holding are settings under which a request may wait for three probes.
func holding() Settings {
	s := testSettings()
	s.Prices.Probe = 0
	return s
}

// A quiet balancer's pooled answers are old: without fresh ones it would send by what was true long ago.
func TestQuietBalancerProbesBeforeItSends(t *testing.T) {
	b, r := start(t, holding(), ready(4))
	b.Request(second, request0(1, 0, second))
	if len(r.sends) != 0 || len(r.probes) != 3 {
		t.Fatalf("sends %v, probes %v: 3 probes and no send wanted", r.sends, r.probes)
	}
	asked := r.probes
	for i, e := range asked {
		b.ProbeCompleted(second+1000, e, OK, 500, []float32{float32(2 - i)})
	}
	if len(r.sends) != 1 || r.sends[0].endpoint != asked[2] {
		t.Errorf("sends %v, want one to %d, which answered the least", r.sends, asked[2])
	}
}

// Probes may be lost: a waiting request must go out all the same, and end by its deadline.
func TestWaitingRequestGoesOutWhenProbesAreLost(t *testing.T) {
	for _, left := range []Micros{second, 10_000} {
		b, r := start(t, holding(), ready(4))
		b.Request(second, Request{ID: 1, Deadline: second + left})
		i := len(r.timers) - 1
		if r.delays[i] > min(40_000, left) {
			t.Errorf("held for %d with %d left", r.delays[i], left)
		}
		b.Timer(second+r.delays[i], r.timers[i])
		if len(r.sends)+len(r.refused) != 1 {
			t.Errorf("%d left: sends %v, refused %v", left, r.sends, r.refused)
		}
		// Answers of the old round come late; they must not release the next one early.
		old := r.probes
		b.Request(2*second, request0(2, 0, 2*second))
		for _, e := range old {
			if at := b.byID[e]; at.probeRound != b.probeRound {
				b.ProbeCompleted(2*second, e, ConnectFailed, 500, nil)
			}
		}
		if b.requests[2] != nil && !b.requests[2].waiting && b.pendingProbes > 0 {
			t.Error("released by answers of another round")
		}
	}
}

// A client may leave while its request waits: the record must not be sent later for another.
func TestWaitingRequestOfDisconnectedClient(t *testing.T) {
	b, r := start(t, holding(), ready(4))
	b.Request(second, request0(1, 0, second))
	b.ClientDisconnected(second+1, 1)
	for _, e := range r.probes {
		b.ProbeCompleted(second+1000, e, OK, 500, []float32{1})
	}
	if len(r.sends) != 0 || len(b.waiting) != 0 || len(b.requests) != 0 {
		t.Errorf("sends %v, held %d", r.sends, len(b.waiting))
	}
}

// Where reports are renewed more seldom than work is done, all balancers that probe follow the same old
// one.
func TestNoWaitOnRarelyRenewedReports(t *testing.T) {
	for _, c := range []struct {
		name  string
		next  float32 // what the endpoint reports at each further probe
		holds bool
	}{{"renewed", 1, true}, {"the same for long", 0, false}} {
		b, r := start(t, holding(), ready(4))
		now, load := second, float32(5)
		for range 40 {
			load += c.next
			now += 50_000
			b.ProbeCompleted(now, 1, OK, 500, []float32{load})
		}
		now += 5 * second
		b.Request(now, request0(1, 0, now))
		if held := len(r.sends) == 0; held != c.holds {
			t.Errorf("%s: held %v, want %v (refresh %.0f us)", c.name, held, c.holds, b.meanReportInterval())
		}
	}
}

// An old low answer must not win over what is known now.
func TestOldReportsFadeToTheTypicalLoad(t *testing.T) {
	b, _ := start(t, testSettings(), ready(4))
	b.ProbeCompleted(0, 1, OK, 500, []float32{0})
	b.typicalLoad = ewma{value: 4, samples: settledSamples}
	e := b.byID[1]
	if l := b.load(1, e); l > 0.1 {
		t.Errorf("fresh answer of 0: load %.2f", l)
	}
	if l := b.load(10*second, e); l < 3.9 {
		t.Errorf("answer of 0, ten seconds old: load %.2f, want the usual 4", l)
	}
}

// With a thousand balancers at an endpoint that warms up, each alone saves too slowly for one request; their sum
// must still come near what the endpoint can do, and never near what pushes it over.
func TestSlowStartBudgetOfManyQuietBalancers(t *testing.T) {
	s := testSettings()
	const balancers, perSecond, endpoints, work = 400, 2.0, 41, 40_000.0
	sent := 0.0
	for i := range balancers {
		out := &recorder{}
		b, err := New(s, uint64(i), out)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.UpdateEndpoints(0, ListCached, ready(endpoints-1))
		b.meanWork = ewma{value: work, samples: settledSamples}
		for now := Micros(0); now < 10*second; now += second / 2 {
			b.sentWork.add(now, work*perSecond/2)
		}
		start := 10 * second
		b.UpdateEndpoints(start, ListDelta, []Endpoint{{ID: 999, StartTime: start}})
		e := b.byID[999]
		for now := start; now < start+second; now += second / 2 {
			b.sentWork.add(now, work*perSecond/2)
			if b.fitsSlowStartBudget(now, e, work) {
				e.slowStartBudget -= work * slowStartCharge
				sent += work
			}
		}
	}
	// At work 40 ms the fleet has 32 core-seconds a second to do: 0.78 for each endpoint.
	fair := balancers * perSecond * work / endpoints
	if share := sent / fair; share < 0.05 || share > 0.5 {
		t.Errorf("the cold endpoint was sent %.2f of a warm one's work in its first second, at warmth 0.2", share)
	}
}

// In a release most endpoints warm up at once: the few warm ones are no measure of what each of the others
// can take.
func TestSlowStartBudgetWhenFewAreWarm(t *testing.T) {
	s := testSettings()
	s.Balancers = 1
	list := ready(10)
	for i := range list[1:] {
		list[1+i].StartTime = 10 * second
	}
	b, _ := start(t, s, nil)
	b.UpdateEndpoints(10*second, ListDelta, list)
	for now := 9 * second; now <= 10*second; now += 10_000 {
		b.sentWork.add(now, 40_000) // the work of four cores a second
	}
	e := b.byID[2]
	e.slowStartBudget, e.budgetRefilledAt = 0, 10*second
	b.fitsSlowStartBudget(10*second+second/10, e, 1)
	// Its part by warmth is 0.2/(1+9*0.2) of 4 core-seconds a second.
	if most := 0.2 / 2.8 * 4 * float64(second) / 10 * 1.1; e.slowStartBudget > most {
		t.Errorf("room for %.0f us of work after 0.1 s, %.0f at most", e.slowStartBudget, most)
	}
}

// Each quiet balancer sees few tenants, often one: that says nothing of anyone's share.
func TestQuietBalancerDoesNotJudgeTenantQuotas(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "a", Allowance: 100}, {Name: "b", Allowance: 100}}
	s.OverQuotaWeight = 0.1
	for _, c := range []struct {
		rate  int
		judge bool
	}{{2, false}, {100, true}} {
		b, _ := start(t, s, ready(2))
		for i := range 4 * c.rate {
			b.tenantDemand[0].add(4*second*Micros(i)/Micros(4*c.rate), 1)
		}
		r := &request{Request: Request{Rules: b.rules, Tenant: 0}}
		if judged := b.quotaWeight(4*second, r) < 1; judged != c.judge {
			t.Errorf("%d requests a second: judged %v, want %v", c.rate, judged, c.judge)
		}
	}
}

// Where much of a request's time is waiting for others, requests held side by side slow each other little: taken
// for crowding, that refused requests on quiet days.
func TestCoreShareFollowsReportedServiceTime(t *testing.T) {
	s := testSettings()
	s.Fields = []Field{FieldLatency, FieldInflight}
	b, _ := start(t, s, ready(2))
	b.meanWork = ewma{value: 200_000, samples: settledSamples}
	crowd := map[float32]float64{}
	for _, ms := range []float32{200, 50} {
		b.serviceTime = ewma{}
		b.ProbeCompleted(second, 1, OK, 500, []float32{ms, 7})
		crowd[ms] = b.crowding(second, b.byID[1])
	}
	if crowd[200] < 3.9 || crowd[50] > 1.5 {
		t.Errorf("crowding at 7 held: %.2f if all of the time needs a core, %.2f if a quarter", crowd[200],
			crowd[50])
	}
}

// With most endpoints full, each retry of what never ran meets the next full one: without a budget, the retries of
// a jam outnumber its requests many times.
func TestRejectedAttemptsSpendTheRetryBudget(t *testing.T) {
	s := testSettings()
	s.Limits.MaxAttempts = 50
	b, r := start(t, s, ready(40))
	const requests = 100
	for id := range uint64(requests) {
		now := second + 10_000*Micros(id)
		b.Request(now, request0(id, 0, now))
		for i := 0; b.requests[id] != nil; i++ {
			b.Outcome(now, Outcome{ID: id, Attempt: i, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: Rejected})
		}
	}
	if retries := len(r.sends) - requests; float64(retries) > maxRetryBudget+retriesPerRequest*requests+1 {
		t.Errorf("%d retries of %d requests, all answered full", retries, requests)
	}
}

// At the start of a small fleet two answers are pooled before the others: they must not take all the
// traffic.
func TestPoolOfFewDoesNotTakeAll(t *testing.T) {
	b, r := start(t, testSettings(), ready(10))
	b.ProbeCompleted(1000, 1, OK, 500, []float32{1})
	b.ProbeCompleted(1000, 2, OK, 500, []float32{1})
	few := 0
	for id := range uint64(12) {
		b.Request(2000, request0(id, 0, 2000))
	}
	for _, s := range r.sends {
		few += int(indicator(s.endpoint <= 2))
	}
	if len(r.sends) != 12 || few > 8 {
		t.Errorf("%d of %d sends to the two endpoints that have answered", few, len(r.sends))
	}
}

// The watch must be shorter than the span in which an answer is recent: watched for that long, reports made anew
// every few milliseconds would seem as old as the limit, and holds would stop (incident id71e59).
func TestFreshReportsAreSeenAsFresh(t *testing.T) {
	b, r := start(t, holding(), ready(4))
	now, load := second, float32(1)
	for range 400 {
		r.timers, r.delays = nil, nil
		load++
		b.ProbeCompleted(now, 1, OK, 500, []float32{load})
		now += 10 * second
		for i, token := range r.timers {
			if token == tokenRepeatProbe {
				load++
				b.ProbeCompleted(now-10*second+r.delays[i]+5000, 1, OK, 500, []float32{load})
			}
		}
	}
	if span := recentWorks * b.meanWork.value; b.reportTime == 0 || b.meanReportInterval() > 0.8*span {
		t.Errorf("refresh %.0f after %.0f watched, limit %.0f", b.meanReportInterval(), b.reportTime, span)
	}
}

// Where probes are dear, one request in a few is held for one: they cost the same part of the result at
// any price.
func TestProbesOfWaitingRequestsCostAPartOfTheResult(t *testing.T) {
	for _, price := range []float64{0.04, 0.08, 0.3} {
		s := testSettings()
		s.Prices.Probe = price
		b, r := start(t, s, ready(8))
		const n = 4000
		probes := 0
		for id := range uint64(n) {
			now := second + Micros(id)*3*second
			b.Request(now, request0(id, 0, now))
			for _, p := range r.probes {
				probes++
				b.ProbeCompleted(now+1000, p, OK, 500, []float32{1})
			}
			r.probes = r.probes[:0]
			if len(r.sends) != 1 {
				t.Fatalf("sends %v", r.sends)
			}
			b.Outcome(now+50_000, Outcome{ID: id, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 49_000,
				Answered: true})
			r.sends = r.sends[:0]
		}
		if got, want := float64(probes)/n*price, 0.03; got < 0.85*want || got > 1.15*want {
			t.Errorf("at a price of %v a request, probes cost %.4f of the result, want %v", price, got, want)
		}
	}
}
