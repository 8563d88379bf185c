package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"birchmoor/internal/controlplane"
	"birchmoor/internal/lab/scale"
	"birchmoor/internal/platform/bootclock"
)

type scaleCommand struct {
	Sidecars        int           `help:"Of the fleet, the real ones among them." default:"1200"`
	Real            int           `help:"Of them as processes of their own, with a sidecar and a little traffic." default:"8"`
	Replicas        int           `help:"Machines that are set aside: replicas, without a sidecar." default:"7"`
	Services        int           `help:"Of --sidecars; smaller sizes have as many sidecars a service. 0 is one for each ten sidecars."`
	Duration        time.Duration `name:"for" help:"Of the quiet phase at each size." default:"60s"`
	Seed            uint64        `help:"All that is drawn comes from it." default:"1"`
	Sizes           *string       `help:"Sizes in place of --sidecars alone, such as 75,150,300,600,1200." placeholder:"N,..."`
	Fault           string        `help:"What comes after the quiet phase: ${scaleFaults}." placeholder:"NAME"`
	Changes         float64       `name:"changes-per-day" help:"Of the settings." default:"3000"`
	Burst           int           `help:"So many changes within a minute, after the quiet phase." default:"0"`
	PerProcess      int           `name:"each" help:"Hollow sidecars of a process, about." default:"100"`
	WarmupDuration  time.Duration `name:"warm" help:"Between the last sidecar's start and the quiet phase." default:"15s"`
	StartsPerSecond float64       `name:"begin" help:"Sidecars that begin a second." default:"40"`
	Dir             string        `help:"Folder for a temporary one: /dev/shm keeps the syncs of a whole fleet off one disk." default:"." type:"existingdir"`
	Interest        string        `help:"What copies of sidecars hold: own, what their daemons need, or all." default:"own"`
	JSON            bool          `help:"As JSON."`
	Markdown        bool          `help:"As the tables of docs/CAPACITY.md."`
	Report          string        `help:"File for the result as JSON, besides." placeholder:"FILE"`
}

func (k *scaleCommand) Help() string {
	return `Runs replicas and a few sidecars as processes of this program, and hollow sidecars beside them: all by which a daemon works with others,
without fronts and traffic, about a hundred to a process. Prints what each role costs by second, and with four sizes or more how it grows.
Exit code 2, and nothing started, where sizes do not fit this machine.

Examples:
  birchmoor lab scale --sidecars 75 --for 20s
  birchmoor lab scale --sizes 75,150,300,600 --markdown --report scale.json`
}

// sizes are the fleet sizes to run, in order.
func (k *scaleCommand) sizes() (all []int, err error) {
	if k.Sizes == nil {
		return []int{k.Sidecars}, nil
	}
	for text := range strings.SplitSeq(*k.Sizes, ",") {
		n := 0
		_, err := fmt.Sscanf(text, "%d", &n)
		if err != nil || strconv.Itoa(n) != text {
			return nil, fmt.Errorf("--sizes: %q is not a list of sizes", *k.Sizes)
		}
		if len(all) > 0 && n <= all[len(all)-1] {
			return nil, fmt.Errorf("--sizes: %q is not in rising order", *k.Sizes)
		}
		all = append(all, n)
	}
	return all, nil
}

// sidecarsPerService is how many sidecars share a service where --services is not given.
const sidecarsPerService = 10

// options are those of one size, where largest is the largest of the run.
func (k *scaleCommand) options(size, largest int) (scale.Options, error) {
	self, err := os.Executable()
	const minServices = scale.Calls + 1
	services := k.Services
	if services == 0 {
		services = max(minServices, largest/sidecarsPerService)
	}
	return scale.Options{
		Program:  self,
		Dir:      k.Dir,
		Sidecars: size,
		Real:     k.Real,
		Replicas: k.Replicas,
		Services: max(min(size, minServices), services*size/max(1, largest)),
		For:      k.Duration,
		Seed:     k.Seed,
		Fault:    k.Fault,
		Interest: k.Interest,
		Changes:  k.Changes,
		Burst:    k.Burst,
		Each:     k.PerProcess,
		Warm:     k.WarmupDuration,
		Begin:    k.StartsPerSecond,
	}, err
}

func (k *scaleCommand) Run(ctx context.Context, c *console) error {
	sizes, err := k.sizes()
	if err != nil {
		return err
	}
	if k.Real > slices.Min(sizes) {
		return fmt.Errorf("--real: %d is above the smallest size, %d", k.Real, slices.Min(sizes))
	}
	var runs []scale.Options
	for _, n := range sizes { // all are checked before the first is started
		o, err := k.options(n, max(k.Sidecars, slices.Max(sizes)))
		if err != nil {
			return err
		}
		if err := o.Check(); err != nil {
			return err
		}
		o.Say = func(s string) { fmt.Fprintln(c.err, s) }
		runs = append(runs, o)
	}
	var results []*scale.Result
	for _, o := range runs {
		x, err := scale.Run(ctx, o)
		if err != nil {
			return errors.Join(err, k.writeReport(results))
		}
		results = append(results, x)
		if !k.JSON && !k.Markdown {
			scale.Print(c.out, x)
		}
	}
	if err := k.writeReport(results); err != nil {
		return err
	}
	switch {
	case k.JSON:
		return json.NewEncoder(c.out).Encode(results)
	case k.Markdown:
		scale.Markdown(c.out, results, k.Sidecars)
	}
	return nil
}

// writeReport writes the results so far to the file of --report, if there is one.
func (k *scaleCommand) writeReport(results []*scale.Result) error {
	if k.Report == "" || len(results) == 0 {
		return nil
	}
	text, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(k.Report, append(text, '\n'), 0o644)
}

// hollowDefects are the injected defects of hollow sidecars; only tests set them.
var hollowDefects scale.Plant

// hollowCommand is a process of lab scale that runs hollow sidecars.
type hollowCommand struct {
	Spec string `arg:"" type:"existingfile"`
}

func (k *hollowCommand) Run(ctx context.Context, c *console) error {
	log := slog.New(slog.NewTextHandler(c.err, nil))
	hollowDefects.Defects = controlplane.Defects{
		Clock:        bootclock.Clock{Rate: processFaults.ClockRate},
		LeaseSession: leaseSessionDefect(),
		LeaseTable:   leaseTableDefect(),
		Quota:        processFaults.QuotaDefect,
	}
	return scale.Child(ctx, k.Spec, os.Stdin, c.out, log, hollowDefects)
}
