package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/lab/fleetlab"
	"birchmoor/internal/lab/tasklab"
)

type taskTorture struct {
	Dir      string        `help:"Folder for what it writes." default:"." type:"existingdir"`
	For      time.Duration `help:"Long." default:"1m"`
	Every    time.Duration `help:"A blow." default:"1s"`
	Replicas int           `help:"Daemons with a replica." default:"3"`
	Follow   int           `help:"Daemons without one." default:"2"`
	Holders  int           `help:"Locks at each daemon." default:"2"`
	TTL      time.Duration `help:"Of the locks." default:"2s"`
	Seed     uint64        `help:"Of what is done to whom." default:"1"`
	Only     string        `help:"Blows of this kind alone, each once all is calm, to measure the time until the next holder acts: holder-killed, holder-stopped, moved and others." placeholder:"KIND"`
	Play     string        `help:"Play this schedule in place of one drawn from the seed." type:"existingfile" placeholder:"FILE"`
	Keep     string        `help:"When a promise broke, leave schedule, history and logs in a folder here." type:"existingdir" placeholder:"DIR"`
	Shrink   bool          `help:"When a promise broke, leave blows out for as long as one still breaks, and print the rest as a schedule."`
	Old      string        `help:"An older build of this program, for daemons to be started with now and then." type:"existingfile" placeholder:"FILE"`
	Plant    string        `help:"A fault of the program, which must be built with -tags planted: order-ignored, deadline-ignored, kept-late, released-first, rate-ignored, read-stale." placeholder:"NAME"`
	JSON     bool          `help:"As JSON."`
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
	if k.Plant != "" && !isPlanted {
		return errors.New("--plant: this program was not built with -tags planted")
	}
	t := tasklab.Torture{Program: self, Dir: k.Dir, Replicas: k.Replicas, Follow: k.Follow, Holders: k.Holders, TTL: k.TTL, For: k.For, Every: k.Every,
		Seed: k.Seed, Plant: k.Plant, Only: k.Only, Inside: isPlanted, Keep: k.Keep, Old: k.Old, Say: func(s string) { fmt.Fprintln(c.err, s) }}
	if k.Play != "" {
		b, err := os.ReadFile(k.Play)
		if err == nil {
			err = json.Unmarshal(b, &t.Play)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", k.Play, err)
		}
	}
	r, err := t.Run(ctx)
	if r != nil && r.Kept != "" {
		fmt.Fprintln(c.err, "kept in", r.Kept)
	}
	if k.Shrink && err == nil && len(r.Broken) > 0 {
		e := json.NewEncoder(c.out)
		e.SetIndent("", " ")
		if err := e.Encode(t.Shrink(ctx, r.Schedule, 2)); err != nil {
			return err
		}
		return errMissed
	}
	if r != nil && k.JSON {
		if bad := json.NewEncoder(c.out).Encode(r); bad != nil {
			return bad
		}
	} else if r != nil {
		fmt.Fprintf(c.out, "%d acts of %d holders, %d late of stopped actors, %d of starved ones, %d reads and writes of the store, blows %v; held for %.3f of the time; without an action between two holders p50 %.0f ms, p99 %.0f, worst %.0f; broken: %q\n",
			r.Acts, r.Holders, r.Late, r.Starved, r.History, r.Blows, r.Held, r.P50Ms, r.P99Ms, r.WorstMs, r.Broken)
	}
	if r != nil && !k.JSON {
		for _, a := range r.After {
			fmt.Fprintf(c.out, "after %s (%d): p50 %.0f ms, p99 %.0f, worst %.0f until the next acted, or without an action\n", a.Blow, a.N, a.P50Ms, a.P99Ms, a.WorstMs)
		}
	}
	if err != nil {
		return err
	}
	if len(r.Broken) > 0 {
		return errMissed
	}
	return nil
}

// actorCommand is what a lock runs in task torture.
type actorCommand struct {
	To  string `arg:""`
	Who string `arg:""`
}

func (k *actorCommand) Run() error {
	return tasklab.Actor(k.To, k.Who, os.Getenv("BIRCHMOOR_TOKEN"), 5*time.Millisecond)
}

type taskMeasure struct {
	Dir     string        `help:"Folder for what it writes." default:"." type:"existingdir"`
	Daemons []int         `help:"Fleets of so many, three of them with a replica." default:"3,20,80"`
	Tasks   int           `help:"Held at one daemon." default:"20"`
	For     time.Duration `help:"Each figure." default:"20s"`
	JSON    bool          `help:"As JSON."`
}

func (k *taskMeasure) Help() string {
	return `What leases cost the store: entries of the log a second of fleets in which every daemon keeps its session and has a place
in both of its own tasks, without and with tasks held at one daemon. Daemons are processes without sidecars.`
}

// taskCost is what leases cost the store of a fleet.
type taskCost struct {
	Daemons int     `json:"daemons"`
	Tasks   int     `json:"tasks"` // held at one daemon, besides the sweeping
	Entries float64 `json:"entries_a_second"`
	Formula float64 `json:"by_the_formula"` // 3 a TTL for each session
}

func (k *taskMeasure) Run(ctx context.Context, c *console) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var all []taskCost
	for _, n := range k.Daemons {
		if n < 3 {
			return fmt.Errorf("--daemons %d: a fleet has three replicas", n)
		}
		costs, err := k.fleet(ctx, self, n)
		if err != nil {
			return err
		}
		all = append(all, costs...)
	}
	if k.JSON {
		return json.NewEncoder(c.out).Encode(all)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "DAEMONS\tTASKS AT ONE\tENTRIES A SECOND\tFORMULA")
	for _, x := range all {
		fmt.Fprintf(w, "%d\t%d\t%.1f\t%.1f\n", x.Daemons, x.Tasks, x.Entries, x.Formula)
	}
	return w.Flush()
}

func (k *taskMeasure) fleet(ctx context.Context, self string, n int) (all []taskCost, err error) {
	f, err := fleetlab.Begin(ctx, fleetlab.Config{Program: self, Args: []string{"run", "--config"}, Dir: k.Dir, Replicas: 3, Follow: n - 3, Seed: 1, Bare: true})
	if err != nil {
		return nil, err
	}
	defer f.End()
	a := f.Daemons[0].Client
	until := func(what string, done func([]leasetask.TaskStatus) bool) error {
		for ctx, cancel := context.WithTimeout(ctx, time.Minute); ; time.Sleep(20 * time.Millisecond) {
			list, err := a.Tasks(ctx, "")
			if err == nil && done(list) {
				cancel()
				return nil
			}
			if ctx.Err() != nil {
				cancel()
				return errors.Join(fmt.Errorf("%s does not come", what), err, ctx.Err())
			}
		}
	}
	entries := func() (float64, error) {
		before, err := a.Status(ctx)
		if err != nil {
			return 0, err
		}
		begun := time.Now()
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(k.For):
		}
		after, err := a.Status(ctx)
		return float64(after.Applied-before.Applied) / time.Since(begun).Seconds(), err
	}
	const ttl = 5 * time.Second // the daemons' default
	const ownTasks = 2          // in which each daemon has a place
	if err := until("every daemon's place", func(list []leasetask.TaskStatus) bool {
		return len(list) == ownTasks && len(list[0].Queue) == n && len(list[1].Queue) == n
	}); err != nil {
		return nil, err
	}
	formula := 3 * float64(n) / ttl.Seconds()
	rate, err := entries()
	if err != nil {
		return nil, err
	}
	all = append(all, taskCost{n, 0, rate, formula})
	hold, drop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer drop()
	for i := range k.Tasks {
		wg.Go(func() {
			_ = f.Daemons[n-1].Client.Lock(hold, leasetask.Claim{Task: fmt.Sprintf("task%d", i), TTL: ttl}, func(adminapi.LockStatus) error { return nil }) // until it is dropped
		})
	}
	if err := until("all tasks' holders", func(list []leasetask.TaskStatus) bool { return len(list) == ownTasks+k.Tasks }); err != nil {
		return nil, err
	}
	if rate, err = entries(); err != nil {
		return nil, err
	}
	return append(all, taskCost{n, k.Tasks, rate, formula}), nil
}
