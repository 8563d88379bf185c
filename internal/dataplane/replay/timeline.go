package replay

import (
	"errors"
	"fmt"
	"io"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
)

// SampleIntervalMicros is the interval between two samples of a timeline.
const SampleIntervalMicros = 50_000

// Timeline is a module's estimates for one endpoint over time, drawn as a row of plots below each other. Its Sample
// method collects them during a replay.
type Timeline struct {
	Server string
	origin balancer.Micros
	rows   [len(rowNames)]plotter.XYs
}

// NewTimeline returns an empty timeline of a named endpoint. Its time axis begins at origin.
func NewTimeline(server string, origin balancer.Micros) *Timeline {
	return &Timeline{Server: server, origin: origin}
}

// StartOf returns the instant of the first record of a capture, or 0 if it has no records.
func StartOf(paths []string) (balancer.Micros, error) {
	for _, path := range paths {
		var at balancer.Micros
		found := false
		err := forEachRecord(path, func(rec *capture.Record) error {
			at = rec.At
			found = true
			return errEndOfRange
		})
		if found {
			return at, nil
		}
		if err != nil {
			return 0, fmt.Errorf("%s: %w", path, err)
		}
	}
	return 0, nil
}

// Values of a timeline's last row: the state of its endpoint.
const (
	stateInService = 0.0
	stateWarmingUp = 1.0
	stateEjected   = 2.0
	stateNotListed = 3.0
)

// Sample takes a sample of the module's estimates at an instant. It is meant for Options.Sample.
func (t *Timeline) Sample(now balancer.Micros, b *balancer.Balancer, endpointID func(string) (uint32, bool)) {
	seconds := float64(now-t.origin) / 1e6
	id, listed := endpointID(t.Server)
	var c balancer.Candidate
	if listed {
		c = b.Estimate(now, id, 0)
		listed = len(c.Exclusions) == 0
	}
	state := stateInService
	switch {
	case !listed:
		state = stateNotListed
	case c.EjectedFor > 0:
		state = stateEjected
	case c.Capacity < 1:
		state = stateWarmingUp
	}
	for i, y := range [...]float64{c.Load, c.Predicted / 1000, c.ErrorChance, state} {
		t.rows[i] = append(t.rows[i], plotter.XY{X: seconds, Y: y})
	}
}

var rowNames = [...]string{
	"estimated load (requests)",
	"predicted latency of a mean request (ms)",
	"error chance of the circuit breaker",
	"1 warming up, 2 ejected, 3 not listed",
}

// Write draws the timeline as SVG. It returns an error if there are no samples.
func (t *Timeline) Write(w io.Writer) error {
	if len(t.rows[0]) == 0 {
		return errors.New("timeline: there are no samples to draw")
	}
	const width, height = 24 * vg.Centimeter, 7 * vg.Centimeter
	c := vgsvg.New(width, height*vg.Length(len(t.rows)))
	canvas := draw.New(c)
	for i, xy := range t.rows {
		p := plot.New()
		if i == 0 {
			p.Title.Text = t.Server
		}
		p.X.Label.Text = "s"
		p.Y.Label.Text = rowNames[i]
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.StepStyle = plotter.PostStep
		p.Add(plotter.NewGrid(), line)
		p.Y.Min = 0
		top := height * vg.Length(len(t.rows)-i)
		p.Draw(draw.Crop(canvas, 0, 0, top-height, top-height*vg.Length(len(t.rows))))
	}
	_, err := c.WriteTo(w)
	return err
}

// Save draws the timeline as SVG into a file, which it removes if that fails.
func (t *Timeline) Save(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := t.Write(f); err != nil {
		return errors.Join(err, f.Close(), os.Remove(path))
	}
	return f.Close()
}
