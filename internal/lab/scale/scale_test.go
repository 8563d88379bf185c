package scale

import (
	"encoding/json"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/lab/fleetlab"
)

// A fit foretells what grows in proportion and with the square, and says nothing of three sizes.
func TestFit(t *testing.T) {
	sizes := []float64{75, 150, 300, 600}
	for _, c := range []struct {
		f     func(s float64) float64
		power float64
	}{{func(s float64) float64 { return 7 }, 0}, {func(s float64) float64 { return 100 + 3*s }, 0.9}, {func(s float64) float64 { return 0.02 * s * s }, 2}} {
		var v []float64
		for _, s := range sizes {
			v = append(v, c.f(s))
		}
		x, ok := fit(sizes, v)
		if want := c.f(1200); !ok || math.Abs(x.At(1200)-want) > 0.01*want || math.Abs(x.Power-c.power) > 0.1 || x.Off > 0.01 {
			t.Errorf("1200 is foretold as %g, not %g: %+v", x.At(1200), want, x)
		}
		if _, ok := fit(sizes[1:], v[1:]); ok {
			t.Error("three sizes make a fit")
		}
	}
}

// Each hollow sidecar is in one process, with others of its zone, and a rack is a process of its own. Nobody is told of more than the
// services that its own calls.
func TestWorld(t *testing.T) {
	o := Options{Sidecars: 1200, Real: 8, Replicas: 7, Services: 120, Seed: 3, Each: 100}
	w := newWorld(o, nil)
	met := map[int]bool{}
	for _, g := range w.groups() {
		for _, i := range g {
			if met[i] || i < o.Real || zoneOf(i) != zoneOf(g[0]) {
				t.Fatalf("sidecar %d is not one of process %v", i, g)
			}
			met[i] = true
		}
	}
	if len(met) != 1192 || len(w.groups()[0]) != rackOf {
		t.Errorf("%d hollow sidecars, and a rack of %d", len(met), len(w.groups()[0]))
	}
	for v, list := range w.lists {
		if len(list) != 10*Calls || slices.Contains(w.calls[v], v) || !slices.Contains(w.hears(w.calls[v][0]), v) {
			t.Errorf("service %d calls %v, and is told of %d servers", v, w.calls[v], len(list))
		}
	}
	for n := 3; n <= len(replicas); n += 2 {
		var in [3]int
		for _, z := range replicas[:n] {
			in[regionOf[z]]++
		}
		if 2*slices.Max(in[:]) > n {
			t.Errorf("of %d replicas a region has %d", n, slices.Max(in[:]))
		}
	}
}

// Settings of a run are told apart by a mark that does not change what they mean to a sidecar.
func TestMarks(t *testing.T) {
	s := json.RawMessage(fleetlab.Settings())
	m := marked(s, 42)
	if markOf(m) != 42 || markOf(marked(m, 43)) != 43 || markOf(s) != 0 || !json.Valid(m) {
		t.Errorf("%d, %s", markOf(m), m)
	}
}

// What came in force counts from the operator's word, and newer settings stand for older ones.
func TestInForce(t *testing.T) {
	c, at := newChanges(), time.Now()
	c.put(1, at, at)
	c.came(inForce{7, 1, at.Add(time.Second).UnixNano()})
	c.reset()
	c.put(2, at, at.Add(time.Second))
	c.put(3, at.Add(time.Second), at.Add(2*time.Second))
	c.came(inForce{7, 3, at.Add(3 * time.Second).UnixNano()})
	if x := c.result(2); x.Changes != 2 || x.N != 2 || x.Missing != 2 || x.Put != 1 || math.Abs(x.P50-3) > 0.01 && math.Abs(x.P50-2) > 0.01 || math.Abs(x.Worst-3) > 0.01 {
		t.Errorf("%+v", x)
	}
}

// The page has a row for each figure, foretells from four sizes and says what is not known.
func TestMarkdown(t *testing.T) {
	var all []*Result
	for _, n := range []int{10, 20, 40, 80, 160} {
		all = append(all, &Result{Sidecars: n, Roles: map[string]Role{RoleHollow: {"bytes_in": Spread{float64(n), 0, float64(2 * n)}}}})
	}
	var b strings.Builder
	Markdown(&b, all, 160)
	if row := "| bytes_in | B/s | 10 (20) | 20 (40) | 40 (80) | 80 (160) | 160 (320) |"; !strings.Contains(b.String(), row) || !strings.Contains(b.String(), "+ 1·S | 1.00 | 0% | 160 |") {
		t.Errorf("no %s in\n%s", row, b.String())
	}
	b.Reset()
	Markdown(&b, all[:3], 160)
	if !strings.Contains(b.String(), "not known") {
		t.Error("three sizes foretell")
	}
}
