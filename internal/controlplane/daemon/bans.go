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
	desk
	guard *serverstate.Guard
	dirty map[string]bool // servers whose state is to be told to the sidecar
	came  arrivals
	agree func(ctx context.Context, id string, out bool) error
}

// NewAdminDrains returns those of the daemon of a name.
func NewAdminDrains(name string, log *slog.Logger) *AdminDrains {
	b := &AdminDrains{desk: newDesk(name, log), guard: serverstate.NewGuard(name), dirty: map[string]bool{}, came: arrivals{}}
	b.guard.Only(func(kind serverstate.Kind, server string) bool { return !ofDrains(kind, server) })
	return b
}

func serverOf(key string) string {
	_, server, _ := strings.Cut(strings.TrimPrefix(key, serverstate.ExclusionPrefix), "/")
	return server
}

// Subscription is of Needy.
func (b *AdminDrains) Subscription() changefeed.Subscription {
	return needs(serverstate.ExclusionPrefix)
}

// Event is of Part.
func (b *AdminDrains) Event(e store.Event) {
	if _, drain := drainOf(e.Item.Key); drain || !strings.HasPrefix(e.Item.Key, serverstate.ExclusionPrefix) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.guard.Applied(e)
	b.came.event(b.now(time.Now()), e)
	b.dirty[serverOf(e.Item.Key)] = true
	b.poke()
}

// stale notes that all that is out is to be told to the sidecar again. The lock is held.
func (b *AdminDrains) stale() {
	for _, o := range b.guard.All() {
		b.dirty[o.Server] = true
	}
}

// Reset is of Part.
func (b *AdminDrains) Reset(s *store.State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stale()
	if err := b.guard.Reset(s); err != nil {
		b.log.Error("the store's copy is not acted on", "error", err)
		return
	}
	b.stale()
	b.came.reset(s)
	b.poke()
}

// Uncommitted is of Tail.
func (b *AdminDrains) Uncommitted(c *store.Command) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range b.guard.Unsettled(c) { // a start finds thousands of commands: each costs what it says, not what is known
		b.dirty[serverOf(key)] = true
	}
}

// CaughtUp is of Tail.
func (b *AdminDrains) CaughtUp() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range b.guard.Settled() {
		b.dirty[serverOf(key)] = true
	}
	b.poke()
}

// Run is of Part.
func (b *AdminDrains) Run(ctx context.Context) { b.work(ctx, b.owed, b.tell) }

func (b *AdminDrains) owed() {
	b.mu.Lock()
	owed := b.guard.Owed()
	b.mu.Unlock()
	for _, op := range owed {
		b.queue(op)
	}
}

// queue leaves a word of the guard's to be written; if there is no room it stays owed.
func (b *AdminDrains) queue(op store.Op) {
	b.owe(write{key: op.Key, wrote: func(ok bool) { b.guard.Wrote(op.Key, ok) }, do: func(ctx context.Context) error {
		_, err := b.store.Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{op}}})
		return err
	}})
}

// tell makes bind in the sidecar what has changed.
func (b *AdminDrains) tell(ctx context.Context) {
	b.mu.Lock()
	agree := b.agree
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
		words = append(words, word{s, b.guard.Out(s)})
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
	b.agree = agree
	b.mu.Unlock()
	b.poke()
}

// ReportDrain is of maintenance.Shared.
func (b *AdminDrains) ReportDrain(id string) {
	b.mu.Lock()
	op, err := b.guard.Hear(serverstate.AdminDrain, id)
	b.mu.Unlock()
	if err != nil {
		b.log.Error("other daemons are not told of a ban", "id", id, "error", err)
	} else if op != nil {
		b.queue(*op)
	}
}

// RequestReturn is of maintenance.Shared.
func (b *AdminDrains) RequestReturn(ctx context.Context, id string) (asked bool, err error) {
	b.mu.Lock()
	key := serverstate.ExclusionKey(serverstate.AdminDrain, id)
	t, err := b.guard.Return(serverstate.AdminDrain, id)
	pending := b.guard.Pending(key)
	agree := b.agree
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
	out := b.guard.Out(id)
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
	return b.came.age(b.now(time.Now()), b.guard.All())
}
