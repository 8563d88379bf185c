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
	maxSessions   = 8  // sessions of different TTLs at once
	marginDivisor = 50 // the validity margin is this part of the TTL, or minMargin if that is more
	minMargin     = 20 * time.Millisecond

	minRenewTimeout = 200 * time.Millisecond
)

// ErrTooManySessions says that leases of too many different TTLs are in use.
var ErrTooManySessions = fmt.Errorf("leases of %d different TTLs are in use at this daemon already", maxSessions)

// session is this daemon's session of one TTL. Its fields other than the TTL and wake are guarded by the Runner's
// lock.
type session struct {
	state     *lease.Session
	ttl       time.Duration
	users     int
	idleSince int64 // 0: it has users
	wake      chan struct{}
}

// sessionFor returns the session of a TTL, and starts one if there is none. The lock must be held.
func (r *Runner) sessionFor(ttl time.Duration) (*session, error) {
	millis := ttl.Milliseconds()
	if millis < lease.MinTTLMillis || millis > lease.MaxTTLMillis {
		return nil, fmt.Errorf("%v is not within %v and %v",
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
	rules := lease.Rules{TTL: nanos, Skew: r.cfg.Skew, Margin: max(nanos/marginDivisor, int64(minMargin))}
	s := &session{state: lease.NewSession(rules, r.cfg.SessionDefect), ttl: ttl, wake: make(chan struct{}, 1)}
	r.sessions[millis] = s
	r.wg.Go(func() { r.renewSession(s) })
	return s, nil
}

// joinSession adds a user to the session of a TTL, whose users field is to be decreased in the end.
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

// leaveSession removes a user.
func (r *Runner) leaveSession(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.users--
}

// renewSession renews a session until the Runner is closed, or the session has had no user for its TTL.
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

// retireSession revokes a session that is no longer needed, and reports whether it was.
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

// nextRequest returns the request to send now, or NoRequest and how long to wait for the next one.
func (r *Runner) nextRequest(s *session) (kind lease.RequestKind, id uint64, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	kind, due := s.state.Next(now)
	return kind, s.state.ID(), r.cfg.Clock.TimerDuration(due - now)
}

// sendRequest sends a request of the session to the store, and gives the session its outcome.
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
		_ = r.removeEntry(r.ctx, key) // the next renewal retries it
	}
	if outcome == lease.SessionNotFound {
		r.cfg.Log.Warn("the session of this daemon's leases has expired", "ttl", s.ttl)
	}
}

// handleResponse gives the session the outcome of its request, and returns the keys of orphaned queue entries after
// a renewal.
func (r *Runner) handleResponse(s *session, outcome lease.Outcome, id uint64) (orphans []string) {
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

// orphanedEntries returns the keys of the session's queue entries that no lease here uses, because the response to
// their creation or to their deletion was lost. They would keep the next in the queue waiting. The lock must be
// held.
func (r *Runner) orphanedEntries(s *session) (keys []string) {
	for _, entry := range r.table.EntriesOf(r.cfg.Host, s.state.ID()) {
		if r.leases[entry.Key] == nil {
			keys = append(keys, entry.Key)
		}
	}
	return keys
}

// revokeSession ends a session at the store. If the store cannot be reached, the session expires.
func (r *Runner) revokeSession(id uint64) {
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), storeTimeout)
	defer cancel()
	command := store.Command{RevokeLease: &store.RevokeLease{LeaseID: id, Owner: r.cfg.Host}}
	_, _ = r.store.Do(ctx, command)
}
