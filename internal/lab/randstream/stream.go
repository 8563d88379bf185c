// Package randstream gives every random choice of the lab a named stream of its own, all derived from one seed.
//
// A stream is identified by its name and, where there are several of a kind, by numbers. Drawing more values in one
// place therefore never changes what is drawn in another, and the simulated and the real host of a scenario see the
// same world from the same seed. The package imports nothing else of this module.
package randstream

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Seed is the number that all streams of a run are derived from.
type Seed uint64

// Stream is one sequence of random values. It is not safe for concurrent use.
type Stream struct{ *rand.Rand }

// seedMask separates the first word of a generator's state from the seed itself: the golden ratio's 64-bit fraction.
const seedMask = 0x9e3779b97f4a7c15

// Stream returns the stream with this name and these numbers, at its beginning.
func (s Seed) Stream(name string, numbers ...uint64) Stream {
	key := make([]byte, 0, 64)
	key = binary.BigEndian.AppendUint64(key, uint64(s))
	key = append(key, name...)
	for _, n := range numbers {
		key = binary.BigEndian.AppendUint64(key, n)
	}
	hash := xxhash.Sum64(key)
	return Stream{rand.New(rand.NewPCG(uint64(s)^seedMask, hash))}
}

// Uniform draws from the uniform distribution between lo and hi.
func (s Stream) Uniform(lo, hi float64) float64 { return lo + (hi-lo)*s.Float64() }

// Bernoulli draws true with probability p.
func (s Stream) Bernoulli(p float64) bool { return s.Float64() < p }

// Exponential draws from the exponential distribution with this mean.
func (s Stream) Exponential(mean float64) float64 { return mean * s.ExpFloat64() }

// Lognormal draws from the log-normal distribution with this mean and coefficient of variation. Without a positive
// coefficient it returns the mean and consumes no randomness.
func (s Stream) Lognormal(mean, cv float64) float64 {
	if cv <= 0 {
		return mean
	}
	variance := math.Log(1 + cv*cv)
	return mean * math.Exp(s.NormFloat64()*math.Sqrt(variance)-variance/2)
}

// Parameters of BoundedPareto.
const (
	paretoShape       = 1.5 // heavy-tailed: finite mean, infinite variance without the bound
	paretoMaxMultiple = 100 // largest value, in means
)

// BoundedPareto draws from a bounded Pareto distribution, in which a few values make up much of the sum. Its mean is
// slightly below the given one, because the bound removes part of the tail.
func (s Stream) BoundedPareto(mean float64) float64 {
	minimum := mean * (paretoShape - 1) / paretoShape
	return min(paretoMaxMultiple*mean, minimum/math.Pow(1-s.Float64(), 1/paretoShape))
}
