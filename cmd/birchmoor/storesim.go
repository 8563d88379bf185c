package main

import (
	"context"
	"encoding/json"
	"fmt"

	"birchmoor/internal/lab/storesim"
)

type storeSim struct {
	Seeds    int    `help:"So many." default:"100"`
	Seed     uint64 `help:"The first." default:"0"`
	Defect   string `name:"plant" help:"Put a fault in, and count the seeds until it is found; list names them." placeholder:"NAME"`
	Replicas int    `help:"At the start." default:"3"`
	Ops      int    `help:"Requests of each client." default:"60"`
	Faults   int    `help:"Faults that are caused in a run." default:"24"`
	Gap      int    `help:"Milliseconds of virtual time between two of them." default:"300"`
	Mixed    bool   `help:"Hosts begin with a build of level 1 of commands, and go a step up or back in turn."`
	JSON     bool   `help:"A line of JSON for each run."`
}

func (k *storeSim) Help() string {
	return `Exit code 1 if a promise was broken; with --plant, if the fault was not found.

Examples:
  birchmoor store sim --seeds 1000
  birchmoor store sim --seed 106 --seeds 1 --json
  birchmoor store sim --plant stale-read`
}

func (k *storeSim) Run(ctx context.Context, c *console) error {
	if err := checkSeeds(k.Seeds); err != nil {
		return err
	}
	options := storesim.Options{Replicas: k.Replicas, Ops: k.Ops, Faults: k.Faults, Gap: k.Gap, Mixed: k.Mixed}
	if k.Defect == listDefects {
		for _, f := range storesim.InjectedDefects {
			fmt.Fprintf(c.out, "%-18s %s\n", f.Name, f.About)
		}
		return nil
	}
	for _, f := range storesim.InjectedDefects {
		if f.Name == k.Defect {
			options.ReplicaDefects, options.DaemonDefect = f.Fault, f.Watch
		}
	}
	if k.Defect != "" && options.ReplicaDefects == 0 && options.DaemonDefect == storesim.NoDaemonDefect {
		return unknownDefectError(k.Defect)
	}
	return k.runSeeds(ctx, c, options)
}

// runSeeds runs the seeds one after the other and prints their sum. With a defect it ends with the first seed that
// finds it, and fails if none does.
func (k *storeSim) runSeeds(ctx context.Context, c *console, options storesim.Options) error {
	broken := 0
	var sum storesim.Result
	enc := json.NewEncoder(c.out)
	for i := range uint64(k.Seeds) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r := storesim.Run(k.Seed+i, options)
		addStoreResult(&sum, &r)
		if k.JSON {
			if err := enc.Encode(r); err != nil {
				return err
			}
		}
		if len(r.Broken) == 0 {
			continue
		}
		broken++
		if !k.JSON {
			fmt.Fprintf(c.out, "seed %d: %q\n", r.Seed, r.Broken)
		}
		if k.Defect != "" {
			fmt.Fprintf(c.err, "%s: found by seed %d, after %d\n", k.Defect, r.Seed, i+1)
			return nil
		}
	}
	fmt.Fprintf(c.err, "%d seeds, %d broken: %d requests, %d crashes, %d cuts, %d leaders, %d joined, %d left,"+
		" %d snapshots installed\n",
		k.Seeds, broken, sum.Ops, sum.Crashes, sum.Cuts, sum.Elected, sum.Joined, sum.Left, sum.Installs)
	fmt.Fprintf(c.err, "drains: %d changes that tell of one, %d ends; %d requests sent to servers;"+
		" %d changes of a host's build\n",
		sum.DrainsReported, sum.DrainsEnded, sum.RequestsSent, sum.BuildChanges)
	if broken > 0 || k.Defect != "" {
		return errRunFailed
	}
	return nil
}

// addStoreResult adds the counts of a run to sum.
func addStoreResult(sum, r *storesim.Result) {
	sum.Ops += r.Ops
	sum.Crashes += r.Crashes
	sum.Cuts += r.Cuts
	sum.Elected += r.Elected
	sum.DrainsReported += r.DrainsReported
	sum.DrainsEnded += r.DrainsEnded
	sum.RequestsSent += r.RequestsSent
	sum.BuildChanges += r.BuildChanges
	sum.Joined += r.Joined
	sum.Left += r.Left
	sum.Installs += r.Installs
}
