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

// isDefectBuild reports whether this program was built with the tag planted, so that defects can be injected into it.
const isDefectBuild = true

// Injected defects that task torture must find. The environment variable BIRCHMOOR_PLANT names the enabled one.
const (
	defectOrderIgnored    = "order-ignored"    // the lease table grants a lease to any queue entry, not only the first
	defectDeadlineIgnored = "deadline-ignored" // the keeper lets the command run past its deadline
	defectKeptLate        = "kept-late"        // the keeper kills the command after its deadline, not before
	defectReleasedFirst   = "released-first"   // lock releases the lease before its command has ended
	defectRateIgnored     = "rate-ignored"     // sessions allow for no difference in clock rate between hosts
	defectReadStale       = "read-stale"       // reads return the local copy without a quorum's confirmation
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

// staleStore is a store whose reads return the local copy, without a quorum's confirmation.
type staleStore struct{ admin.Store }

func (s staleStore) View(ctx context.Context, _ bool, f func(*store.State)) (engine.CopyAge, error) {
	return s.Store.View(ctx, true, f)
}
