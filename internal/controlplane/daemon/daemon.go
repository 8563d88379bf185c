// Package daemon joins a sidecar to the replicated store. A Daemon runs components, each of which is responsible for
// one concern: what it watches in the store, what it writes there and what it passes on to the sidecar. AdminDrains,
// Drains, Starts and StateSnapshots report on servers and are combined by Servers; Settings holds the settings of the
// data path and their rollouts.
//
// Package store/serverstate decides which reports take effect; this package moves them. A report made here takes effect
// at once and is written until the store has it. A report from the store takes effect as soon as this copy applies it.
// Settings are checked by every replica before they are committed, and reach a sidecar the way SIGHUP does.
//
// It may import the store, the platform's packages and, of the data path, the types that components exchange with a
// sidecar.
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

// Errors of components.
var (
	ErrNotReplicated = errors.New("the drain is not replicated yet: try again")
	ErrExcludedAgain = errors.New("it was drained again in the meantime")
)

// Daemon runs components. Its hooks are given to a copy of the store, which is attached once it is open; then Run is
// called.
type Daemon struct {
	log            *slog.Logger
	components     []Component
	store          Store
	sweepDelegated bool
}

// New returns a daemon with its components. It runs nothing yet.
func New(log *slog.Logger, components ...Component) *Daemon {
	return &Daemon{log: log, components: components}
}

// InstallHooks puts the daemon's hooks into the configuration of a replica's engine.
func (d *Daemon) InstallHooks(c *engine.Config) {
	c.OnEvent, c.OnReset, c.OnCaughtUp, c.OnConfirmed = d.event, d.reset, d.CaughtUp, d.Confirmed
	c.OnUncommitted = func(cmd *store.Command) {
		forEach(d, func(o LogTailObserver) { o.Uncommitted(cmd) })
	}
}

// Hooks returns the functions that a follower's copy calls: see engine.Config.
func (d *Daemon) Hooks() (event func(store.Event), reset func(*store.State)) { return d.event, d.reset }

func (d *Daemon) event(e store.Event) {
	for _, c := range d.components {
		c.Event(e)
	}
}

func (d *Daemon) reset(s *store.State) {
	for _, c := range d.components {
		c.Reset(s)
	}
}

// Subscription joins those of all components.
func (d *Daemon) Subscription() changefeed.Subscription {
	all := changefeed.Subscription{Interest: &store.Interest{}}
	for _, c := range d.components {
		part := changefeed.Subscription{} // all keys
		if s, ok := c.(Subscriber); ok {
			part = s.Subscription()
		}
		all = all.Union(part)
	}
	return all
}

// ObservePrefixSize passes on the size of the keys with a prefix.
func (d *Daemon) ObservePrefixSize(prefix string, n store.PrefixSize) {
	forEach(d, func(o PrefixSizeObserver) { o.ObservePrefixSize(prefix, n) })
}

// forEach calls f with the components that implement T.
func forEach[T any](d *Daemon, f func(T)) {
	for _, c := range d.components {
		if t, ok := c.(T); ok {
			f(t)
		}
	}
}

// Confirmed reports how long ago a quorum confirmed the copy. A change that the copy shows may have been written at any
// time since it was last confirmed: a copy that was cut off for an hour shows old reports as it catches up.
func (d *Daemon) Confirmed(ago time.Duration) {
	forEach(d, func(o ConfirmationObserver) { o.Confirmed(ago) })
}

// CaughtUp reports that the copy is up to date: from now on the store decides about what an earlier process of this
// daemon acted on, and what the store does not have is reported. A replica's engine calls it; a follower does once it
// has received the changes it missed.
func (d *Daemon) CaughtUp() { forEach(d, func(o LogTailObserver) { o.CaughtUp() }) }

// Attach sets the copy of the store, once it is open and before Run.
func (d *Daemon) Attach(s Store) {
	d.store = s
	for _, c := range d.components {
		c.Attach(s)
	}
}

// Run works until ctx ends.
func (d *Daemon) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for _, c := range d.components {
		running.Go(func() { c.Run(ctx) })
	}
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !d.sweepIsDelegated(ctx) {
				_ = d.Sweep(ctx) // the next tick tries again
			}
		}
	}
}

// DelegateSweep leaves the sweep of expired reports to the lease holder of FleetTask, once all replicas know tasks. It
// is called before Run.
func (d *Daemon) DelegateSweep() { d.sweepDelegated = true }

// sweepIsDelegated reports whether one daemon sweeps for all.
func (d *Daemon) sweepIsDelegated(ctx context.Context) bool {
	tasksKnown := false
	_, err := d.store.View(ctx, true, func(s *store.State) { tasksKnown = s.Level() >= store.LevelOwners })
	return d.sweepDelegated && err == nil && tasksKnown
}

// Sweep ends expired reports. Each end is a transaction that does nothing if its report was renewed in the meantime, so
// that concurrent or late sweeps end nothing that is still reported.
func (d *Daemon) Sweep(ctx context.Context) error { return d.sweep(ctx, time.Now()) }

func (d *Daemon) sweep(ctx context.Context, now time.Time) error {
	var expired []*store.Txn
	forEach(d, func(e Expirer) { expired = append(expired, e.Expired(now)...) })
	for _, txn := range expired {
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := d.store.Do(writeCtx, store.Command{Txn: txn})
		cancel()
		if err != nil && ctx.Err() == nil {
			d.log.Warn("cannot end an expired report yet", "key", txn.Then[0].Key, "error", err)
			return err
		}
	}
	return nil
}
