package leasetask

import (
	"context"
	"fmt"
	"sync"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
)

// Lease is a task that this daemon holds, from when its turn came until it is lost or released. It is safe for
// concurrent use.
type Lease struct {
	runner  *Runner
	claim   Claim
	session *session
	key     string // of the queue entry
	token   uint64

	generation  uint64 // of the session to which the queue entry belongs
	ctx         context.Context
	cancel      context.CancelCauseFunc
	actions     sync.WaitGroup
	releaseOnce sync.Once
	releasing   bool // guarded by the Runner's lock: the lease is no longer valid
}

// start makes the lease valid. The Runner's lock must be held.
func (l *Lease) start(token uint64) {
	l.token = token
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	l.runner.wg.Go(l.watch)
}

// validUntil returns until when the holder may act, or why it may not. The Runner's lock must be held.
func (l *Lease) validUntil(now int64) (until int64, err error) {
	if l.releasing {
		return 0, lease.ErrLost
	}
	if l.generation != l.session.state.Generation() {
		return 0, fmt.Errorf("%w: the session has expired", lease.ErrLost)
	}
	until = l.session.state.ValidUntil()
	if now >= until {
		return 0, fmt.Errorf("%w: no renewal was acknowledged in time", lease.ErrLost)
	}
	if _, ok := l.runner.table.Holds(l.claim.Task, l.key); !ok {
		return 0, fmt.Errorf("%w: its queue entry is gone", lease.ErrLost)
	}
	return until, nil
}

// watch cancels the lease's context once the lease is not valid, or must be released.
func (l *Lease) watch() {
	r := l.runner
	for {
		r.mu.Lock()
		changed := r.changed
		until, err := l.validUntil(r.cfg.Clock.Now())
		if err == nil {
			err = r.table.MustRelease(l.claim.Task, l.key)
		}
		if err == nil && r.closed {
			err = ErrClosed
		}
		r.mu.Unlock()
		if err == nil {
			err = r.waitForChange(l.ctx, changed, until)
		}
		if err != nil {
			l.cancel(err)
			return
		}
	}
}

// Task is the name of the task.
func (l *Lease) Task() string { return l.claim.Task }

// Token is the fencing token. It is higher than that of any earlier holder of the same task.
func (l *Lease) Token() uint64 { return l.token }

// ValidUntil is when the lease ceases to be valid unless it is renewed, in nanoseconds of the host's boot clock; 0:
// it is not valid.
func (l *Lease) ValidUntil() int64 {
	l.runner.mu.Lock()
	defer l.runner.mu.Unlock()
	until, err := l.validUntil(l.runner.cfg.Clock.Now())
	if err != nil {
		return 0
	}
	return until
}

// Renewed returns a channel that is closed once ValidUntil is no longer validUntil, or the lease's context has ended.
func (l *Lease) Renewed(validUntil int64) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.waitForRenewal(validUntil)
	}()
	return done
}

func (l *Lease) waitForRenewal(validUntil int64) {
	r := l.runner
	for l.ctx.Err() == nil {
		r.mu.Lock()
		changed := r.changed
		until, err := l.validUntil(r.cfg.Clock.Now())
		r.mu.Unlock()
		if err != nil || until != validUntil {
			return
		}
		if r.waitForChange(l.ctx, changed, until) != nil {
			return
		}
	}
}

// Context ends when the lease ceases to be valid, or when the holder must release it. Its cause says why.
func (l *Lease) Context() context.Context { return l.ctx }

// Do runs an action that takes no longer than timeout. It starts the action only if the lease is valid for that
// long, and waits for the next renewal otherwise. It returns ErrLeaseTooShort if no renewal can make the lease
// valid for that long, and ErrLost if the lease is lost first. The action's context ends with the lease's, and
// after timeout.
//
// A process that is suspended between Do's reading of the clock and the action's effect acts late, whatever Do
// does. A resource that must not see this checks the token (see lease.Fence).
func (l *Lease) Do(
	ctx context.Context, timeout time.Duration, action func(ctx context.Context, token uint64) error,
) error {
	// Two thirds are left of the validity when a renewal, which is due after one third of the TTL, is acknowledged.
	if int64(timeout) >= l.session.state.Rules().Validity()*2/3 {
		return fmt.Errorf("%w: %v", lease.ErrLeaseTooShort, timeout)
	}
	for {
		begun, until, changed, err := l.beginAction(timeout)
		if err != nil {
			return err
		}
		if begun {
			return l.runAction(ctx, timeout, action)
		}
		if err := l.runner.waitForChange(ctx, changed, until); err != nil {
			return err
		}
	}
}

// beginAction counts an action if the lease is valid for as long as it may take. If not, it returns until when the
// lease is valid and a channel that is closed when that may have changed.
func (l *Lease) beginAction(timeout time.Duration) (begun bool, until int64, changed <-chan struct{}, err error) {
	r := l.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	until, err = l.validUntil(now)
	if err == nil && l.ctx.Err() != nil {
		err = context.Cause(l.ctx)
	}
	if err != nil {
		return false, 0, nil, err
	}
	begun = now+int64(timeout) < until
	if begun {
		l.actions.Add(1)
	}
	return begun, until, r.changed, nil
}

// runAction runs an action that beginAction has counted.
func (l *Lease) runAction(
	ctx context.Context, timeout time.Duration, action func(ctx context.Context, token uint64) error,
) error {
	defer l.actions.Done()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	return action(ctx, l.token)
}

// TrackAction counts an action that runs elsewhere until done is called. Release waits for it as for an action of Do.
func (l *Lease) TrackAction() (done func()) {
	l.actions.Add(1)
	return l.actions.Done
}

// Txn makes a change of the store that takes effect only while this holder has its queue entry, so never after a
// change by a later holder.
func (l *Lease) Txn(ctx context.Context, t store.Txn) (store.Result, error) {
	t.If = append([]store.Compare{{Key: l.key, ModRevision: l.token}}, t.If...)
	return l.runner.store.Do(ctx, store.Command{Txn: &t})
}

// Release ends the lease. The lease is not valid from now on and its context ends; Release waits for running
// actions, for as long as the lease was valid, and then lets the next in the queue have its turn.
func (l *Lease) Release() { l.releaseOnce.Do(l.release) }

func (l *Lease) release() {
	r := l.runner
	r.mu.Lock()
	now := r.cfg.Clock.Now()
	until, _ := l.validUntil(now) // 0 if it is not valid
	l.releasing = true
	key := l.key
	r.mu.Unlock()
	if l.cancel != nil {
		l.cancel(lease.ErrLost)
		l.waitForActions(r.cfg.Clock.TimerDuration(max(0, until-now)))
	}
	r.mu.Lock()
	if r.leases[key] == l {
		delete(r.leases, key) // a renewal removes the entry if the following deletion fails
	}
	r.mu.Unlock()
	if key != "" {
		if err := r.removeEntry(r.ctx, key); err != nil && r.ctx.Err() == nil {
			r.cfg.Log.Debug("a queue entry could not be removed yet", "task", l.claim.Task, "error", err)
		}
	}
	r.leaveSession(l.session)
}

// waitForActions waits until all actions have ended, or timeout has passed: an action that ignores its context is
// then fenced off by its token.
func (l *Lease) waitForActions(timeout time.Duration) {
	ended := make(chan struct{})
	go func() {
		l.actions.Wait()
		close(ended)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
}
