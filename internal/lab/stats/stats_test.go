package stats

import (
	"math/rand/v2"
	"testing"
)

func series(n int, shift, noise float64, seed uint64) (a, b []float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for range n {
		day := rng.Float64() // days differ far more than A and B do
		a = append(a, day+noise*rng.NormFloat64())
		b = append(b, day+shift+noise*rng.NormFloat64())
	}
	return a, b
}

func TestCompareFindsSignificantDifferences(t *testing.T) {
	if d := Compare(series(20, 0.1, 0.02, 1)); !d.Told || d.Low > 0.1 || d.High < 0.1 {
		t.Errorf("a difference of 0.1 is not told: %+v", d)
	}
	if d := Compare(series(3, 0.1, 0.0001, 1)); d.Told {
		t.Errorf("three pairs are too few: %+v", d)
	}
	if d := Compare(nil, nil); d.Told || d.N != 0 {
		t.Errorf("nothing is not nothing: %+v", d)
	}
	a, b := series(10, 0.1, 0.02, 3)
	if Compare(a, b) != Compare(a, b) {
		t.Error("the same pairs give two intervals")
	}
}

// Where there is no difference one may be seen in one case of twenty, not much more often.
func TestFalseAlarms(t *testing.T) {
	alarms := 0
	for seed := range uint64(300) {
		if d := Compare(series(12, 0, 0.05, seed)); d.Told {
			alarms++
		}
	}
	if alarms > 36 { // 12%: the percentile bootstrap is a little narrow for 12 pairs
		t.Errorf("%d false alarms in 300", alarms)
	}
}
