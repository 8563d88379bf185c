package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"birchmoor/internal/lab/dnslab"
)

type dnsBenchCommand struct {
	JSON        string        `help:"File for the result as JSON; - for standard output." placeholder:"FILE"`
	Duration    time.Duration `name:"for" default:"3s" help:"How long each measurement takes."`
	Rounds      int           `default:"2" help:"How often each is repeated, the parties in turn; the best counts."`
	Open        []int         `default:"1,64,512" help:"Queries open at once."`
	Profile     string        `type:"path" help:"Folder for CPU profiles of the sidecar." placeholder:"DIR"`
	HeldQueries int           `name:"held" default:"10000" help:"Queries open at once while resolvers take a second to answer; 0: not measured."`
}

func (k *dnsBenchCommand) Help() string {
	return `Measures asking a stand-in resolver directly, through a plain forwarder of twenty lines on the same library, and through
the sidecar, each in a process of its own, side by side. Look at the ratios within a run.

Example: birchmoor lab dns-bench --json dns-bench.json`
}

// maxOpenQueries bounds the queries of a benchmark that are open at once.
const maxOpenQueries = 20_000

func (k *dnsBenchCommand) Run(ctx context.Context, c *console) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	loads, err := k.loads()
	if err != nil {
		return err
	}
	if k.Profile != "" {
		if err := os.MkdirAll(k.Profile, 0o755); err != nil {
			return err
		}
	}
	rows, err := dnslab.Bench(ctx, dnslab.BenchOptions{
		Self:     []string{self, "lab", "dns-peer"},
		Loads:    loads,
		For:      k.Duration,
		Rounds:   max(1, k.Rounds),
		Profile:  k.Profile,
		Progress: c.count("dns-bench"),
	})
	if err != nil {
		return err
	}
	c.clear()
	if k.JSON != "" {
		err := writeBenchJSON(k.JSON, rows, c.out)
		if err != nil || k.JSON == "-" {
			return err
		}
	}
	fmt.Fprintf(c.out, "%-8s %-4s %6s %8s %10s %7s %9s %9s %9s %8s %7s %8s\n",
		"party", "over", "open", "wait ms", "queries/s", "CPU µs",
		"p50 µs", "p99 µs", "p99.9 µs", "peak MB", "not ok", "missing")
	for _, r := range rows {
		transport := "UDP"
		if r.TCP {
			transport = "TCP"
		}
		fmt.Fprintf(c.out, "%-8s %-4s %6d %8.0f %10.0f %7.1f %9.0f %9.0f %9.0f %8.1f %7d %8d\n", r.Party, transport, r.Open,
			r.WaitMs, r.Rate, r.CPU, r.P50, r.P99, r.P999, r.PeakMB, r.NotOK, r.Missing)
	}
	return nil
}

// loads are the loads to measure, in order.
func (k *dnsBenchCommand) loads() ([]dnslab.BenchLoad, error) {
	var loads []dnslab.BenchLoad
	for _, tcp := range []bool{false, true} {
		for _, n := range k.Open {
			if n < 1 || n > maxOpenQueries {
				return nil, fmt.Errorf("--open: %d is not within 1 and %d", n, maxOpenQueries)
			}
			loads = append(loads, dnslab.BenchLoad{TCP: tcp, Open: n})
		}
	}
	if k.HeldQueries > 0 {
		loads = append(loads, dnslab.BenchLoad{Open: k.HeldQueries, Wait: time.Second})
	}
	return loads, nil
}

// dnsPeerCommand is one party of the benchmark, run by the benchmark itself.
type dnsPeerCommand struct {
	Role string   `arg:""`
	Args []string `arg:"" optional:""`
}

func (k *dnsPeerCommand) Run(ctx context.Context) error {
	return dnslab.Peer(ctx, k.Role, k.Args, os.Stdin, os.Stdout)
}
