package main

import (
	"context"
	"fmt"
	"iter"
	"runtime"
	"sync"
)

// checkSeeds returns an error unless the value of --seeds is at least 1.
func checkSeeds(seeds int) error {
	if seeds < 1 {
		return fmt.Errorf("--seeds: %d is less than 1", seeds)
	}
	return nil
}

// seedResults runs seeds concurrently, as many at once as there are CPUs, and yields their results in the order of the
// seeds. It stops early when ctx is done. In any case it returns only after the runs that it has started have ended.
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
