package main

import (
	"context"
	"encoding/json"
	"fmt"

	"birchmoor/internal/lab/storesim"
)

type storeSim struct {
	Seeds    int    `help:"Number of seeds." default:"100"`
	Seed     uint64 `help:"First seed." default:"0"`
	Defect   string `name:"plant" help:"Inject a defect, and count the seeds until it is found; list prints the names." placeholder:"NAME"`
	Replicas int    `help:"Number of replicas at the start." default:"3"`
	Ops      int    `help:"Number of requests of each client." default:"60"`
	Faults   int    `help:"Number of faults in a run." default:"24"`
	Gap      int    `help:"Milliseconds of virtual time between two faults." default:"300"`
	Mixed    bool   `help:"Start all hosts with a build of command level 1, and switch hosts one by one to the current build and back."`
	JSON     bool   `help:"Print a line of JSON for each run."`
}

func (k *storeSim) Help() string {
	return `Exit code 1 if a guarantee of the store was violated; with --plant, if the defect was not found.

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
		for _, defect := range storesim.InjectedDefects {
			fmt.Fprintf(c.out, "%-18s %s\n", defect.Name, defect.About)
		}
		return nil
	}
	for _, defect := range storesim.InjectedDefects {
		if defect.Name == k.Defect {
			options.ReplicaDefects, options.DaemonDefect = defect.Fault, defect.Watch
		}
	}
	if k.Defect != "" && options.ReplicaDefects == 0 && options.DaemonDefect == storesim.NoDaemonDefect {
		return unknownDefectError(k.Defect)
	}
	return k.runSeeds(ctx, c, options)
}

// runSeeds runs the seeds one after the other and prints a summary. With an injected defect it ends at the first seed
// that finds the defect, and returns errRunFailed if none does.
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
			fmt.Fprintf(c.errOut, "%s: found by seed %d, after %d\n", k.Defect, r.Seed, i+1)
			return nil
		}
	}
	fmt.Fprintf(c.errOut, "%d seeds, %d broken: %d requests, %d crashes, %d partitions, %d leaders, %d members added,"+
		" %d removed, %d snapshots installed\n",
		k.Seeds, broken, sum.Ops, sum.Crashes, sum.Cuts, sum.Elected, sum.Joined, sum.Left, sum.Installs)
	fmt.Fprintf(c.errOut, "drains: %d reported, %d ended; %d requests sent to servers;"+
		" %d changes of a host's build\n",
		sum.DrainsReported, sum.DrainsEnded, sum.RequestsSent, sum.BuildChanges)
	if broken > 0 || k.Defect != "" {
		return errRunFailed
	}
	return nil
}

// addStoreResult adds the printed counts of a run to sum.
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
