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

	"birchmoor/internal/lab/scenario"

	"birchmoor/internal/lab/figures"
	"birchmoor/internal/lab/sim"
)

type sweepCommand struct {
	Scenario string `arg:"" type:"existingfile" help:"Scenario file, such as lab/scenarios/herd.toml."`
	Sidecars []int  `help:"Numbers of sidecars to run, in rising order." default:"4,20,80" placeholder:"N,..."`
	Servers  []int  `help:"Numbers of servers to run, in rising order. The share of each kind of server and the load per server stay the same." placeholder:"N,..."`
	Seeds    int    `help:"Number of runs of each size." default:"4"`
	Seed     uint64 `help:"First seed." default:"1"`
	Parallel int    `name:"beside" help:"Number of runs at once." default:"4"`
	JSON     string `help:"File for the result as JSON; - for standard output." placeholder:"FILE"`
}

func (k *sweepCommand) Help() string {
	return `Runs a scenario at several sizes in virtual time, and prints each figure of the fleet at each size. A second
table shows the exponent with which a figure grows with the number of sidecars (0: not at all, 1: in proportion), at the
smallest and at the largest number of servers. Exit code 1 if a run broke a rule or missed a figure that its scenario
demands.

Examples:
  birchmoor lab sweep lab/scenarios/herd.toml --sidecars 4,20,80,320
  birchmoor lab sweep lab/scenarios/join.toml --sidecars 20,80 --servers 20,60,180 --seeds 8`
}

const (
	maxSweepSidecars = 10_000
	maxSweepServers  = 2_000
	maxSweepProduct  = 2_000_000 // sidecars times servers, since each sidecar keeps state for each server
)

// sweepRow holds the results of the runs of one size. It is a row of the JSON and a column of the table.
type sweepRow struct {
	Sidecars int                  `json:"sidecars"`
	Servers  int                  `json:"servers"`
	Runs     int                  `json:"runs"`
	Broken   int                  `json:"runs_that_broke_rules"`
	Missed   []string             `json:"missed,omitempty"` // missed figures of the first run that missed any
	Mean     map[string]float64   `json:"mean"`
	Min      map[string]float64   `json:"least"`
	Max      map[string]float64   `json:"most"`
	values   map[string][]float64 // the value of each run, by figure
}

func newSweepRow(sidecars, servers int) *sweepRow {
	return &sweepRow{
		Sidecars: sidecars,
		Servers:  servers,
		Mean:     map[string]float64{},
		Min:      map[string]float64{},
		Max:      map[string]float64{},
		values:   map[string][]float64{},
	}
}

// scenario reads the scenario from a file and sets its numbers of servers and sidecars to the row's size.
func (r *sweepRow) scenario(path string) (*scenario.Scenario, error) {
	s, err := readScenario(path, "sim")
	if err != nil {
		return nil, err
	}
	return s, errors.Join(s.SetServers(r.Servers), s.SetSidecars(r.Sidecars))
}

// check returns an error if a flag is out of range.
func (k *sweepCommand) check() error {
	if err := checkSizes("--sidecars", k.Sidecars, maxSweepSidecars); err != nil {
		return err
	}
	if err := checkSizes("--servers", k.Servers, maxSweepServers); err != nil {
		return err
	}
	switch {
	case len(k.Sidecars) == 0:
		return errors.New("--sidecars: no sizes given")
	case k.Seeds < 1 || k.Parallel < 1:
		return fmt.Errorf("--seeds and --beside: %d and %d are not both above 0", k.Seeds, k.Parallel)
	case len(k.Servers) > 0 && slices.Max(k.Sidecars)*slices.Max(k.Servers) > maxSweepProduct:
		return fmt.Errorf("%d sidecars times %d servers are more than the lab holds: their product is limited to %d",
			slices.Max(k.Sidecars), slices.Max(k.Servers), maxSweepProduct)
	}
	return nil
}

// checkSizes returns an error unless sizes are in rising order and within 1 and limit.
func checkSizes(flag string, sizes []int, limit int) error {
	for i, n := range sizes {
		if n < 1 || n > limit {
			return fmt.Errorf("%s: %d is not within 1 and %d", flag, n, limit)
		}
		if i > 0 && n <= sizes[i-1] {
			return fmt.Errorf("%s: %d does not come after %d: sizes must rise", flag, n, sizes[i-1])
		}
	}
	return nil
}

func (k *sweepCommand) Run(ctx context.Context, c *console) error {
	if err := k.check(); err != nil {
		return err
	}
	rows, err := k.rows()
	if err != nil {
		return err
	}
	failed, err := k.runAll(ctx, c, rows)
	if err != nil {
		return err
	}
	if k.JSON != "" {
		err := writeJSON(k.JSON, rows, c.out)
		if err != nil || k.JSON == "-" {
			return err
		}
	}
	if err := printSweep(c, rows); err != nil {
		return err
	}
	if failed {
		return errRunFailed
	}
	return nil
}

// rows returns an empty row for each size, and an error if the scenario does not support one of them.
func (k *sweepCommand) rows() ([]*sweepRow, error) {
	base, err := readScenario(k.Scenario, "sim")
	if err != nil {
		return nil, err
	}
	servers := k.Servers
	if len(servers) == 0 {
		servers = []int{base.ServerCount()}
	}
	var rows []*sweepRow
	for _, serverCount := range servers {
		for _, sidecarCount := range k.Sidecars {
			row := newSweepRow(sidecarCount, serverCount)
			if _, err := row.scenario(k.Scenario); err != nil {
				return nil, fmt.Errorf("%d sidecars, %d servers: %w", sidecarCount, serverCount, err)
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// sweepJob is one run of a sweep, with its result or error.
type sweepJob struct {
	row    *sweepRow
	seed   uint64
	result *figures.Result
	err    error
}

func (j *sweepJob) run(ctx context.Context, path string) {
	s, err := j.row.scenario(path)
	if err != nil {
		j.err = err
		return
	}
	j.result, j.err = sim.Run(ctx, s, sim.Options{Seed: j.seed})
}

// runAll runs all seeds of all rows, up to --beside of them at once, and adds their results to the rows. It reports
// whether a run broke a rule or missed a figure.
func (k *sweepCommand) runAll(ctx context.Context, c *console, rows []*sweepRow) (failed bool, err error) {
	var jobs []*sweepJob
	for _, row := range rows {
		for i := range uint64(k.Seeds) {
			jobs = append(jobs, &sweepJob{row: row, seed: k.Seed + i})
		}
	}
	showProgress := c.runsProgress("sweep")
	slots := make(chan struct{}, k.Parallel)
	var running sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for _, job := range jobs {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			job.run(ctx, k.Scenario)
			mu.Lock()
			defer mu.Unlock()
			done++
			showProgress(done, len(jobs))
		})
	}
	running.Wait()
	c.clear()
	var errs []error
	for _, job := range jobs {
		errs = append(errs, job.err)
	}
	if err := errors.Join(errs...); err != nil {
		return false, err
	}
	for _, job := range jobs { // in the order of the seeds, so that the output does not depend on which ended first
		bad := job.row.add(job.result)
		failed = failed || bad
	}
	for _, row := range rows {
		row.summarize()
	}
	return failed, nil
}

// add adds the result of a run, and reports whether the run broke a rule or missed a figure.
func (r *sweepRow) add(result *figures.Result) (failed bool) {
	r.Runs++
	if !result.Verdict.Passed() {
		r.Broken++
	}
	if len(r.Missed) == 0 {
		r.Missed = result.Missed
	}
	for name, v := range result.Figures {
		r.values[name] = append(r.values[name], v)
	}
	return !result.Verdict.Passed() || len(result.Missed) > 0
}

// summarize sets the mean, minimum and maximum of each figure over all runs.
func (r *sweepRow) summarize() {
	for name, values := range r.values {
		sum := 0.0
		for _, v := range values {
			sum += v
		}
		r.Mean[name] = sum / float64(len(values))
		r.Min[name] = slices.Min(values)
		r.Max[name] = slices.Max(values)
	}
}

// sweepFigures are the figures in the tables, in order.
var sweepFigures = []string{
	"service", "refused", "failed", "p99_ms", "connects_per_task", "probes_per_task", "probes_mean", "probes_worst",
	"handshakes_mean", "handshakes_worst", "connections_mean", "connections_worst", "shut_mean", "shut_worst",
	"cold_mean", "cold_worst", "ramp_mean", "ramp_worst", "ramp_falls", "ramp_falls_told", "calls_mean", "calls_worst",
	"calls_failed", "call_wait_mean_ms", "call_wait_worst_ms",
}

// printSweep prints a table with a column for each size, the growth of the figures, and the missed figures.
func printSweep(c *console, rows []*sweepRow) error {
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', tabwriter.AlignRight)
	printLine := func(name string, cell func(*sweepRow) string) {
		fmt.Fprintf(w, "%s\t", name)
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t", cell(r))
		}
		fmt.Fprintln(w)
	}
	printLine("sidecars", func(r *sweepRow) string { return strconv.Itoa(r.Sidecars) })
	printLine("servers", func(r *sweepRow) string { return strconv.Itoa(r.Servers) })
	printLine("runs, broken", func(r *sweepRow) string { return fmt.Sprintf("%d, %d", r.Runs, r.Broken) })
	for _, name := range sweepFigures {
		printLine(name, func(r *sweepRow) string { return strconv.FormatFloat(r.Mean[name], 'g', 3, 64) })
		if name == "service" {
			printLine("over seeds", func(r *sweepRow) string { return fmt.Sprintf("%.3f..%.3f", r.Min[name], r.Max[name]) })
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if err := printGrowth(c, rows); err != nil {
		return err
	}
	for _, r := range rows {
		for _, m := range r.Missed {
			fmt.Fprintf(c.out, "%d sidecars, %d servers: missed: %s\n", r.Sidecars, r.Servers, m)
		}
	}
	return nil
}

// printGrowth prints the exponents with which each figure grows from the smallest number of sidecars to the largest,
// and from the smallest number of servers to the largest.
func printGrowth(c *console, rows []*sweepRow) error {
	rowOf := func(sidecars, servers int) *sweepRow {
		for _, r := range rows {
			if r.Sidecars == sidecars && r.Servers == servers {
				return r
			}
		}
		return nil
	}
	first, last := rows[0], rows[len(rows)-1]
	lastSidecars := rowOf(last.Sidecars, first.Servers)
	lastServers := rowOf(first.Sidecars, last.Servers)
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "\ngrows by the power\tof sidecars, %d servers", first.Servers)
	severalServers := last.Servers != first.Servers
	if severalServers {
		fmt.Fprintf(w, "\tof sidecars, %d servers\tof servers, %d sidecars", last.Servers, last.Sidecars)
	}
	fmt.Fprintln(w)
	for _, name := range sweepFigures {
		fmt.Fprintf(w, "%s\t%s", name, growthPower(name, first, lastSidecars, first.Sidecars, last.Sidecars))
		if severalServers {
			fmt.Fprintf(w, "\t%s\t%s",
				growthPower(name, lastServers, last, first.Sidecars, last.Sidecars),
				growthPower(name, lastSidecars, last, first.Servers, last.Servers))
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// growthPower returns the exponent p for which the mean of a figure grows from firstRow to lastRow in proportion to
// size^p, or "-" if the sizes are equal or a mean is not above 0.
func growthPower(name string, firstRow, lastRow *sweepRow, firstSize, lastSize int) string {
	firstMean, lastMean := firstRow.Mean[name], lastRow.Mean[name]
	if firstSize == lastSize || !(firstMean > 0) || !(lastMean > 0) { // written so that NaN gives "-"
		return "-"
	}
	return fmt.Sprintf("%+.2f", math.Log(lastMean/firstMean)/math.Log(float64(lastSize)/float64(firstSize)))
}
