package serverstate

// Staleness is how far a daemon's copy may be behind, by the time since a quorum last confirmed it. Durations
// are nanoseconds of the daemon's monotonic clock.
type Staleness struct {
	Confirmed bool  // at least once since the start
	Age       int64 // since the last confirmation
	Allowed   int64 // the age up to which a copy counts as fresh
}

// Stale reports whether the copy may be too far behind. One that was never confirmed always may be.
func (s Staleness) Stale() bool { return !s.Confirmed || s.Age > s.Allowed }
