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
	maxFreshAge   = 3 * time.Second // as for a replica's own copy
	maxWiderReads = 4               // states that are fetched for a read that needs more with each
)

// View calls read with the copy; see engine.Engine. Unless stale is set it waits until the copy has the
// revision that a quorum confirms. If read reads what the copy does not hold, it is called again with a
// replica's state, and what it read before is void; with stale set, or if no replica sends that state, the
// error is or wraps a *store.NotHeldError.
func (f *Follower) View(ctx context.Context, stale bool, read func(*store.State)) (engine.CopyAge, error) {
	var confirmed engine.CopyAge
	if !stale {
		var err error
		if confirmed, err = f.confirmedRevision(ctx); err != nil {
			return engine.CopyAge{}, err
		}
	}
	for checked := false; ; { // that the copy holds what read reads, for which it need not have the revision
		result := f.readMirror(confirmed.Revision, !checked, read)
		switch {
		case result.isDone && result.complete && result.hasRevision:
			return result.age, nil
		case result.isDone && result.complete:
			checked = true
			continue
		case result.isDone && stale:
			return result.age, &store.NotHeldError{Interest: result.what}
		case result.isDone:
			return f.readFromReplica(ctx, confirmed, result.what, read)
		case stale && result.isEmpty:
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

// confirmedRevision requests the revision that a quorum confirms from one replica after another.
func (f *Follower) confirmedRevision(ctx context.Context) (engine.CopyAge, error) {
	for at := rand.IntN(len(f.clients)); ; at = f.nextReplica(at) {
		var confirmed engine.CopyAge
		_, err := f.call(ctx, at, usage.Requests, http.MethodGet, admin.RevisionPath, nil, &confirmed)
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
	isDone      bool // read was called; the fields below that say what it read are set
	isEmpty     bool // there is no copy yet
	hasRevision bool
	age         engine.CopyAge
	what        store.Interest
	complete    bool // the copy holds all that was read

	advanced <-chan struct{} // closed when the copy changes
}

// readMirror calls read with the copy if that has a revision, or, with early set, if it is a part, which may
// not hold what read reads.
func (f *Follower) readMirror(revision uint64, early bool, read func(*store.State)) mirrorRead {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.mirror.State()
	result := mirrorRead{
		advanced:    f.advanced,
		isEmpty:     state == nil,
		hasRevision: f.mirror.HasRevision(revision),
	}
	isPart := state != nil && state.Interest() != nil
	result.isDone = result.hasRevision || early && isPart
	if !result.isDone {
		return result
	}
	result.age = f.copyAge()
	result.what, result.complete = f.mirror.Read(read)
	return result
}

// readFromReplica calls read with a replica's state of what it reads, which has the confirmed revision.
// Whenever read then reads more, a state of that is fetched.
func (f *Follower) readFromReplica(
	ctx context.Context, confirmed engine.CopyAge, what store.Interest, read func(*store.State),
) (engine.CopyAge, error) {
	lastErr := error(&store.NotHeldError{Interest: what})
	at := rand.IntN(len(f.clients))
	delays := newBackoff()
	for reads := 0; reads < maxWiderReads; {
		state, err := f.fetchState(ctx, at, fetchable(what))
		if err == nil && state.Revision() >= confirmed.Revision {
			state.TrackReads()
			read(state)
			tracked, complete := state.TrackedReads()
			if complete {
				confirmed.Revision = state.Revision()
				return confirmed, nil
			}
			what = what.Union(tracked)
			reads++
			continue
		}
		if err != nil {
			lastErr = fmt.Errorf("%w: %w", &store.NotHeldError{Interest: what}, err)
		}
		at = f.nextReplica(at)
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

// fetchable is an interest that can be requested: all keys, if it is too large or is all keys.
func fetchable(interest store.Interest) *store.Interest {
	if err := interest.Validate(); err != nil {
		return nil
	}
	return &interest
}

// copyAge is how old the copy may be. The lock is held.
func (f *Follower) copyAge() engine.CopyAge {
	age := engine.CopyAge{Revision: f.mirror.State().Revision(), Confirmed: f.confirmedAt > 0}
	if age.Confirmed {
		age.Age = time.Since(f.startedAt) - f.confirmedAt
	}
	staleness := serverstate.Staleness{Confirmed: age.Confirmed, Age: int64(age.Age), Allowed: int64(maxFreshAge)}
	age.Stale = staleness.Stale()
	return age
}

// NextChanges returns changes of keys with a prefix after a revision, and waits for one; see engine.Engine.
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

// CloneState returns a copy of the complete state; see engine.Engine.
func (f *Follower) CloneState(ctx context.Context) (*store.State, error) {
	var saved *store.State
	_, err := f.View(ctx, false, func(state *store.State) {
		state.Range("", "", func(store.Item) bool { return false }) // counts as a read of all keys
		saved = state.Clone()
	})
	return saved, err
}
