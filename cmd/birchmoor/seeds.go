package main

import (
	"context"
	"fmt"
	"iter"
	"math"
	"runtime"
	"strconv"
	"strings"
	"sync"
)

// checkSeeds returns an error unless the value of --seeds is at least 1.
func checkSeeds(seeds int) error {
	if seeds < 1 {
		return fmt.Errorf("--seeds: %d is less than 1", seeds)
	}
	return nil
}

// parseSeedRange parses a range of seeds such as 1-50.
func parseSeedRange(text string) (from, to uint64, err error) {
	first, last, ok := strings.Cut(text, "-")
	from, errFrom := strconv.ParseUint(first, 10, 64)
	to, errTo := strconv.ParseUint(last, 10, 64)
	// The loop over a range that ends with the largest number would not end.
	if !ok || errFrom != nil || errTo != nil || from > to || to == math.MaxUint64 {
		return 0, 0, fmt.Errorf("--seeds %q is not a range such as 1-50", text)
	}
	return from, to, nil
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
