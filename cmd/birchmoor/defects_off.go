//go:build !planted

package main

import (
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store/admin"
)

// What a program that is built with the tag "planted" does wrong; this one does not.
const isDefectBuild = false

func leaseTableDefect() lease.TableDefect                { return lease.NoTableDefect }
func killMarginWithDefect(d time.Duration) time.Duration { return d }
func deadlineWithDefect(until int64) int64               { return until }
func releasesLockEarly() bool                            { return false }
func leaseSessionDefect() lease.Defect                   { return lease.NoDefect }
func storeWithDefect(s admin.Store) admin.Store          { return s }
