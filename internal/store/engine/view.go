package engine

import (
	"context"
	"fmt"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/serverstate"
)

// maxConfirmationAge is the age of the last confirmation beyond which a copy counts as stale.
const maxConfirmationAge = 3 * confirmInterval

// CopyAge says how far a copy of the store may lag behind.
type CopyAge struct {
	Revision  uint64        `json:"revision"`
	Confirmed bool          `json:"proved"` // a quorum has confirmed the copy since the start of the process
	Age       time.Duration `json:"age_ns"` // time since the moment that the last confirmation covers
	Stale     bool          `json:"stale"`  // Confirmed is false, or Age exceeds the limit
}

// View calls visit with the state. Unless allowStale is set, it waits until the state includes every change that was
// acknowledged to any client before the call. Otherwise visit sees this replica's copy as it is, whose age is returned.
// The loop calls visit, which must return soon and must not call methods of the Engine. visit is not called while an
// empty disk waits to be added to a cluster. The View of a partial copy in package follower may call its function
// several times, so a function that is written for both must start from scratch on each call.
func (e *Engine) View(ctx context.Context, allowStale bool, visit func(*store.State)) (CopyAge, error) {
	if !allowStale {
		if err := e.awaitRead(ctx); err != nil {
			return CopyAge{}, err
		}
	}
	var age CopyAge
	err := e.runInLoop(ctx, func() {
		if e.node == nil {
			return
		}
		age = e.copyAge()
		age.Revision = e.node.State().Revision()
		visit(e.node.State())
	})
	return age, err
}

// awaitRead waits until the state includes every change that was acknowledged before the call. It retries until ctx
// ends or the replica stops.
func (e *Engine) awaitRead(ctx context.Context) error {
	for delay := minRetryDelay; ; delay = nextDelay(delay) {
		_, err := e.request(ctx, func(token replica.RequestToken) { e.node.Read(token) })
		if err == nil || isFinal(err) {
			return err
		}
		if e.sleep(ctx, delay) {
			return fmt.Errorf("%w: %w", err, ctx.Err())
		}
	}
}

// copyAge returns the age of the copy. It does not set the revision.
func (e *Engine) copyAge() CopyAge {
	var age CopyAge
	if afterNanos := e.confirmedAfterNanos.Load(); afterNanos != 0 {
		age.Confirmed, age.Age = true, time.Since(e.startedAt)-time.Duration(afterNanos)
	}
	age.Stale = serverstate.Staleness{
		Confirmed: age.Confirmed,
		Age:       int64(age.Age),
		Allowed:   int64(maxConfirmationAge),
	}.Stale()
	return age
}

// CloneState returns a clone of the current state, which includes every change that was acknowledged before the call.
// The caller may save it. The error wraps replica.ErrNoLeader if no leader was known until ctx ended.
func (e *Engine) CloneState(ctx context.Context) (*store.State, error) {
	var clone *store.State
	_, err := e.View(ctx, false, func(current *store.State) { clone = current.Clone() })
	if err == nil && clone == nil {
		err = replica.ErrNoLeader
	}
	return clone, err
}

// NextChanges returns the changes after a revision of the keys with a prefix, and the revision up to which they are
// complete. It waits until there is at least one. It stops after maxEvents events, but never splits the events of one
// revision, so that it may return more. The error is a *store.CompactedError if the history does not reach back to the
// revision.
func (e *Engine) NextChanges(
	ctx context.Context, prefix string, after uint64, maxEvents int,
) ([]store.Event, uint64, error) {
	for {
		changed := *e.revisionChanged.Load()
		var events []store.Event
		var changesErr error
		completeRevision := after
		err := e.runInLoop(ctx, func() {
			if e.node != nil {
				events, completeRevision, changesErr = e.node.State().Changes(nil, prefix, after, maxEvents)
			}
		})
		if err != nil {
			return nil, after, err
		}
		if changesErr != nil || len(events) > 0 {
			return events, completeRevision, changesErr
		}
		after = max(after, completeRevision)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-e.done:
			return nil, after, ErrClosed
		}
	}
}
