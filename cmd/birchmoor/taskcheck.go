package main

import (
	"context"
	"encoding/json"
	"fmt"

	"birchmoor/internal/lab/leasemodel"
)

type taskCheck struct {
	Depth int  `help:"Steps." default:"10"`
	JSON  bool `help:"A line of JSON for each choice of clocks."`
}

func (k *taskCheck) Help() string {
	return `All interleavings of two holders and the store, up to the depth, with each choice of whose clock runs fast: lost, doubled and late
messages, another leader, releases that cross renewals. Depth 12 takes some 20 s and 1 GB each. Exit code 1 if two are entitled at once.`
}

func (k *taskCheck) Run(ctx context.Context, c *console) error {
	const clockChoices = 1 << 3 // each of the store's, A's and B's clock is fast or not
	broken := false
	for choice := range clockChoices {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		o := leasemodel.Options{Depth: k.Depth, Store: choice&1 != 0, A: choice&2 != 0, B: choice&4 != 0}
		r := leasemodel.Run(o)
		broken = broken || r.Broken != nil
		if k.JSON {
			if err := json.NewEncoder(c.out).Encode(r); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(c.out, "fast: store %v, A %v, B %v: %d states, %d steps between them, to depth %d: %q\n",
			o.Store, o.A, o.B, r.States, r.Steps, r.Depth, r.Broken)
	}
	if broken {
		return errRunFailed
	}
	return nil
}
