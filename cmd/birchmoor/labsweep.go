package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"

	"birchmoor/internal/lab/figures"
	"birchmoor/internal/lab/sim"
)

type sweepCommand struct {
	Scenario string `arg:"" type:"existingfile" help:"Scenario file, such as lab/scenarios/herd.toml."`
	Sidecars []int  `help:"So many sidecars, one size after the other, rising." default:"4,20,80" placeholder:"N,..."`
	Servers  []int  `help:"So many servers, rising; the scenario's share of each kind, and its load a server, stay." placeholder:"N,..."`
	Seeds    int    `help:"Runs of each size." default:"4"`
	Seed     uint64 `help:"The first seed." default:"1"`
	Parallel int    `name:"beside" help:"Runs side by side." default:"4"`
	JSON     string `help:"File for the result as JSON; - for standard output." placeholder:"FILE"`
}

func (k *sweepCommand) Help() string {
	return `Plays a scenario at several sizes, in virtual time, and prints how each figure of the fleet grows: behind the table, the power
of the number of sidecars by which it does (0: not at all, 1: in proportion), at the least and at the greatest number of servers.
Exit code 1 if a run broke a rule or missed what its scenario demands.

Examples:
  birchmoor lab sweep lab/scenarios/herd.toml --sidecars 4,20,80,320
  birchmoor lab sweep lab/scenarios/join.toml --sidecars 20,80 --servers 20,60,180 --seeds 8`
}

const (
	maxSweepSidecars = 10_000
	maxSweepServers  = 2_000
	maxSweepProduct  = 2_000_000 // sidecars times servers: each keeps something of each, and the lab all of it
)

// sweepRow is one row of a sweep.
type sweepRow struct {
	Sidecars int                  `json:"sidecars"`
	Servers  int                  `json:"servers"`
	Runs     int                  `json:"runs"`
	Broken   int                  `json:"runs_that_broke_rules"`
	Missed   []string             `json:"missed,omitempty"` // of the first run that missed something
	Mean     map[string]float64   `json:"mean"`
	Min      map[string]float64   `json:"least"`
	Max      map[string]float64   `json:"most"`
	values   map[string][]float64 // by figure
}

// check says what of the sizes cannot be played.
func (k *sweepCommand) check() error {
	for _, x := range []struct {
		flag string
		list []int
		most int
	}{{"--sidecars", k.Sidecars, maxSweepSidecars}, {"--servers", k.Servers, maxSweepServers}} {
		for i, n := range x.list {
			if n < 1 || n > x.most {
				return fmt.Errorf("%s: %d is not within 1 and %d", x.flag, n, x.most)
			}
			if i > 0 && n <= x.list[i-1] {
				return fmt.Errorf("%s: %d does not come after %d: sizes rise", x.flag, n, x.list[i-1])
			}
		}
	}
	switch {
	case len(k.Sidecars) == 0:
		return errors.New("--sidecars: no sizes are given")
	case k.Seeds < 1 || k.Parallel < 1:
		return fmt.Errorf("--seeds and --beside: %d and %d are not both above 0", k.Seeds, k.Parallel)
	case len(k.Servers) > 0 && slices.Max(k.Sidecars)*slices.Max(k.Servers) > maxSweepProduct:
		return fmt.Errorf("%d sidecars with %d servers are more than the lab holds: %d together at most", slices.Max(k.Sidecars),
			slices.Max(k.Servers), maxSweepProduct)
	}
	return nil
}

func (k *sweepCommand) Run(ctx context.Context, c *console) error {
	if err := k.check(); err != nil {
		return err
	}
	base, err := readScenario(k.Scenario, "sim")
	if err != nil {
		return err
	}
	servers := k.Servers
	if len(servers) == 0 {
		servers = []int{base.Total()}
	}
	var rows []*sweepRow
	type job struct {
		row  *sweepRow
		seed uint64
	}
	var jobs []job
	for _, m := range servers {
		for _, n := range k.Sidecars {
			s, err := readScenario(k.Scenario, "sim") // what cannot be played at a size is said before anything is
			if err == nil {
				err = errors.Join(s.SetServers(m), s.SetSidecars(n))
			}
			if err != nil {
				return fmt.Errorf("%d sidecars, %d servers: %w", n, m, err)
			}
			row := &sweepRow{Sidecars: n, Servers: m, Mean: map[string]float64{}, Min: map[string]float64{}, Max: map[string]float64{},
				values: map[string][]float64{}}
			rows = append(rows, row)
			for i := range uint64(k.Seeds) {
				jobs = append(jobs, job{row, k.Seed + i})
			}
		}
	}
	show := c.count("sweep")
	results := make([]*figures.Result, len(jobs))
	faults := make([]error, len(jobs))
	slots := make(chan struct{}, k.Parallel)
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for i, j := range jobs {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			s, err := readScenario(k.Scenario, "sim")
			if err == nil {
				err = errors.Join(s.SetServers(j.row.Servers), s.SetSidecars(j.row.Sidecars))
			}
			if err == nil {
				results[i], err = sim.Run(ctx, s, sim.Options{Seed: j.seed})
			}
			faults[i] = err
			mu.Lock()
			defer mu.Unlock()
			done++
			show(done, len(jobs))
		})
	}
	wg.Wait()
	c.clear()
	if err := errors.Join(faults...); err != nil {
		return err
	}
	bad := false
	for i, j := range jobs { // in the order of the seeds, whichever ended first
		bad = j.row.add(results[i]) || bad
	}
	for _, r := range rows {
		r.summarize()
	}
	if k.JSON != "" {
		if err := writeJSON(k.JSON, rows, c.out); err != nil || k.JSON == "-" {
			return err
		}
	}
	if err := printSweep(c, rows); err != nil {
		return err
	}
	if bad {
		return errRunFailed
	}
	return nil
}

// add adds a run, and says whether it broke a rule or missed a figure.
func (r *sweepRow) add(x *figures.Result) (bad bool) {
	r.Runs++
	if !x.Verdict.Kept() {
		r.Broken++
	}
	if len(r.Missed) == 0 {
		r.Missed = x.Missed
	}
	for name, v := range x.Figures {
		r.values[name] = append(r.values[name], v)
	}
	return !x.Verdict.Kept() || len(x.Missed) > 0
}

func (r *sweepRow) summarize() {
	for name, all := range r.values {
		sum := 0.0
		for _, v := range all {
			sum += v
		}
		r.Mean[name], r.Min[name], r.Max[name] = sum/float64(len(all)), slices.Min(all), slices.Max(all)
	}
}

// sweepFigures are the figures of the table, in order.
var sweepFigures = []string{"service", "refused", "failed", "p99_ms", "connects_per_task", "probes_per_task", "probes_mean", "probes_worst",
	"handshakes_mean", "handshakes_worst", "connections_mean", "connections_worst", "shut_mean", "shut_worst", "cold_mean", "cold_worst", "ramp_mean", "ramp_worst", "ramp_falls", "ramp_falls_told", "calls_mean",
	"calls_worst", "calls_failed", "call_wait_mean_ms", "call_wait_worst_ms"}

func printSweep(c *console, rows []*sweepRow) error {
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	head := func(name string, of func(*sweepRow) string) {
		fmt.Fprintf(w, "%s\t", name)
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t", of(r))
		}
		fmt.Fprintln(w)
	}
	head("sidecars", func(r *sweepRow) string { return strconv.Itoa(r.Sidecars) })
	head("servers", func(r *sweepRow) string { return strconv.Itoa(r.Servers) })
	head("runs, broken", func(r *sweepRow) string { return fmt.Sprintf("%d, %d", r.Runs, r.Broken) })
	for _, name := range sweepFigures {
		head(name, func(r *sweepRow) string { return strconv.FormatFloat(r.Mean[name], 'g', 3, 64) })
		if name == "service" {
			head("over seeds", func(r *sweepRow) string { return fmt.Sprintf("%.3f..%.3f", r.Min[name], r.Max[name]) })
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	printGrowth(c, rows)
	for _, r := range rows {
		for _, m := range r.Missed {
			fmt.Fprintf(c.out, "%d sidecars, %d servers: missed: %s\n", r.Sidecars, r.Servers, m)
		}
	}
	return nil
}

// printGrowth prints by which power of the sidecars a figure grows, from the least to the greatest number of them,
// and by which of the servers.
func printGrowth(c *console, rows []*sweepRow) {
	at := func(n, m int) *sweepRow {
		for _, r := range rows {
			if r.Sidecars == n && r.Servers == m {
				return r
			}
		}
		return nil
	}
	first, last := rows[0], rows[len(rows)-1]
	power := func(name string, a, b *sweepRow, x, y int) string {
		u, v := a.Mean[name], b.Mean[name]
		if x == y || !(u > 0) || !(v > 0) {
			return "-"
		}
		return fmt.Sprintf("%+.2f", math.Log(v/u)/math.Log(float64(y)/float64(x)))
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "\ngrows by the power\tof sidecars, %d servers", first.Servers)
	more := last.Servers != first.Servers
	if more {
		fmt.Fprintf(w, "\tof sidecars, %d servers\tof servers, %d sidecars", last.Servers, last.Sidecars)
	}
	fmt.Fprintln(w)
	for _, name := range sweepFigures {
		fmt.Fprintf(w, "%s\t%s", name, power(name, first, at(last.Sidecars, first.Servers), first.Sidecars, last.Sidecars))
		if more {
			fmt.Fprintf(w, "\t%s\t%s", power(name, at(first.Sidecars, last.Servers), last, first.Sidecars, last.Sidecars),
				power(name, at(last.Sidecars, first.Servers), last, first.Servers, last.Servers))
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}
