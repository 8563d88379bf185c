package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"birchmoor/internal/lab/figures"
)

type resultFlags struct {
	Out  string `help:"Folder for the result, from which lab report makes the report." type:"path" placeholder:"DIR"`
	JSON string `help:"File for the result as JSON; - for standard output." placeholder:"FILE"`
}

// report writes the result to the files that the flags name, and prints it unless its JSON goes to standard output. It
// returns errRunFailed if the run broke a rule or missed a figure.
func (o *resultFlags) report(c *console, result *figures.Result) error {
	c.clear()
	if o.Out != "" {
		if err := os.MkdirAll(o.Out, 0o755); err != nil {
			return err
		}
		if err := writeJSON(filepath.Join(o.Out, "result.json"), result, c.out); err != nil {
			return err
		}
	}
	if o.JSON != "" {
		if err := writeJSON(o.JSON, result, c.out); err != nil {
			return err
		}
	}
	if o.JSON != "-" {
		printResult(c.out, result)
	}
	if !result.Passed() {
		return errRunFailed
	}
	return nil
}

// fleetFigureLabels describe the figures of a fleet, by name.
var fleetFigureLabels = map[string]string{
	"probes":       "probes per server and second",
	"handshakes":   "handshakes",
	"connections":  "open connections relative to the cap",
	"shut":         "connections rejected at the cap",
	"cold":         "work sent to cold servers relative to their overload threshold",
	"ramp":         "requests sent to cold servers relative to N + 2 sqrt(N) + 2",
	"calls":        "discovery calls per second",
	"call_wait_ms": "their wait in ms",
}

// printResult prints the figures of a run. Its last line is the verdict.
func printResult(w io.Writer, result *figures.Result) {
	fmt.Fprintf(w, "%s: %d sidecars, %d servers, %.0f s by %s, seed %d\n",
		result.Scenario, result.Sidecars, result.Servers, result.Length, result.Host, result.Seed)
	fmt.Fprintf(w, "%-14s %8s %8s %8s %8s %8s %9s\n",
		"class", "asked", "service", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms")
	for _, c := range result.Classes {
		fmt.Fprintf(w, "%-14s %8d %8.3f %8.1f %8.1f %8.1f %9.1f\n", c.Name, c.Tasks, c.Service, c.P50, c.P90, c.P99, c.P999)
	}
	counts, figureValues := result.Verdict.Counts, result.Figures
	fmt.Fprintf(w, "requests: asked %d = served %d + rejected %d + failed %d + abandoned %d",
		counts.Requests, counts.Served, counts.Rejected, counts.Failed, counts.Abandoned)
	if counts.Excused+counts.Unread > 0 {
		fmt.Fprintf(w, " (%d whose sidecar was killed or stopped, %d that the sidecar never read)",
			counts.Excused, counts.Unread)
	}
	fmt.Fprintf(w, "\nfor each task of a client: %.2f requests, %.2f attempts, %.3f rejected by servers,"+
		" %.3f connections opened, %.2f probes\n",
		figureValues["tries_per_task"], figureValues["attempts_per_task"], figureValues["turned_per_task"],
		figureValues["connects_per_task"], figureValues["probes_per_task"])
	printFleetFigures(w, result)
	fmt.Fprintf(w, "attempts into other zones %.3f, worst 10 s %.3f, took %.1f s, at most %.0f MB",
		figureValues["crossings"], result.Worst10s, result.Took, result.MemoryMB)
	if result.Host == "run" {
		fmt.Fprintf(w, ", the lab itself late by %.1f ms (p99.9), %.1f ms at most", result.LateP999, result.LateMax)
	}
	fmt.Fprintln(w)
	for _, violation := range result.Verdict.Violations {
		fmt.Fprintf(w, "broken at %.3f s: %s: request %x, sidecar %d, server %d: %s\n",
			float64(violation.At)/1e6, violation.Rule, violation.Request, violation.Sidecar, violation.Server,
			violation.Detail)
	}
	for _, m := range result.Missed {
		fmt.Fprintln(w, "missed:", m)
	}
	fmt.Fprintln(w, result.Line())
}

func printFleetFigures(w io.Writer, result *figures.Result) {
	fmt.Fprint(w, "over all sidecars, mean and worst:")
	for i, figure := range result.Fleet {
		if i > 0 {
			fmt.Fprint(w, ",")
		}
		fmt.Fprintf(w, " %s %.3g and %.3g", fleetFigureLabels[figure.Name], figure.Mean, figure.Worst)
	}
	fmt.Fprintln(w)
}

// appendJSONLine appends a value to a file as a line of JSON.
func appendJSONLine(path string, value any) error {
	line, err := json.Marshal(value)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	_, err = file.Write(append(line, '\n'))
	return errors.Join(err, file.Close())
}
