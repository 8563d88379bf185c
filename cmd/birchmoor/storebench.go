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
	Dir      string        `help:"Folder for the files of the replicas." default:"." type:"existingdir"`
	Duration time.Duration `name:"for" help:"Duration of each measurement." default:"3s"`
	Writers  []int         `help:"Numbers of concurrent writers." default:"1,16,256"`
	Bytes    int           `help:"Size of a value in bytes." default:"100"`
	CatchUp  int           `help:"Megabytes with which an empty replica has to catch up; 0: not measured." placeholder:"MB"`
	Million  int           `help:"Number of writes after which memory and disk use are measured; 0: not measured." placeholder:"N"`
	JSON     bool          `help:"Print JSON."`
}

func (k *storeBench) Run(ctx context.Context, c *console) error {
	result, err := storebench.Run(ctx, storebench.Options{
		Dir:          k.Dir,
		Duration:     k.Duration,
		Writers:      k.Writers,
		Bytes:        k.Bytes,
		CatchUp:      k.CatchUp,
		MemoryWrites: k.Million,
		Progress:     func(s string) { fmt.Fprintln(c.errOut, "measuring:", s) },
	})
	if err != nil {
		return err
	}
	if k.JSON {
		return json.NewEncoder(c.out).Encode(result)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "WHAT\tAT ONCE\tA SECOND\tP50 MS\tP99 MS\tOF BARE BBOLT")
	for _, x := range result.Rates {
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%.2f\t%.2f\t%.2f\n", x.What, x.Writers, x.PerSecond, x.P50, x.P99, x.OfLimit)
	}
	if len(result.WithoutLeaderMs) > 0 {
		fmt.Fprintf(w, "without a leader, ms\t\t%.0f\n", result.WithoutLeaderMs[0])
	}
	if result.CatchUp > 0 {
		fmt.Fprintf(w, "an empty replica catches up with %.0f MB, s\t\t%.1f\n", result.CaughtMB, result.CatchUp)
	}
	if result.Writes > 0 {
		fmt.Fprintf(w, "after %d writes: heap %.0f MB, disk %.0f MB\n", result.Writes, result.HeapMB, result.DiskMB)
	}
	return w.Flush()
}

type storeTorture struct {
	Dir          string        `help:"Folder for the files of the run." default:"." type:"existingdir"`
	Duration     time.Duration `name:"for" help:"Duration of the run." default:"1m"`
	KillInterval time.Duration `name:"every" help:"Time between two kills." default:"2s"`
	Writers      int           `help:"Number of concurrent writers, each with a reader." default:"8"`
	Seed         uint64        `help:"Seed of the choice of the replicas to kill." default:"1"`
	JSON         bool          `help:"Print JSON."`
}

func (k *storeTorture) Run(ctx context.Context, c *console) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	torture := storebench.FaultRun{
		Program:       self,
		Args:          []string{"run", "--config"},
		Dir:           k.Dir,
		Duration:      k.Duration,
		FaultInterval: k.KillInterval,
		Writers:       k.Writers,
		Seed:          k.Seed,
		Progress:      func(s string) { fmt.Fprintln(c.errOut, s) },
	}
	result, err := torture.Run(ctx)
	if err != nil {
		return err
	}
	if k.JSON {
		if err := json.NewEncoder(c.out).Encode(result); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(c.out,
			"%d kills, %d of all at once, %d partitions; %d writes done, %d retried, %d reads; lost: %q\n",
			result.Kills, result.KillsOfAll, result.Cuts, result.Writes, result.RepeatedWrites, result.Reads,
			result.Lost)
	}
	if len(result.Lost) > 0 {
		return errRunFailed
	}
	return nil
}
