package balancer

import "math"

// ewma is a moving average that starts as a plain mean: taken whole, one odd first sample would steer
// for long.
type ewma struct {
	value   float64
	samples float64 // samples, as far as they tell
}

// settledSamples counts as many samples: only the weight given moves such an average.
const settledSamples = 1e9

func (a *ewma) add(x, weight float64) {
	a.samples++
	a.value += (x - a.value) * max(weight, indicator(a.samples == 1))
}

func (a *ewma) valueOr(fallback float64) float64 {
	if a.samples > 0 {
		return a.value
	}
	return fallback
}

// rateMeter is a rate a second, averaged over about two seconds.
type rateMeter struct {
	sum float64
	at  Micros
}

const rateMeterSpan = 2 * second

func (m *rateMeter) add(now Micros, x float64) { m.sum, m.at = m.decayed(now)+x, now }

func (m *rateMeter) decayed(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.at)/float64(rateMeterSpan))
}

func (m *rateMeter) rate(now Micros) float64 {
	return m.decayed(now) * float64(second) / float64(rateMeterSpan)
}

// indicator counts a yes as a whole.
func indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
