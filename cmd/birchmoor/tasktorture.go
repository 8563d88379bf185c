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
	Dir           string        `help:"Folder for the files of the run." default:"." type:"existingdir"`
	Duration      time.Duration `name:"for" help:"Duration of the run." default:"1m"`
	FaultInterval time.Duration `name:"every" help:"Time between two faults." default:"1s"`
	Replicas      int           `help:"Number of daemons with a replica." default:"3"`
	Followers     int           `name:"follow" help:"Number of daemons without a replica." default:"2"`
	Holders       int           `help:"Number of locks at each daemon." default:"2"`
	TTL           time.Duration `help:"TTL of the locks." default:"2s"`
	Seed          uint64        `help:"Seed of the schedule of faults." default:"1"`
	OnlyFault     string        `name:"only" help:"Inject only faults of this kind, each after the effects of the one before have ended, to measure the time until the next holder acts: holder-killed, holder-stopped, moved and others." placeholder:"KIND"`
	Schedule      string        `name:"play" help:"File with a schedule to run, in place of one generated from the seed." type:"existingfile" placeholder:"FILE"`
	KeepDir       string        `name:"keep" help:"Folder in which the schedule, history and logs of a run that broke a rule are kept." type:"existingdir" placeholder:"DIR"`
	Shrink        bool          `help:"If a rule was broken, leave out faults for as long as a rule still breaks, and print the remaining schedule."`
	OldProgram    string        `name:"old" help:"An older build of this program, with which some daemons are started." type:"existingfile" placeholder:"FILE"`
	Defect        string        `name:"plant" help:"Defect to inject; the program must be built with -tags planted: order-ignored, deadline-ignored, kept-late, released-first, rate-ignored, read-stale." placeholder:"NAME"`
	JSON          bool          `help:"Print JSON."`
}

func (k *taskTorture) Help() string {
	return `Runs locks whose commands, the actors, act on two test resources. On the one that checks tokens, no action may
take effect after one with a higher token. On the other one, only an actor that was itself stopped may act so late.
Reads and writes of the store at all daemons must be linearizable. In a build with -tags planted the clocks of hosts
also differ by 10% in rate, and syncs of disks fail. Exit code 1 if a rule was broken.

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
	torture := tasklab.FaultRun{
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
		Progress:         func(s string) { fmt.Fprintln(c.errOut, s) },
	}
	if k.Schedule != "" {
		if err := readJSON(k.Schedule, &torture.Schedule); err != nil {
			return err
		}
	}
	result, err := torture.Run(ctx)
	if result != nil && result.RecordsDir != "" {
		fmt.Fprintln(c.errOut, "kept in", result.RecordsDir)
	}
	if k.Shrink && err == nil && len(result.Broken) > 0 {
		e := json.NewEncoder(c.out)
		e.SetIndent("", " ")
		if err := e.Encode(torture.Shrink(ctx, result.Schedule, shrinkAttempts)); err != nil {
			return err
		}
		return errRunFailed
	}
	if result != nil { // also after an error, as far as the run came
		if err := k.print(c, result); err != nil {
			return err
		}
	}
	if err == nil && len(result.Broken) > 0 {
		return errRunFailed
	}
	return err
}

// shrinkAttempts is the number of runs of a shortened schedule, to see whether it still breaks a rule.
const shrinkAttempts = 2

// print prints the result as JSON or as text.
func (k *taskTorture) print(c *console, result *tasklab.Result) error {
	if k.JSON {
		return json.NewEncoder(c.out).Encode(result)
	}
	fmt.Fprintf(c.out, "%d actions of %d holders, %d late by stopped actors, %d by starved ones,"+
		" %d reads and writes of the store, faults %v; held for %.3f of the time;"+
		" time between the actions of two holders p50 %.0f ms, p99 %.0f, worst %.0f; broken: %q\n",
		result.Actions, result.Holders, result.LateActions, result.StarvedActions, result.StoreOperations,
		result.FaultCounts, result.HeldFraction, result.GapP50Ms, result.GapP99Ms, result.GapWorstMs, result.Broken)
	for _, a := range result.TakeoverTimes {
		fmt.Fprintf(c.out,
			"after %s (%d): p50 %.0f ms, p99 %.0f, worst %.0f until the next holder acted, or without an action\n",
			a.Fault, a.Count, a.P50Ms, a.P99Ms, a.WorstMs)
	}
	return nil
}

// actorCommand is the command that the locks of task torture run.
type actorCommand struct {
	Address string `name:"to" arg:""`
	Name    string `name:"who" arg:""`
}

func (k *actorCommand) Run() error {
	const actionInterval = 5 * time.Millisecond
	return tasklab.Actor(k.Address, k.Name, os.Getenv("BIRCHMOOR_TOKEN"), actionInterval)
}
