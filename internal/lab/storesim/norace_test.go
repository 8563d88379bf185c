//go:build !race

package storesim

const thorough = true
