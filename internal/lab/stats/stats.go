// Package stats says whether two series of figures differ, from pairs measured under the same seed.
package stats

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Difference is B less A over pairs: its mean, and the bootstrap interval in which it lies with 95%.
type Difference struct {
	A    float64 `json:"a"` // mean
	B    float64 `json:"b"`
	Mean float64 `json:"difference"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"pairs"`
	Told bool    `json:"told_apart"` // the interval does not hold 0, and there are pairs enough to say so
}

const (
	draws      = 4000
	pairsLeast = 4 // under these an interval says nothing
)

// Compare compares pairs by the percentile bootstrap of the mean of their differences (Efron and Tibshirani, An
// Introduction to the Bootstrap, 1993, chapter 13). The same pairs always give the same interval.
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
	rng := rand.New(rand.NewPCG(uint64(n), 0x626f6f74))
	means := make([]float64, draws)
	for i := range means {
		var sum float64
		for range n {
			sum += diffs[rng.IntN(n)]
		}
		means[i] = sum / float64(n)
	}
	slices.Sort(means)
	d.Low = means[int(0.025*draws)]
	d.High = means[int(math.Ceil(0.975*draws))-1]
	d.Told = n >= pairsLeast && (d.Low > 0 || d.High < 0)
	return d
}
