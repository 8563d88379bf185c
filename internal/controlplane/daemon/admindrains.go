package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/serverstate"
)

// AdminDrains replicates administrative drains of servers. A drain that an operator sets at one daemon takes effect
// there at once, even without a quorum, and at all other daemons once it is committed. A return to service takes effect
// only once it is committed. AdminDrains is a Component and a maintenance.FleetOverrides, and safe for concurrent use.
type AdminDrains struct {
	exclusionReports[string] // keyed by the server's ID
}

// NewAdminDrains returns the component for a daemon, whose reports carry its name.
func NewAdminDrains(name string, log *slog.Logger) *AdminDrains {
	a := &AdminDrains{newExclusionReports[string](name, log)}
	a.guard.Restrict(func(kind serverstate.ExclusionKind, server string) bool { return !isProcessDrain(kind, server) })
	a.parseKey = parseServerKey
	a.serverID = func(server string) string { return server }
	a.excluded = a.guard.Excluded
	return a
}

// parseServerKey returns the server that the key of an exclusion names. ok is false for any other key, and for the key
// of the drain of a single process, for which Drains is responsible.
func parseServerKey(key string) (server string, ok bool) {
	if _, ok := parseDrainKey(key); ok {
		return "", false
	}
	rest, ok := strings.CutPrefix(key, serverstate.ExclusionPrefix)
	if !ok {
		return "", false
	}
	_, server, _ = strings.Cut(rest, "/")
	return server, true
}

// Event implements Component.
func (a *AdminDrains) Event(e store.Event) {
	if _, ok := parseServerKey(e.Item.Key); !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyEvent(a.now(time.Now()), e)
	a.wakeUp()
}

// Reset implements Component.
func (a *AdminDrains) Reset(s *store.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.applyReset(s); err != nil {
		a.log.Error("cannot apply a snapshot of the store to the administrative drains", "error", err)
		return
	}
	a.wakeUp()
}

// Run implements Component.
func (a *AdminDrains) Run(ctx context.Context) { a.run(ctx, a.enqueueRetries, a.applyDirty) }

func (a *AdminDrains) enqueueRetries() {
	for _, op := range a.takeRetries() {
		a.enqueueWrite(op)
	}
}

// enqueueWrite queues the write of a report that the guard proposed. If the write fails or the queue is full, the guard
// returns the report from TakeRetries again.
func (a *AdminDrains) enqueueWrite(op store.Op) {
	a.enqueue(pendingWrite{
		key: op.Key,
		write: func(ctx context.Context) error {
			_, err := a.store.Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{op}}})
			return err
		},
		done: func(ok bool) { a.guard.ProposalDone(op.Key, ok) },
	})
}

// Subscribe implements maintenance.FleetOverrides.
func (a *AdminDrains) Subscribe(apply func(ctx context.Context, id string, drained bool) error) {
	a.subscribe(apply)
}

// ReportDrain implements maintenance.FleetOverrides.
func (a *AdminDrains) ReportDrain(id string) {
	a.mu.Lock()
	op, err := a.guard.Observe(serverstate.AdminDrain, id)
	a.mu.Unlock()
	switch {
	case err != nil:
		a.log.Error("cannot report an administrative drain to other daemons", "id", id, "error", err)
	case op != nil:
		a.enqueueWrite(*op)
	}
}

// RequestReturn implements maintenance.FleetOverrides. Its errors wrap ErrNotReplicated, ErrExcludedAgain or an error
// of the store.
func (a *AdminDrains) RequestReturn(ctx context.Context, id string) (requested bool, err error) {
	a.mu.Lock()
	txn, err := a.guard.Readmit(serverstate.AdminDrain, id)
	pending := a.guard.Pending(serverstate.ExclusionKey(serverstate.AdminDrain, id))
	apply := a.applyToSidecar
	a.mu.Unlock()
	if err != nil && pending {
		return true, fmt.Errorf("return %s: %w", id, ErrNotReplicated)
	}
	if err != nil {
		return false, nil //nolint:nilerr // the guard's only other error is that the drain was never reported
	}
	result, err := a.store.Do(ctx, store.Command{Txn: txn})
	if err != nil {
		return true, fmt.Errorf("return %s: %w", id, err)
	}
	a.mu.Lock()
	excluded := a.guard.Excluded(id)
	a.mu.Unlock()
	if !result.Succeeded || excluded {
		return true, fmt.Errorf("return %s: %w", id, ErrExcludedAgain)
	}
	return true, apply(ctx, id, false)
}
