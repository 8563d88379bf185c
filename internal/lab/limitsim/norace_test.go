//go:build !race

package limitsim

const raced = false
