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
	errStoreUnavailable = errors.New("the store does not respond: this daemon has no valid session")
	errStoreRestored    = errors.New("all tasks are suspended: the store was recently restored from a snapshot")
)

// waiter is an acquisition in progress. It is used by the goroutine of Runner.Acquire alone.
type waiter struct {
	lease      *Lease
	nonce      string // common to the keys of all queue entries of this acquisition
	onWait     func(ahead int, reason error)
	lastAhead  int           // value last passed to onWait
	entryCount int           // number of keys chosen for queue entries
	lastErr    error         // of the last creation of a queue entry
	retryDelay time.Duration // before the next creation of a queue entry
}

// acquireState is the state of an acquisition.
type acquireState int

const (
	stateClosed      acquireState = iota // the Runner is closed
	stateNoSession                       // there is no valid session
	stateNotQueued                       // the copy of the store shows no queue entry
	stateMustRequeue                     // the queue entry must be replaced by one behind that of a preferred host
	stateWaiting                         // the queue entry waits
	stateAcquired                        // the queue entry holds the task, and the lease is valid
)

// acquireStatus is the state of an acquisition, with what wait needs to act on it.
type acquireStatus struct {
	state     acquireState
	changed   <-chan struct{} // closed when the state may have changed
	sessionID uint64          // of the current session
	ahead     int             // with stateWaiting: entries that must leave first; with a reason: all entries ahead
	reason    error           // with stateWaiting: why the entry waits, other than for entries ahead of it
}

// wait creates the lease's queue entry and returns nil once the lease is acquired. It returns an error if ctx ends, the
// Runner is closed or the store rejects the entry for good.
func (w *waiter) wait(ctx context.Context) error {
	r := w.lease.runner
	for {
		status := w.advance()
		var err error
		switch status.state {
		case stateClosed:
			return ErrClosed
		case stateAcquired:
			return nil
		case stateNoSession:
			w.report(-1, errors.Join(errStoreUnavailable, w.lastErr))
			err = r.waitForChange(ctx, status.changed, 0)
			if err != nil {
				err = errors.Join(err, w.lastErr)
			}
		case stateMustRequeue:
			err = w.leaveQueue(ctx)
		case stateWaiting:
			w.report(status.ahead, status.reason)
			err = r.waitForChange(ctx, status.changed, 0)
		case stateNotQueued:
			err = w.joinQueue(ctx, status.sessionID)
		}
		if err != nil {
			return err
		}
	}
}

// advance determines the status of the acquisition. It chooses the key of a new queue entry if there is none, and
// starts the lease if the entry holds the task.
func (w *waiter) advance() acquireStatus {
	l, r := w.lease, w.lease.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	status := acquireStatus{changed: r.changed, sessionID: l.session.state.ID()}
	if r.closed {
		return status
	}
	if l.key != "" && l.generation != l.session.state.Generation() {
		w.forgetEntry() // the entry expired with its session
	}
	if status.sessionID == 0 || now >= l.session.state.ValidUntil() {
		status.state = stateNoSession
		return status
	}
	if l.key == "" {
		w.chooseEntryKey()
	}
	_, ahead, queued := r.table.Find(l.claim.Task, l.key)
	token, holds := r.table.Holds(l.claim.Task, l.key)
	releaseReason := r.table.MustRelease(l.claim.Task, l.key)
	switch {
	case !queued:
		status.state = stateNotQueued
	case holds && releaseReason == nil:
		status.state = stateAcquired
		l.start(token)
	case releaseReason != nil && !errors.Is(releaseReason, lease.ErrPaused):
		status.state = stateMustRequeue
	case r.table.Suspended():
		status.state, status.ahead, status.reason = stateWaiting, ahead, errStoreRestored
	case releaseReason != nil:
		status.state, status.ahead, status.reason = stateWaiting, ahead, releaseReason
	default:
		slots := max(1, r.table.Slots(l.claim.Task))
		status.state, status.ahead = stateWaiting, max(0, ahead-slots+1)
	}
	return status
}

// chooseEntryKey chooses the key of a new queue entry, which will be bound to the current session, and registers the
// lease under it. The Runner's lock must be held.
func (w *waiter) chooseEntryKey() {
	l, r := w.lease, w.lease.runner
	w.entryCount++
	l.key = lease.QueueEntryKey(l.claim.Task, r.cfg.Host, fmt.Sprintf("%s%d", w.nonce, w.entryCount))
	l.generation = l.session.state.Generation()
	r.leases[l.key] = l
}

// forgetEntry drops the key of the queue entry, so that advance chooses a new one. A queue entry that still exists is
// orphaned. The Runner's lock must be held.
func (w *waiter) forgetEntry() {
	delete(w.lease.runner.leases, w.lease.key)
	w.lease.key = ""
}

// leaveQueue deletes the queue entry, so that the next one is behind that of the preferred host. If the deletion fails,
// the next renewal of the session deletes the entry as orphaned.
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

// joinQueue creates the queue entry, and waits for the retry delay or a change if the copy of the store does not show
// it yet. A retry uses the same key, so that it creates no second entry.
func (w *waiter) joinQueue(ctx context.Context, sessionID uint64) error {
	l, r := w.lease, w.lease.runner
	w.lastErr = r.putEntry(ctx, l, sessionID)
	for _, permanent := range []error{lease.ErrSlotsMismatch, store.ErrFull, store.ErrBadKey} {
		if errors.Is(w.lastErr, permanent) {
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

// report calls onWait if the number of entries ahead has changed or there is a reason for a delay.
func (w *waiter) report(ahead int, reason error) {
	if w.onWait == nil || ahead == w.lastAhead && reason == nil {
		return
	}
	w.lastAhead = ahead
	w.onWait(ahead, reason)
}
