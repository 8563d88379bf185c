package follower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/serverstate"
	"birchmoor/internal/store/usage"
)

const (
	// age beyond which the copy is stale; equals the limit for a replica's own copy
	maxFreshAge        = 3 * time.Second
	maxIncompleteReads = 4 // states fetched for one View that lack a key it reads; then it fails
)

// View calls read with the copy; see engine.Engine. Unless allowStale is set, it waits until the copy includes the
// revision that a quorum confirms. read may be called several times, and only its last call counts: if it reads keys
// that the copy does not hold, it is called again with a replica's state. If allowStale is set, or no replica sends
// that state, the error is or wraps a *store.NotHeldError.
func (f *Follower) View(ctx context.Context, allowStale bool, read func(*store.State)) (engine.CopyAge, error) {
	var confirmed engine.CopyAge
	if !allowStale {
		var err error
		if confirmed, err = f.confirmedRevision(ctx); err != nil {
			return engine.CopyAge{}, err
		}
	}
	// Whether a partial copy holds the keys that read needs is checked before the copy has the confirmed revision, so
	// that a read of other keys does not wait for the copy.
	for checkedHeld := false; ; {
		result := f.readMirror(confirmed.Revision, !checkedHeld, read)
		switch {
		case result.wasCalled && result.complete && result.hasRevision:
			return result.age, nil
		case result.wasCalled && result.complete:
			checkedHeld = true
			continue
		case result.wasCalled && allowStale:
			return result.age, &store.NotHeldError{Interest: result.keysRead}
		case result.wasCalled:
			return f.readFromReplica(ctx, confirmed, result.keysRead, read)
		case allowStale && result.isEmpty:
			return engine.CopyAge{Stale: true}, replica.ErrNoLeader
		}
		select {
		case <-result.advanced:
		case <-ctx.Done():
			return engine.CopyAge{}, ctx.Err()
		case <-f.ctx.Done():
			return engine.CopyAge{}, engine.ErrClosed
		}
	}
}

// confirmedRevision returns the revision that a quorum confirms. It requests it from one replica after another,
// beginning with a random one, until one answers or ctx ends.
func (f *Follower) confirmedRevision(ctx context.Context) (engine.CopyAge, error) {
	for index := rand.IntN(len(f.clients)); ; index = f.nextReplica(index) {
		var confirmed engine.CopyAge
		_, err := f.call(ctx, index, usage.ConfirmationRequests, http.MethodGet, admin.RevisionPath, nil, &confirmed)
		if err == nil {
			return confirmed, nil
		}
		select {
		case <-ctx.Done():
			return engine.CopyAge{}, fmt.Errorf("%w: %w", err, ctx.Err())
		case <-f.ctx.Done():
			return engine.CopyAge{}, engine.ErrClosed
		case <-time.After(minBackoff):
		}
	}
}

// mirrorRead is the result of an attempt to read the copy.
type mirrorRead struct {
	wasCalled   bool // the read function was called; age, keysRead and complete are set
	isEmpty     bool // there is no copy yet
	hasRevision bool // the copy includes the requested revision
	age         engine.CopyAge
	keysRead    store.Interest // empty for a complete copy
	complete    bool           // the copy holds all keys that were read

	advanced <-chan struct{} // closed when the copy changes
}

// readMirror calls read with the copy if the copy includes a revision. With checkOnly set, it also calls read with a
// partial copy that does not include the revision, to find out whether the copy holds the keys that read needs.
func (f *Follower) readMirror(revision uint64, checkOnly bool, read func(*store.State)) mirrorRead {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.mirror.State()
	result := mirrorRead{
		advanced:    f.advanced,
		isEmpty:     state == nil,
		hasRevision: f.mirror.HasRevision(revision),
	}
	isPartial := state != nil && state.Interest() != nil
	result.wasCalled = result.hasRevision || checkOnly && isPartial
	if !result.wasCalled {
		return result
	}
	result.age = f.copyAge()
	result.keysRead, result.complete = f.mirror.Read(read)
	return result
}

// readFromReplica calls read with a replica's state that holds the keys of an interest and includes the confirmed
// revision. If read reads further keys, it fetches a state that holds these, too, and calls read again.
func (f *Follower) readFromReplica(
	ctx context.Context, confirmed engine.CopyAge, interest store.Interest, read func(*store.State),
) (engine.CopyAge, error) {
	lastErr := error(&store.NotHeldError{Interest: interest})
	index := rand.IntN(len(f.clients))
	delays := newBackoff()
	for incompleteReads := 0; incompleteReads < maxIncompleteReads; {
		state, err := f.fetchState(ctx, index, requestableInterest(interest))
		if err == nil && state.Revision() >= confirmed.Revision {
			state.TrackReads()
			read(state)
			tracked, complete := state.TrackedReads()
			if complete {
				confirmed.Revision = state.Revision()
				return confirmed, nil
			}
			interest = interest.Union(tracked)
			incompleteReads++
			continue
		}
		if err != nil {
			lastErr = fmt.Errorf("%w: %w", &store.NotHeldError{Interest: interest}, err)
		}
		index = f.nextReplica(index)
		f.pause(ctx, delays)
		if ctx.Err() != nil {
			return engine.CopyAge{}, errors.Join(lastErr, ctx.Err())
		}
		if f.ctx.Err() != nil {
			return engine.CopyAge{}, engine.ErrClosed
		}
	}
	return engine.CopyAge{}, lastErr
}

// requestableInterest returns an interest, or nil, which means all keys, if replicas would reject a request for it.
func requestableInterest(interest store.Interest) *store.Interest {
	if err := interest.Validate(); err != nil {
		return nil
	}
	return &interest
}

// copyAge returns how far the copy may lag behind. The caller holds the lock, and there is a copy.
func (f *Follower) copyAge() engine.CopyAge {
	age := engine.CopyAge{Revision: f.mirror.State().Revision(), Confirmed: f.confirmedAt > 0}
	if age.Confirmed {
		age.Age = time.Since(f.startedAt) - f.confirmedAt
	}
	staleness := serverstate.Staleness{Confirmed: age.Confirmed, Age: int64(age.Age), Allowed: int64(maxFreshAge)}
	age.Stale = staleness.Stale()
	return age
}

// NextChanges returns the changes of keys with a prefix after a revision. It waits until there is at least one; see
// engine.Engine. The error is a *store.NotHeldError if the copy does not hold all keys with the prefix.
func (f *Follower) NextChanges(
	ctx context.Context, prefix string, after uint64, maxEvents int,
) (events []store.Event, through uint64, err error) {
	for {
		f.mu.Lock()
		advanced := f.advanced
		through = after
		if state := f.mirror.State(); state != nil {
			events, through, err = state.Changes(nil, prefix, after, maxEvents)
		}
		f.mu.Unlock()
		if err != nil || len(events) > 0 {
			return events, through, err
		}
		after = max(after, through)
		select {
		case <-advanced:
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-f.ctx.Done():
			return nil, after, engine.ErrClosed
		}
	}
}

// CloneState returns a clone of the complete state, which a replica sends if the copy is partial; see engine.Engine.
func (f *Follower) CloneState(ctx context.Context) (*store.State, error) {
	var clone *store.State
	_, err := f.View(ctx, false, func(state *store.State) {
		state.Range("", "", func(store.Item) bool { return false }) // records a read of all keys
		clone = state.Clone()
	})
	return clone, err
}
