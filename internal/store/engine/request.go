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

// Bounds of the delay between attempts of a request, which doubles with each attempt.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// OutcomeUnknownError reports that a change may have been made or not. A retry of the request with the same ID is
// applied at most once and returns the outcome.
type OutcomeUnknownError struct{ ID store.RequestID }

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("%v; request %x-%d", replica.ErrOutcomeUnknown, e.ID.Client, e.ID.Seq)
}

// Unwrap returns replica.ErrOutcomeUnknown.
func (e *OutcomeUnknownError) Unwrap() error { return replica.ErrOutcomeUnknown }

// Do requests a change and returns its outcome. It gives the request an ID if it has none. It retries, with a growing
// delay, until the outcome is known, ctx ends or no retry can succeed. In the last two cases the error is an
// *OutcomeUnknownError if the change may have been made.
func (e *Engine) Do(ctx context.Context, command store.Command) (store.Result, error) {
	if command.ID == (store.RequestID{}) {
		command.ID = store.RequestID{Client: e.clientID, Seq: e.lastSeq.Add(1)}
	}
	if command.SinceIndex == 0 {
		if err := e.setSinceIndex(ctx, &command); err != nil {
			return store.Result{}, err
		}
	}
	proposed := false // an attempt may have added the command to the log
	var lastErr error
	for delay := minRetryDelay; ; delay = nextDelay(delay) {
		result, err := e.propose(ctx, command)
		switch {
		case err == nil && !proposed && errors.Is(result.Err, store.ErrRequestExpired):
			// The request cannot have been applied before. It was rejected because this copy, whose index is its
			// SinceIndex, lags far behind.
			lastErr = result.Err
			if err := e.setSinceIndex(ctx, &command); err != nil {
				return store.Result{}, err
			}
		case err == nil:
			return result, result.Err
		case errors.Is(err, replica.ErrNoLeader), errors.Is(err, replica.ErrBusy):
			lastErr = err
		default:
			proposed = true
			lastErr = err
		}
		if isFinal(lastErr) || ctx.Err() != nil {
			break
		}
		e.sleep(ctx, delay)
	}
	if proposed {
		return store.Result{}, &OutcomeUnknownError{command.ID}
	}
	return store.Result{}, lastErr
}

// setSinceIndex sets the command's SinceIndex to the index that this copy has applied.
func (e *Engine) setSinceIndex(ctx context.Context, command *store.Command) error {
	return e.runInLoop(ctx, func() {
		if e.node != nil {
			command.SinceIndex = max(1, e.node.State().Index())
		}
	})
}

// propose makes one attempt at a request.
func (e *Engine) propose(ctx context.Context, command store.Command) (store.Result, error) {
	return e.request(ctx, func(token replica.RequestToken) { e.node.Propose(token, &command) })
}

// request has the loop call send, which passes a request to the replica, and waits for its completion.
func (e *Engine) request(ctx context.Context, send func(replica.RequestToken)) (store.Result, error) {
	completed := make(chan replica.Completion, 1)
	err := e.runInLoop(ctx, func() {
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

// sleep waits for a random time between 0.5 and 1.5 times delay, until ctx ends or until the engine is closed. It
// reports whether ctx ended.
func (e *Engine) sleep(ctx context.Context, delay time.Duration) (cancelled bool) {
	select {
	case <-ctx.Done():
		return true
	case <-e.done:
	case <-time.After(delay/2 + rand.N(delay)):
	}
	return false
}
