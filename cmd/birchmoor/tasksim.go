package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"birchmoor/internal/lab/storesim"
)

type taskSim struct {
	Seeds    int    `help:"Number of seeds." default:"100"`
	Seed     uint64 `help:"First seed." default:"0"`
	Defect   string `name:"plant" help:"Inject a defect, and count the seeds until it is found; list prints the names, all tries each." placeholder:"NAME"`
	Replicas int    `help:"Number of replicas at the start." default:"3"`
	Holders  int    `help:"Number of daemons that claim tasks." default:"5"`
	Faults   int    `help:"Number of faults of the store in a run, in addition to those of the holders." default:"24"`
	Gap      int    `help:"Milliseconds of virtual time between two faults." default:"300"`
	TTL      int    `help:"TTL of the holders' sessions in milliseconds." default:"400"`
	Calm     bool   `help:"Inject no faults. The run lasts two gaps, and log entries and bytes are counted in the second."`
	JSON     bool   `help:"Print a line of JSON for each run."`
}

func (k *taskSim) Help() string {
	return `Simulates daemons that hold tasks of a cluster in virtual time. Each daemon has a clock with its own rate, is
stopped at any step and killed, and gets replies late or not at all, while replicas crash, lose disks and links, and are
replaced. Checks in true time that no two daemons are entitled to a task at once, and that no action takes effect after
one with a higher token. Exit code 1 if one of these rules was broken; with --plant, if the defect was not found.

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
		for _, defect := range storesim.InjectedHolderDefects {
			fmt.Fprintf(c.out, "%-22s %s\n", defect.Name, defect.About)
		}
		return nil
	}
	return k.findDefects(ctx, c, options)
}

// findDefects injects the defects that --plant names one after the other, and returns errRunFailed if one of them is
// not found.
func (k *taskSim) findDefects(ctx context.Context, c *console, options storesim.Options) error {
	missed := false
	for _, defect := range storesim.InjectedHolderDefects {
		if defect.Name != k.Defect && k.Defect != allDefects {
			continue
		}
		options.HolderDefects, options.ReplicaDefects = defect.Plant, defect.Replica
		err := k.runSeeds(ctx, c, options, defect.Name)
		if err != nil && !errors.Is(err, errRunFailed) {
			return err
		}
		if k.Defect != allDefects {
			return err // runSeeds has printed whether it was found
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

// runSeeds runs the seeds and prints their results in order. If defect names an injected defect, it ends at the first
// seed that finds it, and returns errRunFailed if none does.
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
		fmt.Fprintf(c.errOut, "seed %d: %q\n", r.Seed, r.Broken)
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

// addTaskResult adds the printed counts and rates of a run to sum.
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

// printSum prints a summary of n seeds.
func (k *taskSim) printSum(c *console, sum *storesim.Result, n, broken int) {
	fmt.Fprintf(c.errOut, "%d seeds, %d broken: %d actions, %d late ones by processes that had been stopped;"+
		" %d crashes of replicas, %d leaders, %d log entries in %.0f s of virtual time\n",
		n, broken, sum.Actions, sum.LateActions, sum.Crashes, sum.Elected, sum.Entries, float64(sum.Micros)/1e6)
	if k.Calm && n > 0 {
		fmt.Fprintf(c.errOut,
			"the log grew by %.1f entries and %.0f bytes per second; by the formula holders need %.1f entries per second\n",
			sum.EntriesPerS/float64(n), sum.BytesPerS/float64(n), 3000*float64(k.Holders)/float64(k.TTL))
	}
}
