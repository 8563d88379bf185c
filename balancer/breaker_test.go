package balancer

import (
	"math"
	"testing"
)

func approxEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

func TestErrorChance(t *testing.T) {
	for _, c := range []struct {
		name              string
		accepts, failures int
		rejections        int
		spread            int // number of buckets that the failures are spread over
		want              float64
	}{
		{"empty", 0, 0, 0, 1, 0},
		{"within protection", 0, 5, 0, 1, 0},
		{"one beyond protection", 0, 6, 0, 1, 1.0 / 7},
		// 30 requests, 10 accepts in the newest bucket: the factor stays 1.5.
		{"two thirds fail", 10, 20, 0, 1, (30.0 - 5 - 15) / 31},
		{"rejections count as requests", 10, 0, 20, 1, (30.0 - 5 - 15) / 31},
		{"all accepted", 40, 0, 0, 1, 0},
		// 20 buckets with failures alone after the accepts: the factor is 1.5 - 0.4*20/40 = 1.3.
		{"the factor falls while only failures come", 10, 20, 0, 20, (30.0 - 5 - 13) / 31},
	} {
		var k breaker
		now := 100 * second
		for range c.accepts {
			k.count(now, 1, 0)
		}
		for i := range c.failures {
			if c.spread > 1 && i%(c.failures/c.spread) == 0 {
				now += breakerWindow / bucketCount
			}
			k.count(now, 0, 1)
		}
		for range c.rejections {
			k.count(now, 0, 0)
		}
		if got := k.errorChance(now); !approxEqual(got, c.want) {
			t.Errorf("%s: chance of rejection %v, want %v", c.name, got, c.want)
		}
	}
}

func TestBreakerForgetsOutcomesOutsideTheWindow(t *testing.T) {
	var k breaker
	for range 100 {
		k.count(100*second, 0, 1)
	}
	if k.errorChance(109*second) == 0 {
		t.Error("failures of nine seconds ago are not counted, want them in the window")
	}
	if got := k.errorChance(110*second + 1); got != 0 || k.requests != 0 {
		t.Errorf("after the window: chance of rejection %v, %d requests counted, want none", got, k.requests)
	}
	for range 100 {
		k.count(200*second, 0, 1)
	}
	k.errorChance(500 * second)
	if k.requests != 0 {
		t.Errorf("after 300 s without requests: %d requests counted, want none", k.requests)
	}
}

func TestLatencyAverages(t *testing.T) {
	var k breaker
	k.recordLatency(100)
	if k.baseLatency != 100 || k.currentLatency != 100 {
		t.Fatalf("after the first sample: base %v, current %v, want 100 and 100", k.baseLatency, k.currentLatency)
	}
	k.recordLatency(60) // base falls by a quarter of the way; current is (60+3*100)/4
	if !approxEqual(k.baseLatency, 90) || !approxEqual(k.currentLatency, 90) {
		t.Fatalf("after a lower sample: base %v, current %v, want 90 and 90", k.baseLatency, k.currentLatency)
	}
	k.recordLatency(190) // base rises by a hundredth of the way: (190+99*90)/100; current is (190+270)/4
	if !approxEqual(k.baseLatency, 91) || !approxEqual(k.currentLatency, 115) {
		t.Fatalf("after a higher sample: base %v, current %v, want 91 and 115", k.baseLatency, k.currentLatency)
	}
}

func TestLatencyChance(t *testing.T) {
	for _, c := range []struct {
		name                   string
		base, current, timeout float64
		want                   float64
	}{
		{"no sample", 0, 0, 1000, 0},
		{"under three times the base latency", 100, 299, 1000, 0},
		{"half way to the ceiling", 100, 625, 1000, 0.15}, // (625-300)/(950-300)*0.3
		{"at the ceiling", 100, 950, 1000, 0.3},
		{"capped", 100, 5000, 1000, 0.3},
		{"ceiling below the threshold", 400, 5000, 1000, 0},
	} {
		k := breaker{baseLatency: c.base, currentLatency: c.current}
		if got := k.latencyChance(c.timeout); !approxEqual(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestForcedPass(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(1))
	e := b.endpoints[0]
	now := 20 * second
	for range 1000 {
		e.breaker.count(now, 0, 1)
	}
	r := &request{Request: Request{Rules: b.rules}}
	if !b.breakerAllows(now, r, e) {
		t.Fatal("the first attempt was rejected, want it forced to pass")
	}
	passed := 0
	for range 200 {
		if b.breakerAllows(now+1000, r, e) {
			passed++
		}
	}
	if passed > 20 {
		t.Errorf("%d of 200 attempts passed the breaker of an endpoint that always fails, want at most 20", passed)
	}
	if !b.breakerAllows(now+forcedPassInterval+1001, r, e) {
		t.Error("no attempt was forced to pass after forcedPassInterval")
	}
}

// If all endpoints fail at once, ejection must leave half of them in use, or the last few would get all requests.
func TestEjectionKeepsHalfInUse(t *testing.T) {
	for _, c := range []struct{ endpoints, most int }{{1, 0}, {2, 1}, {3, 1}, {4, 2}, {9, 4}} {
		b, r := startBalancer(t, testSettings(), readyEndpoints(c.endpoints))
		mostEjected := 0
		for id := range uint64(200) {
			now := 1000 + 100*Micros(id)
			b.Request(now, Request{ID: id, Class: 4, Deadline: now + second})
			if n := len(r.sends); n > 0 && r.sends[n-1].id == id {
				b.Outcome(now, Outcome{ID: id, Endpoint: r.sends[n-1].endpoint, Status: Error, Latency: 50})
			}
			ejected := 0
			for _, e := range b.endpoints {
				if now < e.failures.ejectedUntil {
					ejected++
				}
			}
			mostEjected = max(mostEjected, ejected)
		}
		if mostEjected != c.most {
			t.Errorf("%d endpoints that all fail: at most %d ejected at once, want %d",
				c.endpoints, mostEjected, c.most)
		}
	}
}
