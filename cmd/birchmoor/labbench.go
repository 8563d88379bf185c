package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"time"

	"birchmoor/internal/lab/bench"
)

type benchCommand struct {
	JSON     string        `help:"File for the result as JSON; - for standard output." placeholder:"FILE"`
	Duration time.Duration `name:"for" default:"2s" help:"Duration of each measurement."`
	Rounds   int           `default:"2" help:"Number of rounds, each of which measures every party in turn."`
	Conns    []int         `default:"1,16,128" help:"Numbers of connections, with one request at a time on each."`
	Servers  []int         `default:"10,100,1000" help:"Numbers of servers in the endpoint list, measured at 16 connections."`
	Profile  string        `type:"path" help:"Folder for CPU profiles of the sidecar." placeholder:"DIR"`
}

func (k *benchCommand) Help() string {
	return `Example: birchmoor lab bench --json bench.json

Absolute times depend on the load of the machine: compare the ratios within one run.`
}

// maxBenchSize bounds the connections and the servers of a benchmark.
const maxBenchSize = 1500

func (k *benchCommand) Run(ctx context.Context, c *console) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if k.Profile != "" {
		if err := os.MkdirAll(k.Profile, 0o755); err != nil {
			return err
		}
	}
	for _, n := range slices.Concat(k.Conns, k.Servers) {
		if n < 1 || n > maxBenchSize {
			return fmt.Errorf("--conns and --servers: %d is not within 1 and %d", n, maxBenchSize)
		}
	}
	rows, err := bench.Run(ctx, bench.Options{
		PartyCommand: []string{self, "lab", "bench-peer"},
		Conns:        k.Conns,
		Sizes:        k.Servers,
		Duration:     k.Duration,
		Rounds:       max(1, k.Rounds),
		Profile:      k.Profile,
		Progress:     c.runsProgress("bench"),
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
	fmt.Fprintf(c.out, "%-14s %6s %8s %10s %9s %9s %9s %8s %8s %9s %8s %8s\n",
		"party", "conns", "servers", "requests/s", "p50 µs", "p99 µs", "p99.9 µs",
		"CPU µs", "allocs", "bytes", "peak MB", "not 200")
	for _, r := range rows {
		fmt.Fprintf(c.out, "%-14s %6d %8d %10.0f %9.0f %9.0f %9.0f %8.1f %8.1f %9.0f %8.1f %8d\n",
			r.Party, r.Conns, r.Servers, r.Rate, r.P50, r.P99, r.P999, r.CPU, r.Allocs, r.Bytes, r.PeakMB, r.Rejected)
	}
	return nil
}

// writeBenchJSON writes the rows of a benchmark as JSON, with the number of CPUs and the Go version that they depend
// on.
func writeBenchJSON(path string, rows any, out io.Writer) error {
	return writeJSON(path, map[string]any{"cpus": runtime.NumCPU(), "go": runtime.Version(), "rows": rows}, out)
}

// benchPeerCommand is a process of a benchmark: the servers, the reverse proxy or the sidecar. lab bench starts it.
type benchPeerCommand struct {
	Role   string `arg:""`
	Config string `arg:""`
}

func (k *benchPeerCommand) Run(ctx context.Context) error {
	return bench.Peer(ctx, k.Role, k.Config, os.Stdin, os.Stdout)
}
