package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"birchmoor/internal/lab/figures"
)

type resultFlags struct {
	Out  string `help:"Folder for the result and what the report needs." type:"path" placeholder:"DIR"`
	JSON string `help:"File for the result as JSON; - for standard output." placeholder:"FILE"`
}

// report writes the result where the flags say, and prints it unless standard output is for JSON.
func (o *resultFlags) report(c *console, x *figures.Result) error {
	c.clear()
	if o.Out != "" {
		if err := os.MkdirAll(o.Out, 0o755); err != nil {
			return err
		}
		if err := writeJSON(filepath.Join(o.Out, "result.json"), x, c.out); err != nil {
			return err
		}
	}
	if o.JSON != "" {
		if err := writeJSON(o.JSON, x, c.out); err != nil {
			return err
		}
	}
	if o.JSON != "-" {
		printResult(c.out, x)
	}
	if !x.Passed() {
		return errRunFailed
	}
	return nil
}

// fleetFigureLabels say what a figure of a fleet is.
var fleetFigureLabels = map[string]string{
	"probes":       "probes a server and second",
	"handshakes":   "handshakes",
	"connections":  "connections of the cap",
	"shut":         "turned away at the cap",
	"cold":         "cold work of what pushes over",
	"ramp":         "cold work in a window of N + 2 roots of N + 2",
	"calls":        "calls of discovery a second",
	"call_wait_ms": "their wait in ms",
}

// printResult prints a run's figures; its last line is the verdict.
func printResult(w io.Writer, x *figures.Result) {
	fmt.Fprintf(w, "%s: %d sidecars, %d servers, %.0f s by %s, seed %d\n",
		x.Scenario, x.Sidecars, x.Servers, x.Length, x.Host, x.Seed)
	fmt.Fprintf(w, "%-14s %8s %8s %8s %8s %8s %9s\n",
		"class", "asked", "service", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms")
	for _, c := range x.Classes {
		fmt.Fprintf(w, "%-14s %8d %8.3f %8.1f %8.1f %8.1f %9.1f\n", c.Name, c.Tasks, c.Service, c.P50, c.P90, c.P99, c.P999)
	}
	n, f := x.Verdict.Counts, x.Figures
	fmt.Fprintf(w, "requests: asked %d = served %d + refused %d + failed %d + gone %d",
		n.Requests, n.Served, n.Rejected, n.Failed, n.Abandoned)
	if n.Excused+n.Unread > 0 {
		fmt.Fprintf(w, " (%d with a sidecar that was killed, %d unheard)", n.Excused, n.Unread)
	}
	fmt.Fprintf(w, "\nfor each that clients want: %.2f tries, %.2f attempts, %.3f turned away, %.3f connections opened,"+
		" %.2f probes\n",
		f["tries_per_task"], f["attempts_per_task"], f["turned_per_task"], f["connects_per_task"], f["probes_per_task"])
	printFleetFigures(w, x)
	fmt.Fprintf(w, "attempts into other zones %.3f, worst 10 s %.3f, took %.1f s, at most %.0f MB",
		f["crossings"], x.Worst10s, x.Took, x.MemoryMB)
	if x.Host == "run" {
		fmt.Fprintf(w, ", the lab itself late by %.1f ms (99.9%%), %.1f at most", x.LateP999, x.LateMost)
	}
	fmt.Fprintln(w)
	for _, b := range x.Verdict.Violations {
		fmt.Fprintf(w, "broken at %.3f s: %s: request %x, sidecar %d, server %d: %s\n",
			float64(b.At)/1e6, b.Rule, b.Request, b.Sidecar, b.Server, b.Detail)
	}
	for _, m := range x.Missed {
		fmt.Fprintln(w, "missed:", m)
	}
	fmt.Fprintln(w, x.Line())
}

func printFleetFigures(w io.Writer, x *figures.Result) {
	fmt.Fprint(w, "over all sidecars, mean and worst:")
	for i, l := range x.Fleet {
		if i > 0 {
			fmt.Fprint(w, ",")
		}
		fmt.Fprintf(w, " %s %.3g and %.3g", fleetFigureLabels[l.Name], l.Mean, l.Worst)
	}
	fmt.Fprintln(w)
}
