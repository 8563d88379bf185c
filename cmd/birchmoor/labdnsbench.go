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
	Duration    time.Duration `name:"for" default:"3s" help:"Duration of each measurement."`
	Rounds      int           `default:"2" help:"Number of rounds, each of which measures every party in turn. The best round counts."`
	Open        []int         `default:"1,64,512" help:"Numbers of queries in flight."`
	Profile     string        `type:"path" help:"Folder for CPU profiles of the sidecar." placeholder:"DIR"`
	HeldQueries int           `name:"held" default:"10000" help:"Number of queries in flight while resolvers take one second to answer; 0: not measured."`
}

func (k *dnsBenchCommand) Help() string {
	return `Measures queries to a simulated resolver directly, through a plain forwarder of twenty lines that uses the same
library, and through the sidecar, each in its own process, side by side. Compare the ratios within one run.

Example: birchmoor lab dns-bench --json dns-bench.json`
}

// maxOpenQueries is the maximum number of queries that a benchmark has in flight.
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
		Progress: c.runsProgress("dns-bench"),
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

// loads returns the loads to measure, in order, or an error if a flag is out of range.
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

// dnsPeerCommand is a process of the benchmark, started by lab dns-bench.
type dnsPeerCommand struct {
	Role string   `arg:""`
	Args []string `arg:"" optional:""`
}

func (k *dnsPeerCommand) Run(ctx context.Context) error {
	return dnslab.Peer(ctx, k.Role, k.Args, os.Stdin, os.Stdout)
}
