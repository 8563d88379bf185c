package main

import (
	"context"
	"fmt"
	"strings"

	"birchmoor/internal/lab/dnslab"
)

type labDNSCommand struct {
	Scenario []string `arg:"" type:"existingfile" help:"Scenario files, such as lab/dns/dns-loss.toml."`
	Through  []string `default:"sidecar" enum:"sidecar,plain,direct" help:"What clients query: the sidecar, a plain forwarder (plain), or the first resolver (direct)." placeholder:"WHAT"`
	Seeds    int      `default:"1" help:"Number of seeds."`
	Seed     uint64   `default:"1" help:"First seed."`
	JSON     string   `help:"File for the results as JSON; - for standard output." placeholder:"FILE"`
}

func (k *labDNSCommand) Help() string {
	return `Runs scenarios of DNS queries in real time, through the DNS front of a sidecar to simulated resolvers. Exit
code 1 if a run broke a rule or missed a figure.

Examples:
  birchmoor lab dns lab/dns/*.toml
  birchmoor lab dns lab/dns/dns-loss.toml --through sidecar,plain --seeds 3`
}

// maxDNSSeeds is the maximum number of seeds with which each scenario is run.
const maxDNSSeeds = 1000

func (k *labDNSCommand) Run(ctx context.Context, c *console) error {
	if k.Seeds < 1 || k.Seeds > maxDNSSeeds {
		return fmt.Errorf("--seeds: %d is not within 1 and %d", k.Seeds, maxDNSSeeds)
	}
	var scenarios []*dnslab.Scenario
	for _, path := range k.Scenario {
		s, err := dnslab.Read(path)
		if err != nil {
			return err
		}
		scenarios = append(scenarios, s)
	}
	results, err := k.runAll(ctx, c, scenarios)
	if err != nil {
		return err
	}
	if k.JSON != "" {
		if err := writeJSON(k.JSON, results, c.out); err != nil {
			return err
		}
	}
	for _, r := range results {
		if len(r.Missed) > 0 {
			return errRunFailed
		}
	}
	return nil
}

// runAll runs each scenario with each seed through each party of --through, and prints a table row for each run unless
// the JSON goes to standard output.
func (k *labDNSCommand) runAll(
	ctx context.Context, c *console, scenarios []*dnslab.Scenario,
) (results []*dnslab.Result, err error) {
	table := k.JSON != "-"
	if table {
		fmt.Fprintf(c.out, "%-14s %-8s %5s %7s %8s %7s %8s %7s %8s %8s  %s\n",
			"scenario", "through", "seed", "asked", "in time", "served", "attempts", "p50 ms", "p99 ms", "p999 ms", "")
	}
	showProgress := c.runsProgress("lab dns")
	total := len(scenarios) * k.Seeds * len(k.Through)
	for _, s := range scenarios {
		for i := range uint64(k.Seeds) {
			for _, through := range k.Through {
				seed := k.Seed + i
				r, err := dnslab.Run(ctx, s, dnslab.Options{Seed: seed, Party: dnslab.Party(through)})
				if err != nil {
					return nil, err
				}
				results = append(results, r)
				showProgress(len(results), total)
				c.clear()
				if table {
					fmt.Fprintf(c.out, "%-14s %-8s %5d %7d %8.3f %7.3f %8.2f %7.1f %8.1f %8.1f  %s\n",
						s.Name, through, seed, r.Asked, r.Service, r.Served, r.Attempts, r.P50, r.P99, r.P999, dnsVerdict(r))
				}
			}
		}
	}
	return results, nil
}

// dnsVerdict returns the last column of a table row: the verdict, the time from the report that a resolver is out to
// the last query sent to it, the share of HTTP requests that were served, and the missed figures.
func dnsVerdict(r *dnslab.Result) string {
	verdict := ""
	if r.Party == dnslab.Sidecar {
		verdict = r.Verdict.String()
	}
	if r.LastSent > 0 {
		verdict += fmt.Sprintf("; last query %.0f ms after a resolver was reported out", r.LastSent)
	}
	if r.Bookings > 0 {
		verdict += fmt.Sprintf("; bookings %.3f", r.Bookings)
	}
	if len(r.Missed) > 0 {
		verdict += "; MISSED: " + strings.Join(r.Missed, "; ")
	}
	return verdict
}
