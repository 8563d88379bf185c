//go:build race

package limitsim

// raceEnabled reduces the number of seeds under the race detector, which makes a run more than ten times as long while
// a simulation has only one goroutine. .ci/run also runs the tests without it, with all seeds.
const raceEnabled = true
