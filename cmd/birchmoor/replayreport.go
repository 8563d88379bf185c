package main

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/replay"
)

// print prints a report as text. Times are in seconds since begin.
func (k *replayCommand) print(w io.Writer, report *replay.Report, begin balancer.Micros) {
	formatTime := func(t balancer.Micros) string { return fmt.Sprintf("%.6f s", float64(t-begin)/1e6) }
	fmt.Fprintf(w, "%d segments, %d inputs, %d decisions from %s to %s, digest %s\n",
		report.Segments, report.Inputs, report.Decisions, formatTime(report.From), formatTime(report.To), report.Digest)
	if report.Gaps > 0 {
		fmt.Fprintf(w, "%d gaps, %d records lost in them\n", report.Gaps, report.Lost)
	}
	for _, f := range report.Faults {
		fmt.Fprintln(w, "not readable:", f)
	}
	for _, explanation := range report.Explanations {
		fmt.Fprintf(w, "\nat %s: %s\n", formatTime(explanation.At), explanation.Input)
		for _, d := range explanation.Decisions {
			fmt.Fprintln(w, "  decided:", d)
		}
		printCandidates(w, explanation.Candidates)
	}
	if k.Explain > 0 && len(report.Explanations) == 0 {
		fmt.Fprintf(w, "request %d has no decision in this part of the capture\n", k.Explain)
	}
	switch {
	case report.First != nil:
		openLoop := ""
		if k.Against != "" {
			openLoop = " (open loop: later differences may follow from it)"
		}
		fmt.Fprintf(w, "%d differences, the first at %s%s: %s\n",
			report.Differences, formatTime(report.First.At), openLoop, report.First.Input)
		for _, s := range report.First.Recorded {
			fmt.Fprintln(w, "  recorded:", s)
		}
		for _, s := range report.First.Replayed {
			fmt.Fprintln(w, "  replayed:", s)
		}
	case len(report.Faults) == 0:
		fmt.Fprintln(w, "all decisions are as recorded")
	}
}

// printCandidates prints the servers that were considered for a request, the lowest cost first.
func printCandidates(w io.Writer, candidates []replay.NamedCandidate) {
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].Cost < candidates[j].Cost })
	fmt.Fprintf(w, "  %-20s %6s %6s %8s %9s %9s %7s %7s %s\n",
		"server", "load", "own", "pace", "expected", "limit", "errors", "latency", "avoided")
	for _, c := range candidates {
		pooled := " "
		if c.Pooled {
			pooled = "*"
		}
		fmt.Fprintf(w, "  %-19s%s %6.1f %6d %8.2f %6.0f ms %6.0f ms %7.2f %7.2f %s\n",
			c.Server, pooled, c.Load, c.Inflight, c.Pace, c.Predicted/1000, c.Limit/1000,
			c.ErrorChance, c.LatencyChance, strings.Join(c.Exclusions, "; "))
	}
	fmt.Fprintln(w, "  (* has a recent load report; lowest cost first)")
}
