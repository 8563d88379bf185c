package snapshot

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// uptimeResolutionMicros is the resolution of /proc/uptime.
const uptimeResolutionMicros = 10_000

// Clock is an instant, read from the clocks that all processes of a host share.
type Clock struct {
	WallMicros   int64  `cbor:"1,keyasint"`           // Unix time; the wall clock may be set forward or back
	BootID       string `cbor:"2,keyasint,omitempty"` // identifies the host's boot; empty if unknown
	UptimeMicros int64  `cbor:"3,keyasint,omitempty"` // time since the host's boot, which never decreases
}

// ReadClock returns the present instant. It has no BootID and no uptime if /proc cannot be read.
func ReadClock() Clock {
	c := Clock{WallMicros: time.Now().UnixMicro()}
	id, idErr := os.ReadFile("/proc/sys/kernel/random/boot_id")
	uptime, uptimeErr := os.ReadFile("/proc/uptime")
	if idErr != nil || uptimeErr != nil {
		return c // only the wall clock is known
	}
	first, _, _ := strings.Cut(string(uptime), " ")
	seconds, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return c
	}
	c.BootID = strings.TrimSpace(string(id))
	c.UptimeMicros = int64(seconds * 1e6)
	return c
}

// Since returns the time from earlier to c, in microseconds. Within one boot of the host, it does not follow changes of
// the wall clock. Otherwise it relies on the wall clock, and is negative if that was set back.
func (c Clock) Since(earlier Clock) int64 {
	wall := c.WallMicros - earlier.WallMicros
	if c.BootID == "" || c.BootID != earlier.BootID {
		return wall
	}
	uptime := c.UptimeMicros - earlier.UptimeMicros
	if wall >= uptime-uptimeResolutionMicros && wall <= uptime+uptimeResolutionMicros {
		return max(0, wall) // both clocks agree, and the wall clock has the finer resolution
	}
	return uptime
}
