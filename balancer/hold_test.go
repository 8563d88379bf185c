package balancer

import (
	"math"
	"testing"
)

// waitingSettings returns settings under which a request may wait for three probes.
func waitingSettings() Settings {
	s := testSettings()
	s.Prices.Probe = 0
	return s
}

// The pooled reports of a balancer with little traffic are old. It must probe before it sends, or it would choose by
// loads of long ago.
func TestQuietBalancerProbesBeforeItSends(t *testing.T) {
	b, r := startBalancer(t, waitingSettings(), readyEndpoints(4))
	b.Request(second, testRequest(1, 0, second))
	if len(r.sends) != 0 || len(r.probes) != 3 {
		t.Fatalf("sends %v, probes %v: want no send and 3 probes", r.sends, r.probes)
	}
	probed := r.probes
	for i, e := range probed {
		b.ProbeCompleted(second+1000, e, OK, 500, []float32{float32(2 - i)})
	}
	if len(r.sends) != 1 || r.sends[0].endpoint != probed[2] {
		t.Errorf("sends %v, want one to endpoint %d, which reported the lowest load", r.sends, probed[2])
	}
}

// Probes may be lost. A waiting request must still be sent or rejected by its deadline.
func TestWaitingRequestIsSentWhenProbesAreLost(t *testing.T) {
	for _, remaining := range []Micros{second, 10_000} {
		b, r := startBalancer(t, waitingSettings(), readyEndpoints(4))
		b.Request(second, Request{ID: 1, Deadline: second + remaining})
		i := len(r.timers) - 1
		if r.delays[i] > min(40_000, remaining) {
			t.Errorf("request waits for %d µs, %d µs before its deadline", r.delays[i], remaining)
		}
		b.Timer(second+r.delays[i], r.timers[i])
		if len(r.sends)+len(r.rejected) != 1 {
			t.Errorf("%d µs to the deadline: sends %v, rejected %v, want one of them", remaining, r.sends, r.rejected)
		}
		// Late answers to probes of the earlier round must not release the request of the next one.
		lateProbes := r.probes
		b.Request(2*second, testRequest(2, 0, 2*second))
		for _, e := range lateProbes {
			if target := b.byID[e]; target.probeRound != b.probeRound {
				b.ProbeCompleted(2*second, e, ConnectFailed, 500, nil)
			}
		}
		if b.requests[2] != nil && !b.requests[2].waiting && b.pendingProbes > 0 {
			t.Error("request was released by answers to probes of an earlier round")
		}
	}
}

// A client may disconnect while its request waits. The request must then never be sent, since its record may be used
// again for another.
func TestWaitingRequestOfDisconnectedClient(t *testing.T) {
	b, r := startBalancer(t, waitingSettings(), readyEndpoints(4))
	b.Request(second, testRequest(1, 0, second))
	b.ClientDisconnected(second+1, 1)
	for _, e := range r.probes {
		b.ProbeCompleted(second+1000, e, OK, 500, []float32{1})
	}
	if len(r.sends) != 0 || len(b.waiting) != 0 || len(b.requests) != 0 {
		t.Errorf("sends %v, %d requests waiting, want none of either and no record", r.sends, len(b.waiting))
	}
}

// If endpoints renew their reports less often than requests end, all balancers that probe get the same old report and
// follow it together. Requests must not wait for such reports.
func TestNoWaitOnRarelyRenewedReports(t *testing.T) {
	for _, c := range []struct {
		name  string
		next  float32 // change of the reported load from probe to probe
		waits bool
	}{{"renewed", 1, true}, {"the same for long", 0, false}} {
		b, r := startBalancer(t, waitingSettings(), readyEndpoints(4))
		now, load := second, float32(5)
		for range 40 {
			load += c.next
			now += 50_000
			b.ProbeCompleted(now, 1, OK, 500, []float32{load})
		}
		now += 5 * second
		b.Request(now, testRequest(1, 0, now))
		if waited := len(r.sends) == 0; waited != c.waits {
			t.Errorf("report %s: request waited %v, want %v (report interval %.0f µs)",
				c.name, waited, c.waits, b.meanReportInterval())
		}
	}
}

// An old report of a low load must not make an endpoint seem idle.
func TestOldReportsFadeToTheTypicalLoad(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(4))
	b.ProbeCompleted(0, 1, OK, 500, []float32{0})
	b.typicalLoad = ewma{value: 4, samples: settledSamples}
	e := b.byID[1]
	if l := b.load(1, e); l > 0.1 {
		t.Errorf("new report of load 0: estimated load %.2f, want at most 0.1", l)
	}
	if l := b.load(10*second, e); l < 3.9 {
		t.Errorf("report of load 0, ten seconds old: estimated load %.2f, want the typical 4", l)
	}
}

// With hundreds of balancers, each refills its slow-start budget too slowly for one request. Together they must still
// send a good part of what an endpoint that warms up can do, and stay well below what overloads it.
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
		b.UpdateEndpoints(0, ListCached, readyEndpoints(endpoints-1))
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
				e.slowStartBudget -= work * slowStartWorkFactor
				sent += work
			}
		}
	}
	// At 40 ms of work per request the fleet does 32 core-seconds per second: 0.78 for each endpoint.
	fair := balancers * perSecond * work / endpoints
	if share := sent / fair; share < 0.05 || share > 0.5 {
		t.Errorf("endpoint at capacity 0.2 was sent %.2f of a warm one's work in its first second", share)
	}
}

// During a rollout most endpoints warm up at once. What the few warm ones get is then no measure of what the others can
// take, and budgets that follow it would be too large.
func TestSlowStartBudgetWhenFewAreWarm(t *testing.T) {
	s := testSettings()
	s.Balancers = 1
	list := readyEndpoints(10)
	for i := range list[1:] {
		list[1+i].StartTime = 10 * second
	}
	b, _ := startBalancer(t, s, nil)
	b.UpdateEndpoints(10*second, ListDelta, list)
	for now := 9 * second; now <= 10*second; now += 10_000 {
		b.sentWork.add(now, 40_000) // the work of four cores
	}
	e := b.byID[2]
	e.slowStartBudget, e.budgetRefilledAt = 0, 10*second
	b.fitsSlowStartBudget(10*second+second/10, e, 1)
	// Its share by capacity is 0.2/(1+9*0.2) of 4 core-seconds per second.
	if limit := 0.2 / 2.8 * 4 * float64(second) / 10 * 1.1; e.slowStartBudget > limit {
		t.Errorf("slow-start budget of %.0f µs of work after 0.1 s, want at most %.0f", e.slowStartBudget, limit)
	}
}

// A balancer with little traffic sees few tenants, often one. That says nothing about the quotas that they use.
func TestQuietBalancerDoesNotJudgeTenantQuotas(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "a", Allowance: 100}, {Name: "b", Allowance: 100}}
	s.OverQuotaWeight = 0.1
	for _, c := range []struct {
		rate   int
		judges bool
	}{{2, false}, {100, true}} {
		b, _ := startBalancer(t, s, readyEndpoints(2))
		for i := range 4 * c.rate {
			b.tenantDemand[0].add(4*second*Micros(i)/Micros(4*c.rate), 1)
		}
		r := &request{Request: Request{Rules: b.rules, Tenant: 0}}
		if judged := b.quotaWeight(4*second, r) < 1; judged != c.judges {
			t.Errorf("%d requests per second: quota counted %v, want %v", c.rate, judged, c.judges)
		}
	}
}

// Requests that spend most of their time waiting for other services slow each other little. If all of their time
// counted as use of a core, the predicted contention would cause rejections at low load.
func TestCoreShareFollowsReportedServiceTime(t *testing.T) {
	s := testSettings()
	s.Fields = []Field{FieldLatency, FieldInflight}
	b, _ := startBalancer(t, s, readyEndpoints(2))
	b.meanWork = ewma{value: 200_000, samples: settledSamples}
	contention := map[float32]float64{}
	for _, ms := range []float32{200, 50} {
		b.serviceTime = ewma{}
		b.ProbeCompleted(second, 1, OK, 500, []float32{ms, 7})
		contention[ms] = b.contention(second, b.byID[1])
	}
	if contention[200] < 3.9 || contention[50] > 1.5 {
		t.Errorf("contention at 7 requests: %.2f if all of their time needs a core, %.2f if a quarter", contention[200],
			contention[50])
	}
}

// When most endpoints reject, the retry of a rejected attempt meets the next endpoint that rejects. Without a budget,
// retries would outnumber requests many times in such an overload.
func TestRejectedAttemptsSpendTheRetryBudget(t *testing.T) {
	s := testSettings()
	s.Limits.MaxAttempts = 50
	b, r := startBalancer(t, s, readyEndpoints(40))
	const requests = 100
	for id := range uint64(requests) {
		now := second + 10_000*Micros(id)
		b.Request(now, testRequest(id, 0, now))
		for i := 0; b.requests[id] != nil; i++ {
			b.Outcome(now, Outcome{ID: id, Attempt: i, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: Rejected})
		}
	}
	if retries := len(r.sends) - requests; float64(retries) > maxRetryBudget+retriesPerRequest*requests+1 {
		t.Errorf("%d retries of %d requests, all rejected: want no more than the retry budget", retries, requests)
	}
}

// After the start two endpoints may have reported before the others. They must not get all the traffic.
func TestSmallPoolDoesNotAttractAllRequests(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(10))
	b.ProbeCompleted(1000, 1, OK, 500, []float32{1})
	b.ProbeCompleted(1000, 2, OK, 500, []float32{1})
	toReported := 0
	for id := range uint64(12) {
		b.Request(2000, testRequest(id, 0, 2000))
	}
	for _, s := range r.sends {
		toReported += int(indicator(s.endpoint <= 2))
	}
	if len(r.sends) != 12 || toReported > 8 {
		t.Errorf("%d of %d requests sent to the two endpoints with reports, want at most 8 of 12",
			toReported, len(r.sends))
	}
}

// The delay of a repeat probe must be shorter than the time in which a report is recent. With a delay as long, reports
// that are renewed every few milliseconds would seem to be renewed that seldom, and requests would no longer wait for
// probes (incident id71e59).
func TestFrequentlyRenewedReportsHaveAShortInterval(t *testing.T) {
	b, r := startBalancer(t, waitingSettings(), readyEndpoints(4))
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
		t.Errorf("report interval %.0f µs, observed over %.0f µs; want at most 0.8 of %.0f µs",
			b.meanReportInterval(), b.reportTime, span)
	}
}

// If probes are dear, only some requests wait for one, so that the probes cost the same share of the result at any
// price.
func TestProbesForWaitingRequestsCostAFixedShareOfTheResult(t *testing.T) {
	for _, price := range []float64{0.04, 0.08, 0.3} {
		s := testSettings()
		s.Prices.Probe = price
		b, r := startBalancer(t, s, readyEndpoints(8))
		const n = 4000
		probes := 0
		for id := range uint64(n) {
			now := second + Micros(id)*3*second
			b.Request(now, testRequest(id, 0, now))
			for _, p := range r.probes {
				probes++
				b.ProbeCompleted(now+1000, p, OK, 500, []float32{1})
			}
			r.probes = r.probes[:0]
			if len(r.sends) != 1 {
				t.Fatalf("got sends %v, want exactly one", r.sends)
			}
			b.Outcome(now+50_000, Outcome{ID: id, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 49_000,
				Answered: true})
			r.sends = r.sends[:0]
		}
		if got, want := float64(probes)/n*price, 0.03; got < 0.85*want || got > 1.15*want {
			t.Errorf("at a price of %v per request probes cost %.4f of the result, want %v", price, got, want)
		}
	}
}

// TestSavedSlowStartBudgetsOfManyBalancersStaySmall guards against hundreds of balancers that each save up one request
// while it is quiet, and send it to the same endpoint in the same moment.
func TestSavedSlowStartBudgetsOfManyBalancersStaySmall(t *testing.T) {
	const (
		balancers      = 300
		seeds          = 10
		endpoints      = 41
		work           = 40_000.0
		requestsPerSec = 2.0
	)
	for seed := range uint64(seeds) {
		s := testSettings()
		s.Balancers = balancers
		s.Contract.SlowStartDuration = 1000 * second
		fitting, expected := 0, 0.0
		for i := range uint64(balancers) {
			b, _ := startBalancer(t, s, nil)
			b.rng = randSource(seed*balancers + i)
			b.UpdateEndpoints(0, ListFull, readyEndpoints(endpoints))
			b.meanWork = ewma{value: work, samples: settledSamples}
			const quietUntil = 200 * second
			e := b.endpoints[0]
			b.startSlowStart(0, e, 0)
			for now := Micros(0); now <= quietUntil; now += second / 2 {
				b.sentWork.add(now, work*requestsPerSec/2)
			}
			b.aperture(quietUntil) // as maySend does first
			fitting += int(indicator(b.fitsSlowStartBudget(quietUntil, e, work)))
			// Of half a window, which is the most that may be saved.
			expected += b.slowStartRate(quietUntil, e, work) / 2 / (work * slowStartWorkFactor)
		}
		if most := expected + 3*math.Sqrt(expected) + 2; float64(fitting) > most {
			t.Errorf("seed %d: %d of %d balancers may send at once after a quiet time, want at most %.0f", seed, fitting,
				balancers, most)
		}
	}
}
