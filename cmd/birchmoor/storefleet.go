package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"birchmoor/internal/lab/fleetlab"
)

type fleetCommands struct {
	Torture fleetTorture `cmd:"" help:"Kill and partition daemons under load while servers drain, and check what the servers get."`
	Measure fleetMeasure `cmd:"" help:"Measure how fast reports take effect, how daemons start, and what a fleet writes."`
}

type fleetFlags struct {
	Dir       string `help:"Folder for the files of the run." default:"." type:"existingdir"`
	Replicas  int    `help:"Number of daemons with a replica." default:"3"`
	Followers int    `name:"follow" help:"Number of daemons that follow the replicas." default:"2"`
	Servers   int    `help:"Number of slot servers." default:"6"`
	Seed      uint64 `help:"Seed of all random values." default:"1"`
	JSON      bool   `help:"Print JSON."`
}

// start checks the flags and starts a fleet of daemons of this program.
func (k *fleetFlags) start(ctx context.Context) (*fleetlab.Fleet, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if k.Replicas < 1 || k.Replicas > 9 || k.Followers < 0 || k.Followers > 400 || k.Servers < 2 || k.Servers > 1000 {
		return nil, fmt.Errorf(
			"1 to 9 replicas, up to 400 followers and 2 to 1000 servers are possible, not %d, %d and %d",
			k.Replicas, k.Followers, k.Servers)
	}
	return fleetlab.Begin(ctx, fleetlab.Config{
		Program:      self,
		Args:         []string{"run", "--config"},
		Dir:          k.Dir,
		Replicas:     k.Replicas,
		Followers:    k.Followers,
		Servers:      k.Servers,
		ReportStarts: true,
		Seed:         k.Seed,
	})
}

type fleetTorture struct {
	fleetFlags
	Duration      time.Duration `name:"for" help:"Duration of the run." default:"2m"`
	FaultInterval time.Duration `name:"every" help:"Mean time between two faults." default:"4s"`
	Conns         int           `help:"Number of client connections to each daemon." default:"4"`
	Pause         time.Duration `help:"Pause between two requests on a connection." default:"10ms"`
}

func (k *fleetTorture) Help() string {
	return `Exit code 1 if a daemon sent a request to a server of which it knew that it drains, or of which all daemons
should have known that.

Example:
  birchmoor store fleet torture --for 5m --follow 5`
}

func (k *fleetTorture) Run(ctx context.Context, c *console) error {
	fleet, err := k.start(ctx)
	if err != nil {
		return err
	}
	defer fleet.End()
	loadCtx, stopLoad := context.WithCancel(ctx)
	clients := fleet.Load(loadCtx, k.Conns, k.Pause)
	torture := fleetlab.FaultRun{
		Fleet:         fleet,
		Duration:      k.Duration,
		FaultInterval: k.FaultInterval,
		Seed:          k.Seed,
		Progress:      func(s string) { fmt.Fprintln(c.errOut, s) },
	}
	result, err := torture.Run(ctx)
	stopLoad()
	clients.Wait()
	if err != nil {
		return err
	}
	if k.JSON {
		if err := json.NewEncoder(c.out).Encode(result); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(c.out, "%d drains (%d of them undisturbed), %d starts, %d kills, %d of all at once,"+
			" %d partitions, %d requests\n",
			result.Drains, result.UndisturbedDrains, result.Starts, result.Kills, result.KillsOfAll, result.Cuts,
			result.Requests)
		fmt.Fprintf(c.out, "from daemons that knew of the drain %d, late %d, from daemons never told %d;"+
			" the last request in an undisturbed drain came %.0f ms after the report\n",
			result.Stale, result.Late, result.NeverReported, result.WorstMs)
		for _, b := range result.Violations {
			fmt.Fprintln(c.out, b)
		}
	}
	if result.Stale+result.Late+result.NeverReported > 0 {
		return errRunFailed
	}
	return nil
}

type fleetMeasure struct {
	fleetFlags
	Reports      int   `name:"words" help:"Number of reports by discovery, and of those by operators, whose propagation is measured; 0 for none." default:"1000"`
	Starts       int   `help:"Number of starts of each kind; 0 for none." default:"10"`
	Writes       []int `help:"Fleet sizes at which the writes to the store are counted." default:"3,20,80"`
	KnownServers int   `name:"known" help:"Number of servers that the store knows when daemons catch up; 0: not measured." default:"10000"`
	CostPairs    int   `name:"cost" help:"Number of pairs of runs at full load, with the store and without it; 0 for none." default:"5"`
}

func (k *fleetMeasure) Help() string {
	return `Measures how long a drain or a ban takes to be in effect at all daemons, how a daemon starts with no state,
with its own disk and from the store, and what a fleet writes while its endpoint lists change. This takes minutes.

Example:
  birchmoor store fleet measure --words 1000 --starts 10 --writes 3,20,80`
}

// fleetMeasurements are the results of store fleet measure, as --json prints them.
type fleetMeasurements struct {
	Reports []fleetlab.ReportDelays  `json:"words,omitempty"`
	Starts  []fleetlab.StartFigures  `json:"starts,omitempty"`
	Writes  []fleetlab.WriteFigures  `json:"writes,omitempty"`
	Caught  *fleetlab.CatchUpFigures `json:"caught,omitempty"`
	Cost    *fleetlab.Cost           `json:"cost,omitempty"`
}

func (k *fleetMeasure) Run(ctx context.Context, c *console) error {
	var m fleetMeasurements
	say := func(s string) { fmt.Fprintln(c.errOut, "measured:", s) }
	if k.Reports > 0 || k.Starts > 0 || k.KnownServers > 0 || k.CostPairs > 0 {
		if err := k.measureFleet(ctx, &m, say); err != nil {
			return err
		}
	}
	for _, n := range k.Writes {
		w, err := k.measureWrites(ctx, n)
		if err != nil {
			return err
		}
		m.Writes = append(m.Writes, w)
		say(fmt.Sprintf("writes of %d daemons", n))
	}
	if k.JSON {
		return json.NewEncoder(c.out).Encode(m)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	m.print(w)
	return w.Flush()
}

// measureWrites counts the store's writes of a fleet of n daemons of its own.
func (k *fleetMeasure) measureWrites(ctx context.Context, n int) (w fleetlab.WriteFigures, err error) {
	const changes, changeInterval = 60, 500 * time.Millisecond
	flags := k.fleetFlags
	flags.Replicas = min(k.Replicas, n)
	flags.Followers = max(0, n-k.Replicas)
	f, err := flags.start(ctx)
	if err != nil {
		return w, err
	}
	defer f.End()
	return f.MeasureWrites(ctx, changes, changeInterval)
}

func (m *fleetMeasurements) print(w io.Writer) {
	for _, x := range m.Reports {
		const latency = "\t%d\tp50 %.1f ms\tp99 %.1f\tworst %.1f\n"
		fmt.Fprintf(w, "%s, at the daemon that got it"+latency, x.Source, x.Receiver.N, x.Receiver.P50, x.Receiver.P99,
			x.Receiver.Worst)
		fmt.Fprintf(w, "%s, at the other daemons"+latency, x.Source, x.Others.N, x.Others.P50, x.Others.P99,
			x.Others.Worst)
	}
	for _, x := range m.Starts {
		fmt.Fprintf(w, "start with %s\t%d\tp50 %.0f ms\tworst %.0f\tserved in the first second %.3f,"+
			" sent to drained servers %.1f, servers recalled %.1f\n",
			x.Source, x.N, x.Ready.P50, x.Ready.Worst, x.Served, x.DrainedRequests, x.RestoredServers)
	}
	for _, x := range m.Writes {
		fmt.Fprintf(w, "%d daemons\t%d changes of lists\t%d reports in the store\t%d log entries\t"+
			"%d snapshots\tin %.0f s\n",
			x.Daemons, x.Changes, x.StateChanges, x.Entries, x.Snapshots, x.Seconds)
	}
	if x := m.Cost; x != nil {
		fmt.Fprintf(w, "full load, %d pairs\t%.0f requests/s with the store\t%.0f without\t"+
			"ratio %.3f (%.3f to %.3f)\tp99 ratio %.2f (%.2f to %.2f)\n",
			x.Pairs, x.With, x.Without, x.Ratio.Median, x.Ratio.Least, x.Ratio.Most, x.P99.Median, x.P99.Least, x.P99.Most)
	}
	if x := m.Caught; x != nil {
		fmt.Fprintf(w, "%d servers known, %d bytes\tfollower from a replica %.0f ms\tfrom its own disk %.0f\t"+
			"a replica %.0f\n",
			x.Servers, x.Bytes, x.Follower, x.Disk, x.Replica)
	}
}

// measureFleet takes all measurements but that of the writes, which needs fleets of several sizes.
func (k *fleetMeasure) measureFleet(ctx context.Context, m *fleetMeasurements, say func(string)) error {
	fleet, err := k.start(ctx)
	if err != nil {
		return err
	}
	defer fleet.End()
	if k.Reports > 0 {
		if err := k.measureReports(ctx, fleet, m, say); err != nil {
			return err
		}
	}
	if k.Starts > 0 {
		m.Starts, err = fleet.MeasureStarts(ctx, k.Starts, say)
		if err != nil {
			return err
		}
	}
	if k.CostPairs > 0 {
		const runDuration = 3 * time.Second
		cost, err := fleet.MeasureCost(ctx, k.CostPairs, runDuration)
		if err != nil {
			return err
		}
		m.Cost = &cost
		say("cost")
	}
	if k.KnownServers > 0 {
		caught, err := fleet.MeasureCatchUp(ctx, k.KnownServers)
		if err != nil {
			return err
		}
		m.Caught = &caught
		say("catching up")
	}
	return nil
}

// measureReports measures, under load, how long reports by discovery and by operators take to reach all daemons.
func (k *fleetMeasure) measureReports(
	ctx context.Context, fleet *fleetlab.Fleet, m *fleetMeasurements, say func(string),
) error {
	const conns, requestInterval, warmup = 4, 5 * time.Millisecond, 2 * time.Second
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	clients := fleet.Load(loadCtx, conns, requestInterval)
	time.Sleep(warmup)
	for _, byOperators := range []bool{false, true} {
		t, err := fleet.MeasureReports(ctx, k.Reports, byOperators, say)
		if err != nil {
			return err
		}
		m.Reports = append(m.Reports, t)
	}
	stopLoad()
	clients.Wait()
	return nil
}
