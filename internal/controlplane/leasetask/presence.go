package leasetask

import "time"

// Presence is this daemon's session of a length, for what lives by it beside places in queues. Any goroutine may use it.
type Presence struct {
	runner  *Runner
	session *session
}

// Presence begins a session of a length, or takes part in the one that there is.
func (r *Runner) Presence(ttl time.Duration) (*Presence, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, err := r.sessionFor(ttl)
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

// Current is the session that there is, 0 for none, until when it entitles unless it is renewed, and what is closed once that may have changed.
func (p *Presence) Current() (id uint64, until int64, changed <-chan struct{}) {
	p.runner.mu.Lock()
	defer p.runner.mu.Unlock()
	return p.session.state.ID(), p.session.state.ValidUntil(), p.runner.changed
}

// Close ends the part in it.
func (p *Presence) Close() {
	p.runner.mu.Lock()
	defer p.runner.mu.Unlock()
	p.session.users--
}
