//go:build !planted

package main

import (
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store/admin"
)

// isDefectBuild reports whether this program was built with the tag planted, so that defects can be injected into it.
const isDefectBuild = false

func leaseTableDefect() lease.TableDefect                { return lease.NoTableDefect }
func leaseSessionDefect() lease.Defect                   { return lease.NoDefect }
func killMarginWithDefect(d time.Duration) time.Duration { return d }
func deadlineWithDefect(nanos int64) int64               { return nanos }
func releasesLockEarly() bool                            { return false }
func storeWithDefect(s admin.Store) admin.Store          { return s }
