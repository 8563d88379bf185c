package main

import (
	"testing"
	"time"

	"birchmoor/internal/lab/messagelab"
	"birchmoor/internal/testutil/processtest"
)

const (
	messageSeeds    = 6 // two of them with a crowd
	messageDuration = 8 * time.Second
)

// No rule about what clients and servers see is broken with long and slow messages, crowds, signals and upgrades. Rules
// with a bound in real time are left to "birchmoor lab messages".
func TestMessageSoak(t *testing.T) {
	t.Parallel()
	self := processtest.Self(t, nil)
	for seed := range uint64(messageSeeds) {
		result, err := messagelab.Run(t.Context(), messagelab.Options{
			Program:  self.Path,
			Dir:      t.TempDir(),
			Seed:     seed + 1,
			Duration: messageDuration,
		})
		if err != nil {
			t.Fatal(err)
		}
		if result.Served == 0 || result.Faults == 0 {
			t.Errorf("seed %d: %d requests served and %d faults, want some of each", seed+1, result.Served, result.Faults)
		}
		for _, v := range result.Violations {
			t.Errorf("seed %d: %s: %s", seed+1, v.Rule, v.Detail)
		}
	}
}
