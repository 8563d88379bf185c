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
	Sidecars        int           `help:"Number of sidecars in the fleet, including the real ones." default:"1200"`
	Real            int           `help:"Number of real sidecars: processes of their own, with a data path and a little traffic." default:"8"`
	Replicas        int           `help:"Number of replicas, which run without a sidecar." default:"7"`
	Services        int           `help:"Number of services of a fleet of --sidecars; smaller sizes have as many sidecars per service. 0: one service per ten sidecars."`
	Duration        time.Duration `name:"for" help:"Duration of the quiet phase at each size." default:"60s"`
	Seed            uint64        `help:"Seed of all random values." default:"1"`
	Sizes           *string       `help:"Fleet sizes to run instead of --sidecars alone, such as 75,150,300,600,1200." placeholder:"N,..."`
	Fault           string        `help:"Fault to inject after the quiet phase: ${scaleFaults}." placeholder:"NAME"`
	Changes         float64       `name:"changes-per-day" help:"Changes of the settings per day." default:"3000"`
	Burst           int           `help:"Number of changes of the settings within a minute, after the quiet phase." default:"0"`
	PerProcess      int           `name:"each" help:"Approximate number of hollow sidecars per process." default:"100"`
	WarmupDuration  time.Duration `name:"warm" help:"Time between the start of the last sidecar and the quiet phase." default:"15s"`
	StartsPerSecond float64       `name:"begin" help:"Number of sidecars started per second." default:"40"`
	Dir             string        `help:"Folder for temporary files. With /dev/shm the syncs of the whole fleet do not share one disk." default:"." type:"existingdir"`
	Interest        string        `help:"What the copies of the store at sidecars hold: own (only the keys that their daemons need) or all." default:"own"`
	JSON            bool          `help:"Print JSON."`
	Markdown        bool          `help:"Print the Markdown tables of docs/CAPACITY.md."`
	Report          string        `help:"File for the results as JSON, in addition to the output." placeholder:"FILE"`
}

func (k *scaleCommand) Help() string {
	return `Runs replicas and a few real sidecars as processes of this program, and hollow sidecars next to them. A hollow
sidecar is the part of a daemon that works with other daemons, without a front and without traffic; about a hundred
share a process. Prints what each role costs per second and, for four sizes or more, how the cost grows. Exit code 2,
with nothing started, if a size does not fit this machine.

Examples:
  birchmoor lab scale --sidecars 75 --for 20s
  birchmoor lab scale --sizes 75,150,300,600 --markdown --report scale.json`
}

// sizes returns the fleet sizes to run, in rising order.
func (k *scaleCommand) sizes() (sizes []int, err error) {
	if k.Sizes == nil {
		return []int{k.Sidecars}, nil
	}
	for text := range strings.SplitSeq(*k.Sizes, ",") {
		n := 0
		_, err := fmt.Sscanf(text, "%d", &n)
		if err != nil || strconv.Itoa(n) != text {
			return nil, fmt.Errorf("--sizes: %q is not a list of sizes", *k.Sizes)
		}
		if len(sizes) > 0 && n <= sizes[len(sizes)-1] {
			return nil, fmt.Errorf("--sizes: %q is not in rising order", *k.Sizes)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

// sidecarsPerService is the number of sidecars that share a service if --services is not given.
const sidecarsPerService = 10

// options returns the options for a fleet of the given size. The number of services is in proportion to the size, as
// largest, the largest size of the run, is to --services.
func (k *scaleCommand) options(size, largest int) (scale.Options, error) {
	self, err := os.Executable()
	const minServices = scale.CallsPerService + 1
	services := k.Services
	if services == 0 {
		services = max(minServices, largest/sidecarsPerService)
	}
	return scale.Options{
		Program:         self,
		Dir:             k.Dir,
		Sidecars:        size,
		Real:            k.Real,
		Replicas:        k.Replicas,
		Services:        max(min(size, minServices), services*size/max(1, largest)),
		QuietDuration:   k.Duration,
		Seed:            k.Seed,
		Fault:           k.Fault,
		Interest:        k.Interest,
		ChangesPerDay:   k.Changes,
		Burst:           k.Burst,
		StubsPerProcess: k.PerProcess,
		WarmupDuration:  k.WarmupDuration,
		StartsPerSecond: k.StartsPerSecond,
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
	for _, n := range sizes { // the options of all sizes are checked before the first run starts
		o, err := k.options(n, max(k.Sidecars, slices.Max(sizes)))
		if err != nil {
			return err
		}
		if err := o.Check(); err != nil {
			return err
		}
		o.Progress = func(s string) { fmt.Fprintln(c.errOut, s) }
		runs = append(runs, o)
	}
	var results []*scale.Result
	for _, o := range runs {
		result, err := scale.Run(ctx, o)
		if err != nil {
			return errors.Join(err, k.writeReport(results))
		}
		results = append(results, result)
		if !k.JSON && !k.Markdown {
			scale.Print(c.out, result)
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

// writeReport writes the results so far to the file that --report names, if it is given.
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

// hollowDefects are the injected defects of hollow sidecars. Tests alone set those beyond controlplane.Defects.
var hollowDefects scale.StubDefects

// hollowCommand is a process of lab scale that runs hollow sidecars, by the specification in a file.
type hollowCommand struct {
	Spec string `arg:"" type:"existingfile"`
}

func (k *hollowCommand) Run(ctx context.Context, c *console) error {
	log := slog.New(slog.NewTextHandler(c.errOut, nil))
	hollowDefects.Defects = controlplane.Defects{
		Clock:        bootclock.Clock{Rate: processFaults.ClockRate},
		LeaseSession: leaseSessionDefect(),
		LeaseTable:   leaseTableDefect(),
		Quota:        processFaults.QuotaDefect,
	}
	return scale.RunChild(ctx, k.Spec, os.Stdin, c.out, log, hollowDefects)
}
