package leasetask

import "time"

// SessionRef is a reference to this daemon's session of one TTL, for callers that bind keys other than queue entries to
// the session. The session is renewed until Close is called. It is safe for concurrent use.
type SessionRef struct {
	runner  *Runner
	session *session
}

// UseSession returns a reference to this daemon's session of a TTL, and starts the session if no other use has. It
// returns an error if the TTL is out of range or too many sessions exist.
func (r *Runner) UseSession(ttl time.Duration) (*SessionRef, error) {
	s, err := r.joinSession(ttl)
	if err != nil {
		return nil, err
	}
	return &SessionRef{runner: r, session: s}, nil
}

// Current returns the ID of the session, or 0 if none is granted, and the instant at which it ceases to be valid unless
// it is renewed first, in nanoseconds of the host's boot clock. The channel is closed when either may have changed.
func (s *SessionRef) Current() (id uint64, validUntil int64, changed <-chan struct{}) {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	return s.session.state.ID(), s.session.state.ValidUntil(), s.runner.changed
}

// Close ends the use of the session. It must be called exactly once.
func (s *SessionRef) Close() { s.runner.leaveSession(s.session) }
