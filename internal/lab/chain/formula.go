// Package chain runs a row of levels, each an application behind a sidecar of its own that calls the next level. It
// measures what the row adds to the latency of a call, how much of the time left reaches each level, and how many
// attempts at the leaf, the last level, one call of the root becomes when the leaf fails.
package chain

import (
	"fmt"
	"math"

	"birchmoor/balancer"
)

// LeafFailure is a way in which the leaf fails.
type LeafFailure string

// The ways in which the leaf fails.
const (
	LeafErrors  LeafFailure = "error"  // it answers 500: the request may have run
	LeafRejects LeafFailure = "refuse" // it answers 503 with X-Never-Ran: the request did not run
	LeafSilent  LeafFailure = "silent" // it never answers
)

// LeafFailures lists the ways of failing, in the order of the command's help.
var LeafFailures = []LeafFailure{LeafErrors, LeafRejects, LeafSilent}

// Classes maps the names of the row's classes to their idempotency.
var Classes = map[string]balancer.Idempotency{"look": balancer.Idempotent, "book": balancer.WithIdempotencyKey,
	"pay": balancer.NotIdempotent}

// Figures of the retry budget of package balancer, where a retry costs 1.
const (
	budgetBurst      = 10  // initial and maximum balance of a sidecar
	budgetPerRequest = 0.2 // added by each request
)

// MayRetry reports whether a sidecar may retry a request after an attempt that failed in this way. If the leaf is
// silent, it retries only idempotent requests; an attempt of any other request lasts until the request's deadline.
func MayRetry(idempotency balancer.Idempotency, failure LeafFailure) bool {
	switch idempotency {
	case balancer.Idempotent:
		return true
	case balancer.WithIdempotencyKey:
		return failure != LeafSilent
	}
	return failure == LeafRejects
}

// MaxLeafAttempts returns the maximum number of attempts at the leaf for one call of the root, without retry budgets:
// attempts to the power of levels if a sidecar may retry, else 1. It is a float64 because it can exceed the range of
// integers.
func MaxLeafAttempts(idempotency balancer.Idempotency, failure LeafFailure, attempts, levels int) float64 {
	if !MayRetry(idempotency, failure) {
		return 1
	}
	return math.Pow(float64(attempts), float64(levels))
}

// BudgetedLeafAttempts returns the maximum number of attempts at the leaf for a number of calls of the root, with retry
// budgets. Each level has this number of sidecars, which start with full budgets.
func BudgetedLeafAttempts(idempotency balancer.Idempotency, failure LeafFailure, attempts, levels, calls,
	sidecars int) float64 {
	total := float64(calls)
	if !MayRetry(idempotency, failure) {
		return total
	}
	for range levels {
		total = min(total*float64(attempts), total+math.Floor(budgetPerRequest*total+float64(budgetBurst*sidecars)))
	}
	return total
}

// SteadyLeafAttempts returns the limit of BudgetedLeafAttempts per call as the number of calls grows: attempts at the
// leaf per call of the root.
func SteadyLeafAttempts(idempotency balancer.Idempotency, failure LeafFailure, attempts, levels int) float64 {
	if !MayRetry(idempotency, failure) {
		return 1
	}
	return math.Pow(min(float64(attempts), 1+budgetPerRequest), float64(levels))
}

// ClassIdempotency returns the idempotency of a class of the row. The error names the command's flag.
func ClassIdempotency(name string) (balancer.Idempotency, error) {
	idempotency, known := Classes[name]
	if !known {
		return 0, fmt.Errorf("--class: %q is none of look, book and pay", name)
	}
	return idempotency, nil
}
