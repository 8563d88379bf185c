package randstream

import (
	"math"
	"testing"
)

// Seed, name and numbers alone determine a stream: values drawn from other streams do not change it.
func TestStreamIsIndependentOfOtherStreams(t *testing.T) {
	first := Seed(7).Stream("work", 3).Uint64()
	other := Seed(7).Stream("arrivals", 3)
	for range 100 {
		other.Uint64()
	}
	if got := Seed(7).Stream("work", 3).Uint64(); got != first {
		t.Errorf("the same stream begins with %x, was %x", got, first)
	}
	seen := map[uint64]string{first: "work 3"}
	for name, stream := range map[string]Stream{
		"another seed":          Seed(8).Stream("work", 3),
		"another name":          Seed(7).Stream("works", 3),
		"another number":        Seed(7).Stream("work", 4),
		"with a further number": Seed(7).Stream("work", 3, 0),
	} {
		value := stream.Uint64()
		if seen[value] != "" {
			t.Errorf("%s begins like %s", name, seen[value])
		}
		seen[value] = name
	}
}

func TestDistributionsHaveRequestedMoments(t *testing.T) {
	const n = 200_000
	s := Seed(1).Stream("test")
	for name, draw := range map[string]func() float64{
		"exponential": func() float64 { return s.Exponential(50) },
		"lognormal":   func() float64 { return s.Lognormal(50, 0.5) },
		"pareto":      func() float64 { return s.BoundedPareto(50) },
		"uniform":     func() float64 { return s.Uniform(20, 80) },
		"constant":    func() float64 { return s.Lognormal(50, 0) },
	} {
		var sum, squares float64
		for range n {
			x := draw()
			if x < 0 || math.IsNaN(x) {
				t.Fatalf("%s draws %v", name, x)
			}
			sum += x
			squares += x * x
		}
		mean := sum / n
		if math.Abs(mean-50) > 6 { // the bound of the Pareto distribution lowers its mean
			t.Errorf("%s has mean %v, want 50", name, mean)
		}
		cv := math.Sqrt(squares/n-mean*mean) / mean
		if name == "lognormal" && math.Abs(cv-0.5) > 0.02 {
			t.Errorf("%s has coefficient of variation %v, want 0.5", name, cv)
		}
	}
}
