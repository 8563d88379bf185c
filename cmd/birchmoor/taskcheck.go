package main

import (
	"context"
	"encoding/json"
	"fmt"

	"birchmoor/internal/lab/leasemodel"
)

type taskCheck struct {
	Depth int  `help:"Maximum number of steps." default:"10"`
	JSON  bool `help:"Print a line of JSON for each choice of clocks."`
}

func (k *taskCheck) Help() string {
	return `Checks all interleavings of two holders and the store up to a depth, with lost, duplicated and late messages,
changes of the leader, and releases that cross renewals, for each choice of fast clocks. Depth 12 takes some 20 s and 1
GB for each choice. Exit code 1 if both holders are entitled to the lease at once.`
}

func (k *taskCheck) Run(ctx context.Context, c *console) error {
	const clockChoices = 1 << 3 // the clocks of the store, A and B can each be fast
	broken := false
	for choice := range clockChoices {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		options := leasemodel.Options{Depth: k.Depth, Store: choice&1 != 0, A: choice&2 != 0, B: choice&4 != 0}
		result := leasemodel.Run(options)
		broken = broken || result.Broken != nil
		if k.JSON {
			if err := json.NewEncoder(c.out).Encode(result); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(c.out, "fast: store %v, A %v, B %v: %d states, %d steps between them, to depth %d: %q\n",
			options.Store, options.A, options.B, result.States, result.Steps, result.Depth, result.Broken)
	}
	if broken {
		return errRunFailed
	}
	return nil
}
