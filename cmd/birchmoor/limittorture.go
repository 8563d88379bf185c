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
	Dir           string        `help:"Folder for what it writes." default:"." type:"existingdir"`
	Duration      time.Duration `name:"for" help:"Long." default:"1m"`
	FaultInterval time.Duration `name:"every" help:"A blow, on average." default:"1s"`
	Replicas      int           `help:"Daemons with a replica." default:"3"`
	Followers     int           `name:"follow" help:"Daemons without one." default:"5"`
	Seed          uint64        `help:"Of what is done to whom." default:"1"`
	Defect        int           `name:"plant" help:"A fault of shares, by its number in package limit; for programs built with -tags planted." placeholder:"N"`
	Schedule      string        `name:"play" help:"Play this schedule in place of one drawn from the seed." type:"existingfile" placeholder:"FILE"`
	JSON          bool          `help:"As JSON."`
}

func (k *limitTorture) Help() string {
	return `Sidecars as processes are asked for more than four limits let through, while they are killed, stopped, cut and slowed; servers count what
comes, by limit and part, and hold it against the formula of docs/limits.md. Exit code 1 if a bound was passed.

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
	t := limitlab.FaultRun{
		Program:       self,
		Dir:           k.Dir,
		Replicas:      k.Replicas,
		Followers:     k.Followers,
		Duration:      k.Duration,
		FaultInterval: k.FaultInterval,
		Seed:          k.Seed,
		Progress:      func(s string) { fmt.Fprintln(c.err, s) },
	}
	if k.Defect != 0 {
		t.Env = []string{fmt.Sprintf("%s=%d", tasklab.QuotaDefectEnv, k.Defect)}
	}
	if k.Schedule != "" {
		if err := readJSON(k.Schedule, &t.Schedule); err != nil {
			return err
		}
	}
	r, err := t.Run(ctx)
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

// print prints the result as JSON or for people.
func (k *limitTorture) print(c *console, r *limitlab.Result) error {
	if k.JSON {
		return json.NewEncoder(c.out).Encode(r)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "LIMIT\tPART\tSEEN\tMOST IN WINDOW\tBOUND\tNEAR")
	for _, s := range r.PartCounts {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.0f\t%.1f\t%.2f\n", s.Limit, partName(s.Part), s.Count, s.MaxCount, s.Bound, s.MaxUse)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%d requests, %d refused (%d without a time), blows %v;"+
		" %.2f of the rate used once calm; broken: %q\n",
		r.Requests, r.Rejected, r.RejectedWithoutRetryAfter, r.FaultCounts, r.Use, r.Broken)
	return nil
}
