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
			if wait := r.waits[id-1]; wait != 0 && float64(wait) < waitLeast {
				t.Fatalf("latency %d: request %d may take %d µs only", latency, id, wait)
			}
			now += latency
			b.Outcome(now, Outcome{ID: id, Endpoint: r.sends[id-1].endpoint, Latency: latency, Settled: true})
		}
		for _, e := range b.list {
			if x := b.predict(now, e, b.work.v); !(x >= 1) || math.IsInf(x, 0) {
				t.Errorf("latency %d: endpoint %d is predicted to take %v", latency, e.ID, x)
			}
		}
		if w := b.classes[0].work.v; !(w >= workLeast) || math.IsInf(w, 0) {
			t.Errorf("latency %d: a request's work is %v", latency, w)
		}
	}
}
