package main

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync"

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
	o := storesim.Options{Replicas: k.Replicas, Faults: k.Faults, Gap: k.Gap, Holders: k.Holders, Clients: 1, Ops: 20, HoldTTL: k.TTL, Calm: k.Calm}
	if k.Defect == "" {
		return k.runSeeds(ctx, c, o, "")
	}
	missed := false
	for _, f := range storesim.HolderFaults {
		if k.Defect == "list" {
			fmt.Fprintf(c.out, "%-22s %s\n", f.Name, f.About)
			continue
		}
		if f.Name != k.Defect && k.Defect != "all" {
			continue
		}
		x := o
		x.Holder, x.Planted = f.Plant, f.Replica
		if err := k.runSeeds(ctx, c, x, f.Name); err != nil {
			if err != errRunFailed {
				return err
			}
			missed = true
		}
		if k.Defect != "all" {
			return nil
		}
	}
	switch {
	case missed:
		return errRunFailed
	case k.Defect != "list" && k.Defect != "all":
		return fmt.Errorf("--plant %q is not a fault: list names them", k.Defect)
	}
	return nil
}

// runSeeds runs seeds side by side, and takes them in order. With a fault it ends with the first seed that finds it.
func (k *taskSim) runSeeds(ctx context.Context, c *console, o storesim.Options, plant string) error {
	type turn chan storesim.Result
	turns := make(chan turn, 2*runtime.NumCPU())
	stop, cancel := context.WithCancel(ctx)
	var working sync.WaitGroup
	defer working.Wait()
	defer cancel()
	go func() {
		defer close(turns)
		room := make(chan struct{}, runtime.NumCPU())
		for i := range uint64(max(0, k.Seeds)) {
			t := make(turn, 1)
			select {
			case turns <- t:
			case <-stop.Done():
				return
			}
			room <- struct{}{}
			working.Go(func() {
				t <- storesim.Run(k.Seed+i, o)
				<-room
			})
		}
	}()
	enc, broken, n := json.NewEncoder(c.out), 0, 0
	var sum storesim.Result
	for t := range turns {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r := <-t
		n++
		sum.Acts, sum.Late, sum.Crashes, sum.Elected, sum.Entries = sum.Acts+r.Acts, sum.Late+r.Late, sum.Crashes+r.Crashes, sum.Elected+r.Elected, sum.Entries+r.Entries
		sum.Micros, sum.EntriesPerS, sum.BytesPerS = sum.Micros+r.Micros, sum.EntriesPerS+r.EntriesPerS, sum.BytesPerS+r.BytesPerS
		if k.JSON {
			if err := enc.Encode(r); err != nil {
				return err
			}
		}
		if len(r.Broken) == 0 {
			continue
		}
		if broken++; plant != "" {
			fmt.Fprintf(c.out, "%s: found by seed %d, after %d: %s\n", plant, r.Seed, n, r.Broken[0])
			return nil
		}
		fmt.Fprintf(c.err, "seed %d: %q\n", r.Seed, r.Broken)
	}
	if plant != "" {
		fmt.Fprintf(c.out, "%s: not found in %d seeds\n", plant, n)
		return errRunFailed
	}
	fmt.Fprintf(c.err, "%d seeds, %d broken: %d acts, %d late by processes that had been stopped; %d crashes of replicas, %d leaders, %d entries in %.0f s of virtual time\n", n, broken, sum.Acts,
		sum.Late, sum.Crashes, sum.Elected, sum.Entries, float64(sum.Micros)/1e6)
	if k.Calm && n > 0 {
		fmt.Fprintf(c.err, "the log took %.1f entries and %.0f bytes a second; by the formula holders take %.1f entries\n", sum.EntriesPerS/float64(n),
			sum.BytesPerS/float64(n), 3000*float64(k.Holders)/float64(k.TTL))
	}
	if broken > 0 {
		return errRunFailed
	}
	return nil
}
