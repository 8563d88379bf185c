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

// exclusionReports is the common part of AdminDrains and Drains: reports that exclude servers, each identified by a T.
type exclusionReports[T comparable] struct {
	outbox
	guard    *serverstate.Guard
	parseKey func(key string) (T, bool) // of the keys that the component is responsible for
	id       func(T) string             // of the server, for log lines
	excluded func(T) bool               // by the guard

	arrivals arrivalTimes
	dirty    map[T]bool // servers whose state is not applied to the sidecar yet
	// bind applies the state of a server to the sidecar; nil until one subscribes.
	bind func(ctx context.Context, server T, excluded bool) error
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
// at any time, and must not be sent requests until the copy knows of its drain.
func (r *exclusionReports[T]) Subscription() changefeed.Subscription {
	return subscribeTo(serverstate.ExclusionPrefix)
}

// applyEvent applies a change of a key that parseKey accepts. The lock is held.
func (r *exclusionReports[T]) applyEvent(now int64, e store.Event) {
	r.guard.Apply(e)
	r.arrivals.applyEvent(now, e)
	r.markDirty(e.Item.Key)
}

// applyReset replaces everything with a new copy, unless that is older than what was acted on. The lock is held.
func (r *exclusionReports[T]) applyReset(s *store.State) error {
	r.markAllDirty() // those that the copy does not exclude any more
	if err := r.guard.Reset(s); err != nil {
		return err
	}
	r.markAllDirty()
	r.arrivals.retain(s)
	return nil
}

// markDirty notes that the state of a key's server is to be applied to the sidecar. The lock is held.
func (r *exclusionReports[T]) markDirty(key string) {
	if server, ok := r.parseKey(key); ok {
		r.dirty[server] = true
	}
}

// markAllDirty does so for all excluded servers. The lock is held.
func (r *exclusionReports[T]) markAllDirty() {
	for _, e := range r.guard.Exclusions() {
		r.markDirty(serverstate.ExclusionKey(e.Kind, e.Server))
	}
}

// Uncommitted implements LogTailObserver. A start calls it thousands of times, so that its cost must not depend on the
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

// owed returns the reports that are neither in the store nor queued.
func (r *exclusionReports[T]) owed() []store.Op {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.guard.TakeRetries()
}

// subscribe sets how state is applied to the sidecar.
func (r *exclusionReports[T]) subscribe(bind func(ctx context.Context, server T, excluded bool) error) {
	r.mu.Lock()
	r.bind = bind
	r.mu.Unlock()
	r.wakeUp()
}

// bindDirty applies to the sidecar what has changed. Until one subscribes servers stay dirty, and so do those that
// fail.
func (r *exclusionReports[T]) bindDirty(ctx context.Context) {
	type change struct {
		server   T
		excluded bool
	}
	r.mu.Lock()
	bind := r.bind
	if bind == nil {
		r.mu.Unlock()
		return
	}
	changes := make([]change, 0, len(r.dirty))
	for server := range r.dirty {
		changes = append(changes, change{server, r.excluded(server)})
	}
	clear(r.dirty)
	r.mu.Unlock()
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(r.id(a.server), r.id(b.server)) })
	for _, c := range changes {
		err := bind(ctx, c.server, c.excluded)
		if err == nil || ctx.Err() != nil {
			continue
		}
		r.log.Error("cannot apply a replicated drain here", "id", r.id(c.server), "drained", c.excluded, "error", err)
		r.mu.Lock()
		r.dirty[c.server] = true
		r.mu.Unlock()
	}
}

// Exclusions lists the excluded servers, by whom they were reported, and the ages of the reports.
func (r *exclusionReports[T]) Exclusions() []serverstate.Exclusion {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.guard.Exclusions()
	r.arrivals.setAges(r.now(time.Now()), all)
	return all
}

// arrivalTimes are the instants, in nanoseconds of a component's clock, at which this copy showed the latest change of
// a key.
type arrivalTimes map[string]int64

func (a arrivalTimes) applyEvent(now int64, e store.Event) {
	if e.Deleted {
		delete(a, e.Item.Key)
		return
	}
	a[e.Item.Key] = now
}

// retain forgets the keys that a new copy does not have.
func (a arrivalTimes) retain(s *store.State) {
	for key := range a {
		if _, ok := s.Get(key); !ok {
			delete(a, key)
		}
	}
}

// setAges fills in the ages of the exclusions whose arrival was seen.
func (a arrivalTimes) setAges(now int64, all []serverstate.Exclusion) {
	for i := range all {
		if at, ok := a[serverstate.ExclusionKey(all[i].Kind, all[i].Server)]; ok {
			all[i].AgeMillis = (now - at) / int64(time.Millisecond)
		}
	}
}
