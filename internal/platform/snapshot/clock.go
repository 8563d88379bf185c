package snapshot

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// uptimeGrainMicros is the resolution of /proc/uptime.
const uptimeGrainMicros = 10_000

// Clock is an instant by the clocks that two processes of a machine share.
type Clock struct {
	WallMicros   int64  `cbor:"1,keyasint"`           // Unix time, which may be set
	BootID       string `cbor:"2,keyasint,omitempty"` // identifies the machine's start; empty if not known
	UptimeMicros int64  `cbor:"3,keyasint,omitempty"` // since the machine's start: it only grows
}

// ReadClock returns the present instant.
func ReadClock() Clock {
	c := Clock{WallMicros: time.Now().UnixMicro()}
	id, idErr := os.ReadFile("/proc/sys/kernel/random/boot_id")
	uptime, uptimeErr := os.ReadFile("/proc/uptime")
	if idErr != nil || uptimeErr != nil {
		return c // the wall clock alone
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

// Since returns the time from then to c, in microseconds. Within one start of the machine it does not follow
// changes of the wall clock; else it trusts the wall clock, and is negative if that was set back.
func (c Clock) Since(then Clock) int64 {
	wall := c.WallMicros - then.WallMicros
	if c.BootID == "" || c.BootID != then.BootID {
		return wall
	}
	uptime := c.UptimeMicros - then.UptimeMicros
	if wall >= uptime-uptimeGrainMicros && wall <= uptime+uptimeGrainMicros {
		return max(0, wall) // they agree, and the wall clock is the finer one
	}
	return uptime
}
