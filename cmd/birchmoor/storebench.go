package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"birchmoor/internal/lab/storebench"
)

type storeBench struct {
	Dir      string        `help:"Folder for the disks." default:"." type:"existingdir"`
	Duration time.Duration `name:"for" help:"Each figure." default:"3s"`
	Writers  []int         `help:"At once." default:"1,16,256"`
	Bytes    int           `help:"Of a value." default:"100"`
	CatchUp  int           `help:"Megabytes that an empty replica is given; 0 for not at all." placeholder:"MB"`
	Million  int           `help:"Writes after which memory and disk are told; 0 for not at all." placeholder:"N"`
	JSON     bool          `help:"As JSON."`
}

func (k *storeBench) Run(ctx context.Context, c *console) error {
	r, err := storebench.Run(ctx, storebench.Options{
		Dir:          k.Dir,
		Duration:     k.Duration,
		Writers:      k.Writers,
		Bytes:        k.Bytes,
		CatchUp:      k.CatchUp,
		MemoryWrites: k.Million,
		Progress:     func(s string) { fmt.Fprintln(c.err, "measuring:", s) },
	})
	if err != nil {
		return err
	}
	if k.JSON {
		return json.NewEncoder(c.out).Encode(r)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "WHAT\tAT ONCE\tA SECOND\tP50 MS\tP99 MS\tOF BARE BBOLT")
	for _, x := range r.Rates {
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%.2f\t%.2f\t%.2f\n", x.What, x.Writers, x.PerSecond, x.P50, x.P99, x.OfLimit)
	}
	if len(r.WithoutLeaderMs) > 0 {
		fmt.Fprintf(w, "without a leader, ms\t\t%.0f\n", r.WithoutLeaderMs[0])
	}
	if r.CatchUp > 0 {
		fmt.Fprintf(w, "an empty replica takes %.0f MB in, s\t\t%.1f\n", r.CaughtMB, r.CatchUp)
	}
	if r.Writes > 0 {
		fmt.Fprintf(w, "after %d writes: heap %.0f MB, disk %.0f MB\n", r.Writes, r.HeapMB, r.DiskMB)
	}
	return w.Flush()
}

type storeTorture struct {
	Dir          string        `help:"Folder for what it writes." default:"." type:"existingdir"`
	Duration     time.Duration `name:"for" help:"Long." default:"1m"`
	KillInterval time.Duration `name:"every" help:"A kill." default:"2s"`
	Writers      int           `help:"At once, with a reader each." default:"8"`
	Seed         uint64        `help:"Of who is killed." default:"1"`
	JSON         bool          `help:"As JSON."`
}

func (k *storeTorture) Run(ctx context.Context, c *console) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	t := storebench.Torture{
		Program:       self,
		Args:          []string{"run", "--config"},
		Dir:           k.Dir,
		Duration:      k.Duration,
		FaultInterval: k.KillInterval,
		Writers:       k.Writers,
		Seed:          k.Seed,
		Progress:      func(s string) { fmt.Fprintln(c.err, s) },
	}
	r, err := t.Run(ctx)
	if err != nil {
		return err
	}
	if k.JSON {
		if err := json.NewEncoder(c.out).Encode(r); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(c.out, "%d kills, %d times all at once, %d cuts; %d writes answered, %d sent again, %d reads; lost: %q\n",
			r.Kills, r.KillsOfAll, r.Cuts, r.Writes, r.RepeatedWrites, r.Reads, r.Lost)
	}
	if len(r.Lost) > 0 {
		return errRunFailed
	}
	return nil
}
