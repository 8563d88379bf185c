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
	Torture fleetTorture `cmd:"" help:"Kill and cut daemons under load while servers drain; the servers judge."`
	Measure fleetMeasure `cmd:"" help:"How fast words bind, how daemons start, and what a fleet writes."`
}

type fleetFlags struct {
	Dir       string `help:"Folder for what it writes." default:"." type:"existingdir"`
	Replicas  int    `help:"Daemons with a replica." default:"3"`
	Followers int    `name:"follow" help:"Daemons that follow them." default:"2"`
	Servers   int    `help:"Slot servers." default:"6"`
	Seed      uint64 `help:"Of what happens." default:"1"`
	JSON      bool   `help:"As JSON."`
}

// start starts a fleet of this program's daemons.
func (k *fleetFlags) start(ctx context.Context) (*fleetlab.Fleet, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if k.Replicas < 1 || k.Replicas > 9 || k.Followers < 0 || k.Followers > 400 || k.Servers < 2 || k.Servers > 1000 {
		return nil, fmt.Errorf("1 to 9 replicas, up to 400 followers, 2 to 1000 servers: not %d, %d, %d",
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
	Duration      time.Duration `name:"for" help:"Long." default:"2m"`
	FaultInterval time.Duration `name:"every" help:"A blow, on average." default:"4s"`
	Conns         int           `help:"Clients' connections to each daemon." default:"4"`
	Pause         time.Duration `help:"Between two requests of a connection." default:"10ms"`
}

func (k *fleetTorture) Help() string {
	return `Exit code 1 if a daemon sent anything to a server that it knew to drain, or that all should have known to.

Example:
  birchmoor store fleet torture --for 5m --follow 5`
}

func (k *fleetTorture) Run(ctx context.Context, c *console) error {
	f, err := k.start(ctx)
	if err != nil {
		return err
	}
	defer f.End()
	load, stop := context.WithCancel(ctx)
	clients := f.Load(load, k.Conns, k.Pause)
	t := fleetlab.Torture{
		Fleet:         f,
		Duration:      k.Duration,
		FaultInterval: k.FaultInterval,
		Seed:          k.Seed,
		Progress:      func(s string) { fmt.Fprintln(c.err, s) },
	}
	r, err := t.Run(ctx)
	stop()
	clients.Wait()
	if err != nil {
		return err
	}
	if k.JSON {
		if err := json.NewEncoder(c.out).Encode(r); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(c.out, "%d drains (%d of them undisturbed), %d starts, %d kills, %d times all at once,"+
			" %d cuts, %d requests\n",
			r.Drains, r.UndisturbedDrains, r.Starts, r.Kills, r.KillsOfAll, r.Cuts, r.Requests)
		fmt.Fprintf(c.out, "from daemons that knew %d, late %d, never told %d;"+
			" the last of an undisturbed one came %.0f ms after the word\n", r.Stale, r.Late, r.NeverReported, r.WorstMs)
		for _, b := range r.Violations {
			fmt.Fprintln(c.out, b)
		}
	}
	if r.Stale+r.Late+r.NeverReported > 0 {
		return errRunFailed
	}
	return nil
}

type fleetMeasure struct {
	fleetFlags
	Reports      int   `name:"words" help:"Words of discovery and of operators whose way to all is measured; 0 for none." default:"1000"`
	Starts       int   `help:"Starts of each kind; 0 for none." default:"10"`
	Writes       []int `help:"Daemons at which the store's writes are counted." default:"3,20,80"`
	KnownServers int   `name:"known" help:"Servers that the store knows when daemons catch up; 0 for not at all." default:"10000"`
	CostPairs    int   `name:"cost" help:"Pairs of runs at full load, with the store and without; 0 for none." default:"5"`
}

func (k *fleetMeasure) Help() string {
	return `How long a drain or a ban takes to bind at all daemons, how a daemon starts with nothing, with its own disk and from the
store, and what a fleet writes while its lists change. Minutes long: not for a test run.

Example:
  birchmoor store fleet measure --words 1000 --starts 10 --writes 3,20,80`
}

// fleetMeasurements is what fleet measure prints.
type fleetMeasurements struct {
	Reports []fleetlab.ReportDelays  `json:"words,omitempty"`
	Starts  []fleetlab.StartFigures  `json:"starts,omitempty"`
	Writes  []fleetlab.WriteFigures  `json:"writes,omitempty"`
	Caught  *fleetlab.CatchUpFigures `json:"caught,omitempty"`
	Cost    *fleetlab.Cost           `json:"cost,omitempty"`
}

func (k *fleetMeasure) Run(ctx context.Context, c *console) error {
	var m fleetMeasurements
	say := func(s string) { fmt.Fprintln(c.err, "measured:", s) }
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
		fmt.Fprintf(w, "%s, to where it was told"+latency, x.Source, x.Receiver.N, x.Receiver.P50, x.Receiver.P99, x.Receiver.Worst)
		fmt.Fprintf(w, "%s, to the others"+latency, x.Source, x.Others.N, x.Others.P50, x.Others.P99, x.Others.Worst)
	}
	for _, x := range m.Starts {
		fmt.Fprintf(w, "start with %s\t%d\tp50 %.0f ms\tworst %.0f\tserved in the first second %.3f,"+
			" sent to drained servers %.1f, servers recalled %.1f\n",
			x.Source, x.N, x.Ready.P50, x.Ready.Worst, x.Served, x.DrainedRequests, x.RestoredServers)
	}
	for _, x := range m.Writes {
		fmt.Fprintf(w, "%d daemons\t%d changes of lists\t%d words in the store\t%d entries of the log\t"+
			"%d pictures\tin %.0f s\n",
			x.Daemons, x.Changes, x.StateChanges, x.Entries, x.Snapshots, x.Seconds)
	}
	if x := m.Cost; x != nil {
		fmt.Fprintf(w, "full load, %d pairs\t%.0f a second with the store\t%.0f without\t"+
			"ratio %.3f (%.3f to %.3f)\tp99 ratio %.2f (%.2f to %.2f)\n",
			x.Pairs, x.With, x.Without, x.Ratio.Median, x.Ratio.Least, x.Ratio.Most, x.P99.Median, x.P99.Least, x.P99.Most)
	}
	if x := m.Caught; x != nil {
		fmt.Fprintf(w, "%d servers known, %d bytes\tfollower from a replica %.0f ms\tfrom its own disk %.0f\t"+
			"a replica %.0f\n",
			x.Servers, x.Bytes, x.Follower, x.Disk, x.Replica)
	}
}

// measureFleet measures what a fleet of the given size is enough for: all but the writes.
func (k *fleetMeasure) measureFleet(ctx context.Context, m *fleetMeasurements, say func(string)) error {
	f, err := k.start(ctx)
	if err != nil {
		return err
	}
	defer f.End()
	if k.Reports > 0 {
		if err := k.measureReports(ctx, f, m, say); err != nil {
			return err
		}
	}
	if k.Starts > 0 {
		m.Starts, err = f.MeasureStarts(ctx, k.Starts, say)
		if err != nil {
			return err
		}
	}
	if k.CostPairs > 0 {
		const runDuration = 3 * time.Second
		cost, err := f.MeasureCost(ctx, k.CostPairs, runDuration)
		if err != nil {
			return err
		}
		m.Cost = &cost
		say("cost")
	}
	if k.KnownServers > 0 {
		caught, err := f.MeasureCatchUp(ctx, k.KnownServers)
		if err != nil {
			return err
		}
		m.Caught = &caught
		say("catching up")
	}
	return nil
}

// measureReports measures, under load, how long reports of discovery and of operators take to reach all daemons.
func (k *fleetMeasure) measureReports(
	ctx context.Context, f *fleetlab.Fleet, m *fleetMeasurements, say func(string),
) error {
	const conns, requestInterval, warmup = 4, 5 * time.Millisecond, 2 * time.Second
	load, stop := context.WithCancel(ctx)
	defer stop()
	clients := f.Load(load, conns, requestInterval)
	time.Sleep(warmup)
	for _, byOperators := range []bool{false, true} {
		t, err := f.MeasureReports(ctx, k.Reports, byOperators, say)
		if err != nil {
			return err
		}
		m.Reports = append(m.Reports, t)
	}
	stop()
	clients.Wait()
	return nil
}
