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
	o := storesim.Options{Replicas: k.Replicas, Ops: k.Ops, Faults: k.Faults, Gap: k.Gap, Mixed: k.Mixed}
	for _, f := range storesim.Faults {
		if k.Defect == "list" {
			fmt.Fprintf(c.out, "%-18s %s\n", f.Name, f.About)
		} else if f.Name == k.Defect {
			o.Planted, o.Watch = f.Fault, f.Watch
		}
	}
	if k.Defect == "list" {
		return nil
	}
	if k.Defect != "" && o.Planted == 0 && o.Watch == storesim.WatchNone {
		return fmt.Errorf("--plant %q is not a fault: list names them", k.Defect)
	}
	broken := 0
	var sum storesim.Result
	enc := json.NewEncoder(c.out)
	for i := range uint64(k.Seeds) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r := storesim.Run(k.Seed+i, o)
		sum.Ops, sum.Crashes, sum.Cuts, sum.Elected = sum.Ops+r.Ops, sum.Crashes+r.Crashes, sum.Cuts+r.Cuts, sum.Elected+r.Elected
		sum.Told, sum.Over, sum.Sent, sum.Steps = sum.Told+r.Told, sum.Over+r.Over, sum.Sent+r.Sent, sum.Steps+r.Steps
		sum.Joined, sum.Left, sum.Installs = sum.Joined+r.Joined, sum.Left+r.Left, sum.Installs+r.Installs
		if k.JSON {
			if err := enc.Encode(r); err != nil {
				return err
			}
		}
		if len(r.Broken) > 0 {
			broken++
			if !k.JSON {
				fmt.Fprintf(c.out, "seed %d: %q\n", r.Seed, r.Broken)
			}
			if k.Defect != "" {
				fmt.Fprintf(c.err, "%s: found by seed %d, after %d\n", k.Defect, r.Seed, i+1)
				return nil
			}
		}
	}
	fmt.Fprintf(c.err, "%d seeds, %d broken: %d requests, %d crashes, %d cuts, %d leaders, %d joined, %d left, %d snapshots installed\n",
		k.Seeds, broken, sum.Ops, sum.Crashes, sum.Cuts, sum.Elected, sum.Joined, sum.Left, sum.Installs)
	fmt.Fprintf(c.err, "drains: %d changes that tell of one, %d ends; %d requests sent to servers; %d changes of a host's build\n", sum.Told, sum.Over,
		sum.Sent, sum.Steps)
	if broken > 0 || k.Defect != "" {
		return errRunFailed
	}
	return nil
}
