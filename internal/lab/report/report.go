// Package report draws a run as one HTML file that needs nothing else: plots as inline SVG, no scripts, no fonts.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"birchmoor/internal/lab/figures"
)

const (
	width  = 9.6 * vg.Inch
	height = 2.6 * vg.Inch
)

// colours that stay apart for most eyes (after Okabe and Ito).
var colours = []color.RGBA{
	{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {230, 159, 0, 255}, {86, 180, 233, 255},
	{120, 94, 240, 255}, {90, 90, 90, 255}, {170, 68, 153, 255}, {17, 119, 51, 255}, {136, 34, 85, 255}, {153, 153, 51, 255},
}

var bandColour = color.RGBA{250, 225, 190, 255}

// line is one line of a plot.
type line struct {
	name   string
	xs, ys []float64
	dashed bool
	colour int
}

// figure is a plot with its heading.
type figure struct {
	Title string
	Note  string
	SVG   template.HTML
}

// Write draws a result.
func Write(w io.Writer, x *figures.Result) error {
	d := drawer{x: x}
	s := &x.Series
	for i := range s.Classes {
		c := &s.Classes[i]
		d.draw("Offered and served: "+c.Name, "requests a second", "Offered counts tries; served are those within their aim.", 0,
			counts("offered", c.Offered, 7, true), counts("served", c.Served, 2, false), counts("late", c.Late, 4, false),
			counts("refused", c.Refused, 1, false), counts("failed", c.Failed, 3, false))
	}
	var p50, p99 []line
	for i := range s.Classes {
		c := &s.Classes[i]
		p50 = append(p50, line{c.Name + " p50", seconds(len(c.P50)), c.P50, true, i})
		p99 = append(p99, line{c.Name + " p99", seconds(len(c.P99)), c.P99, false, i})
	}
	d.draw("Latency", "ms", "Of served requests, by the second in which they were answered.", 0, append(p50, p99...)...)
	var held, queued, warmth, taken []line
	for i, v := range s.Servers {
		name := fmt.Sprintf("server %d", v.Server)
		held = append(held, line{name, v.At, floats(v.Held), false, i})
		queued = append(queued, line{name, v.At, floats(v.Queued), false, i})
		warmth = append(warmth, line{name, v.At, v.Warmth, false, i})
		taken = append(taken, counts(name, v.Taken, i, false))
	}
	d.draw("Load by server", "requests held", "", 0, some(held)...)
	d.draw("Queue by server", "requests waiting", "", 0, some(queued)...)
	d.draw("Warmth by server", "share of capacity", "0 while its process does not run.", 1.05, some(warmth)...)
	d.draw("Attempts taken by server", "attempts a second", "", 0, some(taken)...)
	d.draw("Attempts", "a second", "", 0, counts("sent", s.Sent, 0, false), counts("turned away", s.Turned, 1, false),
		counts("into another zone", s.Crossed, 3, false), counts("probes", s.Probed, 7, true))
	d.draw("Connections to servers", "", "", 0, counts("open", s.Conns, 0, false), counts("opened a second", s.Opened, 1, false))
	if d.err != nil {
		return d.err
	}
	return page.Execute(w, map[string]any{"X": x, "Figures": d.figures, "Line": x.Line(), "Passed": x.Passed()})
}

const linesMost = 16

// some leaves out the lines that would only hide the others.
func some(lines []line) []line { return lines[:min(len(lines), linesMost)] }

func seconds(n int) []float64 {
	xs := make([]float64, n)
	for i := range xs {
		xs[i] = float64(i)
	}
	return xs
}

func floats(in []int) []float64 {
	out := make([]float64, len(in))
	for i, v := range in {
		out[i] = float64(v)
	}
	return out
}

func counts(name string, in []int, colour int, dashed bool) line {
	return line{name, seconds(len(in)), floats(in), dashed, colour}
}

type drawer struct {
	x       *figures.Result
	figures []figure
	err     error
}

// draw adds a plot; top is its least upper end.
func (d *drawer) draw(title, unit, note string, top float64, lines ...line) {
	if d.err != nil {
		return
	}
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", unit
	p.X.Min, p.X.Max, p.Y.Min = 0, max(1, d.x.Length), 0
	p.Y.Max = max(1, top)
	p.Legend.Top, p.Legend.Left = true, false
	p.Legend.TextStyle.Font.Size = 8
	p.Legend.XOffs = 1.15 * vg.Inch
	for _, l := range lines {
		for i := range l.ys {
			p.Y.Max = max(p.Y.Max, l.ys[i]*1.05)
			p.X.Max = max(p.X.Max, l.xs[i])
		}
	}
	for _, b := range d.x.Series.Faults {
		to := b.To
		if to < b.From {
			to = p.X.Max
		}
		to = max(to, b.From+p.X.Max/400)
		band, err := plotter.NewPolygon(plotter.XYs{{X: b.From, Y: 0}, {X: to, Y: 0}, {X: to, Y: p.Y.Max}, {X: b.From, Y: p.Y.Max}})
		if err != nil {
			d.err = err
			return
		}
		band.Color, band.LineStyle.Width = bandColour, 0
		p.Add(band)
	}
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = color.Gray{225}, color.Gray{225}
	p.Add(grid)
	for _, l := range lines {
		if len(l.ys) == 0 {
			continue
		}
		xy := make(plotter.XYs, len(l.ys))
		for i := range l.ys {
			xy[i] = plotter.XY{X: l.xs[i], Y: l.ys[i]}
		}
		curve, err := plotter.NewLine(xy)
		if err != nil {
			d.err = fmt.Errorf("%s, %s: %w", title, l.name, err)
			return
		}
		curve.Color = colours[l.colour%len(colours)]
		curve.Width = 1.2
		if l.dashed || l.colour >= len(colours) {
			curve.Dashes = []vg.Length{4, 3}
		}
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	c := vgsvg.New(width, height)
	// The legend stands beside the plot, not on it.
	p.Draw(draw.Crop(draw.New(c), 0, -1.25*vg.Inch, 0, 0))
	var svg bytes.Buffer
	if _, err := c.WriteTo(&svg); err != nil {
		d.err = err
		return
	}
	text := svg.String()
	if at := strings.Index(text, "<svg"); at > 0 {
		text = text[at:] // what stands before it belongs to files of their own
	}
	d.figures = append(d.figures, figure{title, note, template.HTML(text)})
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"per": func(v float64) string { return fmt.Sprintf("%.3f", v) },
	"ms":  func(v float64) string { return fmt.Sprintf("%.1f", v) },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.X.Scenario}}, {{.X.Host}}, seed {{.X.Seed}}</title>
<style>
body{font:15px/1.45 system-ui,sans-serif;max-width:980px;margin:2em auto;padding:0 1em;color:#222}
h1{font-size:1.5em;margin-bottom:.1em} h2{font-size:1.05em;margin:1.6em 0 .2em} .note{color:#666;margin:.1em 0}
table{border-collapse:collapse;margin:.8em 0} td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd} td:first-child,th:first-child{text-align:left}
.verdict{font-weight:600;padding:.5em .8em;border-radius:4px;background:#e4f3e8} .bad{background:#fbe3dd}
.band{display:inline-block;background:#fae1be;padding:.1em .6em;margin:.15em .3em .15em 0;border-radius:3px;font-size:.9em}
svg{max-width:100%;height:auto}
</style></head><body>
<h1>{{.X.Scenario}}</h1><p class="note">{{.X.About}}. {{.X.Sidecars}} sidecars, {{.X.Servers}} servers, {{.X.Length}} s by {{.X.Host}}, seed {{.X.Seed}}.</p>
<p class="verdict{{if not .Passed}} bad{{end}}">{{.Line}}</p>
{{range .X.Missed}}<p class="verdict bad">missed: {{.}}</p>{{end}}
<table><tr><th>class</th><th>asked</th><th>service</th><th>p50 ms</th><th>p90 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>
{{range .X.Classes}}<tr><td>{{.Name}}</td><td>{{.Tasks}}</td><td>{{per .Service}}</td><td>{{ms .P50}}</td><td>{{ms .P90}}</td><td>{{ms .P99}}</td><td>{{ms .P999}}</td></tr>{{end}}</table>
<table><tr><th>figure</th><th>value</th></tr>{{range $k, $v := .X.Figures}}<tr><td>{{$k}}</td><td>{{per $v}}</td></tr>{{end}}</table>
{{with .X.Verdict}}<p>asked {{.Counts.Requests}} = served {{.Counts.Served}} + refused {{.Counts.Rejected}} + failed {{.Counts.Failed}} + gone {{.Counts.Abandoned}}</p>
{{if .Violations}}<table><tr><th>rule broken</th><th>at s</th><th>what</th></tr>{{range .Violations}}<tr><td>{{.Rule}}</td><td>{{.At}} µs</td><td>{{.Detail}} (sidecar {{.Sidecar}}, server {{.Server}})</td></tr>{{end}}</table>{{end}}{{end}}
{{with .X.Series.Faults}}<p>Faults: {{range .}}<span class="band">{{.Note}}: {{ms .From}} to {{ms .To}} s</span>{{end}}</p>{{end}}
{{range .Figures}}<h2>{{.Title}}</h2>{{with .Note}}<p class="note">{{.}}</p>{{end}}{{.SVG}}{{end}}
{{with .X.Series.Told}}<h2>Events</h2><p class="note">{{range .}}{{ms .At}} s {{.Note}} · {{end}}</p>{{end}}
</body></html>
`))
