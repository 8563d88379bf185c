package stats

import (
	"math/rand/v2"
	"testing"
)

func series(n int, shift, noise float64, seed uint64) (a, b []float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	for range n {
		shared := random.Float64() // pairs differ from each other far more than A differs from B
		a = append(a, shared+noise*random.NormFloat64())
		b = append(b, shared+shift+noise*random.NormFloat64())
	}
	return a, b
}

func TestCompareFindsSignificantDifferences(t *testing.T) {
	if d := Compare(series(20, 0.1, 0.02, 1)); !d.Significant || d.Low > 0.1 || d.High < 0.1 {
		t.Errorf("20 pairs that differ by 0.1: got %+v, want a significant difference with 0.1 in its interval", d)
	}
	if d := Compare(series(3, 0.1, 0.0001, 1)); d.Significant {
		t.Errorf("3 pairs are reported as significantly different, want at least 4 for that: %+v", d)
	}
	if d := Compare(nil, nil); d.Significant || d.N != 0 {
		t.Errorf("two empty series: got %+v, want no pairs and no significant difference", d)
	}
	a, b := series(10, 0.1, 0.02, 3)
	if Compare(a, b) != Compare(a, b) {
		t.Error("the same pairs give different intervals")
	}
}

// For series without a difference a 95% interval may report one in about one case of twenty, not much more often.
func TestCompareRarelyReportsEqualSeriesAsDifferent(t *testing.T) {
	falseAlarms := 0
	for seed := range uint64(300) {
		if d := Compare(series(12, 0, 0.05, seed)); d.Significant {
			falseAlarms++
		}
	}
	if falseAlarms > 36 { // 12%: the percentile bootstrap is a little narrow for 12 pairs
		t.Errorf("%d of 300 pairs of equal series are reported as different, want at most 36", falseAlarms)
	}
}
