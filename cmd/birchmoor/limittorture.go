package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"birchmoor/internal/lab/limitlab"
	"birchmoor/internal/lab/tasklab"
)

type limitTorture struct {
	Dir           string        `help:"Folder for the files of the run." default:"." type:"existingdir"`
	Duration      time.Duration `name:"for" help:"Duration of the run." default:"1m"`
	FaultInterval time.Duration `name:"every" help:"Mean time between two faults." default:"1s"`
	Replicas      int           `help:"Number of daemons with a replica." default:"3"`
	Followers     int           `name:"follow" help:"Number of daemons without a replica." default:"5"`
	Seed          uint64        `help:"Seed of the schedule of faults." default:"1"`
	Defect        int           `name:"plant" help:"Defect of package quota to inject, by its number; for programs built with -tags planted." placeholder:"N"`
	Schedule      string        `name:"play" help:"File with a schedule to run, in place of one generated from the seed." type:"existingfile" placeholder:"FILE"`
	JSON          bool          `help:"Print JSON."`
}

func (k *limitTorture) Help() string {
	return `Sends sidecar processes more requests than four limits admit, while the processes are killed, stopped,
partitioned and slowed down. Servers count the requests by limit and part, and check the counts against the formula in
docs/limits.md. Exit code 1 if a bound was exceeded.

Example:
  birchmoor limit torture --for 10m --seed 7 --json`
}

func (k *limitTorture) Run(ctx context.Context, c *console) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if k.Defect != 0 && !isDefectBuild {
		return errNoDefectBuild
	}
	torture := limitlab.FaultRun{
		Program:       self,
		Dir:           k.Dir,
		Replicas:      k.Replicas,
		Followers:     k.Followers,
		Duration:      k.Duration,
		FaultInterval: k.FaultInterval,
		Seed:          k.Seed,
		Progress:      func(s string) { fmt.Fprintln(c.errOut, s) },
	}
	if k.Defect != 0 {
		torture.Env = []string{fmt.Sprintf("%s=%d", tasklab.QuotaDefectEnv, k.Defect)}
	}
	if k.Schedule != "" {
		if err := readJSON(k.Schedule, &torture.Schedule); err != nil {
			return err
		}
	}
	result, err := torture.Run(ctx)
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

// print prints the result as JSON or as text.
func (k *limitTorture) print(c *console, result *limitlab.Result) error {
	if k.JSON {
		return json.NewEncoder(c.out).Encode(result)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "LIMIT\tPART\tSEEN\tMOST IN WINDOW\tBOUND\tNEAR")
	for _, s := range result.PartCounts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.0f\t%.1f\t%.2f\n", s.Limit, partName(s.Part), s.Count, s.MaxCount, s.Bound,
			s.MaxUse)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%d requests, %d rejected (%d without a Retry-After), faults %v;"+
		" %.2f of the rate used after the faults; broken: %q\n",
		result.Requests, result.Rejected, result.RejectedWithoutRetryAfter, result.FaultCounts, result.Use,
		result.Broken)
	return nil
}
