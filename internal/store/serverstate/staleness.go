package serverstate

// Staleness describes how far a daemon's copy of the store may be behind, by the time since a quorum last confirmed it.
// Durations are nanoseconds of the daemon's monotonic clock.
type Staleness struct {
	Confirmed bool  // a quorum has confirmed the copy since the start
	Age       int64 // time since the last confirmation
	Allowed   int64 // a copy of at most this age counts as fresh
}

// Stale reports whether the copy may be too far behind. A copy that was never confirmed is always stale.
func (s Staleness) Stale() bool { return !s.Confirmed || s.Age > s.Allowed }
