// Package randstream gives every random choice of the lab a named stream of its own, all from one seed.
//
// A stream is told by its name and, where there are many of a kind, by numbers. Adding a draw in one place thus
// never moves what is drawn in another, and the two hosts of the lab draw the same world from the same seed.
package randstream

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Seed is what all streams of a run come from.
type Seed uint64

// Stream is one sequence of draws. It is not safe for concurrent use.
type Stream struct{ *rand.Rand }

// Stream returns the stream of this name and these numbers, at its beginning.
func (s Seed) Stream(name string, numbers ...uint64) Stream {
	key := make([]byte, 0, 64)
	key = binary.BigEndian.AppendUint64(key, uint64(s))
	key = append(key, name...)
	for _, n := range numbers {
		key = binary.BigEndian.AppendUint64(key, n)
	}
	hash := xxhash.Sum64(key)
	return Stream{rand.New(rand.NewPCG(uint64(s)^0x9e3779b97f4a7c15, hash))}
}

// Uniform draws evenly from lo to hi.
func (s Stream) Uniform(lo, hi float64) float64 { return lo + (hi-lo)*s.Float64() }

// Bernoulli draws true with probability p.
func (s Stream) Bernoulli(p float64) bool { return s.Float64() < p }

// Exponential draws from the exponential distribution of this mean.
func (s Stream) Exponential(mean float64) float64 { return mean * s.ExpFloat64() }

// Lognormal draws from the log-normal distribution of this mean and coefficient of variation.
func (s Stream) Lognormal(mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	variance := math.Log(1 + cv*cv)
	return mean * math.Exp(s.NormFloat64()*math.Sqrt(variance)-variance/2)
}

// BoundedPareto draws from a bounded Pareto distribution of about this mean, with shape 1.5 and a longest value of 100
// means: few draws carry much of the sum.
func (s Stream) BoundedPareto(mean float64) float64 {
	const shape, maxMultiple = 1.5, 100
	minimum := mean * (shape - 1) / shape
	return min(maxMultiple*mean, minimum/math.Pow(1-s.Float64(), 1/shape))
}
