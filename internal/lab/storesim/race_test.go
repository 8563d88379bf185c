//go:build race

package storesim

// thorough is false under the race detector, which makes a run more than ten times as long while a simulation has only
// one goroutine. .ci/run also runs the tests without it, with all seeds.
const thorough = false
