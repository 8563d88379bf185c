package scale

import "math"

// fitLeast is how many sizes a fit takes at least.
const fitLeast = 4

// Fit is how a figure grows with the sidecars, as far as some sizes show.
type Fit struct {
	Base  float64 // of the line,
	Slope float64 // for each sidecar
	Power float64 // by which it grows: 0 not at all, 1 in proportion, 2 with the square
	Off   float64 // part by which a size is off the line at most
	scale float64 // of the power law
	curve bool    // the power law is the nearer one
}

// At is what is foretold of a size.
func (f *Fit) At(size float64) float64 {
	if f.curve {
		return f.scale * math.Pow(size, f.Power)
	}
	return max(0, f.Base+f.Slope*size)
}

// fit lays a line and a power law through figures by size, and takes the line unless the law is twice as near.
func fit(sizes, v []float64) (f Fit, ok bool) {
	if len(sizes) < fitLeast || len(sizes) != len(v) {
		return f, false
	}
	f.Base, f.Slope = line(sizes, v)
	var x, y []float64
	for i, s := range sizes {
		if v[i] > 0 {
			x, y = append(x, math.Log(s)), append(y, math.Log(v[i]))
		}
	}
	if len(x) >= fitLeast {
		var base float64
		base, f.Power = line(x, y)
		f.scale = math.Exp(base)
	}
	f.Off = f.off(sizes, v)
	if law := f; f.scale > 0 {
		law.curve = true
		if law.Off = law.off(sizes, v); 2*law.Off < f.Off {
			f = law
		}
	}
	return f, true
}

// off is by which part of itself a figure is off at most.
func (f *Fit) off(sizes, v []float64) (most float64) {
	for i, s := range sizes {
		if v[i] > 0 {
			most = max(most, math.Abs(f.At(s)-v[i])/v[i])
		}
	}
	return most
}

// line is that of the least squares.
func line(x, y []float64) (base, slope float64) {
	var mx, my, xy, xx float64
	n := float64(len(x))
	for i := range x {
		mx, my = mx+x[i]/n, my+y[i]/n
	}
	for i := range x {
		xy, xx = xy+(x[i]-mx)*(y[i]-my), xx+(x[i]-mx)*(x[i]-mx)
	}
	if xx > 0 {
		slope = xy / xx
	}
	return my - slope*mx, slope
}
