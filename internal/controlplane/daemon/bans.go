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

// Bans are the servers that operators took out: a word told to one daemon binds at all, and a return needs the quorum. It is a Part,
// and a maintenance.Shared; any goroutine may use it.
type Bans struct {
	desk
	guard *serverstate.Guard
	dirty map[string]bool // servers whose state is to be told to the sidecar
	came  arrivals
	agree func(ctx context.Context, id string, out bool) error
}

// NewBans returns those of the daemon of a name.
func NewBans(name string, log *slog.Logger) *Bans {
	b := &Bans{desk: newDesk(name, log), guard: serverstate.NewGuard(name), dirty: map[string]bool{}, came: arrivals{}}
	b.guard.Only(func(kind serverstate.Kind, server string) bool { return !ofDrains(kind, server) })
	return b
}

func serverOf(key string) string {
	_, server, _ := strings.Cut(strings.TrimPrefix(key, serverstate.Prefix), "/")
	return server
}

// Needs is of Needy.
func (b *Bans) Needs() changefeed.Needs { return needs(serverstate.Prefix) }

// Event is of Part.
func (b *Bans) Event(e store.Event) {
	if _, drain := drainOf(e.Item.Key); drain || !strings.HasPrefix(e.Item.Key, serverstate.Prefix) {
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
func (b *Bans) stale() {
	for _, o := range b.guard.All() {
		b.dirty[o.Server] = true
	}
}

// Reset is of Part.
func (b *Bans) Reset(s *store.State) {
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

// Unsettled is of Tail.
func (b *Bans) Unsettled(c *store.Command) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range b.guard.Unsettled(c) { // a start finds thousands of commands: each costs what it says, not what is known
		b.dirty[serverOf(key)] = true
	}
}

// Settled is of Tail.
func (b *Bans) Settled() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range b.guard.Settled() {
		b.dirty[serverOf(key)] = true
	}
	b.poke()
}

// Run is of Part.
func (b *Bans) Run(ctx context.Context) { b.work(ctx, b.owed, b.tell) }

func (b *Bans) owed() {
	b.mu.Lock()
	owed := b.guard.Owed()
	b.mu.Unlock()
	for _, op := range owed {
		b.queue(op)
	}
}

// queue leaves a word of the guard's to be written; if there is no room it stays owed.
func (b *Bans) queue(op store.Op) {
	b.owe(write{key: op.Key, wrote: func(ok bool) { b.guard.Wrote(op.Key, ok) }, do: func(ctx context.Context) error {
		_, err := b.store.Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{op}}})
		return err
	}})
}

// tell makes bind in the sidecar what has changed.
func (b *Bans) tell(ctx context.Context) {
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

// Begin is of maintenance.Shared.
func (b *Bans) Begin(agree func(ctx context.Context, id string, out bool) error) {
	b.mu.Lock()
	b.agree = agree
	b.mu.Unlock()
	b.poke()
}

// TakenOut is of maintenance.Shared.
func (b *Bans) TakenOut(id string) {
	b.mu.Lock()
	op, err := b.guard.Hear(serverstate.Ban, id)
	b.mu.Unlock()
	if err != nil {
		b.log.Error("other daemons are not told of a ban", "id", id, "error", err)
	} else if op != nil {
		b.queue(*op)
	}
}

// Return is of maintenance.Shared.
func (b *Bans) Return(ctx context.Context, id string) (asked bool, err error) {
	b.mu.Lock()
	key := serverstate.Key(serverstate.Ban, id)
	t, err := b.guard.Return(serverstate.Ban, id)
	pending := b.guard.Pending(key)
	agree := b.agree
	b.mu.Unlock()
	if err != nil {
		if pending {
			return true, fmt.Errorf("%s: %w", id, ErrUnsettled)
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
	if !r.Held || out {
		return true, fmt.Errorf("%s: %w", id, ErrMeanwhile)
	}
	return true, agree(ctx, id, false)
}

// Outs lists the servers that are out by them, by whose word and how old that is.
func (b *Bans) Outs() []serverstate.Out {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.came.age(b.now(time.Now()), b.guard.All())
}
