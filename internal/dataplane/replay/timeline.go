package replay

import (
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

// SampleIntervalMicros is how often a timeline looks, at most.
const SampleIntervalMicros = 50_000

// Timeline is what a module believed of a server, over time.
type Timeline struct {
	Server string
	origin balancer.Micros
	rows   [4]plotter.XYs // load, latency in ms, chance of refusal, what keeps it out
}

// NewTimeline returns an empty one; times are told from origin on.
func NewTimeline(server string, origin balancer.Micros) *Timeline {
	return &Timeline{Server: server, origin: origin}
}

// StartOf returns the instant at which a capture begins.
func StartOf(paths []string) (balancer.Micros, error) {
	for _, path := range paths {
		at, found := balancer.Micros(0), false
		err := forEachRecord(path, func(x *capture.Record) error {
			at, found = x.At, true
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

// Sample is Options.Sample.
func (t *Timeline) Sample(now balancer.Micros, b *balancer.Balancer, number func(string) (uint32, bool)) {
	x := float64(now-t.origin) / 1e6
	id, listed := number(t.Server)
	var c balancer.Candidate
	if listed {
		c = b.Estimate(now, id, 0)
		listed = len(c.Exclusions) == 0
	}
	out := 0.0
	switch {
	case !listed:
		out = 3
	case c.EjectedFor > 0:
		out = 2
	case c.Capacity < 1:
		out = 1
	}
	for i, y := range [...]float64{c.Load, c.Predicted / 1000, c.ErrorChance, out} {
		t.rows[i] = append(t.rows[i], plotter.XY{X: x, Y: y})
	}
}

var rowNames = [...]string{"load believed (requests)", "latency expected of a mean request (ms)", "breaker's chance of refusal",
	"1 cold, 2 ejected, 3 not listed"}

// Write draws it as SVG.
func (t *Timeline) Write(w io.Writer) error {
	if len(t.rows[0]) == 0 {
		return fmt.Errorf("timeline: nothing was replayed")
	}
	const width, height = 24 * vg.Centimeter, 7 * vg.Centimeter
	c := vgsvg.New(width, height*vg.Length(len(t.rows)))
	canvas := draw.New(c)
	for i, xy := range t.rows {
		p := plot.New()
		if i == 0 {
			p.Title.Text = t.Server
		}
		p.X.Label.Text, p.Y.Label.Text = "s", rowNames[i]
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

// Save draws it into a file.
func (t *Timeline) Save(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := t.Write(f); err != nil {
		f.Close()
		os.Remove(path)
		return err
	}
	return f.Close()
}
