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

// order in which roles are told.
var roleOrder = []string{RoleLeader, RoleVoter, RoleDivider, RoleReal, RoleHollow, RoleList, RoleLinks}

// figure is how one is told.
type figure struct{ name, unit string }

// figures that are told of every role, in their order; those by purpose follow.
var figures = []figure{{"cpu", "% of a core"}, {"resident_mb", "MB"}, {"heap_mb", "MB"}, {"descriptors", ""}, {"bytes_in", "B/s"}, {"bytes_out", "B/s"},
	{"messages_in", "/s"}, {"messages_out", "/s"}, {"entries", "/s"}, {"syncs", "/s"}, {"disk", "B/s"}}

func unitOf(name string) string {
	switch base, _, _ := strings.Cut(name, "."); base {
	case "bytes_in", "bytes_out", "disk":
		return "B/s"
	case "messages_in", "messages_out", "entries", "syncs":
		return "/s"
	}
	for _, f := range figures {
		if f.name == name {
			return f.unit
		}
	}
	return ""
}

// namesOf are the figures that any of the roles has.
func namesOf(all ...Role) (names []string) {
	have := map[string]bool{}
	for _, r := range all {
		for n := range r {
			have[n] = true
		}
	}
	for _, f := range figures {
		if have[f.name] {
			names = append(names, f.name)
			delete(have, f.name)
		}
	}
	delete(have, "goroutines")
	return append(names, slices.Sorted(maps.Keys(have))...)
}

// tell writes a figure with three digits.
func tell(name string, v float64) string {
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

// Print prints one size.
func Print(w io.Writer, x *Result) {
	fmt.Fprintf(w, "%d sidecars (%d real) of %d services, %d replicas, seed %d: %.0f s, the machine %.0f%% busy\n", x.Sidecars, x.Real, x.Services, x.Replicas, x.Seed,
		x.Seconds, 100*x.Busy)
	fmt.Fprintf(w, "all right %.1f s after the first began; at the end of the quiet phase %d of %d hollow ones are\n", x.Began, x.Right, x.Sidecars-x.Real)
	fmt.Fprintf(w, "store: %d keys, %d bytes, %.1f entries of the log and %.1f revisions a second\n", x.Store.Keys, x.Store.Bytes, x.Store.Entries, x.Store.Revisions)
	tellInForce(w, "settings", &x.Settings)
	if x.Burst != nil {
		tellInForce(w, "burst of settings", x.Burst)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, role := range roleOrder {
		r := x.Roles[role]
		for _, n := range namesOf(r) {
			s := r[n]
			fmt.Fprintf(t, "%s\t%s\t%s\tp99 %s\tworst %s\t%s\n", role, n, tell(n, s.Mean), tell(n, s.P99), tell(n, s.Worst), unitOf(n))
		}
	}
	for _, p := range x.Honest {
		fmt.Fprintf(t, "hollow by real\t%s\t%.2f\t%s\tof %s\t%s\n", p.Figure, p.Ratio, tell(p.Figure, p.Hollow), tell(p.Figure, p.Real), unitOf(p.Figure))
	}
	t.Flush()
	if f := x.Fault; f != nil {
		fmt.Fprintf(w, "fault %s: %s; all right %.1f s after; %d whole copies were taken\n", f.Name, f.What, f.Right, f.Copies)
		if f.Missed != "" {
			fmt.Fprintln(w, f.Missed)
		}
	}
}

func tellInForce(w io.Writer, what string, s *InForce) {
	fmt.Fprintf(w, "%s: %d changes, put in %.2f s; in force p50 %.2f s, p99 %.2f, worst %.2f (of %d; %d had not come)\n", what, s.Changes, s.Put, s.P50, s.P99, s.Worst,
		s.N, s.Missing)
}

// Budget of the users' letter, of a sidecar: bytes are both ways together.
var budget = map[string]float64{"cpu": 0.023, "resident_mb": 128, "bytes": 8 << 10}

// Markdown prints the tables of the page. Sizes under target foretell it; with fewer than four of them nothing is foretold.
func Markdown(w io.Writer, all []*Result, target int) {
	fmt.Fprintf(w, "Printed by `birchmoor lab scale --markdown`, seed %d: ", all[0].Seed)
	for i, x := range all {
		if i > 0 {
			fmt.Fprint(w, ", ")
		}
		fmt.Fprintf(w, "%d sidecars for %.0f s", x.Sidecars, x.Seconds)
	}
	fmt.Fprintf(w, "; %d of them real, %d replicas. Figures are means by second, of one process or one sidecar, the worst second in brackets.\n", all[0].Real, all[0].Replicas)
	fmt.Fprintf(w, "A fit is through the sizes under %d; beyond the largest that was run it is extrapolated. `power` is by which a figure grows with the sidecars.\n", target)
	row := func(cells ...string) { fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | ")) }
	head := func(cells ...string) {
		row(cells...)
		row(slices.Repeat([]string{"---"}, len(cells))...)
	}
	by := func(f func(x *Result) string) (cells []string) {
		for _, x := range all {
			cells = append(cells, f(x))
		}
		return cells
	}
	sizes := by(func(x *Result) string { return fmt.Sprint(x.Sidecars) })
	fmt.Fprintf(w, "\n### The fleet\n\n")
	head(append([]string{"of", "unit"}, sizes...)...)
	for _, line := range []struct {
		of, unit string
		f        func(x *Result) string
	}{
		{"services", "", func(x *Result) string { return fmt.Sprint(x.Services) }},
		{"all right after the first began", "s", func(x *Result) string { return fmt.Sprintf("%.1f", x.Began) }},
		{"machine busy", "%", func(x *Result) string { return fmt.Sprintf("%.0f", 100*x.Busy) }},
		{"hollow sidecars that are right at the end", "", func(x *Result) string { return fmt.Sprintf("%d of %d", x.Right, x.Sidecars-x.Real) }},
		{"keys of the store", "", func(x *Result) string { return fmt.Sprint(x.Store.Keys) }},
		{"keys and values", "bytes", func(x *Result) string { return tell("", float64(x.Store.Bytes)) }},
		{"entries of the log", "/s", func(x *Result) string { return tell("", x.Store.Entries) }},
		{"settings in force: p50, p99, worst", "s", func(x *Result) string { return inForceCell(&x.Settings) }},
		{"in a burst", "s", func(x *Result) string {
			if x.Burst == nil {
				return "not run"
			}
			return inForceCell(x.Burst)
		}},
	} {
		row(append([]string{line.of, line.unit}, by(line.f)...)...)
	}
	for _, role := range roleOrder {
		var have []Role
		for _, x := range all {
			have = append(have, x.Roles[role])
		}
		names := namesOf(have...)
		if len(names) == 0 {
			continue
		}
		fmt.Fprintf(w, "\n### %s\n\n", role)
		head(append(append([]string{"figure", "unit"}, sizes...), "base and slope", "power", "off", fmt.Sprintf("foretold of %d", target))...)
		for _, n := range names {
			cells := []string{n, unitOf(n)}
			var x, y []float64
			for i, r := range have {
				s := r[n]
				cells = append(cells, fmt.Sprintf("%s (%s)", tell(n, s.Mean), tell(n, s.Worst)))
				if all[i].Sidecars < target {
					x, y = append(x, float64(all[i].Sidecars)), append(y, s.Mean)
				}
			}
			if f, ok := fit(x, y); ok {
				sign := "+"
				if f.Slope < 0 {
					sign = "-"
				}
				how := fmt.Sprintf("%s %s %s·S", tell(n, f.Base), sign, tell(n, math.Abs(f.Slope)))
				if f.curve {
					how = fmt.Sprintf("%s·S^%.2f", tell(n, f.scale), f.Power)
				}
				cells = append(cells, how, fmt.Sprintf("%.2f", f.Power), fmt.Sprintf("%.0f%%", 100*f.Off), tell(n, f.At(float64(target))))
			} else {
				cells = append(cells, "", "", "", "not known")
			}
			row(cells...)
		}
	}
	fmt.Fprintf(w, "\n### A sidecar and its budget\n\n")
	head(append([]string{"figure", "budget"}, sizes...)...)
	for _, n := range []string{"cpu", "resident_mb", "bytes"} {
		row(append([]string{n, tell(n, budget[n])}, by(func(x *Result) string {
			h := x.Roles[RoleHollow]
			s := h[n]
			if n == "bytes" {
				s = Spread{Mean: h["bytes_in"].Mean + h["bytes_out"].Mean, Worst: h["bytes_in"].Worst + h["bytes_out"].Worst}
			}
			return fmt.Sprintf("%s: %.2f of it (worst %.2f)", tell(n, s.Mean), s.Mean/budget[n], s.Worst/budget[n])
		})...)...)
	}
	fmt.Fprintf(w, "\n### The hollow by the real\n\n")
	head(append([]string{"figure"}, sizes...)...)
	var names []string
	for _, x := range all {
		for _, p := range x.Honest {
			if !slices.Contains(names, p.Figure) {
				names = append(names, p.Figure)
			}
		}
	}
	for _, n := range names {
		row(append([]string{n}, by(func(x *Result) string {
			for _, p := range x.Honest {
				if p.Figure == n && p.Ratio > 0 {
					return fmt.Sprintf("%.2f (%s of %s)", p.Ratio, tell(n, p.Hollow), tell(n, p.Real))
				}
			}
			return ""
		})...)...)
	}
	faults(w, all, row, head)
}

func inForceCell(s *InForce) string {
	if s.Changes == 0 {
		return "no change"
	}
	text := fmt.Sprintf("%.2f, %.2f, %.2f", s.P50, s.P99, s.Worst)
	if s.Missing > 0 {
		text += fmt.Sprintf("; %d of %d had not come", s.Missing, s.Missing+s.N)
	}
	return text
}

// faults tells what was measured of them.
func faults(w io.Writer, all []*Result, row, head func(...string)) {
	if !slices.ContainsFunc(all, func(x *Result) bool { return x.Fault != nil }) {
		return
	}
	fmt.Fprintf(w, "\n### The fault\n\n")
	head("sidecars", "fault", "what", "all right after", "whole copies", "role", "worst second: cpu, resident MB, bytes in, bytes out")
	for _, x := range all {
		if x.Fault == nil {
			continue
		}
		right := fmt.Sprintf("%.1f s", x.Fault.Right)
		if x.Fault.Missed != "" {
			right = x.Fault.Missed
		}
		for _, role := range roleOrder {
			if r := x.Fault.Roles[role]; r != nil && role != RoleList && role != RoleLinks {
				row(fmt.Sprint(x.Sidecars), x.Fault.Name, x.Fault.What, right, fmt.Sprint(x.Fault.Copies), role, fmt.Sprintf("%s%%, %s, %s, %s", tell("cpu", r["cpu"].Worst),
					tell("", r["resident_mb"].Worst), tell("", r["bytes_in"].Worst), tell("", r["bytes_out"].Worst)))
			}
		}
	}
}
