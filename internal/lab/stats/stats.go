// Package stats decides whether two series of figures differ significantly, from pairs that were measured with the same
// seed. It imports only the standard library.
package stats

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Difference is the mean of B-A over pairs of figures with its 95% confidence interval.
type Difference struct {
	A    float64 `json:"a"` // mean of the first series
	B    float64 `json:"b"` // mean of the second series
	Mean float64 `json:"difference"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
	N    int     `json:"pairs"`
	// Significant says that there are enough pairs and that the interval does not contain 0.
	Significant bool `json:"told_apart"`
}

const (
	resamples     = 4000
	minPairs      = 4          // an interval over fewer pairs has no meaning
	lowerQuantile = 0.025      // lower end of a 95% interval
	upperQuantile = 0.975      // upper end of a 95% interval
	seed          = 0x626f6f74 // fixed, so that the same pairs always give the same interval
)

// Compare compares a[i] with b[i] by the percentile bootstrap of the mean difference (Efron and Tibshirani, An
// Introduction to the Bootstrap, 1993, chapter 13). Elements without a counterpart in the other series are ignored. The
// result is deterministic.
func Compare(a, b []float64) Difference {
	pairs := min(len(a), len(b))
	difference := Difference{N: pairs}
	if pairs == 0 {
		return difference
	}
	diffs := make([]float64, pairs)
	for i := range pairs {
		diffs[i] = b[i] - a[i]
		difference.A += a[i] / float64(pairs)
		difference.B += b[i] / float64(pairs)
		difference.Mean += diffs[i] / float64(pairs)
	}
	random := rand.New(rand.NewPCG(uint64(pairs), seed))
	means := make([]float64, resamples)
	for i := range means {
		var sum float64
		for range pairs {
			sum += diffs[random.IntN(pairs)]
		}
		means[i] = sum / float64(pairs)
	}
	slices.Sort(means)
	difference.Low = means[int(lowerQuantile*resamples)]
	difference.High = means[int(math.Ceil(upperQuantile*resamples))-1]
	difference.Significant = pairs >= minPairs && (difference.Low > 0 || difference.High < 0)
	return difference
}
