package balancer

import "math"

// settledSamples is a number of samples so high that an average moves by the given weight alone.
const settledSamples = 1e9

// ewma is an exponentially weighted moving average that begins as a plain mean, so that one odd first sample does not
// steer it for long.
type ewma struct {
	value   float64
	samples float64
}

func (a *ewma) add(x, weight float64) {
	a.samples++
	a.value += (x - a.value) * max(weight, indicator(a.samples == 1))
}

// valueOr returns the average, or a fallback if there is no sample.
func (a *ewma) valueOr(fallback float64) float64 {
	if a.samples > 0 {
		return a.value
	}
	return fallback
}

// rateMeterSpan is the time constant of a rateMeter.
const rateMeterSpan = 2 * second

// rateMeter measures a rate a second as an exponentially decaying sum.
type rateMeter struct {
	sum float64
	at  Micros // the instant of sum
}

func (m *rateMeter) add(now Micros, x float64) {
	m.sum = m.decayed(now) + x
	m.at = now
}

func (m *rateMeter) decayed(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.at)/float64(rateMeterSpan))
}

func (m *rateMeter) rate(now Micros) float64 {
	return m.decayed(now) * float64(second) / float64(rateMeterSpan)
}

// indicator is 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
