// Package daemon joins a sidecar to the replicated store. Daemon is a small frame over parts; each part is one matter: what it
// watches in the store, what it writes there and what it tells the sidecar. Bans, Drains, Starts and Memory tell of servers
// (seen together as Servers), Settings are those of the data path. What a reader looks for is in the part of that name.
//
// What binds is decided by store/policy; here is how words travel. A word heard here binds at once and is written until
// the store has it. A word from the store binds as soon as this copy applies it. Settings are checked by every replica
// before they are committed, and reach a sidecar as SIGHUP does.
package daemon

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/engine"
)

const (
	writeTimeout  = 5 * time.Second
	retryInterval = time.Second
	sweepInterval = 10 * time.Second
)

// Errors of parts.
var (
	ErrNotReplicated = errors.New("the store does not know yet that it is out: try again")
	ErrExcludedAgain = errors.New("it was taken out again meanwhile")
)

// Component is one matter that a daemon does by the store. It is told of each change that the copy shows, and of a whole new copy, by
// the copy's loop: it must not wait.
type Component interface {
	Event(e store.Event)
	Reset(s *store.State)
	// Attach gives the copy, once it is open; only the hooks are called before.
	Attach(s Store)
	// Run works until ctx ends.
	Run(ctx context.Context)
}

// What a part may do besides.
type (
	// LogTailObserver is told of the commands at the end of a replica's log that a start finds, and when the copy has come to where it ended.
	LogTailObserver interface {
		Uncommitted(c *store.Command)
		CaughtUp()
	}
	// ConfirmationObserver is told how long ago a quorum confirmed the copy.
	ConfirmationObserver interface{ Confirmed(ago time.Duration) }
	// Subscriber says what a part needs of a copy that does not hold all: of what else there is it is told nothing, and takes nothing for
	// not there. The copy is told by its UpdateInterest that this has changed. A daemon with a part that does not say needs all.
	Subscriber interface {
		Subscription() changefeed.Subscription
	}
	// PrefixSizeObserver is told how many keys there are with a prefix of its Needs, where the copy does not hold them.
	PrefixSizeObserver interface {
		ObservePrefixSize(prefix string, n store.PrefixSize)
	}
	// Expirer says how what nobody has told for long ends: transactions that do nothing if it was told again meanwhile.
	Expirer interface {
		Expired(now time.Time) []*store.Txn
	}
)

// Store is a copy of the store that a daemon works with: a replica's, or that of a follower of replicas.
type Store interface {
	// Do makes a change; see engine.Engine.
	Do(ctx context.Context, c store.Command) (store.Result, error)
	// View has f read the copy, for which others are asked first unless stale is set. f may be called again, where it reads more than
	// the copy holds: it begins anew then.
	View(ctx context.Context, stale bool, f func(*store.State)) (engine.CopyAge, error)
	// Next returns the changes of keys with a prefix after a revision.
	Next(ctx context.Context, prefix string, after uint64, most int) ([]store.Event, uint64, error)
}

// Daemon is the frame of the parts. Its hooks are given to the copy of the store, which is attached once it is open; then Run is
// called.
type Daemon struct {
	log            *slog.Logger
	components     []Component
	store          Store
	sweepDelegated bool
}

// New returns a daemon that runs nothing yet, with the parts that it is to have.
func New(log *slog.Logger, parts ...Component) *Daemon { return &Daemon{log: log, components: parts} }

// InstallHooks puts the daemon's hooks into the configuration of an engine.
func (d *Daemon) InstallHooks(c *engine.Config) {
	c.Event, c.Reset, c.CaughtUp, c.Confirmed = d.event, d.reset, d.CaughtUp, d.Confirmed
	c.Uncommitted = func(cmd *store.Command) {
		forEach(d, func(t LogTailObserver) { t.Uncommitted(cmd) })
	}
}

// Hooks are what a copy of the store calls: see engine.Config.
func (d *Daemon) Hooks() (event func(store.Event), reset func(*store.State)) { return d.event, d.reset }

func (d *Daemon) event(e store.Event) {
	for _, p := range d.components {
		p.Event(e)
	}
}

func (d *Daemon) reset(s *store.State) {
	for _, p := range d.components {
		p.Reset(s)
	}
}

// Subscription are what all parts need.
func (d *Daemon) Subscription() changefeed.Subscription {
	all := changefeed.Subscription{Of: &store.Interest{}}
	for _, p := range d.components {
		n := changefeed.Subscription{}
		if p, ok := p.(Subscriber); ok {
			n = p.Subscription()
		}
		all = all.Join(n)
	}
	return all
}

// ObservePrefixSize tells the parts how many keys there are with a prefix.
func (d *Daemon) ObservePrefixSize(prefix string, n store.PrefixSize) {
	forEach(d, func(s PrefixSizeObserver) { s.ObservePrefixSize(prefix, n) })
}

// subscribeTo are those of a part that needs some prefixes, for the next start as well.
func subscribeTo(prefixes ...string) changefeed.Subscription {
	of := store.Interest{Prefixes: prefixes}
	return changefeed.Subscription{Of: &of, Kept: of}
}

// InterestUpdater is a copy that holds a part of the store's keys and reads the Subscription again when told to.
type InterestUpdater interface{ UpdateInterest() }

// updateInterest has a copy that does not hold all asked anew what it is to hold. No part's lock is held.
func updateInterest(s Store) {
	if u, ok := s.(InterestUpdater); ok {
		u.UpdateInterest()
	}
}

// forEach calls f with the parts that are of a kind.
func forEach[T any](d *Daemon, f func(T)) {
	for _, p := range d.components {
		if t, ok := p.(T); ok {
			f(t)
		}
	}
}

// Confirmed says that a quorum confirmed the copy so long ago. What a copy shows may have been written at any time since it was last
// confirmed: one that was away for an hour, and catches up, shows old words as they come.
func (d *Daemon) Confirmed(ago time.Duration) {
	forEach(d, func(p ConfirmationObserver) { p.Confirmed(ago) })
}

// CaughtUp says that the copy is up to date: what an earlier process of this daemon acted on counts as the store says from now
// on, and what the store does not say is told. A replica's engine says so by its hook; a follower once it has heard.
func (d *Daemon) CaughtUp() { forEach(d, func(t LogTailObserver) { t.CaughtUp() }) }

// Attach gives the copy of the store, once it is open and before anything else is called.
func (d *Daemon) Attach(s Store) {
	d.store = s
	for _, p := range d.components {
		p.Attach(s)
	}
}

// Run works until ctx ends.
func (d *Daemon) Run(ctx context.Context) {
	var working sync.WaitGroup
	defer working.Wait()
	for _, p := range d.components {
		working.Go(func() { p.Run(ctx) })
	}
	tidy := time.NewTicker(sweepInterval)
	defer tidy.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tidy.C:
			if !d.sweepIsDelegated(ctx) {
				_ = d.Sweep(ctx) // it is tried again
			}
		}
	}
}

// DelegateSweep has the sweeping of what nobody has told for long left to whoever holds the task, once the cluster knows of tasks. It
// is called before Run.
func (d *Daemon) DelegateSweep() { d.sweepDelegated = true }

// sweepIsDelegated says whether one daemon sweeps for all.
func (d *Daemon) sweepIsDelegated(ctx context.Context) bool {
	known := false
	_, err := d.store.View(ctx, true, func(s *store.State) { known = s.Level() >= store.LevelOwners })
	return d.sweepDelegated && err == nil && known
}

// Sweep ends what nobody has told for long. Each end is a transaction that does nothing if the word was told again meanwhile, so
// that two who sweep, or one who sweeps late, end nothing that is told.
func (d *Daemon) Sweep(ctx context.Context) error { return d.sweep(ctx, time.Now()) }

func (d *Daemon) sweep(ctx context.Context, now time.Time) error {
	var ends []*store.Txn
	forEach(d, func(s Expirer) { ends = append(ends, s.Expired(now)...) })
	for _, t := range ends {
		c, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := d.store.Do(c, store.Command{Txn: t})
		cancel()
		if err != nil && ctx.Err() == nil {
			d.log.Warn("what nobody has told for long does not end yet", "key", t.Then[0].Key, "error", err)
			return err // it is tried again
		}
	}
	return nil
}
