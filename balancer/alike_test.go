package balancer

import (
	"math"
	"testing"
)

// Where nothing reports what others have at an endpoint, each of them is held to have as much as this balancer: alone it
// would see a share of the load, and find an endpoint quick that all of them together crowd. Where something does, it counts.
func TestOthersAreHeldAlike(t *testing.T) {
	for _, c := range []struct {
		balancers, endpoints int
		reports              bool
		want                 float64 // load of others at each
	}{
		{1, 4, false, 0}, {4, 4, false, 3 * 2}, {6, 12, false, 5 * 2}, {300, 200, false, 8 * 2}, {4, 4, true, 1},
	} {
		s, r := testSettings(), &recorder{}
		s.Balancers, s.Limits.Probes = c.balancers, c.reports
		b, err := New(s, 7, r)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.Members(0, ListFull, ready(c.endpoints))
		near := b.aperture(0)
		for range 2 {
			for _, e := range near {
				e.inflight++
			}
		}
		if c.reports {
			for _, e := range near {
				b.answered(0, e, 100, []float32{float32(e.inflight + 1)})
			}
		}
		for now := Micros(0); now < 10*second; now += second / 10 {
			b.aperture(now)
		}
		for _, e := range near {
			if got := b.load(10*second, e) - float64(e.inflight); math.Abs(got-c.want) > 0.1 {
				t.Errorf("%d balancers, %d endpoints, reports %v: others have %.2f, want %.0f", c.balancers, c.endpoints, c.reports, got, c.want)
			}
		}
	}
}
