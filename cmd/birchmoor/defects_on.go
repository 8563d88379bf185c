//go:build planted

package main

import (
	"context"
	"os"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/lab/soak"
	"birchmoor/internal/lab/tasklab"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/engine"
)

// isDefectBuild reports whether defects can be injected into this program: it was built with the tag planted.
const isDefectBuild = true

// Defects that task torture is to find. An environment variable names the one that is enabled.
const (
	defectOrderIgnored    = "order-ignored"    // any queue entry may hold the lease
	defectDeadlineIgnored = "deadline-ignored" // the keeper does not end the command at its deadline
	defectKeptLate        = "kept-late"        // the keeper ends the command after its deadline
	defectReleasedFirst   = "released-first"   // lock releases the lease before its command has ended
	defectRateIgnored     = "rate-ignored"     // clocks of hosts are taken to run at one rate
	defectReadStale       = "read-stale"       // a read is not confirmed by a quorum
)

func init() {
	processFaults = tasklab.ReadProcessFaults()
	if err := soak.InjectDefect(); err != nil {
		panic(err)
	}
}

func defectEnabled(name string) bool { return os.Getenv(tasklab.DefectEnv) == name }

func leaseTableDefect() lease.TableDefect {
	if defectEnabled(defectOrderIgnored) {
		return lease.IgnoreQueueOrder
	}
	return lease.NoTableDefect
}

func leaseSessionDefect() lease.Defect {
	if defectEnabled(defectRateIgnored) {
		return lease.IgnoreSkew
	}
	return lease.NoDefect
}

func killMarginWithDefect(d time.Duration) time.Duration {
	const lateMargin = -2 * time.Second
	if defectEnabled(defectKeptLate) {
		return lateMargin
	}
	return d
}

func deadlineWithDefect(nanos int64) int64 {
	if defectEnabled(defectDeadlineIgnored) {
		return nanos + int64(time.Hour)
	}
	return nanos
}

func releasesLockEarly() bool { return defectEnabled(defectReleasedFirst) }

func storeWithDefect(s admin.Store) admin.Store {
	if defectEnabled(defectReadStale) {
		return staleStore{s}
	}
	return s
}

// staleStore makes every read a stale one.
type staleStore struct{ admin.Store }

func (s staleStore) View(ctx context.Context, _ bool, f func(*store.State)) (engine.CopyAge, error) {
	return s.Store.View(ctx, true, f)
}
