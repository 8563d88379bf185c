package main

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/replay"
)

// print prints a report for people. Times are seconds since begin.
func (k *replayCommand) print(w io.Writer, r *replay.Report, begin balancer.Micros) {
	at := func(t balancer.Micros) string { return fmt.Sprintf("%.6f s", float64(t-begin)/1e6) }
	fmt.Fprintf(w, "%d segments, %d inputs, %d decisions from %s to %s, digest %s\n",
		r.Segments, r.Inputs, r.Decisions, at(r.From), at(r.To), r.Digest)
	if r.Gaps > 0 {
		fmt.Fprintf(w, "%d gaps, %d records lost in them\n", r.Gaps, r.Lost)
	}
	for _, f := range r.Faults {
		fmt.Fprintln(w, "not readable:", f)
	}
	for _, x := range r.Explanations {
		fmt.Fprintf(w, "\nat %s: %s\n", at(x.At), x.Input)
		for _, d := range x.Decisions {
			fmt.Fprintln(w, "  decided:", d)
		}
		printCandidates(w, x.Candidates)
	}
	if k.Explain > 0 && len(r.Explanations) == 0 {
		fmt.Fprintf(w, "request %d is not decided upon there\n", k.Explain)
	}
	switch {
	case r.First != nil:
		openLoop := ""
		if k.Against != "" {
			openLoop = " (open loop: what follows follows from that)"
		}
		fmt.Fprintf(w, "%d differences, the first at %s%s: %s\n", r.Differences, at(r.First.At), openLoop, r.First.Input)
		for _, s := range r.First.Recorded {
			fmt.Fprintln(w, "  recorded:", s)
		}
		for _, s := range r.First.Replayed {
			fmt.Fprintln(w, "  replayed:", s)
		}
	case len(r.Faults) == 0:
		fmt.Fprintln(w, "all decisions are as recorded")
	}
}

// printCandidates prints the servers that were considered for a request, in order of their cost.
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
	fmt.Fprintln(w, "  (* has a fresh load answer; least cost first)")
}
