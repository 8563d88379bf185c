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
	Depth          int           `help:"Sidecars in the row." default:"14"`
	Servers        int           `help:"That each sidecar knows." default:"10"`
	Rate           float64       `help:"Calls a second of the root." default:"225"`
	Duration       time.Duration `name:"for" help:"How long calls are made." default:"10s"`
	Attempts       []int         `help:"max_attempts of the sidecars; several are played in turn." default:"3" placeholder:"N,..."`
	Class          string        `help:"How calls may be repeated: look (safe), book (with a key) or pay (not)." default:"look"`
	Fail           string        `help:"What fails: leaf, the last server." placeholder:"leaf"`
	FailureMode    string        `name:"how" help:"How it fails: error, refuse (unseen) or silent." default:"error"`
	FailureRatio   []float64     `name:"share" help:"Of what reaches the leaf, that fails; several are played in turn." default:"1" placeholder:"X,..."`
	WarmupDuration time.Duration `name:"warm" help:"Of calls that are made first and not measured, where nothing fails; probes have their pace some 15 s after a start." default:"1s"`
	Virtual        bool          `help:"In virtual time, by the decision modules alone, with a sidecar for each server: for attempts, not for times."`
	Seed           uint64        `help:"All that is drawn comes from it." default:"1"`
	Bin            string        `help:"The sidecar program; without it, sidecar beside this command." type:"existingfile" placeholder:"PATH"`
	JSON           bool          `help:"As JSON."`
	Markdown       bool          `help:"As tables of a page."`
}

func (k *chainCommand) Help() string {
	return `Each level of the row is an application whose own call goes through its sidecar, a process of the program, to the next level; the last
one answers at once, or fails. Where nothing fails, each call is made a second time without sidecars, and what they add is told by pairs.

Examples:
  birchmoor lab chain --depth 14 --rate 225 --for 10s
  birchmoor lab chain --depth 3 --rate 50 --for 4s --fail leaf --share 0.1,0.5,1 --attempts 1,2,3,4 --markdown`
}

func (k *chainCommand) Run(ctx context.Context, c *console) error {
	if k.Fail != "" && k.Fail != "leaf" {
		return fmt.Errorf("--fail: %q is not leaf", k.Fail)
	}
	if k.JSON && k.Markdown {
		return errors.New("--markdown: not beside --json")
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
		o.Progress = func(s string) { fmt.Fprintf(c.err, "run %d of %d: %s\n", i+1, len(runs), s) }
		x, err := runChain(ctx, o)
		if err != nil {
			return err
		}
		results = append(results, x)
		if !k.JSON && !k.Markdown {
			chain.Print(c.out, x)
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

// options are those of all runs, checked before the first is started.
func (k *chainCommand) options() ([]chain.Options, error) {
	ratios := k.FailureRatio
	if k.Fail == "" {
		ratios = []float64{0}
	}
	var all []chain.Options
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
				o.LeafFailure = "" // --how is checked all the same
			}
			all = append(all, o)
		}
	}
	if k.Bin != "" || k.Virtual {
		return all, nil
	}
	bin, err := rig.Program()
	if err != nil {
		return nil, err
	}
	for i := range all {
		all[i].Program = bin
	}
	return all, nil
}
