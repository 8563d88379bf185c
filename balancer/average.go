package balancer

import "math"

// settledSamples stands for many samples. An average that starts with it keeps its initial value, and each sample has
// its nominal weight.
const settledSamples = 1e9

// ewma is an exponentially weighted moving average. The first sample sets the value; each later one counts with a given
// weight.
type ewma struct {
	value   float64
	samples float64
}

func (a *ewma) add(sample, weight float64) {
	a.samples++
	a.value += (sample - a.value) * max(weight, indicator(a.samples == 1))
}

// valueOr returns the average, or fallback while there is no sample.
func (a *ewma) valueOr(fallback float64) float64 {
	if a.samples > 0 {
		return a.value
	}
	return fallback
}

// rateMeterTimeConstant is the time constant of a rateMeter.
const rateMeterTimeConstant = 2 * second

// rateMeter measures a rate per second as an exponentially decaying sum.
type rateMeter struct {
	sum       float64
	updatedAt Micros // instant up to which sum has decayed
}

func (m *rateMeter) add(now Micros, amount float64) {
	m.sum = m.decayed(now) + amount
	m.updatedAt = now
}

func (m *rateMeter) decayed(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.updatedAt)/float64(rateMeterTimeConstant))
}

func (m *rateMeter) rate(now Micros) float64 {
	return m.decayed(now) * float64(second) / float64(rateMeterTimeConstant)
}

// indicator is 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
