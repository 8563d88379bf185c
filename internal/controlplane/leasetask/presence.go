package leasetask

import "time"

// Presence is a use of this daemon's session of one TTL, for keys that are bound to the session beside queue
// entries. It is safe for concurrent use.
type Presence struct {
	runner  *Runner
	session *session
}

// Presence starts using the session of a TTL.
func (r *Runner) Presence(ttl time.Duration) (*Presence, error) {
	s, err := r.joinSession(ttl)
	if err != nil {
		return nil, err
	}
	return &Presence{runner: r, session: s}, nil
}

// Current returns the id of the session, 0 if there is none, until when it is valid unless it is renewed, in
// nanoseconds of the host's boot clock, and a channel that is closed when either may have changed.
func (p *Presence) Current() (id uint64, validUntil int64, changed <-chan struct{}) {
	p.runner.mu.Lock()
	defer p.runner.mu.Unlock()
	return p.session.state.ID(), p.session.state.ValidUntil(), p.runner.changed
}

// Close ends the use. It must be called once.
func (p *Presence) Close() { p.runner.leaveSession(p.session) }
