// Package bootclock is the host's clock since its start, by which entitlements are counted: it goes on while the host sleeps, does not step,
// and is the same for all processes of a host. Clocks of two hosts are never compared.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is CLOCK_BOOTTIME, or, for the bench between processes, one that runs at another pace. The zero value is the host's.
type Clock struct {
	Rate float64 // of it, by the host's; 0: 1
}

// Now is in nanoseconds.
func (c Clock) Now() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has it since 2.6.39
	}
	if c.Rate == 0 {
		return t.Nano()
	}
	return int64(float64(t.Nano()) * c.Rate)
}

// TimerDuration is for how long a timer of the process is to run for so much of this clock.
func (c Clock) TimerDuration(of int64) time.Duration {
	if c.Rate == 0 {
		return time.Duration(of)
	}
	return time.Duration(float64(of) / c.Rate)
}
