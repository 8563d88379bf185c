package balancer

import (
	"math"
	"testing"
)

// Others send a cold endpoint less, too: what it holds while nothing is told of it is its warmth's part of the usual.
func TestColdEndpointIsNotHeldToBeAsBusyAsWarmOnes(t *testing.T) {
	b, _ := start(t, testSettings(), ready(3))
	b.warmUp(second, b.byID[1], second)
	b.usual = ewma{v: 5, n: settled}
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
	b.work = ewma{v: 1000, n: settled}
	b.warmUp(second, b.byID[1], second)
	b.Probed(2*second, 1, OK, 500, []float32{9})
	b.usual = ewma{v: 5, n: settled}
	if fresh, old := b.load(2*second, b.byID[1]), b.load(4*second, b.byID[1]); math.Abs(fresh-9) > 0.1 || math.Abs(old-2.2) > 0.1 {
		t.Errorf("load %v as told and %v long after, want 9 and 2.2", fresh, old)
	}
}
