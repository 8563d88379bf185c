//go:build race

package limitsim

// The race detector makes a run more than ten times as long, and a simulation is one goroutine: here it plays little. .ci/run plays it
// whole without.
const raced = true
