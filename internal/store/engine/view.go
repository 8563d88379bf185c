package engine

import (
	"context"
	"fmt"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/serverstate"
)

// maxConfirmationAge is the age of the last confirmation from which a copy counts as stale.
const maxConfirmationAge = 3 * confirmInterval

// CopyAge says how old a copy may be.
type CopyAge struct {
	Revision  uint64        `json:"revision"`
	Confirmed bool          `json:"proved"` // a quorum has confirmed the copy since the start
	Age       time.Duration `json:"age_ns"` // of the last confirmation
	Stale     bool          `json:"stale"`  // the copy was not confirmed for several intervals
}

// View calls f with the state. Unless stale is set, the state includes every change that was acknowledged to anyone
// before the call; otherwise it is this copy as it is, of the age that is returned. The loop calls f, which must be
// short. The View of a partial copy (package follower) may call f again, so that f must start anew on each call.
func (e *Engine) View(ctx context.Context, stale bool, f func(*store.State)) (CopyAge, error) {
	if !stale {
		if err := e.awaitRead(ctx); err != nil {
			return CopyAge{}, err
		}
	}
	var age CopyAge
	err := e.run(ctx, func() {
		if e.node == nil {
			return
		}
		age = e.copyAge()
		age.Revision = e.node.State().Revision()
		f(e.node.State())
	})
	return age, err
}

// awaitRead returns when the state includes every change that was acknowledged before the call.
func (e *Engine) awaitRead(ctx context.Context) error {
	for delay := minRetryDelay; ; delay = nextDelay(delay) {
		_, err := e.request(ctx, func(t replica.RequestToken) { e.node.Read(t) })
		if err == nil || isFinal(err) {
			return err
		}
		if e.sleep(ctx, delay) {
			return fmt.Errorf("%w: %w", err, ctx.Err())
		}
	}
}

// copyAge returns the age of the copy, without its revision.
func (e *Engine) copyAge() CopyAge {
	var age CopyAge
	if after := e.confirmedAfter.Load(); after != 0 {
		age.Confirmed, age.Age = true, time.Since(e.startedAt)-time.Duration(after)
	}
	age.Stale = serverstate.Staleness{
		Confirmed: age.Confirmed,
		Age:       int64(age.Age),
		Allowed:   int64(maxConfirmationAge),
	}.Stale()
	return age
}

// Save returns a copy of the current state, which the caller may save.
func (e *Engine) Save(ctx context.Context) (*store.State, error) {
	var s *store.State
	_, err := e.View(ctx, false, func(now *store.State) { s = now.Clone() })
	if err == nil && s == nil {
		err = replica.ErrNoLeader
	}
	return s, err
}

// Next returns the next changes after a revision of keys with a prefix, and the revision up to which they are
// complete. It waits until there is one. It returns up to n events, but never splits those of one revision. The error
// is a *store.CompactedError if the history does not reach back to the revision.
func (e *Engine) Next(ctx context.Context, prefix string, after uint64, n int) ([]store.Event, uint64, error) {
	for {
		changed := *e.revisionChanged.Load()
		var events []store.Event
		var changesErr error
		to := after
		err := e.run(ctx, func() {
			if e.node != nil {
				events, to, changesErr = e.node.State().Changes(nil, prefix, after, n)
			}
		})
		if err != nil {
			return nil, after, err
		}
		if changesErr != nil || len(events) > 0 {
			return events, to, changesErr
		}
		after = max(after, to)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-e.done:
			return nil, after, ErrClosed
		}
	}
}
