package main

import (
	"context"
	"fmt"
	"iter"
	"runtime"
	"sync"
)

// checkSeeds checks a number of seeds.
func checkSeeds(seeds int) error {
	if seeds < 1 {
		return fmt.Errorf("--seeds: %d is less than 1", seeds)
	}
	return nil
}

// seedResults runs seeds side by side, as many at once as there are CPUs, and yields their results in the order of
// the seeds. It ends early when ctx does, and waits for the runs that it has started.
func seedResults[R any](ctx context.Context, first uint64, seeds int, run func(seed uint64) R) iter.Seq[R] {
	return func(yield func(R) bool) {
		ctx, cancel := context.WithCancel(ctx)
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		results := make(chan chan R, 2*runtime.NumCPU())
		running.Go(func() {
			defer close(results)
			slots := make(chan struct{}, runtime.NumCPU())
			for i := range uint64(max(0, seeds)) {
				result := make(chan R, 1)
				select {
				case results <- result:
				case <-ctx.Done():
					return
				}
				slots <- struct{}{}
				running.Go(func() {
					result <- run(first + i)
					<-slots
				})
			}
		})
		for result := range results {
			select {
			case r := <-result:
				if !yield(r) {
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}
}
