package leasetask

import (
	"context"
	"errors"
	"fmt"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
)

var (
	errStoreUnavailable = errors.New("the store does not respond")
	errStoreRestored    = errors.New("the store was restored a moment ago: all tasks are suspended")
)

// waiter is an acquisition in progress.
type waiter struct {
	lease      *Lease
	nonce      string
	onWait     func(ahead int, reason error)
	lastAhead  int // as last passed to onWait
	attempts   int // queue entries created: each has a key of its own
	lastErr    error
	retryDelay time.Duration
}

// turn is where an acquisition stands.
type turn int

const (
	turnClosed      turn = iota // the Runner is closed
	turnNoSession               // the session is not valid
	turnNotQueued               // the copy shows no queue entry
	turnHandedOver              // the entry must go behind that of another host
	turnWaiting                 // the entry is in the queue
	turnHeldByLease             // the lease is acquired
)

// position is a turn and what is to be known to act on it.
type position struct {
	turn      turn
	changed   <-chan struct{} // closed when the position may have changed
	sessionID uint64
	ahead     int   // entries that must go first
	reason    error // why the entry waits, other than for those ahead
}

// wait creates the lease's queue entry and returns once the lease is acquired.
func (w *waiter) wait(ctx context.Context) error {
	r := w.lease.runner
	for {
		p := w.position()
		var err error
		switch p.turn {
		case turnClosed:
			return ErrClosed
		case turnHeldByLease:
			return nil
		case turnNoSession:
			w.report(-1, errors.Join(errStoreUnavailable, w.lastErr))
			err = r.waitForChange(ctx, p.changed, 0)
			if err != nil {
				err = errors.Join(err, w.lastErr)
			}
		case turnHandedOver:
			err = w.leaveQueue(ctx)
		case turnWaiting:
			w.report(p.ahead, p.reason)
			err = r.waitForChange(ctx, p.changed, 0)
		case turnNotQueued:
			err = w.joinQueue(ctx, p.sessionID)
		}
		if err != nil {
			return err
		}
	}
}

// position finds where the acquisition stands. It begins a new queue entry if there is none, and starts the lease
// if the entry holds the task.
func (w *waiter) position() position {
	l, r := w.lease, w.lease.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	p := position{changed: r.changed, sessionID: l.session.state.ID()}
	if r.closed {
		return p
	}
	if l.key != "" && l.generation != l.session.state.Generation() {
		w.forgetEntry() // it expired with its session
	}
	if p.sessionID == 0 || now >= l.session.state.ValidUntil() {
		p.turn = turnNoSession
		return p
	}
	if l.key == "" {
		w.newEntry()
	}
	_, ahead, queued := r.table.Find(l.claim.Task, l.key)
	token, holds := r.table.Holds(l.claim.Task, l.key)
	release := r.table.MustRelease(l.claim.Task, l.key)
	switch {
	case !queued:
		p.turn = turnNotQueued
	case holds && release == nil:
		p.turn = turnHeldByLease
		l.start(token)
	case release != nil && !errors.Is(release, lease.ErrPaused):
		p.turn = turnHandedOver
	case r.table.Suspended():
		p.turn, p.ahead, p.reason = turnWaiting, ahead, errStoreRestored
	case release != nil:
		p.turn, p.ahead, p.reason = turnWaiting, ahead, release
	default:
		slots := max(1, r.table.Slots(l.claim.Task))
		p.turn, p.ahead = turnWaiting, max(0, ahead-slots+1)
	}
	return p
}

// newEntry chooses the key of a new queue entry, which belongs to the current session. The Runner's lock must be
// held.
func (w *waiter) newEntry() {
	l, r := w.lease, w.lease.runner
	w.attempts++
	l.key = lease.QueueEntryKey(l.claim.Task, r.cfg.Host, fmt.Sprintf("%s%d", w.nonce, w.attempts))
	l.generation = l.session.state.Generation()
	r.leases[l.key] = l
}

// forgetEntry gives up the key of the queue entry. The Runner's lock must be held.
func (w *waiter) forgetEntry() {
	delete(w.lease.runner.leases, w.lease.key)
	w.lease.key = ""
}

// leaveQueue deletes the queue entry, so that the next one is behind that of the host to which the task is handed
// over. If the store does not delete it now, a renewal will.
func (w *waiter) leaveQueue(ctx context.Context) error {
	r := w.lease.runner
	r.mu.Lock()
	key := w.lease.key
	w.forgetEntry()
	r.mu.Unlock()
	if err := r.removeEntry(ctx, key); err != nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return nil
}

// joinQueue creates the queue entry, and backs off if the copy of the store does not show it yet. A retry uses the
// same key.
func (w *waiter) joinQueue(ctx context.Context, sessionID uint64) error {
	l, r := w.lease, w.lease.runner
	w.lastErr = r.putEntry(ctx, l, sessionID)
	for _, final := range []error{lease.ErrSlotsMismatch, store.ErrFull, store.ErrBadKey} {
		if errors.Is(w.lastErr, final) {
			return w.lastErr
		}
	}
	r.mu.Lock()
	_, _, queued := r.table.Find(l.claim.Task, l.key)
	changed := r.changed
	r.mu.Unlock()
	if queued {
		return nil
	}
	if w.lastErr != nil {
		w.report(-1, w.lastErr)
	}
	err := r.waitForChange(ctx, changed, r.cfg.Clock.Now()+int64(w.retryDelay))
	if err != nil {
		return errors.Join(err, w.lastErr)
	}
	w.retryDelay = min(2*w.retryDelay, maxRetryDelay)
	return nil
}

// report passes on a change of position, or a reason for the delay.
func (w *waiter) report(ahead int, reason error) {
	if w.onWait == nil || ahead == w.lastAhead && reason == nil {
		return
	}
	w.lastAhead = ahead
	w.onWait(ahead, reason)
}
