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
)

type taskMeasure struct {
	Dir      string        `help:"Folder for what it writes." default:"." type:"existingdir"`
	Daemons  []int         `help:"Fleets of so many, three of them with a replica." default:"3,20,80"`
	Tasks    int           `help:"Held at one daemon." default:"20"`
	Duration time.Duration `name:"for" help:"Each figure." default:"20s"`
	JSON     bool          `help:"As JSON."`
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
		costs, err := k.measureFleet(ctx, self, n)
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

func (k *taskMeasure) measureFleet(ctx context.Context, self string, n int) (all []taskCost, err error) {
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
		case <-time.After(k.Duration):
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
