package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"birchmoor/internal/lab/tasklab"
)

type taskTorture struct {
	Dir           string        `help:"Folder for what it writes." default:"." type:"existingdir"`
	Duration      time.Duration `name:"for" help:"Long." default:"1m"`
	FaultInterval time.Duration `name:"every" help:"A blow." default:"1s"`
	Replicas      int           `help:"Daemons with a replica." default:"3"`
	Followers     int           `name:"follow" help:"Daemons without one." default:"2"`
	Holders       int           `help:"Locks at each daemon." default:"2"`
	TTL           time.Duration `help:"Of the locks." default:"2s"`
	Seed          uint64        `help:"Of what is done to whom." default:"1"`
	OnlyFault     string        `name:"only" help:"Blows of this kind alone, each once all is calm, to measure the time until the next holder acts: holder-killed, holder-stopped, moved and others." placeholder:"KIND"`
	Schedule      string        `name:"play" help:"Play this schedule in place of one drawn from the seed." type:"existingfile" placeholder:"FILE"`
	KeepDir       string        `name:"keep" help:"When a promise broke, leave schedule, history and logs in a folder here." type:"existingdir" placeholder:"DIR"`
	Shrink        bool          `help:"When a promise broke, leave blows out for as long as one still breaks, and print the rest as a schedule."`
	OldProgram    string        `name:"old" help:"An older build of this program, for daemons to be started with now and then." type:"existingfile" placeholder:"FILE"`
	Defect        string        `name:"plant" help:"A fault of the program, which must be built with -tags planted: order-ignored, deadline-ignored, kept-late, released-first, rate-ignored, read-stale." placeholder:"NAME"`
	JSON          bool          `help:"As JSON."`
}

func (k *taskTorture) Help() string {
	return `Locks run actors that act upon a stand-in, which judges: no action takes effect after one with a higher token where tokens are
checked, and none anywhere but of actors that were themselves stopped; and what is read and written at all daemons is what one
copy could have given. Built with -tags planted, clocks of hosts run 10% apart, and disks fail their syncs as well. Exit code 1 if a promise broke.

Example:
  birchmoor task torture --for 10m --seed 7 --json`
}

func (k *taskTorture) Run(ctx context.Context, c *console) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if k.Defect != "" && !isDefectBuild {
		return errNoDefectBuild
	}
	t := tasklab.FaultRun{
		Program:          self,
		Dir:              k.Dir,
		Replicas:         k.Replicas,
		Followers:        k.Followers,
		Holders:          k.Holders,
		TTL:              k.TTL,
		Duration:         k.Duration,
		FaultInterval:    k.FaultInterval,
		Seed:             k.Seed,
		Defect:           k.Defect,
		OnlyFault:        k.OnlyFault,
		HasProcessFaults: isDefectBuild,
		RecordsDir:       k.KeepDir,
		OldProgram:       k.OldProgram,
		Progress:         func(s string) { fmt.Fprintln(c.err, s) },
	}
	if k.Schedule != "" {
		if err := readJSON(k.Schedule, &t.Schedule); err != nil {
			return err
		}
	}
	r, err := t.Run(ctx)
	if r != nil && r.RecordsDir != "" {
		fmt.Fprintln(c.err, "kept in", r.RecordsDir)
	}
	if k.Shrink && err == nil && len(r.Broken) > 0 {
		e := json.NewEncoder(c.out)
		e.SetIndent("", " ")
		if err := e.Encode(t.Shrink(ctx, r.Schedule, shrinkAttempts)); err != nil {
			return err
		}
		return errRunFailed
	}
	if r != nil { // what there is of it, also after an error
		if err := k.print(c, r); err != nil {
			return err
		}
	}
	if err == nil && len(r.Broken) > 0 {
		return errRunFailed
	}
	return err
}

// shrinkAttempts is how often a schedule is run to see whether it still breaks a promise.
const shrinkAttempts = 2

// print prints the result as JSON or for people.
func (k *taskTorture) print(c *console, r *tasklab.Result) error {
	if k.JSON {
		return json.NewEncoder(c.out).Encode(r)
	}
	fmt.Fprintf(c.out, "%d acts of %d holders, %d late of stopped actors, %d of starved ones,"+
		" %d reads and writes of the store, blows %v; held for %.3f of the time;"+
		" without an action between two holders p50 %.0f ms, p99 %.0f, worst %.0f; broken: %q\n",
		r.Actions, r.Holders, r.LateActions, r.StarvedActions, r.StoreOperations, r.FaultCounts, r.HeldFraction, r.GapP50Ms, r.GapP99Ms, r.GapWorstMs, r.Broken)
	for _, a := range r.TakeoverTimes {
		fmt.Fprintf(c.out, "after %s (%d): p50 %.0f ms, p99 %.0f, worst %.0f until the next acted, or without an action\n",
			a.Fault, a.Count, a.P50Ms, a.P99Ms, a.WorstMs)
	}
	return nil
}

// actorCommand is what the locks of task torture run.
type actorCommand struct {
	Address string `name:"to" arg:""`
	Name    string `name:"who" arg:""`
}

func (k *actorCommand) Run() error {
	const actionInterval = 5 * time.Millisecond
	return tasklab.Actor(k.Address, k.Name, os.Getenv("BIRCHMOOR_TOKEN"), actionInterval)
}
