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
const isDefectBuild = true

func init() { processFaults = tasklab.ReadInside() }

func defectEnabled(name string) bool { return os.Getenv(tasklab.PlantEnv) == name }

// order-ignored: whoever has a place acts.
func leaseTableDefect() lease.TableDefect {
	if defectEnabled("order-ignored") {
		return lease.IgnoreQueueOrder
	}
	return lease.NoTableDefect
}

// deadline-ignored: the keeper does not end the command when its time is up.
func deadlineWithDefect(until int64) int64 {
	if defectEnabled("deadline-ignored") {
		return until + int64(time.Hour)
	}
	return until
}

// kept-late: the keeper ends the command two seconds after its time.
func killMarginWithDefect(d time.Duration) time.Duration {
	if defectEnabled("kept-late") {
		return -2 * time.Second
	}
	return d
}

// released-first: lock gives the task up before its command has ended.
func releasesLockEarly() bool { return defectEnabled("released-first") }

// rate-ignored: clocks are taken to run at one rate.
func leaseSessionDefect() lease.Defect {
	if defectEnabled("rate-ignored") {
		return lease.IgnoreSkew
	}
	return lease.NoDefect
}

// read-stale: a read asks nobody where the quorum is.
func storeWithDefect(c admin.Store) admin.Store {
	if defectEnabled("read-stale") {
		return staleStore{c}
	}
	return c
}

type staleStore struct{ admin.Store }

func (s staleStore) View(ctx context.Context, _ bool, f func(*store.State)) (engine.CopyAge, error) {
	return s.Store.View(ctx, true, f)
}
