package engine

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
)

const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// UnknownError reports that a change may have been made. A retry with the same ID finds out.
type UnknownError struct{ ID store.RequestID }

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("%v; request %x-%d", replica.ErrOutcomeUnknown, e.ID.Client, e.ID.Seq)
}

// Unwrap returns replica.ErrOutcomeUnknown.
func (e *UnknownError) Unwrap() error { return replica.ErrOutcomeUnknown }

// Do makes a change and returns its outcome. A request without an ID gets one. It is retried until its outcome is
// known or ctx ends; then the error is an *UnknownError if the change may have been made.
func (e *Engine) Do(ctx context.Context, c store.Command) (store.Result, error) {
	if c.ID == (store.RequestID{}) {
		c.ID = store.RequestID{Client: e.clientID, Seq: e.seq.Add(1)}
	}
	if c.SinceIndex == 0 {
		if err := e.setSinceIndex(ctx, &c); err != nil {
			return store.Result{}, err
		}
	}
	proposed := false // it may be in the log
	var last error
	for delay := minRetryDelay; ; delay = nextDelay(delay) {
		result, err := e.propose(ctx, c)
		switch {
		case err == nil && !proposed && errors.Is(result.Err, store.ErrRequestExpired):
			// The request is new: its SinceIndex is that of a copy that lags far behind.
			last = result.Err
			if err := e.setSinceIndex(ctx, &c); err != nil {
				return store.Result{}, err
			}
		case err == nil:
			return result, result.Err
		case errors.Is(err, replica.ErrNoLeader), errors.Is(err, replica.ErrBusy):
			last = err
		default:
			proposed = true
			last = err
		}
		if isFinal(last) || ctx.Err() != nil {
			break
		}
		e.sleep(ctx, delay)
	}
	if proposed {
		return store.Result{}, &UnknownError{c.ID}
	}
	return store.Result{}, last
}

// setSinceIndex sets the command's SinceIndex to the index that this copy has applied.
func (e *Engine) setSinceIndex(ctx context.Context, c *store.Command) error {
	return e.run(ctx, func() {
		if e.node != nil {
			c.SinceIndex = max(1, e.node.State().Index())
		}
	})
}

// propose makes one attempt of a request.
func (e *Engine) propose(ctx context.Context, c store.Command) (store.Result, error) {
	return e.request(ctx, func(t replica.RequestToken) { e.node.Propose(t, &c) })
}

// request has the loop pass a request to the replica, and waits for its completion.
func (e *Engine) request(ctx context.Context, send func(replica.RequestToken)) (store.Result, error) {
	completed := make(chan replica.Completion, 1)
	err := e.run(ctx, func() {
		if e.node == nil {
			completed <- replica.Completion{Err: replica.ErrNoLeader}
			return
		}
		send(e.onCompletion(func(c replica.Completion) { completed <- c }))
	})
	if err != nil {
		return store.Result{}, err
	}
	select {
	case c := <-completed:
		return c.Result, c.Err
	case <-ctx.Done():
		return store.Result{}, ctx.Err()
	case <-e.done:
		return store.Result{}, ErrClosed
	}
}

// isFinal reports whether no retry can succeed after an error.
func isFinal(err error) bool {
	return errors.Is(err, ErrClosed) || errors.Is(err, replica.ErrStopped)
}

func nextDelay(delay time.Duration) time.Duration { return min(2*delay, maxRetryDelay) }

// sleep waits for between half and one and a half of a delay, or until the engine is closed. It reports whether ctx
// ended first.
func (e *Engine) sleep(ctx context.Context, delay time.Duration) (cancelled bool) {
	select {
	case <-ctx.Done():
		return true
	case <-e.done:
	case <-time.After(delay/2 + rand.N(delay)):
	}
	return false
}
