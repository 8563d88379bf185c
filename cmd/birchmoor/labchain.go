package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"birchmoor/internal/lab/chain"
	"birchmoor/internal/lab/rig"
)

type chainCommand struct {
	Depth          int           `help:"Number of sidecars in the chain." default:"14"`
	Servers        int           `help:"Number of servers in the endpoint list of each sidecar." default:"10"`
	Rate           float64       `help:"Calls per second that the root makes." default:"225"`
	Duration       time.Duration `name:"for" help:"Duration of each run." default:"10s"`
	Attempts       []int         `help:"Setting max_attempts of the sidecars. Several values are run in turn." default:"3" placeholder:"N,..."`
	Class          string        `help:"Class of the calls: look (safe to retry), book (retried with an idempotency key) or pay (not retried)." default:"look"`
	Fail           string        `help:"Level that fails: leaf, the last one." placeholder:"leaf"`
	FailureMode    string        `name:"how" help:"How it fails: error, refuse (without processing the request) or silent." default:"error"`
	FailureRatio   []float64     `name:"share" help:"Fraction of the requests at the leaf that fails. Several values are run in turn." default:"1" placeholder:"X,..."`
	WarmupDuration time.Duration `name:"warm" help:"Duration of calls without failures before the measurement starts. Probes reach their usual rate some 15 s after a start." default:"1s"`
	Virtual        bool          `help:"Run in virtual time, with only the decision modules and one sidecar for each server. It counts attempts; its latencies mean nothing."`
	Seed           uint64        `help:"Seed of all random values." default:"1"`
	Bin            string        `help:"The sidecar program; without it, the file sidecar next to this program." type:"existingfile" placeholder:"PATH"`
	JSON           bool          `help:"Print JSON."`
	Markdown       bool          `help:"Print Markdown tables."`
}

func (k *chainCommand) Help() string {
	return `Each level of the chain is an application that calls the next level through its own sidecar process. The last
level replies at once, or fails. In runs without failures each call is made a second time without sidecars, and the
latency that the sidecars add is measured from these pairs.

Examples:
  birchmoor lab chain --depth 14 --rate 225 --for 10s
  birchmoor lab chain --depth 3 --rate 50 --for 4s --fail leaf --share 0.1,0.5,1 --attempts 1,2,3,4 --markdown`
}

func (k *chainCommand) Run(ctx context.Context, c *console) error {
	if k.Fail != "" && k.Fail != "leaf" {
		return fmt.Errorf("--fail: %q is not leaf, the only level that can fail", k.Fail)
	}
	if k.JSON && k.Markdown {
		return errors.New("--markdown and --json cannot be used together")
	}
	runs, err := k.options()
	if err != nil {
		return err
	}
	runChain := chain.Run
	if k.Virtual {
		runChain = chain.Virtual
	}
	var results []*chain.Result
	for i, o := range runs {
		o.Progress = func(s string) { fmt.Fprintf(c.errOut, "run %d of %d: %s\n", i+1, len(runs), s) }
		result, err := runChain(ctx, o)
		if err != nil {
			return err
		}
		results = append(results, result)
		if !k.JSON && !k.Markdown {
			chain.Print(c.out, result)
		}
	}
	switch {
	case k.JSON:
		return json.NewEncoder(c.out).Encode(results)
	case k.Markdown:
		chain.Markdown(c.out, results)
	}
	return nil
}

// options returns the checked options of all runs, one for each failure ratio and number of attempts.
func (k *chainCommand) options() ([]chain.Options, error) {
	ratios := k.FailureRatio
	if k.Fail == "" {
		ratios = []float64{0}
	}
	var options []chain.Options
	for _, ratio := range ratios {
		for _, attempts := range k.Attempts {
			o := chain.Options{
				Program:      k.Bin,
				Depth:        k.Depth,
				Servers:      k.Servers,
				Rate:         k.Rate,
				Duration:     k.Duration,
				WarmUp:       k.WarmupDuration,
				Attempts:     attempts,
				Class:        k.Class,
				LeafFailure:  chain.LeafFailure(k.FailureMode),
				FailureShare: ratio,
				Seed:         k.Seed,
			}
			if err := o.Check(); err != nil {
				return nil, err
			}
			if k.Fail == "" {
				o.LeafFailure = "" // set until here, so that Check validates --how
			}
			options = append(options, o)
		}
	}
	if k.Bin != "" || k.Virtual {
		return options, nil
	}
	bin, err := rig.Program()
	if err != nil {
		return nil, err
	}
	for i := range options {
		options[i].Program = bin
	}
	return options, nil
}
