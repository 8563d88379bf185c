// Package stats decides whether two series of figures differ, from pairs that were measured with the same seed. It
// imports only the standard library.
package stats

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Difference is the difference B-A over pairs of figures: its mean and its 95% confidence interval.
type Difference struct {
	A    float64 `json:"a"` // mean
	B    float64 `json:"b"`
	Mean float64 `json:"difference"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"pairs"`
	Told bool    `json:"told_apart"` // significant: there are enough pairs, and the interval does not contain 0
}

const (
	resamples     = 4000
	minPairs      = 4          // with fewer an interval means nothing
	lowerQuantile = 0.025      // of a 95% interval
	upperQuantile = 0.975      // of a 95% interval
	seed          = 0x626f6f74 // the same pairs always give the same interval
)

// Compare compares a[i] with b[i] by the percentile bootstrap of the mean difference (Efron and Tibshirani, An
// Introduction to the Bootstrap, 1993, chapter 13). It is deterministic.
func Compare(a, b []float64) Difference {
	n := min(len(a), len(b))
	d := Difference{N: n}
	if n == 0 {
		return d
	}
	diffs := make([]float64, n)
	for i := range n {
		diffs[i] = b[i] - a[i]
		d.A += a[i] / float64(n)
		d.B += b[i] / float64(n)
		d.Mean += diffs[i] / float64(n)
	}
	rng := rand.New(rand.NewPCG(uint64(n), seed))
	means := make([]float64, resamples)
	for i := range means {
		var sum float64
		for range n {
			sum += diffs[rng.IntN(n)]
		}
		means[i] = sum / float64(n)
	}
	slices.Sort(means)
	d.Low = means[int(lowerQuantile*resamples)]
	d.High = means[int(math.Ceil(upperQuantile*resamples))-1]
	d.Told = n >= minPairs && (d.Low > 0 || d.High < 0)
	return d
}
