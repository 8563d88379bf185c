package chain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// AddedLatencyBudgetMillis is the latency that the users allow a sidecar to add to a call, in milliseconds, as a 99th
// percentile.
const AddedLatencyBudgetMillis = 1.8

// Print writes a result as text.
func Print(w io.Writer, result *Result) {
	fmt.Fprintf(w,
		"%d sidecars in a row, %d servers each, %s, max_attempts %d, %.0f calls a second, %d calls, by %s; load average %s\n",
		result.Depth, result.Servers, result.Class, result.Attempts, result.Rate, result.Calls, result.Clock,
		loadAverages(result))
	fmt.Fprintf(w, "answers: %s; %d broken, %d with something behind them, %d begun over 10 ms late\n",
		answerCodes(result), result.Broken, result.ExcessAnswers, result.LateCalls)
	for _, why := range slices.Sorted(maps.Keys(result.BrokenCauses)) {
		fmt.Fprintf(w, "broken, %d: %s\n", result.BrokenCauses[why], why)
	}
	if result.LeafFailure != "" {
		fmt.Fprintf(w,
			"the leaf fails %v of its attempts (%s): %.2f attempts there a call, %d at most; by the rules %.6g, by the budgets %.2f a call, %.2f for ever\n",
			result.FailureShare, result.LeafFailure, result.MeanLeafAttempts, result.MaxLeafAttempts,
			result.LeafAttemptsBound, result.BudgetedLeafAttempts/float64(result.Calls),
			result.SteadyLeafAttempts)
	} else {
		fmt.Fprintf(w,
			"added by one level: p50 %.3f ms, p99 %.3f ms; by the row: p50 %.3f ms, p99 %.3f ms; the budget is %v ms\n",
			result.AddedPerLevel.P50, result.AddedPerLevel.P99, result.AddedByRow.P50, result.AddedByRow.P99,
			AddedLatencyBudgetMillis)
		fmt.Fprintf(w, "the whole call: p50 %.3f ms, p99 %.3f ms; without sidecars p50 %.3f ms, p99 %.3f ms\n",
			result.Through.P50, result.Through.P99, result.Direct.P50, result.Direct.P99)
	}
	fmt.Fprintf(w, "%5s %9s %9s %9s %9s %9s %6s %6s %6s %5s %7s %8s %9s %9s %7s %7s\n", "level", "attempts",
		"added p50", "added p99", "thr. p99", "dir. p99",
		"left", "mean", "least", "over", "conns", "probes/s", "bytes to", "bytes fro", "cores", "MB")
	for number, figures := range result.Levels {
		fmt.Fprintf(w, "%5d %9d %9.3f %9.3f %9.3f %9.3f %6d %6.0f %6d %5d %7d %8.1f %9.0f %9.0f %7.3f %7.1f\n",
			number+1, figures.Attempts, figures.Added.P50, figures.Added.P99,
			figures.Through.P99, figures.Direct.P99, figures.TimeLeftMax, figures.TimeLeftMean, figures.TimeLeftMin,
			figures.BeyondRoot,
			figures.Open, figures.Probes, figures.ProbeIn, figures.ProbeOut, figures.CPU, figures.RSS)
	}
}

// loadAverages returns the machine's load averages at the start and at the end, or "-" if none were measured.
func loadAverages(result *Result) string {
	if result.Load[0] == "" {
		return "-"
	}
	return result.Load[0] + " to " + result.Load[1]
}

// answerCodes lists the answers by status code.
func answerCodes(result *Result) string {
	var counts []string
	for _, code := range slices.Sorted(maps.Keys(result.Answers)) {
		counts = append(counts, fmt.Sprintf("%d of %s", result.Answers[code], code))
	}
	return strings.Join(counts, ", ")
}

// Markdown writes results as tables in Markdown: latencies and the time left for each run without failures, and one
// table of attempts for the runs in which the leaf fails.
func Markdown(w io.Writer, results []*Result) {
	for _, result := range results {
		if result.LeafFailure != "" {
			continue
		}
		fmt.Fprintf(w,
			"%d sidecars in a row with %d servers each, class `%s`, %.0f calls a second, %d calls, load average %s; answers: %s.\n\n",
			result.Depth,
			result.Servers, result.Class, result.Rate, result.Calls, loadAverages(result), answerCodes(result))
		fmt.Fprintf(w,
			"| ms | p50 | p99 | worst | pairs | of the budget of %v |\n| --- | ---: | ---: | ---: | ---: | ---: |\n",
			AddedLatencyBudgetMillis)
		for _, added := range []struct {
			name string
			of   Summary
		}{{"added by one level", result.AddedPerLevel}, {fmt.Sprintf("added by %d in a row", result.Depth),
			result.AddedByRow}} {
			fmt.Fprintf(w, "| %s | %.3f | %.3f | %.1f | %d | %.2f |\n", added.name, added.of.P50, added.of.P99,
				added.of.Max, added.of.N, added.of.P99/AddedLatencyBudgetMillis)
		}
		fmt.Fprintf(w, "| the whole call through the row | %.3f | %.3f | %.1f | %d | |\n", result.Through.P50,
			result.Through.P99,
			result.Through.Max, result.Through.N)
		fmt.Fprintf(w, "| without sidecars | %.3f | %.3f | %.1f | %d | |\n\n", result.Direct.P50, result.Direct.P99,
			result.Direct.Max, result.Direct.N)
		fmt.Fprint(w,
			"| level | added p50 ms | added p99 ms | time left told, most | mean | least | told more than there was | connections | probes/s | "+
				"probe bytes/s out | in | core | MB |\n| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
		for number, figures := range result.Levels {
			fmt.Fprintf(w, "| %d | %.3f | %.3f | %d | %.0f | %d | %d of %d | %d | %.1f | %.0f | %.0f | %.3f | %.1f |\n",
				number+1, figures.Added.P50, figures.Added.P99,
				figures.TimeLeftMax, figures.TimeLeftMean, figures.TimeLeftMin, figures.BeyondRoot, figures.Attempts,
				figures.Open, figures.Probes,
				figures.ProbeIn, figures.ProbeOut, figures.CPU, figures.RSS)
		}
		fmt.Fprintln(w)
	}
	headWritten := false
	for _, result := range results {
		if result.LeafFailure == "" {
			continue
		}
		if !headWritten {
			fmt.Fprint(w,
				"| by | levels | servers | class | leaf | share | max_attempts | calls | attempts at the leaf a call | most for one call | worst by the rules | "+
					"by the budgets, a call | for ever | answers | load average |\n"+
					"| --- | ---: | ---: | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- | --- |\n")
			headWritten = true
		}
		fmt.Fprintf(w, "| %s | %d | %d | %s | %s | %v | %d | %d | %.2f | %d | %.6g | %.2f | %.2f | %s | %s |\n",
			result.Clock, result.Depth, result.Servers, result.Class, result.LeafFailure, result.FailureShare,
			result.Attempts, result.Calls, result.MeanLeafAttempts, result.MaxLeafAttempts, result.LeafAttemptsBound,
			result.BudgetedLeafAttempts/float64(result.Calls), result.SteadyLeafAttempts,
			answerCodes(result), loadAverages(result))
	}
}
