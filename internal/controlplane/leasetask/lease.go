package leasetask

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
)

// Lease is one holding of a task, from when this daemon's turn came until it is lost or released. Any goroutine may use it.
type Lease struct {
	runner  *Runner
	claim   Claim
	session *session
	key     string
	token   uint64
	since   int64

	generation  uint64 // of the session that the place is of
	ctx         context.Context
	cancel      context.CancelCauseFunc
	actions     sync.WaitGroup
	releaseOnce sync.Once
	releasing   bool // under the runner's lock: it is entitled to nothing any more
}

// waitForTurn takes a place and waits for its turn.
func (h *Lease) waitForTurn(ctx context.Context, nonce string, waiting func(int, error)) error {
	r, told, wait := h.runner, -1, minRetryDelay
	var last error
	say := func(before int, why error) {
		if waiting != nil && (before != told || why != nil) {
			told = before
			waiting(before, why)
		}
	}
	for n := 0; ; {
		r.mu.Lock()
		now, changed := r.cfg.Clock.Now(), r.changed
		if r.closed {
			r.mu.Unlock()
			return ErrClosed
		}
		live := h.session.state.ID() != 0 && now < h.session.state.ValidUntil()
		switch {
		case h.key != "" && h.generation != h.session.state.Generation(): // its session has ended, and the place with it
			delete(r.leases, h.key)
			h.key = ""
			r.mu.Unlock()
			continue
		case !live:
			r.mu.Unlock()
			say(-1, errors.Join(errors.New("the store does not answer"), last))
			if err := r.waitForChange(ctx, changed, 0); err != nil {
				return errors.Join(err, last)
			}
			continue
		}
		if h.key == "" {
			n++
			h.key, h.generation = lease.QueueEntryKey(h.claim.Task, r.cfg.Host, fmt.Sprintf("%s%d", nonce, n)), h.session.state.Generation()
			r.leases[h.key] = h
		}
		_, before, there := r.table.Find(h.claim.Task, h.key)
		token, holds := r.table.Holds(h.claim.Task, h.key)
		yields := r.table.MustRelease(h.claim.Task, h.key)
		held, slots := r.table.Suspended(), max(1, r.table.Slots(h.claim.Task))
		if there && holds && yields == nil {
			h.token, h.since = token, now
			h.ctx, h.cancel = context.WithCancelCause(context.Background())
			r.mu.Unlock()
			r.wg.Go(h.watch)
			return nil
		}
		id := h.session.state.ID()
		if there && yields != nil && !errors.Is(yields, lease.ErrPaused) { // behind whom it is given to
			delete(r.leases, h.key)
			key := h.key
			h.key = ""
			r.mu.Unlock()
			if err := r.removeEntry(ctx, key); err != nil && ctx.Err() != nil {
				return ctx.Err()
			}
			continue
		}
		r.mu.Unlock()
		if there {
			switch {
			case held:
				say(before, errors.New("the store was restored a moment ago: nobody may act yet"))
			case yields != nil:
				say(before, yields)
			default:
				say(max(0, before-slots+1), nil)
			}
			if err := r.waitForChange(ctx, changed, 0); err != nil {
				return err
			}
			continue
		}
		last = r.putEntry(ctx, h, id)
		if errors.Is(last, lease.ErrSlotsMismatch) || errors.Is(last, store.ErrFull) || errors.Is(last, store.ErrBadKey) {
			return last
		}
		r.mu.Lock()
		_, _, there = r.table.Find(h.claim.Task, h.key)
		changed = r.changed
		r.mu.Unlock()
		if !there { // the copy will show it, or it is put again: it is the same place
			if last != nil {
				say(-1, last)
			}
			if err := r.waitForChange(ctx, changed, r.cfg.Clock.Now()+int64(wait)); err != nil {
				return errors.Join(err, last)
			}
			wait = min(2*wait, maxRetryDelay)
		}
	}
}

// validUntil says until when it may act. The runner's lock is held.
func (h *Lease) validUntil(now int64) (until int64, err error) {
	if h.releasing {
		return 0, lease.ErrLost
	}
	if h.generation != h.session.state.Generation() {
		return 0, fmt.Errorf("%w: the session has ended", lease.ErrLost)
	}
	if until = h.session.state.ValidUntil(); now >= until {
		return 0, fmt.Errorf("%w: no renewal was answered in time", lease.ErrLost)
	}
	if _, ok := h.runner.table.Holds(h.claim.Task, h.key); !ok {
		return 0, fmt.Errorf("%w: its place is gone", lease.ErrLost)
	}
	return until, nil
}

// watch ends the hold's context once it is entitled no more, or is asked to release.
func (h *Lease) watch() {
	r := h.runner
	for {
		r.mu.Lock()
		changed := r.changed
		until, err := h.validUntil(r.cfg.Clock.Now())
		if err == nil {
			err = r.table.MustRelease(h.claim.Task, h.key)
		}
		if err == nil && r.closed {
			err = ErrClosed
		}
		r.mu.Unlock()
		if err != nil {
			h.cancel(err)
			return
		}
		if err := r.waitForChange(h.ctx, changed, until); err != nil {
			h.cancel(err)
			return
		}
	}
}

// Task is what is held.
func (h *Lease) Task() string { return h.claim.Task }

// Token is higher than that of any earlier holder of the same task.
func (h *Lease) Token() uint64 { return h.token }

// ValidUntil is when the entitlement ends unless it is renewed, by the host's boot clock in nanoseconds; 0: it has ended.
func (h *Lease) ValidUntil() int64 {
	h.runner.mu.Lock()
	defer h.runner.mu.Unlock()
	until, err := h.validUntil(h.runner.cfg.Clock.Now())
	if err != nil {
		return 0
	}
	return until
}

// Renewed is closed once Until is not what it was, or the hold's context has ended.
func (h *Lease) Renewed(was int64) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for h.ctx.Err() == nil {
			h.runner.mu.Lock()
			changed := h.runner.changed
			until, err := h.validUntil(h.runner.cfg.Clock.Now())
			h.runner.mu.Unlock()
			if err != nil || until != was || h.runner.waitForChange(h.ctx, changed, until) != nil {
				return
			}
		}
	}()
	return done
}

// Context ends when the entitlement does, or when the holder is asked to release; its cause says why.
func (h *Lease) Context() context.Context { return h.ctx }

// Do runs an action that takes at most so long. It does not begin what may not end within the entitlement: it waits for the next
// renewal, and fails with ErrShort if that does not come, or if the action takes longer than a renewal can give. The action's
// context ends with the entitlement, and after its time at most.
//
// A process that is stopped between Do's look at the clock and the action's effect acts late, whatever Do does: what must not see
// that checks the token.
func (h *Lease) Do(ctx context.Context, most time.Duration, f func(ctx context.Context, token uint64) error) error {
	r := h.runner
	if int64(most) >= h.session.state.Rules().Validity()*2/3 {
		return fmt.Errorf("%w: %v", lease.ErrLeaseTooShort, most)
	}
	for {
		r.mu.Lock()
		now, changed := r.cfg.Clock.Now(), r.changed
		until, err := h.validUntil(now)
		if err == nil && h.ctx.Err() != nil {
			err = context.Cause(h.ctx)
		}
		if err != nil {
			r.mu.Unlock()
			return err
		}
		if now+int64(most) < until {
			h.actions.Add(1)
			r.mu.Unlock()
			defer h.actions.Done()
			in, cancel := context.WithTimeout(ctx, most)
			defer cancel()
			defer context.AfterFunc(h.ctx, cancel)()
			return f(in, h.token)
		}
		r.mu.Unlock()
		if err := r.waitForChange(ctx, changed, until); err != nil {
			return err
		}
	}
}

// TrackAction notes an action that runs elsewhere, until the function that it returns is called: a release waits for it like for one of Do.
func (h *Lease) TrackAction() (done func()) {
	h.actions.Add(1)
	return h.actions.Done
}

// Txn makes a change of the store that takes effect only while this holder has its place: none does after a later holder's.
func (h *Lease) Txn(ctx context.Context, t store.Txn) (store.Result, error) {
	t.If = append([]store.Compare{{Key: h.key, ModRevision: h.token}}, t.If...)
	return h.runner.store.Do(ctx, store.Command{Txn: &t})
}

// Release gives it up: it is entitled to nothing from now on, its context ends, actions under way are waited for up to the end of
// what they were entitled to, and then the next in order has its turn.
func (h *Lease) Release() {
	h.releaseOnce.Do(func() {
		r := h.runner
		r.mu.Lock()
		now := r.cfg.Clock.Now()
		until, _ := h.validUntil(now)
		h.releasing = true
		key := h.key
		r.mu.Unlock()
		if h.cancel != nil {
			h.cancel(lease.ErrLost)
			ended := make(chan struct{})
			go func() { h.actions.Wait(); close(ended) }()
			t := time.NewTimer(r.cfg.Clock.Span(max(0, until-now)))
			select {
			case <-ended:
			case <-t.C: // an action that does not heed its context is held off by its token
			}
			t.Stop()
		}
		r.mu.Lock()
		if r.leases[key] == h {
			delete(r.leases, key) // from now on the session's renewal sweeps it, if this does not come through
		}
		r.mu.Unlock()
		if key != "" {
			if err := r.removeEntry(r.ctx, key); err != nil && r.ctx.Err() == nil {
				r.cfg.Log.Debug("a place is not removed yet", "task", h.claim.Task, "error", err)
			}
		}
		r.mu.Lock()
		h.session.users--
		r.mu.Unlock()
	})
}
