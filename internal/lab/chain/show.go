package chain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Budget is what the users allow to be added to a call, in milliseconds, for 99 in 100.
const Budget = 1.8

// Print prints a run for people.
func Print(w io.Writer, x *Result) {
	fmt.Fprintf(w, "%d sidecars in a row, %d servers each, %s, max_attempts %d, %.0f calls a second, %d calls, by %s; load average %s\n",
		x.Depth, x.Servers, x.Class, x.Attempts, x.Rate, x.Calls, x.By, busy(x))
	fmt.Fprintf(w, "answers: %s; %d broken, %d with something behind them, %d begun over 10 ms late\n", codes(x), x.Broken, x.Surplus, x.LateRoot)
	for _, why := range slices.Sorted(maps.Keys(x.Why)) {
		fmt.Fprintf(w, "broken, %d: %s\n", x.Why[why], why)
	}
	if x.Fail != "" {
		fmt.Fprintf(w, "the leaf fails %v of its attempts (%s): %.2f attempts there a call, %d at most; by the rules %.6g, by the budgets %.2f a call, %.2f for ever\n",
			x.Share, x.Fail, x.PerCall, x.LeafMost, x.Worst, x.Budgeted/float64(x.Calls), x.Steady)
	} else {
		fmt.Fprintf(w, "added by one level: p50 %.3f ms, p99 %.3f ms; by the row: p50 %.3f ms, p99 %.3f ms; the budget is %v ms\n",
			x.One.P50, x.One.P99, x.Row.P50, x.Row.P99, Budget)
		fmt.Fprintf(w, "the whole call: p50 %.3f ms, p99 %.3f ms; without sidecars p50 %.3f ms, p99 %.3f ms\n", x.Whole.P50, x.Whole.P99, x.Bare.P50, x.Bare.P99)
	}
	fmt.Fprintf(w, "%5s %9s %9s %9s %9s %9s %6s %6s %6s %5s %7s %8s %9s %9s %7s %7s\n", "level", "attempts", "added p50", "added p99", "thr. p99", "dir. p99",
		"left", "mean", "least", "over", "conns", "probes/s", "bytes to", "bytes fro", "cores", "MB")
	for k, l := range x.Levels {
		fmt.Fprintf(w, "%5d %9d %9.3f %9.3f %9.3f %9.3f %6d %6.0f %6d %5d %7d %8.1f %9.0f %9.0f %7.3f %7.1f\n", k+1, l.Attempts, l.Added.P50, l.Added.P99,
			l.Through.P99, l.Direct.P99, l.LeftMax, l.LeftMean, l.LeftMin, l.Over, l.Open, l.Probes, l.ProbeIn, l.ProbeOut, l.CPU, l.RSS)
	}
}

// busy is how busy the machine was.
func busy(x *Result) string {
	if x.Load[0] == "" {
		return "-"
	}
	return x.Load[0] + " to " + x.Load[1]
}

func codes(x *Result) string {
	var all []string
	for _, c := range slices.Sorted(maps.Keys(x.Answers)) {
		all = append(all, fmt.Sprintf("%d of %s", x.Answers[c], c))
	}
	return strings.Join(all, ", ")
}

// Markdown prints runs as tables of a page: times and what each level is told where the leaf serves, attempts where it fails.
func Markdown(w io.Writer, all []*Result) {
	for _, x := range all {
		if x.Fail != "" {
			continue
		}
		fmt.Fprintf(w, "%d sidecars in a row with %d servers each, class `%s`, %.0f calls a second, %d calls, load average %s; answers: %s.\n\n", x.Depth,
			x.Servers, x.Class, x.Rate, x.Calls, busy(x), codes(x))
		fmt.Fprintf(w, "| ms | p50 | p99 | worst | pairs | of the budget of %v |\n| --- | ---: | ---: | ---: | ---: | ---: |\n", Budget)
		for _, s := range []struct {
			name string
			of   Spread
		}{{"added by one level", x.One}, {fmt.Sprintf("added by %d in a row", x.Depth), x.Row}} {
			fmt.Fprintf(w, "| %s | %.3f | %.3f | %.1f | %d | %.2f |\n", s.name, s.of.P50, s.of.P99, s.of.Max, s.of.N, s.of.P99/Budget)
		}
		fmt.Fprintf(w, "| the whole call through the row | %.3f | %.3f | %.1f | %d | |\n", x.Whole.P50, x.Whole.P99, x.Whole.Max, x.Whole.N)
		fmt.Fprintf(w, "| without sidecars | %.3f | %.3f | %.1f | %d | |\n\n", x.Bare.P50, x.Bare.P99, x.Bare.Max, x.Bare.N)
		fmt.Fprint(w, "| level | added p50 ms | added p99 ms | time left told, most | mean | least | told more than there was | connections | probes/s | "+
			"probe bytes/s out | in | core | MB |\n| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
		for k, l := range x.Levels {
			fmt.Fprintf(w, "| %d | %.3f | %.3f | %d | %.0f | %d | %d of %d | %d | %.1f | %.0f | %.0f | %.3f | %.1f |\n", k+1, l.Added.P50, l.Added.P99,
				l.LeftMax, l.LeftMean, l.LeftMin, l.Over, l.Attempts, l.Open, l.Probes, l.ProbeIn, l.ProbeOut, l.CPU, l.RSS)
		}
		fmt.Fprintln(w)
	}
	head := false
	for _, x := range all {
		if x.Fail == "" {
			continue
		}
		if !head {
			fmt.Fprint(w, "| by | levels | servers | class | leaf | share | max_attempts | calls | attempts at the leaf a call | most for one call | worst by the rules | "+
				"by the budgets, a call | for ever | answers | load average |\n"+
				"| --- | ---: | ---: | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- | --- |\n")
			head = true
		}
		fmt.Fprintf(w, "| %s | %d | %d | %s | %s | %v | %d | %d | %.2f | %d | %.6g | %.2f | %.2f | %s | %s |\n", x.By, x.Depth, x.Servers, x.Class, x.Fail, x.Share, x.Attempts, x.Calls,
			x.PerCall, x.LeafMost, x.Worst, x.Budgeted/float64(x.Calls), x.Steady, codes(x), busy(x))
	}
}
