// Package bootclock reads the time since the host's boot, which measures leases. This clock also runs while the host is
// suspended, is never set, and is the same for all processes of a host. Times of two hosts must never be compared. The
// package imports nothing of this module.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the host's CLOCK_BOOTTIME. Tests across processes use it with another rate. The zero value runs at the
// host's rate.
type Clock struct {
	Rate float64 // relative to the host's clock; 0 means 1
}

// Now returns the time since the host's boot in nanoseconds, multiplied by Rate.
func (c Clock) Now() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // cannot happen: Linux has had this clock since 2.6.39
	}
	if c.Rate == 0 {
		return now.Nano()
	}
	return int64(float64(now.Nano()) * c.Rate)
}

// TimerDuration returns how long a Go timer must run until this clock has advanced by the given time in nanoseconds.
func (c Clock) TimerDuration(nanos int64) time.Duration {
	if c.Rate == 0 {
		return time.Duration(nanos)
	}
	return time.Duration(float64(nanos) / c.Rate)
}
