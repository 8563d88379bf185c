package daemon

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/serverstate"
)

// exclusionReports is the common part of AdminDrains and Drains: reports that exclude servers from new requests. T
// identifies an excluded server: by its ID or as one of its processes.
type exclusionReports[T comparable] struct {
	outbox
	guard    *serverstate.Guard
	parseKey func(key string) (T, bool) // false for keys for which the component is not responsible
	serverID func(T) string             // for log lines and their order
	excluded func(T) bool               // reports whether the guard excludes the server

	arrivals arrivalTimes
	dirty    map[T]bool // servers whose state is not applied to the sidecar yet
	// applyToSidecar applies the state of a server to the sidecar. It is nil until a sidecar subscribes.
	applyToSidecar func(ctx context.Context, server T, excluded bool) error
}

func newExclusionReports[T comparable](name string, log *slog.Logger) exclusionReports[T] {
	return exclusionReports[T]{
		outbox:   newOutbox(name, log),
		guard:    serverstate.NewGuard(name),
		arrivals: arrivalTimes{},
		dirty:    map[T]bool{},
	}
}

// Subscription implements Subscriber. It covers all servers: one that is not on the endpoint list yet may appear there
// at any time, and the sidecar must know of its drain before it sends requests there.
func (r *exclusionReports[T]) Subscription() changefeed.Subscription {
	return subscribeTo(serverstate.ExclusionPrefix)
}

// applyEvent applies a change of a key that parseKey accepts. The caller holds the lock.
func (r *exclusionReports[T]) applyEvent(now int64, e store.Event) {
	r.guard.Apply(e)
	r.arrivals.applyEvent(now, e)
	r.markDirty(e.Item.Key)
}

// applyReset replaces the exclusions of the former copy by those of a new one. It returns an error and changes nothing
// if the new copy is older than what this daemon has acted on. The caller holds the lock.
func (r *exclusionReports[T]) applyReset(s *store.State) error {
	r.markAllDirty() // covers the servers that the new copy does not exclude any more
	if err := r.guard.Reset(s); err != nil {
		return err
	}
	r.markAllDirty()
	r.arrivals.retain(s)
	return nil
}

// markDirty makes the next applyDirty apply the state of a key's server to the sidecar. The caller holds the lock.
func (r *exclusionReports[T]) markDirty(key string) {
	if server, ok := r.parseKey(key); ok {
		r.dirty[server] = true
	}
}

// markAllDirty calls markDirty for all excluded servers. The caller holds the lock.
func (r *exclusionReports[T]) markAllDirty() {
	for _, e := range r.guard.Exclusions() {
		r.markDirty(serverstate.ExclusionKey(e.Kind, e.Server))
	}
}

// Uncommitted implements LogTailObserver. A restart may call it thousands of times, so its cost must not depend on the
// number of servers.
func (r *exclusionReports[T]) Uncommitted(c *store.Command) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range r.guard.Uncommitted(c) {
		r.markDirty(key)
	}
}

// CaughtUp implements LogTailObserver.
func (r *exclusionReports[T]) CaughtUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range r.guard.CaughtUp() {
		r.markDirty(key)
	}
	r.wakeUp()
}

// takeRetries returns the reports that have to be written again because their last write failed or was lost.
func (r *exclusionReports[T]) takeRetries() []store.Op {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.guard.TakeRetries()
}

// subscribe sets the function that applies the state of a server to the sidecar.
func (r *exclusionReports[T]) subscribe(apply func(ctx context.Context, server T, excluded bool) error) {
	r.mu.Lock()
	r.applyToSidecar = apply
	r.mu.Unlock()
	r.wakeUp()
}

// applyDirty applies the state of the dirty servers to the sidecar. Servers stay dirty until a sidecar subscribes, and
// while their state cannot be applied.
func (r *exclusionReports[T]) applyDirty(ctx context.Context) {
	type change struct {
		server   T
		excluded bool
	}
	r.mu.Lock()
	apply := r.applyToSidecar
	if apply == nil {
		r.mu.Unlock()
		return
	}
	changes := make([]change, 0, len(r.dirty))
	for server := range r.dirty {
		changes = append(changes, change{server, r.excluded(server)})
	}
	clear(r.dirty)
	r.mu.Unlock()
	slices.SortFunc(changes, func(a, b change) int {
		return strings.Compare(r.serverID(a.server), r.serverID(b.server))
	})
	for _, c := range changes {
		err := apply(ctx, c.server, c.excluded)
		if err == nil || ctx.Err() != nil {
			continue
		}
		r.log.Error("cannot apply the drain state of a server to this sidecar",
			"id", r.serverID(c.server), "drained", c.excluded, "error", err)
		r.mu.Lock()
		r.dirty[c.server] = true
		r.mu.Unlock()
	}
}

// Exclusions lists the excluded servers, with the daemons that reported them and the ages of the reports.
func (r *exclusionReports[T]) Exclusions() []serverstate.Exclusion {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.guard.Exclusions()
	r.arrivals.setAges(r.now(time.Now()), all)
	return all
}

// arrivalTimes holds, by key, the time at which this copy applied the latest change, in nanoseconds of the component's
// clock. A key that was first seen in a new copy has none.
type arrivalTimes map[string]int64

func (a arrivalTimes) applyEvent(now int64, e store.Event) {
	if e.Deleted {
		delete(a, e.Item.Key)
		return
	}
	a[e.Item.Key] = now
}

// retain deletes the keys that a new copy does not have.
func (a arrivalTimes) retain(s *store.State) {
	for key := range a {
		if _, ok := s.Get(key); !ok {
			delete(a, key)
		}
	}
}

// setAges sets the ages of the exclusions with a known arrival time, and leaves those of the others at -1.
func (a arrivalTimes) setAges(now int64, all []serverstate.Exclusion) {
	for i := range all {
		if at, ok := a[serverstate.ExclusionKey(all[i].Kind, all[i].Server)]; ok {
			all[i].AgeMillis = (now - at) / int64(time.Millisecond)
		}
	}
}
