package main

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"

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

func (k *limitSim) Run(ctx context.Context, c *console) error {
	o := limitsim.Options{Sidecars: k.Sidecars, Faults: k.Faults, Load: k.Load, Calm: k.Calm, Even: k.Even, Busy: k.Busy}
	if k.Sidecars < 1 || k.Sidecars > 5000 {
		return fmt.Errorf("--sidecars: %d is not within 1 and 5000", k.Sidecars)
	}
	if k.Defect == "" {
		return k.runSeeds(ctx, c, o)
	}
	missed, known := false, k.Defect == "all" || k.Defect == "list"
	for _, f := range limitsim.Faults {
		if k.Defect == "list" {
			fmt.Fprintf(c.out, "%-22s %s\n", f.Name, f.About)
		}
		if k.Defect != "all" && k.Defect != f.Name {
			continue
		}
		known = true
		o.Plant = f.Plant
		found := ""
		for i := range uint64(k.Seeds) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if r := limitsim.Run(k.Seed+i, o); len(r.Broken) > 0 {
				found = fmt.Sprintf("found by seed %d, after %d: %s", r.Seed, i+1, r.Broken[0])
				break
			}
		}
		if found == "" {
			found, missed = fmt.Sprintf("not found in %d seeds", k.Seeds), true
		}
		fmt.Fprintf(c.out, "%s: %s\n", f.Name, found)
	}
	switch {
	case !known:
		return fmt.Errorf("--plant %q is not a fault: list names them", k.Defect)
	case missed:
		return errRunFailed
	}
	return nil
}

// runSeeds runs seeds side by side, and tells them in order.
func (k *limitSim) runSeeds(ctx context.Context, c *console, o limitsim.Options) error {
	results := make([]chan limitsim.Result, k.Seeds)
	room := make(chan struct{}, runtime.NumCPU())
	var working sync.WaitGroup
	defer working.Wait()
	for i := range results {
		results[i] = make(chan limitsim.Result, 1)
	}
	stop, cancel := context.WithCancel(ctx)
	defer cancel()
	working.Go(func() {
		for i := range results {
			select {
			case room <- struct{}{}:
			case <-stop.Done():
				return
			}
			working.Go(func() {
				results[i] <- limitsim.Run(k.Seed+uint64(i), o)
				<-room
			})
		}
	})
	broken, enc := 0, json.NewEncoder(c.out)
	var asked, let, stops, kills, cuts, dividers int
	var busy []int64
	var near, use, entries, bytes float64
	for _, one := range results {
		var r limitsim.Result
		select {
		case r = <-one:
		case <-ctx.Done():
			return ctx.Err()
		}
		if k.JSON {
			if err := enc.Encode(r); err != nil {
				return err
			}
		}
		asked, let, stops, kills, cuts, dividers = asked+r.Asked, let+r.Let, stops+r.Stops, kills+r.Kills, cuts+r.Cuts, dividers+r.Dividers
		near, use, entries, bytes = max(near, r.Near), use+r.Use, entries+r.EntriesS, bytes+r.BytesS
		busy = append(busy, r.BusyMs)
		if len(r.Broken) > 0 {
			broken++
			fmt.Fprintf(c.err, "seed %d: %q\n", r.Seed, r.Broken)
		}
	}
	if k.Busy {
		fmt.Fprintf(c.err, "until the busy one had four fifths: %v ms\n", busy)
	}
	n := float64(max(1, k.Seeds))
	fmt.Fprintf(c.err, "%d seeds, %d broken: %d asked, %d let through; %d stops, %d kills, %d cuts, %d dividers; servers saw %.2f of a strict limit at most; once calm %.2f of the rate was used, and the log took %.0f entries and %.0f bytes a second\n",
		k.Seeds, broken, asked, let, stops, kills, cuts, dividers, near, use/n, entries/n, bytes/n)
	if broken > 0 {
		return errRunFailed
	}
	return nil
}
