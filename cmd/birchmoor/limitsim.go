package main

import (
	"context"
	"encoding/json"
	"fmt"

	"birchmoor/internal/lab/limitsim"
)

type limitSim struct {
	Seeds    int     `help:"So many." default:"100"`
	Seed     uint64  `help:"The first." default:"0"`
	Sidecars int     `help:"Of the fleet." default:"8"`
	Faults   int     `help:"That are caused in a run." default:"48"`
	Load     float64 `help:"What is asked, by what limits let through; 0: 3 or 1.5 by the seed."`
	Calm     bool    `help:"No faults, to count what limits cost the store."`
	Busy     bool    `help:"At the end all but one become quiet: how long until that has four fifths of a limit."`
	Even     bool    `help:"All sidecars ask the same, and it does not move."`
	Defect   string  `name:"plant" help:"Put a fault in, and count the seeds until it is found; list names them, all tries each." placeholder:"NAME"`
	JSON     bool    `help:"A line of JSON for each run."`
}

func (k *limitSim) Help() string {
	return `Sidecars share a rate with parts, a window, so many at once, and limits that are fair or open without the store, in virtual time: each with a
clock of its own, stopped, killed, cut one way, with answers that come late or never, while demand moves and comes in bursts. What servers
see is judged in true time at each request. Exit code 1 if a limit was passed or of no use afterwards; with --plant, if the fault was not found.

Examples:
  birchmoor limit sim --seeds 500
  birchmoor limit sim --plant all
  birchmoor limit sim --sidecars 300 --calm --seeds 2`
}

// maxSimSidecars bounds the fleet of limit sim.
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
		for _, f := range limitsim.InjectedDefects {
			fmt.Fprintf(c.out, "%-22s %s\n", f.Name, f.About)
		}
		return nil
	}
	return k.findDefects(ctx, c, options)
}

// findDefects injects the defects that --plant names, one after the other, and fails if one is not found.
func (k *limitSim) findDefects(ctx context.Context, c *console, options limitsim.Options) error {
	missed, known := false, k.Defect == allDefects
	for _, f := range limitsim.InjectedDefects {
		if k.Defect != allDefects && k.Defect != f.Name {
			continue
		}
		known = true
		options.Defects = f.Defects
		broken, err := k.firstBroken(ctx, options)
		if err != nil {
			return err
		}
		outcome := fmt.Sprintf("not found in %d seeds", k.Seeds)
		if broken != nil {
			outcome = fmt.Sprintf("found by seed %d, after %d: %s", broken.Seed, broken.Seed-k.Seed+1, broken.Broken[0])
		}
		missed = missed || broken == nil
		fmt.Fprintf(c.out, "%s: %s\n", f.Name, outcome)
	}
	switch {
	case !known:
		return unknownDefectError(k.Defect)
	case missed:
		return errRunFailed
	}
	return nil
}

// firstBroken returns the result of the first seed that passes a limit, or nil.
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

// runSeeds runs the seeds and prints their results in order, and their sum.
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
			fmt.Fprintf(c.err, "seed %d: %q\n", r.Seed, r.Broken)
		}
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if k.Busy {
		fmt.Fprintf(c.err, "until the busy one had four fifths: %v ms\n", busy)
	}
	n := float64(max(1, k.Seeds))
	fmt.Fprintf(c.err, "%d seeds, %d broken: %d asked, %d let through; %d stops, %d kills, %d cuts, %d dividers;"+
		" servers saw %.2f of a strict limit at most; once calm %.2f of the rate was used,"+
		" and the log took %.0f entries and %.0f bytes a second\n",
		k.Seeds, broken, sum.Requests, sum.Admitted, sum.Stops, sum.Kills, sum.Cuts, sum.Allocators, sum.MaxUse,
		sum.Use/n, sum.EntriesPerS/n, sum.BytesPerS/n)
	if broken > 0 {
		return errRunFailed
	}
	return nil
}

// addLimitResult adds the counts and rates of a run to sum; of Near it takes the greater.
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
