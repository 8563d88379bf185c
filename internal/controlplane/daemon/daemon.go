// Package daemon joins a sidecar to the replicated store. A Daemon runs components, each of which is responsible for
// one concern: what it watches in the store, what it writes there and what it passes on to the sidecar. AdminDrains,
// Drains, Starts and StateSnapshots report on servers and are combined by Servers; Settings holds the settings of the
// data path and their rollouts.
//
// Package store/serverstate decides which reports take effect; this package carries them between the sidecar and the
// store. A report of this daemon takes effect here at once, and its write is retried until the store has it. A report
// of another daemon takes effect as soon as this daemon's copy applies it. Every replica checks settings before they
// are committed; a change of them reaches a sidecar as a signal, like SIGHUP from an operator.
//
// The package may import the store, the platform's packages and, of the data path, the types that components exchange
// with a sidecar.
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
	writeTimeout  = 5 * time.Second  // of one write to the store
	retryInterval = time.Second      // between attempts to write a report
	sweepInterval = 10 * time.Second // between deletions of expired reports
)

// Errors of components.
var (
	// ErrNotReplicated says that a server cannot return yet, since its drain is not known to be committed. A retry
	// succeeds once it is.
	ErrNotReplicated = errors.New("the drain is not committed to the store yet: try again")
	// ErrExcludedAgain says that a server was drained again while its return was requested, or that its drain was ended
	// while it was reported again.
	ErrExcludedAgain = errors.New("the server was drained again in the meantime")
)

// Daemon runs components. Its hooks are installed in the configuration of a copy of the store before that is opened;
// the open copy is attached, and then Run is called.
type Daemon struct {
	log            *slog.Logger
	components     []Component
	store          Store
	sweepDelegated bool // DelegateSweep was called
}

// New returns a daemon with the given components, none of which runs yet.
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

// Hooks returns the functions that a follower's copy calls for each change and for each new copy, like OnEvent and
// OnReset of engine.Config.
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

// Subscription returns the union of the subscriptions of all components.
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

// ObservePrefixSize passes on the number and the bytes of the keys with a prefix that a partial copy does not hold.
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

// Confirmed passes on how long ago a quorum confirmed the copy. A change that the copy applies may have been written at
// any time since the last confirmation: a copy that was cut off for an hour applies old reports as it catches up.
func (d *Daemon) Confirmed(ago time.Duration) {
	forEach(d, func(o ConfirmationObserver) { o.Confirmed(ago) })
}

// CaughtUp passes on that the copy is up to date. From then on the store decides about the exclusions that an earlier
// process of this daemon acted on: those that the store has ended are over, and those that it never had are reported
// again. A replica's engine calls CaughtUp once it has applied its log, a follower once it has received the changes
// that it missed.
func (d *Daemon) CaughtUp() { forEach(d, func(o LogTailObserver) { o.CaughtUp() }) }

// Attach sets the copy of the store, once it is open and before Run.
func (d *Daemon) Attach(s Store) {
	d.store = s
	for _, c := range d.components {
		c.Attach(s)
	}
}

// Run runs all components and sweeps expired reports, until ctx ends.
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

// DelegateSweep leaves the sweep of expired reports to the lease holder of FleetTask once all replicas support tasks;
// until then every daemon sweeps. It is called before Run.
func (d *Daemon) DelegateSweep() { d.sweepDelegated = true }

// sweepIsDelegated reports whether the lease holder of FleetTask sweeps in place of this daemon.
func (d *Daemon) sweepIsDelegated(ctx context.Context) bool {
	tasksKnown := false
	_, err := d.store.View(ctx, true, func(s *store.State) { tasksKnown = s.Level() >= store.LevelOwners })
	return d.sweepDelegated && err == nil && tasksKnown
}

// Sweep deletes expired reports. Each transaction does nothing if its report was renewed in the meantime, so that
// concurrent or late sweeps delete no report that is still renewed. It returns the first error of the store.
func (d *Daemon) Sweep(ctx context.Context) error { return d.sweep(ctx, time.Now()) }

func (d *Daemon) sweep(ctx context.Context, now time.Time) error {
	var expired []*store.Txn
	forEach(d, func(e Expirer) { expired = append(expired, e.Expired(now)...) })
	for _, txn := range expired {
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := d.store.Do(writeCtx, store.Command{Txn: txn})
		cancel()
		if err != nil && ctx.Err() == nil {
			d.log.Warn("cannot delete an expired report; trying again at the next sweep",
				"key", txn.Then[0].Key, "error", err)
			return err
		}
	}
	return nil
}
