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
var roleOrder = []string{RoleLeader, RoleVoter, RoleDivider, RoleReal, RoleHollow, RoleList}

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
		fmt.Fprintf(w, "fault %s: %s; all right %.1f s after\n", f.Name, f.What, f.Right)
		if f.Missed != "" {
			fmt.Fprintln(w, f.Missed)
		}
	}
}

func tellInForce(w io.Writer, what string, s *InForce) {
	fmt.Fprintf(w, "%s: %d changes, put in %.2f s; in force p50 %.2f s, p99 %.2f, worst %.2f (of %d; %d had not come)\n", what, s.Changes, s.Put, s.P50, s.P99, s.Worst,
		s.N, s.Missing)
}

// Markdown prints the tables of the page.
func Markdown(w io.Writer, all []*Result) {
	for _, x := range all {
		Print(w, x)
	}
}
