package scale

import "math"

// minFitSizes is the least number of sizes that a fit needs.
const minFitSizes = 4

// Fit is a model of a figure as a function of the number of sidecars: a line, or a power law if that fits far better.
type Fit struct {
	Base     float64 // value of the line at size 0
	Slope    float64 // increase of the line for each sidecar
	Power    float64 // exponent of the power law: 0 constant, 1 proportional, 2 quadratic growth
	MaxError float64 // largest relative error of the model at a measured size
	factor   float64 // factor of the power law; 0 if there is none
	powerLaw bool    // Predict uses the power law
}

// Predict returns the figure that the model predicts for a size.
func (f *Fit) Predict(size float64) float64 {
	if f.powerLaw {
		return f.factor * math.Pow(size, f.Power)
	}
	return max(0, f.Base+f.Slope*size)
}

// fit fits a line and a power law to the values at some sizes. It chooses the line unless the largest error of the
// power law is less than half of the line's. ok is false if there are fewer than minFitSizes sizes.
func fit(sizes, values []float64) (f Fit, ok bool) {
	if len(sizes) < minFitSizes || len(sizes) != len(values) {
		return f, false
	}
	f.Base, f.Slope = leastSquares(sizes, values)
	var x, y []float64
	for i, s := range sizes {
		if values[i] > 0 {
			x, y = append(x, math.Log(s)), append(y, math.Log(values[i]))
		}
	}
	if len(x) >= minFitSizes {
		var base float64
		base, f.Power = leastSquares(x, y)
		f.factor = math.Exp(base)
	}
	f.MaxError = f.maxRelativeError(sizes, values)
	if powerLaw := f; f.factor > 0 {
		powerLaw.powerLaw = true
		if powerLaw.MaxError = powerLaw.maxRelativeError(sizes, values); 2*powerLaw.MaxError < f.MaxError {
			f = powerLaw
		}
	}
	return f, true
}

// maxRelativeError returns the largest error of the model over the measured value. Values of 0 are ignored.
func (f *Fit) maxRelativeError(sizes, values []float64) (worst float64) {
	for i, s := range sizes {
		if values[i] > 0 {
			worst = max(worst, math.Abs(f.Predict(s)-values[i])/values[i])
		}
	}
	return worst
}

// leastSquares returns the line with the least squared errors.
func leastSquares(x, y []float64) (base, slope float64) {
	var meanX, meanY, sumXY, sumXX float64
	n := float64(len(x))
	for i := range x {
		meanX, meanY = meanX+x[i]/n, meanY+y[i]/n
	}
	for i := range x {
		sumXY, sumXX = sumXY+(x[i]-meanX)*(y[i]-meanY), sumXX+(x[i]-meanX)*(x[i]-meanX)
	}
	if sumXX > 0 {
		slope = sumXY / sumXX
	}
	return meanY - slope*meanX, slope
}
