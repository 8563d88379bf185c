package leasetask

import (
	"context"
	"fmt"
	"sync"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
)

// Lease is the lease of a task that this daemon holds, from when Runner.Acquire returns it until it is lost or
// released. It is safe for concurrent use.
type Lease struct {
	runner  *Runner
	claim   Claim
	session *session
	key     string // of the queue entry; empty: there is none
	token   uint64 // fencing token

	generation  uint64                  // of the session to which the queue entry is bound
	ctx         context.Context         // ends when the lease ceases to be valid or must be released
	cancel      context.CancelCauseFunc // nil: the lease was not acquired
	actions     sync.WaitGroup          // running actions, for which Release waits
	releaseOnce sync.Once
	releasing   bool // guarded by the Runner's lock; true: Release was called, and the lease is not valid
}

// start makes an acquired lease valid and monitors it from now on. The Runner's lock must be held.
func (l *Lease) start(token uint64) {
	l.token = token
	l.ctx, l.cancel = context.WithCancelCause(context.Background())
	l.runner.wg.Go(l.monitor)
}

// validUntil returns the instant until which the holder may act, or an error that says why it may not act. The Runner's
// lock must be held.
func (l *Lease) validUntil(now int64) (until int64, err error) {
	if l.releasing {
		return 0, lease.ErrLost
	}
	if l.generation != l.session.state.Generation() {
		return 0, fmt.Errorf("%w: the session has expired", lease.ErrLost)
	}
	until = l.session.state.ValidUntil()
	if now >= until {
		return 0, fmt.Errorf("%w: the store acknowledged no renewal in time", lease.ErrLost)
	}
	if _, ok := l.runner.table.Holds(l.claim.Task, l.key); !ok {
		return 0, fmt.Errorf("%w: the queue entry does not hold the task any more", lease.ErrLost)
	}
	return until, nil
}

// monitor cancels the lease's context once the lease is not valid, or must be released for an operator's override or
// because the Runner closes.
func (l *Lease) monitor() {
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

// Task returns the name of the task.
func (l *Lease) Task() string { return l.claim.Task }

// Token returns the fencing token of the lease. It is higher than that of any earlier lease of the same task.
func (l *Lease) Token() uint64 { return l.token }

// ValidUntil returns the instant at which the lease ceases to be valid unless it is renewed first, in nanoseconds of
// the host's boot clock, or 0 if the lease is not valid.
func (l *Lease) ValidUntil() int64 {
	l.runner.mu.Lock()
	defer l.runner.mu.Unlock()
	until, err := l.validUntil(l.runner.cfg.Clock.Now())
	if err != nil {
		return 0
	}
	return until
}

// Renewed returns a channel that is closed once ValidUntil differs from validUntil, or the lease's context has ended.
func (l *Lease) Renewed(validUntil int64) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.waitForRenewal(validUntil)
	}()
	return done
}

// waitForRenewal blocks until ValidUntil differs from validUntil, or the lease's context has ended.
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

// Context returns a context that ends when the lease ceases to be valid, or when the holder must release it. The
// cause of the context says why.
func (l *Lease) Context() context.Context { return l.ctx }

// Do runs an action that takes no longer than timeout, and returns the action's error. It starts the action only
// while the lease is valid for longer than timeout, and waits for the next renewal otherwise. It returns
// lease.ErrLeaseTooShort if timeout is two thirds of the lease's validity or more, and lease.ErrLost, lease.ErrPaused
// or ErrClosed if the lease ends before the action starts. The action's context ends with the lease's context, with
// ctx and after timeout.
//
// If the process is suspended between Do's reading of the clock and the effect of the action, the action takes effect
// late, which Do cannot prevent. A resource that must reject such an action checks the token (see lease.Fence).
func (l *Lease) Do(
	ctx context.Context, timeout time.Duration, action func(ctx context.Context, token uint64) error,
) error {
	// Two thirds of the validity are left when the next renewal is due, which is after one third of the TTL.
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

// beginAction adds an action to the running ones if the lease is valid for longer than timeout. If it is not,
// begun is false, and the caller tries again once changed is closed or the instant until has passed.
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

// runAction runs an action that beginAction has added to the running ones.
func (l *Lease) runAction(
	ctx context.Context, timeout time.Duration, action func(ctx context.Context, token uint64) error,
) error {
	defer l.actions.Done()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer context.AfterFunc(l.ctx, cancel)()
	return action(ctx, l.token)
}

// TrackAction adds an action that the caller runs itself to the running ones, until the caller calls done. Release
// waits for it as for an action of Do.
func (l *Lease) TrackAction() (done func()) {
	l.actions.Add(1)
	return l.actions.Done
}

// Txn commits a transaction that takes effect only while the queue entry of this lease exists, and so never after a
// change by a later holder. If the entry does not exist, the result has Succeeded false.
func (l *Lease) Txn(ctx context.Context, t store.Txn) (store.Result, error) {
	t.If = append([]store.Compare{{Key: l.key, ModRevision: l.token}}, t.If...)
	return l.runner.store.Do(ctx, store.Command{Txn: &t})
}

// Release ends the lease: its context ends and it is not valid any more. Release waits for running actions, at most
// until the lease would have ceased to be valid, and then deletes the queue entry, so that the next one in the queue
// holds the task. Calls after the first one only wait for it.
func (l *Lease) Release() { l.releaseOnce.Do(l.release) }

func (l *Lease) release() {
	r := l.runner
	r.mu.Lock()
	now := r.cfg.Clock.Now()
	until, _ := l.validUntil(now) // 0 if the lease is not valid
	l.releasing = true
	key := l.key
	r.mu.Unlock()
	if l.cancel != nil {
		l.cancel(lease.ErrLost)
		l.waitForActions(r.cfg.Clock.TimerDuration(max(0, until-now)))
	}
	r.mu.Lock()
	if r.leases[key] == l {
		delete(r.leases, key) // if the deletion below fails, the next renewal removes the entry as orphaned
	}
	r.mu.Unlock()
	if key != "" {
		if err := r.removeEntry(r.ctx, key); err != nil && r.ctx.Err() == nil {
			r.cfg.Log.Debug("could not delete the queue entry of a released lease", "task", l.claim.Task, "error", err)
		}
	}
	r.leaveSession(l.session)
}

// waitForActions waits until all running actions have ended, or timeout has passed. An action that ignores its context
// may go on after the timeout; resources reject it by its token.
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
