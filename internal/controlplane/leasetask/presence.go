package leasetask

import "time"

// Presence is this daemon's session of a length, for what lives by it beside places in queues. Any goroutine may use it.
type Presence struct {
	r *Runner
	s *session
}

// Presence begins a session of a length, or takes part in the one that there is.
func (r *Runner) Presence(ttl time.Duration) (*Presence, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, err := r.session(ttl)
	if err != nil {
		return nil, err
	}
	s.users++
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return &Presence{r, s}, nil
}

// Now is the session that there is, 0 for none, until when it entitles unless it is renewed, and what is closed once that may have changed.
func (p *Presence) Now() (id uint64, until int64, changed <-chan struct{}) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	return p.s.core.ID(), p.s.core.ValidUntil(), p.r.changed
}

// Close ends the part in it.
func (p *Presence) Close() {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.s.users--
}
