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
	Dir      string        `help:"Folder for the files of the run." default:"." type:"existingdir"`
	Daemons  []int         `help:"Fleet sizes. Three daemons of each fleet have a replica." default:"3,20,80"`
	Tasks    int           `help:"Number of further tasks held at one daemon." default:"20"`
	Duration time.Duration `name:"for" help:"Duration of each measurement." default:"20s"`
	JSON     bool          `help:"Print JSON."`
}

func (k *taskMeasure) Help() string {
	return `Measures what leases cost the store: the log entries per second of fleets in which every daemon renews its
session and has a queue entry in both tasks of the fleet, without and with further tasks held at one daemon. Daemons are
processes without sidecars.`
}

// taskCost is what leases cost the store in a fleet of one size.
type taskCost struct {
	Daemons int     `json:"daemons"`
	Tasks   int     `json:"tasks"` // further tasks held at one daemon
	Entries float64 `json:"entries_a_second"`
	Formula float64 `json:"by_the_formula"` // expected rate: renewalsPerTTL per TTL for each session
}

func (k *taskMeasure) Run(ctx context.Context, c *console) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var all []taskCost
	for _, n := range k.Daemons {
		if n < 3 {
			return fmt.Errorf("--daemons %d: a fleet has at least three daemons, the replicas", n)
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
	for _, cost := range all {
		fmt.Fprintf(w, "%d\t%d\t%.1f\t%.1f\n", cost.Daemons, cost.Tasks, cost.Entries, cost.Formula)
	}
	return w.Flush()
}

const (
	daemonTTL      = 5 * time.Second // the default of daemons
	daemonTasks    = 2               // tasks in which each daemon has a queue entry
	renewalsPerTTL = 3
	settleTimeout  = time.Minute
	pollInterval   = 20 * time.Millisecond
)

// measureFleet measures a fleet of n daemons, first with the tasks of the daemons alone and then with --tasks further
// ones.
func (k *taskMeasure) measureFleet(ctx context.Context, self string, n int) ([]taskCost, error) {
	fleet, err := fleetlab.Begin(ctx, fleetlab.Config{
		Program:    self,
		Args:       []string{"run", "--config"},
		Dir:        k.Dir,
		Replicas:   3,
		Followers:  n - 3,
		Seed:       1,
		NoSidecars: true,
	})
	if err != nil {
		return nil, err
	}
	defer fleet.End()
	client := fleet.Daemons[0].Client
	err = waitForTasks(ctx, client, "a queue entry of every daemon", func(list []leasetask.TaskStatus) bool {
		return len(list) == daemonTasks && len(list[0].Queue) == n && len(list[1].Queue) == n
	})
	if err != nil {
		return nil, err
	}
	formula := renewalsPerTTL * float64(n) / daemonTTL.Seconds()
	idleRate, err := k.entryRate(ctx, client)
	if err != nil {
		return nil, err
	}

	holdCtx, release := context.WithCancel(ctx)
	var holders sync.WaitGroup
	defer holders.Wait()
	defer release()
	for i := range k.Tasks {
		holders.Go(func() {
			claim := leasetask.Claim{Task: fmt.Sprintf("task%d", i), TTL: daemonTTL}
			ignoreStatus := func(adminapi.LockStatus) error { return nil }
			_ = fleet.Daemons[n-1].Client.Lock(holdCtx, claim, ignoreStatus) // ends with hold
		})
	}
	err = waitForTasks(ctx, client, "a holder of every task", func(list []leasetask.TaskStatus) bool {
		return len(list) == daemonTasks+k.Tasks
	})
	if err != nil {
		return nil, err
	}
	rate, err := k.entryRate(ctx, client)
	if err != nil {
		return nil, err
	}
	return []taskCost{{n, 0, idleRate, formula}, {n, k.Tasks, rate, formula}}, nil
}

// waitForTasks polls the tasks of the fleet until done returns true for them. what describes that in the error of a
// timeout.
func waitForTasks(
	ctx context.Context, client *adminapi.Client, what string, done func([]leasetask.TaskStatus) bool,
) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		list, err := client.Tasks(ctx, "")
		if err == nil && done(list) {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Join(fmt.Errorf("timed out waiting for %s", what), err, ctx.Err())
		}
		time.Sleep(pollInterval)
	}
}

// entryRate measures the log entries per second over --for, while nothing else changes.
func (k *taskMeasure) entryRate(ctx context.Context, client *adminapi.Client) (float64, error) {
	before, err := client.Status(ctx)
	if err != nil {
		return 0, err
	}
	begin := time.Now()
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-time.After(k.Duration):
	}
	after, err := client.Status(ctx)
	return float64(after.Applied-before.Applied) / time.Since(begin).Seconds(), err
}
