package balancer

import (
	"math"
	"testing"
)

func TestPickPrefersLowestLoadPlusOwnSends(t *testing.T) {
	s := testSettings()
	s.Balancers = 1
	b, r := startBalancer(t, s, readyEndpoints(3))
	for i, load := range []float32{4, 0, 9} {
		b.ProbeCompleted(1000, uint32(i+1), OK, 500, []float32{load})
	}
	for id := range uint64(4) {
		b.Request(2000, testRequest(id, 0, 2000))
	}
	// Endpoint 2 has the lowest load until it has as many requests as endpoint 1 reported.
	for i, s := range r.sends {
		if s.endpoint != 2 {
			t.Errorf("request %d was sent to endpoint %d, want 2", i, s.endpoint)
		}
	}
	if len(r.sends) != 4 {
		t.Fatalf("%d requests sent, want 4", len(r.sends))
	}
	if got := b.load(2000, b.byID[2]); math.Abs(got-4) > 0.1 {
		t.Errorf("estimated load with 4 own sends: %v, want 4", got)
	}
}

// In a large fleet all balancers get a report of the same idle endpoint. Each may send only a few requests there, or
// together they would overload it.
func TestOneLowReportDoesNotAttractAllRequests(t *testing.T) {
	for _, c := range []struct{ balancers, maxSends int }{{1, 5}, {3, 3}, {15, 2}} {
		s := testSettings()
		s.Balancers = c.balancers
		b, r := startBalancer(t, s, readyEndpoints(4))
		for id := range uint32(4) {
			b.ProbeCompleted(1000, id+1, OK, 500, []float32{3 * float32(min(1, id))})
		}
		for id := range uint64(8) {
			b.Request(2000, Request{ID: id, Deadline: second, Hint: 10_000, HasHint: true})
		}
		toIdle := 0
		for _, send := range r.sends {
			if send.endpoint == 1 {
				toIdle++
			}
		}
		if len(r.sends) != 8 || toIdle == 0 || toIdle > c.maxSends {
			t.Errorf("%d balancers: %d of %d sends to the idle endpoint, want 1 to %d",
				c.balancers, toIdle, len(r.sends), c.maxSends)
		}
	}
}

func TestExpiredReportsDoNotDecide(t *testing.T) {
	s := testSettings()
	b, r := startBalancer(t, s, readyEndpoints(2))
	b.ProbeCompleted(1000, 1, OK, 500, []float32{0})
	now := 1000 + b.reportLifetime(1000) + 30*second
	seen := map[uint32]bool{}
	for id := range uint64(20) {
		b.Request(now, testRequest(id, 0, now))
		b.Outcome(now, Outcome{ID: id, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: OK, Latency: 1000,
			Answered: true})
		seen[r.sends[len(r.sends)-1].endpoint] = true
	}
	if len(seen) != 2 {
		t.Error("all requests went to the endpoint with an expired report, want both endpoints used")
	}
}

func TestInvalidReports(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(1))
	nan := float32(math.NaN())
	for _, load := range [][]float32{nil, {}, {nan}, {-3}, {float32(math.Inf(1))}} {
		b.ProbeCompleted(1000, 1, OK, 500, load)
		if b.endpoints[0].hasLoad {
			t.Errorf("invalid report %v was accepted as a load", load)
		}
	}
	b.ProbeCompleted(1000, 99, OK, 500, []float32{1}) // unknown endpoint
	b.ProbeCompleted(1000, 1, OK, 500, []float32{2, 7, 9})
	if b.load(1000, b.endpoints[0]) != 2 {
		t.Errorf("estimated load %v, want 2", b.load(1000, b.endpoints[0]))
	}
}

// Reports that count fewer requests than this balancer has at the endpoint are late and must not decide picks.
func TestLateReportsAreDetected(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(2))
	for id := range uint64(3) {
		b.Request(1000, testRequest(id, 0, 1000))
	}
	busy := b.byID[r.sends[0].endpoint]
	for i := range Micros(40) {
		busy.probing = false
		b.probe(12_000+i, busy)
		b.ProbeCompleted(13_000+i, busy.ID, OK, 500, []float32{0})
	}
	if !b.reportsLate {
		t.Fatal("reports that miss own requests were not detected as late")
	}
	if got := b.load(15_000, busy); got < float64(busy.inflight) {
		t.Errorf("estimated load %v is below the %d own requests in flight", got, busy.inflight)
	}
	for i := range Micros(400) {
		busy.probing = false
		b.probe(14_000+i, busy)
		b.ProbeCompleted(15_000+i, busy.ID, OK, 500, []float32{5})
	}
	if b.reportsLate {
		t.Error("reports still count as late after 400 correct ones")
	}
}

// A wrong estimate of a class's work must not reject that class for ever: one request passes per interval and corrects
// the estimate.
func TestOneRequestPredictedLatePassesPerInterval(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1))
	b.classes[0].meanWork.value = float64(100 * second)
	for i := range uint64(30) {
		now := 10*second + Micros(i)*second/10
		b.Request(now, testRequest(i, 0, now))
	}
	if n := len(r.sends); n < 2 || n > 4 {
		t.Errorf("%d of 30 requests sent in three seconds, want about one per second", n)
	}
	if len(r.rejected) != 30-len(r.sends) {
		t.Errorf("%d requests rejected and %d sent, want 30 in all", len(r.rejected), len(r.sends))
	}
}

func TestFailingEndpointIsAvoidedAndTriedAgain(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(3))
	now := second
	sends := map[uint32]int{}
	id := uint64(0)
	step := func() {
		now += 20_000
		for e := range uint32(3) {
			b.ProbeCompleted(now, e+1, OK, 500, []float32{0})
		}
		id++
		from := len(r.sends)
		b.Request(now, testRequest(id, 0, now))
		for n := 0; from < len(r.sends); n++ {
			to := r.sends[from].endpoint
			from++
			sends[to]++
			status := OK
			if to == 1 {
				status = Error
			}
			b.Outcome(now, Outcome{ID: id, Attempt: n, Endpoint: to, Status: status,
				Latency: 30_000 + Micros(id*7919%60_000), Answered: status == OK})
		}
	}
	for range 3000 {
		step()
	}
	if sends[1] > 300 {
		t.Errorf("%d of 3000 requests sent to an endpoint that fails fast, want at most 300", sends[1])
	}
	if sends[1] < 2 {
		t.Errorf("%d requests sent to a failing endpoint, want it to be tried again", sends[1])
	}
}

func TestTenantBeyondItsQuotaWeighsLess(t *testing.T) {
	s := testSettings()
	s.OverQuotaWeight = 0.05
	s.Tenants = []Tenant{{Name: "a", Allowance: 50}, {Name: "b", Allowance: 50}}
	b, _ := startBalancer(t, s, readyEndpoints(2))
	for i := range Micros(100) {
		b.tenantDemand[0].add(i*1000, 1)
		if i%4 == 0 {
			b.tenantDemand[1].add(i*1000, 1)
		}
	}
	over, within := &request{Request: Request{Rules: b.rules, Tenant: 0}},
		&request{Request: Request{Tenant: 1}}
	b.rejectionRate.value = 0.5
	if overWeight, withinWeight := b.quotaWeight(100_000, over), b.quotaWeight(100_000, within); withinWeight != 1 ||
		overWeight > 0.6 {
		t.Errorf("weight %v beyond the quota, want at most 0.6; %v within it, want 1", overWeight, withinWeight)
	}
	if got := b.quotaWeight(100_000, &request{Request: Request{Rules: b.rules, Tenant: 9}}); got != 1 {
		t.Errorf("weight %v for an unknown tenant, want 1", got)
	}
}

// After the start few endpoints have reported. They must not get all requests.
func TestSingleReportDoesNotAttractAllRequests(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(8))
	b.ProbeCompleted(1000, 3, OK, 500, []float32{0})
	for id := range uint64(24) {
		b.Request(2000, testRequest(id, 0, 2000))
	}
	seen := map[uint32]int{}
	for _, s := range r.sends {
		seen[s.endpoint]++
	}
	if len(r.sends) != 24 || len(seen) < 4 || seen[3] > 12 {
		t.Errorf("%d requests sent, by endpoint %v; want 24, to at least 4 endpoints, and at most 12 to endpoint 3",
			len(r.sends), seen)
	}
}

// While reports are late, averages replace them. They do not show which endpoints have little load, so that they must
// not cause rejections before the whole latency objective is used.
func TestLateReportsAllowTheFullLatencyObjective(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(1))
	r := &request{Request: testRequest(1, 0, 0), work: 50_000}
	r.Rules = b.rules
	b.classes[0].demand.add(0, 1)
	before := b.latencyBudget(0, r, b.endpoints[0])
	b.reportsLate = true
	if after := b.latencyBudget(0, r, b.endpoints[0]); after <= before ||
		after != float64(b.settings.Classes[0].LatencyObjective) {
		t.Errorf("latency budget %v, and %v while reports are late, want the latency objective", before, after)
	}
}

// The predictions for an endpoint in slow start must follow its capacity, also once its pace has been learned.
func TestPredictionIsHigherDuringSlowStart(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(2))
	b.UpdateEndpoints(1000, ListDelta, []Endpoint{{ID: 9, State: Ready, StartTime: 1000}})
	e := b.byID[9]
	if got := e.currentPace(1000, b); !approxEqual(got, 5) { // capacity 0.2
		t.Errorf("pace %v at the start, want 5", got)
	}
	e.pace, e.paceLearnedAt = ewma{value: 2, samples: settledSamples}, 6*second
	if got := e.currentPace(6*second, b); got < 2.9 || got > 3 { // capacity 0.68
		t.Errorf("pace %v half way through slow start, want 2.9 to 3", got)
	}
	if got := e.currentPace(12*second, b); got > 2 {
		t.Errorf("pace %v after slow start, want at most 2", got)
	}
}

// An endpoint that stops answering must not seem idle because no slow answers are counted: it must be avoided while it
// is silent.
func TestSilentEndpointIsAvoidedBeforeAveragesShowIt(t *testing.T) {
	s := testSettings()
	s.Limits.HedgedRequests = false
	b, r := startBalancer(t, s, readyEndpoints(2))
	b.ProbeCompleted(1000, 1, OK, 500, []float32{0})
	b.ProbeCompleted(1000, 2, OK, 500, []float32{2})
	b.Request(1000, testRequest(1, 0, 1000))
	if r.sends[0].endpoint != 1 {
		t.Fatal("first request was not sent to the idle endpoint")
	}
	for id := range uint64(5) {
		now := 300_000 + 1000*Micros(id)
		b.Request(now, testRequest(10+id, 0, now))
		last := r.sends[len(r.sends)-1]
		if last.endpoint != 2 || last.id != 10+id {
			t.Fatalf("request %d was sent to endpoint %d, which has been silent for 0.3 s", last.id, last.endpoint)
		}
		b.Outcome(now, Outcome{ID: last.id, Endpoint: 2, Status: OK, Latency: 900, Answered: true})
	}
	b.Outcome(310_000, Outcome{ID: 1, Endpoint: 1, Status: OK, Latency: 309_000, Answered: true})
	if got := b.predict(310_000, b.byID[1], 1000); got > 100_000 {
		t.Errorf("latency %v µs predicted after the endpoint answered, want at most 100000", got)
	}
}

// When the whole fleet becomes slow, an endpoint whose pace was fast must be predicted to be slow as well, and to be
// fast again soon after the recovery.
func TestFleetWideSlowdownIsLearnedAtOnce(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(4))
	serve := func(from, step Micros, n int, factor float64) {
		for i := range n {
			now := from + step*Micros(i)
			id := uint64(now)
			b.ProbeCompleted(now, 1, OK, 500, []float32{9}) // so that other endpoints get the requests
			b.Request(now, Request{ID: id, Deadline: now + second, Hint: 10_000, HasHint: true})
			if len(r.sends) == 0 || r.sends[len(r.sends)-1].id != id {
				continue // rejected
			}
			latency := Micros(factor * b.requests[id].attempts[0].expectedLatency)
			b.Outcome(now, Outcome{ID: id, Endpoint: r.sends[len(r.sends)-1].endpoint, Status: OK,
				Latency: latency, Answered: true})
		}
	}
	predictFirst := func(now Micros) float64 {
		b.ProbeCompleted(now, 1, OK, 500, []float32{0})
		b.byID[1].pace, b.byID[1].paceLearnedAt = ewma{1, settledSamples}, now
		return b.predict(now, b.byID[1], 10_000)
	}
	serve(0, 1000, 50, 1)
	before := predictFirst(60_000)
	serve(100_000, 1000, 15, 4)
	if slow := predictFirst(120_000); slow < 2*before {
		t.Errorf("predicted %v before, %v after 15 outcomes of four times the prediction, want at least twice as much",
			before, slow)
	}
	// While all requests are rejected, only the forced passes, one per second, show the recovery.
	serve(200_000, second/2, 80, 0.5)
	if after := predictFirst(41 * second); after > 1.2*before {
		t.Errorf("predicted %v before, %v after the recovery, want at most 1.2 times as much", before, after)
	}
}

// The weight of hints must follow how well they predict the work. Otherwise requests with a large but wrong hint would
// be rejected although endpoints are idle.
func TestHintTrustIsLearned(t *testing.T) {
	for _, c := range []struct {
		name     string
		latency  func(hint Micros) Micros
		from, to float64
	}{
		{"work is independent of hints", func(Micros) Micros { return 20_000 }, 0, 0.15},
		{"work equals hints", func(hint Micros) Micros { return hint }, 0.85, 1},
	} {
		b, r := startBalancer(t, testSettings(), readyEndpoints(4))
		hints := randSource(3)
		for i := range 4000 {
			now := 10_000 * Micros(i)
			hint := 5_000 + hints.below(60_000)
			b.Request(now, Request{ID: uint64(i), Deadline: now + second, Hint: hint, HasHint: true})
			if n := len(r.sends); n > 0 && r.sends[n-1].id == uint64(i) {
				b.Outcome(now, Outcome{ID: uint64(i), Endpoint: r.sends[n-1].endpoint, Status: OK,
					Latency: c.latency(hint), Answered: true})
			}
		}
		if b.hintTrust < c.from || b.hintTrust > c.to {
			t.Errorf("%s: hint exponent %.2f, want %.2f to %.2f", c.name, b.hintTrust, c.from, c.to)
		}
	}
}

// A balancer that rejects all requests must go on probing, or it would not learn when it may stop rejecting.
func TestProbesContinueWhileAllIsRejected(t *testing.T) {
	s := testSettings()
	s.Prices.Probe = probeCostShare // one probe a request
	b, _ := startBalancer(t, s, readyEndpoints(4))
	for i := range 1000 {
		b.demand.add(5000*Micros(i), 1)
	}
	now := 5 * second
	b.rejectionRate.value = 0
	all := b.probeRate(now)
	for _, c := range []struct{ rejectionRate, want float64 }{{0.5, 0.5}, {0.9, minAdmittedShare}, {1,
		minAdmittedShare}} {
		b.rejectionRate.value = c.rejectionRate
		if got := b.probeRate(now) / all; math.Abs(got-c.want) > 0.001 {
			t.Errorf("rejection rate %v: %v of the probe rate without rejections, want %v",
				c.rejectionRate, got, c.want)
		}
	}
}
