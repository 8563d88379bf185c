package leasetask

import (
	"context"
	"errors"
	"fmt"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
)

const (
	maxSessions   = 8  // sessions that exist at once, each with a TTL of its own
	marginDivisor = 50 // lease.Rules.Margin is the TTL divided by this, or minMargin if that is more
	minMargin     = 20 * time.Millisecond

	minRenewTimeout = 200 * time.Millisecond // minimum timeout of a request that grants or renews a session
)

// ErrTooManySessions is returned for a TTL that would need a further session, while maxSessions exist.
var ErrTooManySessions = fmt.Errorf("this daemon already uses leases of %d different TTLs", maxSessions)

// session is this daemon's session of one TTL, which all leases of that TTL share. The Runner's lock guards all fields
// but ttl and wake.
type session struct {
	state     *lease.Session
	ttl       time.Duration
	users     int           // leases, acquisitions and references that use the session
	idleSince int64         // when the session was first found without users; 0: it has users
	wake      chan struct{} // wakes renewSession when a user is added
}

// sessionFor returns the session of a TTL, and starts one if there is none. It returns an error if the TTL is out of
// range, the Runner is closed or too many sessions exist. The lock must be held.
func (r *Runner) sessionFor(ttl time.Duration) (*session, error) {
	millis := ttl.Milliseconds()
	if millis < lease.MinTTLMillis || millis > lease.MaxTTLMillis {
		return nil, fmt.Errorf("TTL: %v is not between %v and %v",
			ttl, lease.MinTTLMillis*time.Millisecond, lease.MaxTTLMillis*time.Millisecond)
	}
	if s := r.sessions[millis]; s != nil {
		return s, nil
	}
	if r.closed {
		return nil, ErrClosed
	}
	if len(r.sessions) >= maxSessions {
		return nil, ErrTooManySessions
	}
	nanos := millis * int64(time.Millisecond)
	rules := lease.Rules{TTL: nanos, MaxClockSkew: r.cfg.MaxClockSkew,
		Margin: max(nanos/marginDivisor, int64(minMargin))}
	s := &session{state: lease.NewSession(rules, r.cfg.SessionDefect), ttl: ttl, wake: make(chan struct{}, 1)}
	r.sessions[millis] = s
	r.wg.Go(func() { r.renewSession(s) })
	return s, nil
}

// joinSession adds a user to the session of a TTL, and starts the session if there is none. The caller must call
// leaveSession in the end.
func (r *Runner) joinSession(ttl time.Duration) (*session, error) {
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
	return s, nil
}

// leaveSession removes a user that joinSession added.
func (r *Runner) leaveSession(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.users--
}

// renewSession grants and renews a session, until the Runner is closed or the session has had no user for its TTL. Then
// it revokes the session. It is the only goroutine that sends requests of this session.
func (r *Runner) renewSession(s *session) {
	for !r.retireSession(s) {
		kind, id, delay := r.nextRequest(s)
		if kind != lease.NoRequest {
			r.sendRequest(s, kind, id)
			continue
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-s.wake:
		case <-r.ctx.Done():
		}
		timer.Stop()
	}
}

// retireSession revokes a session that is no longer needed and removes it from the Runner. It reports whether it has
// done so.
func (r *Runner) retireSession(s *session) bool {
	r.mu.Lock()
	now := r.cfg.Clock.Now()
	switch {
	case s.users > 0:
		s.idleSince = 0
	case s.idleSince == 0:
		s.idleSince = now
	}
	needed := r.ctx.Err() == nil && (s.idleSince == 0 || now-s.idleSince <= int64(s.ttl))
	if needed {
		r.mu.Unlock()
		return false
	}
	delete(r.sessions, s.ttl.Milliseconds())
	id := s.state.ID()
	s.state.Reset()
	r.mu.Unlock()
	r.revokeSession(id)
	return true
}

// nextRequest returns the request to send now and the session's ID, or NoRequest and how long to wait before the next
// call.
func (r *Runner) nextRequest(s *session) (kind lease.RequestKind, id uint64, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	kind, due := s.state.Next(now)
	return kind, s.state.ID(), r.cfg.Clock.TimerDuration(due - now)
}

// sendRequest sends a request of the session to the store, passes its outcome to the session and deletes orphaned queue
// entries.
func (r *Runner) sendRequest(s *session, kind lease.RequestKind, id uint64) {
	command := store.Command{
		GrantLease: &store.GrantLease{TTLMillis: uint64(s.ttl.Milliseconds()), Owner: r.cfg.Host},
	}
	if kind == lease.RenewRequest {
		command = store.Command{RenewLease: &store.RenewLease{LeaseID: id, Owner: r.cfg.Host}}
	}
	ctx, cancel := context.WithTimeout(r.ctx, max(s.ttl/2, minRenewTimeout))
	result, err := r.store.Do(ctx, command)
	cancel()
	outcome := lease.Succeeded
	switch {
	case errors.Is(err, store.ErrLeaseNotFound):
		outcome = lease.SessionNotFound
	case err != nil:
		outcome = lease.OutcomeUnknown
	}
	for _, key := range r.handleResponse(s, outcome, result.LeaseID) {
		_ = r.removeEntry(r.ctx, key) // if the deletion fails, the next renewal repeats it
	}
	if outcome == lease.SessionNotFound {
		r.cfg.Log.Warn("the session has expired: the leases of this daemon with its TTL are lost", "ttl", s.ttl)
	}
}

// handleResponse passes the outcome of a request to the session, with the ID of the session if one was granted. After a
// successful renewal it returns the keys of orphaned queue entries.
func (r *Runner) handleResponse(s *session, outcome lease.Outcome, id uint64) (orphanedKeys []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	generation := s.state.Generation()
	s.state.HandleResponse(r.cfg.Clock.Now(), outcome, id)
	r.notifyChanged()
	if outcome != lease.Succeeded || s.state.Generation() != generation {
		return nil
	}
	return r.orphanedEntries(s)
}

// orphanedEntries returns the keys of the session's queue entries that belong to no lease of this Runner, because a
// request to create or delete them ended with an unknown outcome. Renewals would keep such an entry in its queue, and
// the entries behind it would wait for ever. The lock must be held.
func (r *Runner) orphanedEntries(s *session) (keys []string) {
	for _, entry := range r.table.EntriesOf(r.cfg.Host, s.state.ID()) {
		if r.leases[entry.Key] == nil {
			keys = append(keys, entry.Key)
		}
	}
	return keys
}

// revokeSession revokes a session at the store, which deletes its queue entries. If that fails, the session expires
// after its TTL.
func (r *Runner) revokeSession(id uint64) {
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), storeTimeout)
	defer cancel()
	command := store.Command{RevokeLease: &store.RevokeLease{LeaseID: id, Owner: r.cfg.Host}}
	_, _ = r.store.Do(ctx, command)
}
