//go:build !race

package limitsim

const raceEnabled = false
