package scale

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
)

// orderedRoles are the roles in the order of the output.
var orderedRoles = []string{RoleLeader, RoleVoter, RoleAllocator, RoleReal, RoleStub, RoleDiscovery, RoleLinks}

// figureUnit is the name of a figure and its unit.
type figureUnit struct{ name, unit string }

// orderedFigures are the first figures of each role in the order of the output. Figures by purpose follow them.
var orderedFigures = []figureUnit{{"cpu", "% of a core"}, {"resident_mb", "MB"}, {"heap_mb", "MB"}, {"descriptors", ""},
	{"bytes_in", "B/s"}, {"bytes_out", "B/s"},
	{"messages_in", "/s"}, {"messages_out", "/s"}, {"entries", "/s"}, {"syncs", "/s"}, {"disk", "B/s"}}

func unitOf(name string) string {
	switch base, _, _ := strings.Cut(name, "."); base {
	case "bytes_in", "bytes_out", "disk":
		return "B/s"
	case "messages_in", "messages_out", "entries", "syncs":
		return "/s"
	}
	for _, f := range orderedFigures {
		if f.name == name {
			return f.unit
		}
	}
	return ""
}

// figureNames returns the names of the figures that any of the roles has, in the order of the output. It leaves out the
// number of goroutines.
func figureNames(all ...Role) (names []string) {
	present := map[string]bool{}
	for _, r := range all {
		for n := range r {
			present[n] = true
		}
	}
	for _, f := range orderedFigures {
		if present[f.name] {
			names = append(names, f.name)
			delete(present, f.name)
		}
	}
	delete(present, "goroutines")
	return append(names, slices.Sorted(maps.Keys(present))...)
}

// formatFigure formats a figure with three digits; cpu is in percent.
func formatFigure(name string, v float64) string {
	if name == "cpu" {
		v *= 100
	}
	switch a := math.Abs(v); {
	case v == 0:
		return "0"
	case a >= 1e6:
		return fmt.Sprintf("%.3gM", v/1e6)
	case a >= 1e4:
		return fmt.Sprintf("%.3gk", v/1e3)
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// Print prints the result for one size as text.
func Print(w io.Writer, result *Result) {
	fmt.Fprintf(w, "%d sidecars (%d real) of %d services, %d replicas, seed %d: %.0f s, the machine %.0f%% busy\n",
		result.Sidecars, result.Real, result.Services, result.Replicas, result.Seed, result.Seconds, 100*result.Busy)
	fmt.Fprintf(w, "all right %.1f s after the first began; at the end of the quiet phase %d of %d hollow ones are\n",
		result.StartupSeconds, result.Converged, result.Sidecars-result.Real)
	fmt.Fprintf(w, "store: %d keys, %d bytes, %.1f entries of the log and %.1f revisions a second\n", result.Store.Keys,
		result.Store.Bytes, result.Store.Entries, result.Store.Revisions)
	printAdoption(w, "settings", &result.Settings)
	if result.Burst != nil {
		printAdoption(w, "burst of settings", result.Burst)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, role := range orderedRoles {
		r := result.Roles[role]
		for _, n := range figureNames(r) {
			s := r[n]
			fmt.Fprintf(t, "%s\t%s\t%s\tp99 %s\tworst %s\t%s\n", role, n, formatFigure(n, s.Mean),
				formatFigure(n, s.P99), formatFigure(n, s.Worst), unitOf(n))
		}
	}
	for _, p := range result.StubAccuracy {
		fmt.Fprintf(t, "hollow by real\t%s\t%.2f\t%s\tof %s\t%s\n", p.Figure, p.Ratio, formatFigure(p.Figure, p.Stub),
			formatFigure(p.Figure, p.Real), unitOf(p.Figure))
	}
	t.Flush()
	if f := result.Fault; f != nil {
		fmt.Fprintf(w, "fault %s: %s; all right %.1f s after; %d whole copies were taken\n", f.Name, f.What,
			f.ConvergenceSeconds,
			f.Copies)
		if f.Missed != "" {
			fmt.Fprintln(w, f.Missed)
		}
	}
}

func printAdoption(w io.Writer, what string, s *AdoptionDelays) {
	fmt.Fprintf(w,
		"%s: %d changes, put in %.2f s; in force p50 %.2f s, p99 %.2f, worst %.2f (of %d; %d had not come)\n",
		what, s.Changes, s.Put, s.P50, s.P99, s.Worst, s.N, s.Missing)
}

// sidecarBudget is the budget for a sidecar in the requirements, by figure. The bytes are those of both directions
// together.
var sidecarBudget = map[string]float64{"cpu": 0.023, "resident_mb": 128, "bytes": 8 << 10}

// Markdown prints the tables of docs/design/scale.md. Figures for target are predicted from the sizes below it, if
// there are at least minFitSizes of them.
func Markdown(w io.Writer, results []*Result, target int) {
	fmt.Fprintf(w, "Printed by `birchmoor lab scale --markdown`, seed %d: ", results[0].Seed)
	for i, x := range results {
		if i > 0 {
			fmt.Fprint(w, ", ")
		}
		fmt.Fprintf(w, "%d sidecars for %.0f s", x.Sidecars, x.Seconds)
	}
	fmt.Fprintf(w,
		"; %d of them real, %d replicas. Figures are means by second, of one process or one sidecar, the worst second in brackets.\n",
		results[0].Real, results[0].Replicas)
	fmt.Fprintf(w, "A fit is through the sizes under %d; beyond the largest that was run it is extrapolated. `power` is by which a figure grows with the sidecars.\n", target)
	row := func(cells ...string) { fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | ")) }
	header := func(cells ...string) {
		row(cells...)
		row(slices.Repeat([]string{"---"}, len(cells))...)
	}
	cellsOf := func(f func(x *Result) string) (cells []string) {
		for _, x := range results {
			cells = append(cells, f(x))
		}
		return cells
	}
	sizes := cellsOf(func(x *Result) string { return fmt.Sprint(x.Sidecars) })
	fmt.Fprintf(w, "\n### The fleet\n\n")
	header(append([]string{"of", "unit"}, sizes...)...)
	for _, tableRow := range []struct {
		of, unit string
		f        func(x *Result) string
	}{
		{"services", "", func(x *Result) string { return fmt.Sprint(x.Services) }},
		{"all right after the first began", "s",
			func(x *Result) string { return fmt.Sprintf("%.1f", x.StartupSeconds) }},
		{"machine busy", "%", func(x *Result) string { return fmt.Sprintf("%.0f", 100*x.Busy) }},
		{"hollow sidecars that are right at the end", "", func(x *Result) string {
			return fmt.Sprintf("%d of %d", x.Converged, x.Sidecars-x.Real)
		}},
		{"keys of the store", "", func(x *Result) string { return fmt.Sprint(x.Store.Keys) }},
		{"keys and values", "bytes", func(x *Result) string { return formatFigure("", float64(x.Store.Bytes)) }},
		{"entries of the log", "/s", func(x *Result) string { return formatFigure("", x.Store.Entries) }},
		{"settings in force: p50, p99, worst", "s", func(x *Result) string { return adoptionCell(&x.Settings) }},
		{"in a burst", "s", func(x *Result) string {
			if x.Burst == nil {
				return "not run"
			}
			return adoptionCell(x.Burst)
		}},
	} {
		row(append([]string{tableRow.of, tableRow.unit}, cellsOf(tableRow.f)...)...)
	}
	for _, role := range orderedRoles {
		var roles []Role
		for _, x := range results {
			roles = append(roles, x.Roles[role])
		}
		names := figureNames(roles...)
		if len(names) == 0 {
			continue
		}
		fmt.Fprintf(w, "\n### %s\n\n", role)
		header(append(append([]string{"figure", "unit"}, sizes...), "base and slope", "power", "off",
			fmt.Sprintf("foretold of %d", target))...)
		for _, n := range names {
			cells := []string{n, unitOf(n)}
			var x, y []float64
			for i, r := range roles {
				s := r[n]
				cells = append(cells, fmt.Sprintf("%s (%s)", formatFigure(n, s.Mean), formatFigure(n, s.Worst)))
				if results[i].Sidecars < target {
					x, y = append(x, float64(results[i].Sidecars)), append(y, s.Mean)
				}
			}
			if f, ok := fit(x, y); ok {
				sign := "+"
				if f.Slope < 0 {
					sign = "-"
				}
				formula := fmt.Sprintf("%s %s %s·S", formatFigure(n, f.Base), sign, formatFigure(n, math.Abs(f.Slope)))
				if f.powerLaw {
					formula = fmt.Sprintf("%s·S^%.2f", formatFigure(n, f.factor), f.Power)
				}
				cells = append(cells, formula, fmt.Sprintf("%.2f", f.Power), fmt.Sprintf("%.0f%%", 100*f.MaxError),
					formatFigure(n, f.Predict(float64(target))))
			} else {
				cells = append(cells, "", "", "", "not known")
			}
			row(cells...)
		}
	}
	fmt.Fprintf(w, "\n### A sidecar and its budget\n\n")
	header(append([]string{"figure", "budget"}, sizes...)...)
	for _, n := range []string{"cpu", "resident_mb", "bytes"} {
		row(append([]string{n, formatFigure(n, sidecarBudget[n])}, cellsOf(func(x *Result) string {
			h := x.Roles[RoleStub]
			s := h[n]
			if n == "bytes" {
				s = Spread{Mean: h["bytes_in"].Mean + h["bytes_out"].Mean, Worst: h["bytes_in"].Worst + h["bytes_out"].Worst}
			}
			return fmt.Sprintf("%s: %.2f of it (worst %.2f)", formatFigure(n, s.Mean), s.Mean/sidecarBudget[n],
				s.Worst/sidecarBudget[n])
		})...)...)
	}
	fmt.Fprintf(w, "\n### The hollow by the real\n\n")
	header(append([]string{"figure"}, sizes...)...)
	var names []string
	for _, x := range results {
		for _, p := range x.StubAccuracy {
			if !slices.Contains(names, p.Figure) {
				names = append(names, p.Figure)
			}
		}
	}
	for _, n := range names {
		row(append([]string{n}, cellsOf(func(x *Result) string {
			for _, p := range x.StubAccuracy {
				if p.Figure == n && p.Ratio > 0 {
					return fmt.Sprintf("%.2f (%s of %s)", p.Ratio, formatFigure(n, p.Stub), formatFigure(n, p.Real))
				}
			}
			return ""
		})...)...)
	}
	writeFaults(w, results, row, header)
}

func adoptionCell(s *AdoptionDelays) string {
	if s.Changes == 0 {
		return "no change"
	}
	text := fmt.Sprintf("%.2f, %.2f, %.2f", s.P50, s.P99, s.Worst)
	if s.Missing > 0 {
		text += fmt.Sprintf("; %d of %d had not come", s.Missing, s.Missing+s.N)
	}
	return text
}

// writeFaults prints the table of faults, if a result has one.
func writeFaults(w io.Writer, results []*Result, row, header func(...string)) {
	if !slices.ContainsFunc(results, func(x *Result) bool { return x.Fault != nil }) {
		return
	}
	fmt.Fprintf(w, "\n### The fault\n\n")
	header("sidecars", "fault", "what", "all right after", "whole copies", "role",
		"worst second: cpu, resident MB, bytes in, bytes out")
	for _, x := range results {
		if x.Fault == nil {
			continue
		}
		right := fmt.Sprintf("%.1f s", x.Fault.ConvergenceSeconds)
		if x.Fault.Missed != "" {
			right = x.Fault.Missed
		}
		for _, role := range orderedRoles {
			if r := x.Fault.Roles[role]; r != nil && role != RoleDiscovery && role != RoleLinks {
				row(fmt.Sprint(x.Sidecars), x.Fault.Name, x.Fault.What, right, fmt.Sprint(x.Fault.Copies), role,
					fmt.Sprintf("%s%%, %s, %s, %s", formatFigure("cpu", r["cpu"].Worst),
						formatFigure("", r["resident_mb"].Worst), formatFigure("", r["bytes_in"].Worst),
						formatFigure("", r["bytes_out"].Worst)))
			}
		}
	}
}
