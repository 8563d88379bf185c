// Package report renders the result of a run as one self-contained HTML page: plots are inline SVG, and the page loads
// no scripts, fonts or other files.
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

// colours can be told apart by most people, also by most with a colour vision deficiency (after Okabe and Ito).
var colours = []color.RGBA{
	{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {230, 159, 0, 255},
	{86, 180, 233, 255},
	{120, 94, 240, 255}, {90, 90, 90, 255}, {170, 68, 153, 255}, {17, 119, 51, 255}, {136, 34, 85, 255},
	{153, 153, 51, 255},
}

var bandColour = color.RGBA{250, 225, 190, 255}

// line is one curve of a plot. A colour beyond the palette is taken again from its start, with a dashed curve.
type line struct {
	name   string
	xs, ys []float64
	dashed bool
	colour int // index into colours
}

// figure is a rendered plot with its heading. The page's template refers to the fields by name.
type figure struct {
	Title string
	Note  string
	SVG   template.HTML
}

// Write renders a result as an HTML page with its tables and plots.
func Write(w io.Writer, result *figures.Result) error {
	plots := drawer{result: result}
	series := &result.Series
	for i := range series.Classes {
		c := &series.Classes[i]
		plots.draw("Offered and served: "+c.Name, "requests a second",
			"Offered counts tries; served are those within their aim.", 0,
			countLine("offered", c.Offered, 7, true), countLine("served", c.Served, 2, false),
			countLine("late", c.Late, 4, false),
			countLine("refused", c.Refused, 1, false), countLine("failed", c.Failed, 3, false))
	}
	var p50, p99 []line
	for i := range series.Classes {
		c := &series.Classes[i]
		p50 = append(p50, line{c.Name + " p50", secondIndexes(len(c.P50)), c.P50, true, i})
		p99 = append(p99, line{c.Name + " p99", secondIndexes(len(c.P99)), c.P99, false, i})
	}
	plots.draw("Latency", "ms", "Of served requests, by the second in which they were answered.", 0,
		append(p50, p99...)...)
	var inFlight, queued, warmth, accepted []line
	for i, server := range series.Servers {
		name := fmt.Sprintf("server %d", server.Server)
		inFlight = append(inFlight, line{name, server.At, toFloats(server.Held), false, i})
		queued = append(queued, line{name, server.At, toFloats(server.Queued), false, i})
		warmth = append(warmth, line{name, server.At, server.Warmth, false, i})
		accepted = append(accepted, countLine(name, server.Taken, i, false))
	}
	plots.draw("Load by server", "requests held", "", 0, firstLines(inFlight)...)
	plots.draw("Queue by server", "requests waiting", "", 0, firstLines(queued)...)
	plots.draw("Warmth by server", "share of capacity", "0 while its process does not run.", 1.05,
		firstLines(warmth)...)
	plots.draw("Attempts taken by server", "attempts a second", "", 0, firstLines(accepted)...)
	plots.draw("Attempts", "a second", "", 0, countLine("sent", series.Sent, 0, false),
		countLine("turned away", series.Turned, 1, false),
		countLine("into another zone", series.Crossed, 3, false), countLine("probes", series.Probed, 7, true))
	plots.draw("Connections to servers", "", "", 0, countLine("open", series.Conns, 0, false),
		countLine("opened a second", series.Opened, 1, false))
	if plots.err != nil {
		return plots.err
	}
	return page.Execute(w, map[string]any{"X": result, "Figures": plots.figures, "Line": result.Line(),
		"Passed": result.Passed()})
}

const maxLines = 16

// firstLines returns at most maxLines curves: more of them would only hide each other.
func firstLines(lines []line) []line { return lines[:min(len(lines), maxLines)] }

func secondIndexes(n int) []float64 {
	indexes := make([]float64, n)
	for i := range indexes {
		indexes[i] = float64(i)
	}
	return indexes
}

func toFloats(values []int) []float64 {
	converted := make([]float64, len(values))
	for i, v := range values {
		converted[i] = float64(v)
	}
	return converted
}

func countLine(name string, values []int, colour int, dashed bool) line {
	return line{name, secondIndexes(len(values)), toFloats(values), dashed, colour}
}

// drawer collects the plots of a page. After an error it draws nothing more.
type drawer struct {
	result  *figures.Result
	figures []figure
	err     error
}

// draw adds a plot, with the time of each fault as a band behind the curves. The vertical axis ends at minTop or above.
func (d *drawer) draw(title, unit, note string, minTop float64, lines ...line) {
	if d.err != nil {
		return
	}
	chart := plot.New()
	chart.X.Label.Text, chart.Y.Label.Text = "seconds", unit
	chart.X.Min, chart.X.Max, chart.Y.Min = 0, max(1, d.result.Length), 0
	chart.Y.Max = max(1, minTop)
	chart.Legend.Top, chart.Legend.Left = true, false
	chart.Legend.TextStyle.Font.Size = 8
	chart.Legend.XOffs = 1.15 * vg.Inch
	for _, l := range lines {
		for i := range l.ys {
			chart.Y.Max = max(chart.Y.Max, l.ys[i]*1.05)
			chart.X.Max = max(chart.X.Max, l.xs[i])
		}
	}
	for _, fault := range d.result.Series.Faults {
		end := fault.To
		if end < fault.From {
			end = chart.X.Max
		}
		end = max(end, fault.From+chart.X.Max/400)
		band, err := plotter.NewPolygon(plotter.XYs{{X: fault.From, Y: 0}, {X: end, Y: 0}, {X: end, Y: chart.Y.Max},
			{X: fault.From, Y: chart.Y.Max}})
		if err != nil {
			d.err = err
			return
		}
		band.Color, band.LineStyle.Width = bandColour, 0
		chart.Add(band)
	}
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = color.Gray{225}, color.Gray{225}
	chart.Add(grid)
	for _, l := range lines {
		if len(l.ys) == 0 {
			continue
		}
		points := make(plotter.XYs, len(l.ys))
		for i := range l.ys {
			points[i] = plotter.XY{X: l.xs[i], Y: l.ys[i]}
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			d.err = fmt.Errorf("%s, %s: %w", title, l.name, err)
			return
		}
		curve.Color = colours[l.colour%len(colours)]
		curve.Width = 1.2
		if l.dashed || l.colour >= len(colours) {
			curve.Dashes = []vg.Length{4, 3}
		}
		chart.Add(curve)
		chart.Legend.Add(l.name, curve)
	}
	canvas := vgsvg.New(width, height)
	// Crop the drawing area at its right, so that the legend is placed beside the plot and covers no curve.
	chart.Draw(draw.Crop(draw.New(canvas), 0, -1.25*vg.Inch, 0, 0))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		d.err = err
		return
	}
	text := svg.String()
	if start := strings.Index(text, "<svg"); start > 0 {
		text = text[start:] // an SVG element within HTML has no XML declaration and no doctype
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
