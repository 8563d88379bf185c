package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"birchmoor/internal/lab/storesim"
)

type taskSim struct {
	Seeds    int    `help:"So many." default:"100"`
	Seed     uint64 `help:"The first." default:"0"`
	Defect   string `name:"plant" help:"Put a fault in, and count the seeds until it is found; list names them, all tries each." placeholder:"NAME"`
	Replicas int    `help:"At the start." default:"3"`
	Holders  int    `help:"Daemons that want tasks." default:"5"`
	Faults   int    `help:"Faults of the store's that are caused in a run, beside those of holders." default:"24"`
	Gap      int    `help:"Milliseconds of virtual time between two of them." default:"300"`
	TTL      int    `help:"Milliseconds of holders' sessions." default:"400"`
	Calm     bool   `help:"No faults: for two gaps, in the second of which the entries and bytes of the log are counted."`
	JSON     bool   `help:"A line of JSON for each run."`
}

func (k *taskSim) Help() string {
	return `Daemons hold tasks of a cluster in virtual time, each by a clock of its own rate, stopped at any step, killed, with answers that are late
or lost, while replicas crash, lose disks and links, and change. Judged in true time: nobody is entitled beside another, and nothing
takes effect after a higher token. Exit code 1 if a promise was broken; with --plant, if the fault was not found.

Examples:
  birchmoor task sim --seeds 2000
  birchmoor task sim --plant all --seeds 300
  birchmoor task sim --seed 17 --seeds 1 --json
  birchmoor task sim --calm --holders 300 --ttl 5000 --gap 20000 --seeds 1`
}

func (k *taskSim) Run(ctx context.Context, c *console) error {
	if err := checkSeeds(k.Seeds); err != nil {
		return err
	}
	options := storesim.Options{
		Replicas:        k.Replicas,
		Faults:          k.Faults,
		Gap:             k.Gap,
		Holders:         k.Holders,
		Clients:         1,
		Ops:             20,
		HolderTTLMillis: k.TTL,
		Calm:            k.Calm,
	}
	switch k.Defect {
	case "":
		return k.runSeeds(ctx, c, options, "")
	case listDefects:
		for _, f := range storesim.InjectedHolderDefects {
			fmt.Fprintf(c.out, "%-22s %s\n", f.Name, f.About)
		}
		return nil
	}
	return k.findDefects(ctx, c, options)
}

// findDefects injects the defects that --plant names, one after the other, and fails if one is not found.
func (k *taskSim) findDefects(ctx context.Context, c *console, options storesim.Options) error {
	missed := false
	for _, f := range storesim.InjectedHolderDefects {
		if f.Name != k.Defect && k.Defect != allDefects {
			continue
		}
		options.HolderDefects, options.ReplicaDefects = f.Plant, f.Replica
		err := k.runSeeds(ctx, c, options, f.Name)
		if err != nil && !errors.Is(err, errRunFailed) {
			return err
		}
		if k.Defect != allDefects {
			return err // whether it was found has been printed
		}
		missed = missed || err != nil
	}
	switch {
	case missed:
		return errRunFailed
	case k.Defect != allDefects:
		return unknownDefectError(k.Defect)
	}
	return nil
}

// runSeeds runs the seeds and takes their results in order. With a defect it ends with the first seed that finds it.
func (k *taskSim) runSeeds(ctx context.Context, c *console, options storesim.Options, defect string) error {
	enc, broken, n := json.NewEncoder(c.out), 0, 0
	var sum storesim.Result
	run := func(seed uint64) storesim.Result { return storesim.Run(seed, options) }
	for r := range seedResults(ctx, k.Seed, k.Seeds, run) {
		n++
		addTaskResult(&sum, &r)
		if k.JSON {
			if err := enc.Encode(r); err != nil {
				return err
			}
		}
		if len(r.Broken) == 0 {
			continue
		}
		broken++
		if defect != "" {
			fmt.Fprintf(c.out, "%s: found by seed %d, after %d: %s\n", defect, r.Seed, n, r.Broken[0])
			return nil
		}
		fmt.Fprintf(c.err, "seed %d: %q\n", r.Seed, r.Broken)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if defect != "" {
		fmt.Fprintf(c.out, "%s: not found in %d seeds\n", defect, n)
		return errRunFailed
	}
	k.printSum(c, &sum, n, broken)
	if broken > 0 {
		return errRunFailed
	}
	return nil
}

// addTaskResult adds the counts and rates of a run to sum.
func addTaskResult(sum, r *storesim.Result) {
	sum.Actions += r.Actions
	sum.LateActions += r.LateActions
	sum.Crashes += r.Crashes
	sum.Elected += r.Elected
	sum.Entries += r.Entries
	sum.Micros += r.Micros
	sum.EntriesPerS += r.EntriesPerS
	sum.BytesPerS += r.BytesPerS
}

// printSum prints what n seeds came to.
func (k *taskSim) printSum(c *console, sum *storesim.Result, n, broken int) {
	fmt.Fprintf(c.err, "%d seeds, %d broken: %d acts, %d late by processes that had been stopped;"+
		" %d crashes of replicas, %d leaders, %d entries in %.0f s of virtual time\n",
		n, broken, sum.Actions, sum.LateActions, sum.Crashes, sum.Elected, sum.Entries, float64(sum.Micros)/1e6)
	if k.Calm && n > 0 {
		fmt.Fprintf(c.err, "the log took %.1f entries and %.0f bytes a second; by the formula holders take %.1f entries\n",
			sum.EntriesPerS/float64(n), sum.BytesPerS/float64(n), 3000*float64(k.Holders)/float64(k.TTL))
	}
}
