//go:build planted

package main

import (
	"context"
	"os"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/lab/tasklab"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/engine"
)

// Faults for the bench between processes to find, chosen by an environment variable.
const isPlanted = true

func init() { inside = tasklab.ReadInside() }

func planted(name string) bool { return os.Getenv(tasklab.PlantEnv) == name }

// order-ignored: whoever has a place acts.
func plantedTable() lease.TableDefect {
	if planted("order-ignored") {
		return lease.IgnoreQueueOrder
	}
	return lease.NoTableDefect
}

// deadline-ignored: the keeper does not end the command when its time is up.
func plantedUntil(until int64) int64 {
	if planted("deadline-ignored") {
		return until + int64(time.Hour)
	}
	return until
}

// kept-late: the keeper ends the command two seconds after its time.
func plantedEarly(d time.Duration) time.Duration {
	if planted("kept-late") {
		return -2 * time.Second
	}
	return d
}

// released-first: lock gives the task up before its command has ended.
func plantedRelease() bool { return planted("released-first") }

// rate-ignored: clocks are taken to run at one rate.
func plantedSession() lease.Defect {
	if planted("rate-ignored") {
		return lease.IgnoreSkew
	}
	return lease.NoDefect
}

// read-stale: a read asks nobody where the quorum is.
func plantedStore(c admin.Store) admin.Store {
	if planted("read-stale") {
		return staleStore{c}
	}
	return c
}

type staleStore struct{ admin.Store }

func (s staleStore) View(ctx context.Context, _ bool, f func(*store.State)) (engine.CopyAge, error) {
	return s.Store.View(ctx, true, f)
}
