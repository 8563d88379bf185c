// Package bootclock reads the host's clock since its boot, by which leases are counted. It goes on while the host
// is suspended, does not step, and is the same for all processes of a host. Clocks of two hosts must never be
// compared. The package imports nothing of this module.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is CLOCK_BOOTTIME, or for tests among processes a clock at another rate. The zero value is the host's.
type Clock struct {
	Rate float64 // relative to the host's clock; 0: 1
}

// Now returns the nanoseconds since the host's boot.
func (c Clock) Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has the clock since 2.6.39
	}
	if c.Rate == 0 {
		return t.Nano()
	}
	return int64(float64(t.Nano()) * c.Rate)
}

// TimerDuration returns for how long a timer of the process must run until this clock has advanced by some nanoseconds.
func (c Clock) TimerDuration(nanos int64) time.Duration {
	if c.Rate == 0 {
		return time.Duration(nanos)
	}
	return time.Duration(float64(nanos) / c.Rate)
}
