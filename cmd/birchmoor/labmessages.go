package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"birchmoor/internal/lab/messagelab"
	"birchmoor/internal/lab/rig"
)

type messagesCommand struct {
	Seeds    string        `help:"First and last seed." default:"1-10" placeholder:"FROM-TO"`
	Duration time.Duration `name:"for" help:"Duration of each run." default:"20s"`
	Bin      string        `help:"The sidecar program; without it, the file sidecar next to this program." type:"existingfile" placeholder:"PATH"`
	Logs     bool          `help:"Keep the folders with the sidecars' logs."`
	JSON     string        `help:"File to which each result is appended as a line of JSON." placeholder:"FILE"`
}

func (k *messagesCommand) Help() string {
	return `Runs three sidecars with long and slow messages: clients and servers that write, read, stop and leave by plans
that are generated from each seed, in one of three seeds beside a crowd of clients that misbehave, while the processes
get series of signals, are killed and upgraded. A kill comes at the earliest moment that the platform allows, and clients
use their connections until then. The rules are checked on what clients and servers saw. Exit code 1 if one was broken.

Example:
  birchmoor lab messages --seeds 1-50 --for 20s --json messages.json`
}

func (k *messagesCommand) Run(ctx context.Context, c *console) error {
	from, to, err := parseSeedRange(k.Seeds)
	if err != nil {
		return err
	}
	if k.Duration < time.Second {
		return fmt.Errorf("--for %v: the minimum is 1s", k.Duration)
	}
	if k.Bin == "" {
		if k.Bin, err = rig.Program(); err != nil {
			return err
		}
	}
	broken := 0
	for seed := from; seed <= to; seed++ {
		result, err := messagelab.Run(ctx, messagelab.Options{Program: k.Bin, Dir: os.TempDir(), Seed: seed,
			Duration: k.Duration, RealTime: true, Memory: true, KeepLogs: k.Logs})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		if len(result.Counts) > 0 {
			broken++
		}
		if err := k.report(c, result); err != nil {
			return err
		}
	}
	if broken > 0 {
		fmt.Fprintf(c.out, "%d of %d runs broke a rule\n", broken, to-from+1)
		return errRunFailed
	}
	return nil
}

// report prints a result and appends it to the file of --json.
func (k *messagesCommand) report(c *console, r *messagelab.Result) error {
	fmt.Fprintf(c.out, "seed %d: %d requests, %d served, %d rejected, %d failed, %d left; %d of %d usual ones served; "+
		"%d faults, crowd %v; %.0f MB at most; the lab %d ms late\n", r.Seed, r.Requests, r.Served, r.Rejected, r.Failed,
		r.Left, r.UsualServe, r.Usual, r.Faults, r.Crowd, r.MemoryMB, r.LabLateMs)
	for _, rule := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(c.out, "  broken: %s, %d times\n", rule, r.Counts[rule])
	}
	for _, v := range r.Violations {
		fmt.Fprintf(c.out, "    %s: %s\n", v.Rule, v.Detail)
	}
	if k.JSON == "" {
		return nil
	}
	return appendJSONLine(k.JSON, r)
}
