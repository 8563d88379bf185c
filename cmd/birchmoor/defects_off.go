//go:build !planted

package main

import (
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store/admin"
)

// What a program that is built with the tag "planted" does wrong; this one does not.
const isPlanted = false

func plantedTable() lease.TableDefect            { return lease.NoTableDefect }
func plantedEarly(d time.Duration) time.Duration { return d }
func plantedUntil(until int64) int64             { return until }
func plantedRelease() bool                       { return false }
func plantedSession() lease.Defect               { return lease.NoDefect }
func plantedStore(s admin.Store) admin.Store     { return s }
