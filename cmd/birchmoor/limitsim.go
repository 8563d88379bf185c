package main

import (
	"context"
	"encoding/json"
	"fmt"

	"birchmoor/internal/lab/limitsim"
)

type limitSim struct {
	Seeds    int     `help:"Number of seeds." default:"100"`
	Seed     uint64  `help:"First seed." default:"0"`
	Sidecars int     `help:"Number of sidecars." default:"8"`
	Faults   int     `help:"Number of faults in a run." default:"48"`
	Load     float64 `help:"Demand relative to what the limits admit; 0: 3 or 1.5, depending on the seed."`
	Calm     bool    `help:"Inject no faults, to measure the load that limits put on the store."`
	Busy     bool    `help:"At the end, let all sidecars but one become idle, and measure the time until that one has four fifths of a limit."`
	Even     bool    `help:"Give all sidecars the same, constant demand."`
	Defect   string  `name:"plant" help:"Inject a defect, and count the seeds until it is found; list prints the names, all tries each." placeholder:"NAME"`
	JSON     bool    `help:"Print a line of JSON for each run."`
}

func (k *limitSim) Help() string {
	return `Simulates sidecars that share limits in virtual time: a rate with parts, an amount per window, a number of
requests at once, and limits that become fair or open without the store. Each sidecar has its own clock. Sidecars are
stopped, killed and cut off in one direction, replies come late or never, and demand moves and comes in bursts. The
requests that servers see are checked against the limits in true time. Exit code 1 if a limit was exceeded, or could not
be used after the faults; with --plant, if the defect was not found.

Examples:
  birchmoor limit sim --seeds 500
  birchmoor limit sim --plant all
  birchmoor limit sim --sidecars 300 --calm --seeds 2`
}

// maxSimSidecars is the maximum value of --sidecars.
const maxSimSidecars = 5000

func (k *limitSim) Run(ctx context.Context, c *console) error {
	if err := checkSeeds(k.Seeds); err != nil {
		return err
	}
	if k.Sidecars < 1 || k.Sidecars > maxSimSidecars {
		return fmt.Errorf("--sidecars: %d is not within 1 and %d", k.Sidecars, maxSimSidecars)
	}
	options := limitsim.Options{
		Sidecars: k.Sidecars,
		Faults:   k.Faults,
		Load:     k.Load,
		Calm:     k.Calm,
		Even:     k.Even,
		Busy:     k.Busy,
	}
	switch k.Defect {
	case "":
		return k.runSeeds(ctx, c, options)
	case listDefects:
		for _, defect := range limitsim.InjectedDefects {
			fmt.Fprintf(c.out, "%-22s %s\n", defect.Name, defect.About)
		}
		return nil
	}
	return k.findDefects(ctx, c, options)
}

// findDefects injects the defects that --plant names one after the other, and returns errRunFailed if one of them is
// not found.
func (k *limitSim) findDefects(ctx context.Context, c *console, options limitsim.Options) error {
	missed, known := false, k.Defect == allDefects
	for _, defect := range limitsim.InjectedDefects {
		if k.Defect != allDefects && k.Defect != defect.Name {
			continue
		}
		known = true
		options.Defects = defect.Defects
		broken, err := k.firstBroken(ctx, options)
		if err != nil {
			return err
		}
		outcome := fmt.Sprintf("not found in %d seeds", k.Seeds)
		if broken != nil {
			outcome = fmt.Sprintf("found by seed %d, after %d: %s", broken.Seed, broken.Seed-k.Seed+1, broken.Broken[0])
		}
		missed = missed || broken == nil
		fmt.Fprintf(c.out, "%s: %s\n", defect.Name, outcome)
	}
	switch {
	case !known:
		return unknownDefectError(k.Defect)
	case missed:
		return errRunFailed
	}
	return nil
}

// firstBroken returns the result of the first seed whose run breaks a rule, or nil if none does.
func (k *limitSim) firstBroken(ctx context.Context, options limitsim.Options) (*limitsim.Result, error) {
	for i := range uint64(k.Seeds) {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		r := limitsim.Run(k.Seed+i, options)
		if len(r.Broken) > 0 {
			return &r, nil
		}
	}
	return nil, nil
}

// runSeeds runs all seeds, and prints their results in the order of the seeds and then a summary.
func (k *limitSim) runSeeds(ctx context.Context, c *console, options limitsim.Options) error {
	var sum limitsim.Result
	var busy []int64
	broken, enc := 0, json.NewEncoder(c.out)
	run := func(seed uint64) limitsim.Result { return limitsim.Run(seed, options) }
	for r := range seedResults(ctx, k.Seed, k.Seeds, run) {
		if k.JSON {
			if err := enc.Encode(r); err != nil {
				return err
			}
		}
		addLimitResult(&sum, &r)
		busy = append(busy, r.BusyMs)
		if len(r.Broken) > 0 {
			broken++
			fmt.Fprintf(c.errOut, "seed %d: %q\n", r.Seed, r.Broken)
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if k.Busy {
		fmt.Fprintf(c.errOut, "until the busy sidecar had four fifths of a limit: %v ms\n", busy)
	}
	n := float64(max(1, k.Seeds))
	fmt.Fprintf(c.errOut,
		"%d seeds, %d broken: %d requests, %d admitted; %d stops, %d kills, %d partitions, %d allocators;"+
			" servers saw at most %.2f of a strict limit; after the faults %.2f of the rate was used,"+
			" and the log grew by %.0f entries and %.0f bytes per second\n",
		k.Seeds, broken, sum.Requests, sum.Admitted, sum.Stops, sum.Kills, sum.Cuts, sum.Allocators, sum.MaxUse,
		sum.Use/n, sum.EntriesPerS/n, sum.BytesPerS/n)
	if broken > 0 {
		return errRunFailed
	}
	return nil
}

// addLimitResult adds the counts and rates of a run to sum. It sets Near to the maximum.
func addLimitResult(sum, r *limitsim.Result) {
	sum.Requests += r.Requests
	sum.Admitted += r.Admitted
	sum.Stops += r.Stops
	sum.Kills += r.Kills
	sum.Cuts += r.Cuts
	sum.Allocators += r.Allocators
	sum.MaxUse = max(sum.MaxUse, r.MaxUse)
	sum.Use += r.Use
	sum.EntriesPerS += r.EntriesPerS
	sum.BytesPerS += r.BytesPerS
}
