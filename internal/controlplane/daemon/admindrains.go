package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/serverstate"
)

// AdminDrains are the servers that operators took out: a word told to one daemon binds at all, and a return needs the quorum. It is a Part,
// and a maintenance.Shared; any goroutine may use it.
type AdminDrains struct {
	outbox
	guard    *serverstate.Guard
	dirty    map[string]bool // servers whose state is to be told to the sidecar
	arrivals arrivalTimes
	bind     func(ctx context.Context, id string, out bool) error
}

// NewAdminDrains returns those of the daemon of a name.
func NewAdminDrains(name string, log *slog.Logger) *AdminDrains {
	b := &AdminDrains{outbox: newOutbox(name, log), guard: serverstate.NewGuard(name), dirty: map[string]bool{}, arrivals: arrivalTimes{}}
	b.guard.Restrict(func(kind serverstate.Kind, server string) bool { return !isProcessDrain(kind, server) })
	return b
}

func drainedServer(key string) string {
	_, server, _ := strings.Cut(strings.TrimPrefix(key, serverstate.ExclusionPrefix), "/")
	return server
}

// Subscription is of Needy.
func (b *AdminDrains) Subscription() changefeed.Subscription {
	return subscribeTo(serverstate.ExclusionPrefix)
}

// Event is of Part.
func (b *AdminDrains) Event(e store.Event) {
	if _, drain := parseDrainKey(e.Item.Key); drain || !strings.HasPrefix(e.Item.Key, serverstate.ExclusionPrefix) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.guard.Apply(e)
	b.arrivals.applyEvent(b.now(time.Now()), e)
	b.dirty[drainedServer(e.Item.Key)] = true
	b.wakeUp()
}

// markAllDirty notes that all that is out is to be told to the sidecar again. The lock is held.
func (b *AdminDrains) markAllDirty() {
	for _, o := range b.guard.Exclusions() {
		b.dirty[o.Server] = true
	}
}

// Reset is of Part.
func (b *AdminDrains) Reset(s *store.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.markAllDirty()
	if err := b.guard.Reset(s); err != nil {
		b.log.Error("the store's copy is not acted on", "error", err)
		return
	}
	b.markAllDirty()
	b.arrivals.retain(s)
	b.wakeUp()
}

// Uncommitted is of Tail.
func (b *AdminDrains) Uncommitted(c *store.Command) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range b.guard.Uncommitted(c) { // a start finds thousands of commands: each costs what it says, not what is known
		b.dirty[drainedServer(key)] = true
	}
}

// CaughtUp is of Tail.
func (b *AdminDrains) CaughtUp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range b.guard.CaughtUp() {
		b.dirty[drainedServer(key)] = true
	}
	b.wakeUp()
}

// Run is of Part.
func (b *AdminDrains) Run(ctx context.Context) { b.run(ctx, b.enqueueOwed, b.bindDirty) }

func (b *AdminDrains) enqueueOwed() {
	b.mu.Lock()
	owed := b.guard.TakeRetries()
	b.mu.Unlock()
	for _, op := range owed {
		b.enqueueWrite(op)
	}
}

// enqueueWrite leaves a word of the guard's to be written; if there is no room it stays owed.
func (b *AdminDrains) enqueueWrite(op store.Op) {
	b.enqueue(pendingWrite{key: op.Key, done: func(ok bool) { b.guard.ProposalDone(op.Key, ok) }, apply: func(ctx context.Context) error {
		_, err := b.store.Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{op}}})
		return err
	}})
}

// bindDirty makes bind in the sidecar what has changed.
func (b *AdminDrains) bindDirty(ctx context.Context) {
	b.mu.Lock()
	agree := b.bind
	if agree == nil {
		b.mu.Unlock()
		return // they stay dirty until a sidecar begins
	}
	type word struct {
		server string
		out    bool
	}
	var words []word
	for s := range b.dirty {
		words = append(words, word{s, b.guard.Excluded(s)})
	}
	clear(b.dirty)
	b.mu.Unlock()
	slices.SortFunc(words, func(a, b word) int { return strings.Compare(a.server, b.server) })
	for _, w := range words {
		if err := agree(ctx, w.server, w.out); err != nil && ctx.Err() == nil {
			b.log.Error("what daemons agreed on does not bind here", "id", w.server, "out", w.out, "error", err)
			b.mu.Lock()
			b.dirty[w.server] = true // it is told again
			b.mu.Unlock()
		}
	}
}

// Subscribe is of maintenance.Shared.
func (b *AdminDrains) Subscribe(agree func(ctx context.Context, id string, out bool) error) {
	b.mu.Lock()
	b.bind = agree
	b.mu.Unlock()
	b.wakeUp()
}

// ReportDrain is of maintenance.Shared.
func (b *AdminDrains) ReportDrain(id string) {
	b.mu.Lock()
	op, err := b.guard.Observe(serverstate.AdminDrain, id)
	b.mu.Unlock()
	if err != nil {
		b.log.Error("other daemons are not told of a ban", "id", id, "error", err)
	} else if op != nil {
		b.enqueueWrite(*op)
	}
}

// RequestReturn is of maintenance.Shared.
func (b *AdminDrains) RequestReturn(ctx context.Context, id string) (reported bool, err error) {
	b.mu.Lock()
	key := serverstate.ExclusionKey(serverstate.AdminDrain, id)
	t, err := b.guard.Readmit(serverstate.AdminDrain, id)
	pending := b.guard.Pending(key)
	agree := b.bind
	b.mu.Unlock()
	if err != nil {
		if pending {
			return true, fmt.Errorf("%s: %w", id, ErrNotReplicated)
		}
		return false, nil // never told
	}
	r, err := b.store.Do(ctx, store.Command{Txn: t})
	if err != nil {
		return true, fmt.Errorf("%s: %w", id, err)
	}
	b.mu.Lock()
	out := b.guard.Excluded(id)
	b.mu.Unlock()
	if !r.Succeeded || out {
		return true, fmt.Errorf("%s: %w", id, ErrExcludedAgain)
	}
	return true, agree(ctx, id, false)
}

// Exclusions lists the servers that are out by them, by whose word and how old that is.
func (b *AdminDrains) Exclusions() []serverstate.Exclusion {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrivals.setAges(b.now(time.Now()), b.guard.Exclusions())
}
