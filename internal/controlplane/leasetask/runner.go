// Package leasetask lets a daemon hold leases for fleet-wide tasks. It sends the requests of package lease to the
// store, follows the queues of tasks in the daemon's own copy of the store, and runs tasks that one daemon, or a
// fixed number of daemons, must run for the whole fleet.
//
// Each session is renewed by one goroutine, however many tasks it holds. Nothing in this package is on the path of a
// request that a sidecar serves. It may import lease, daemon, the store and the platform's clock.
package leasetask

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/platform/bootclock"
	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
)

// Config configures a Runner.
type Config struct {
	Host          string  // name of this daemon, as in the keys of its queue entries
	MaxClockSkew  float64 // see lease.Rules; 0: lease.DefaultMaxClockSkew
	Log           *slog.Logger
	Clock         bootclock.Clock
	SessionDefect lease.Defect      // injected by tests
	TableDefect   lease.TableDefect // injected by tests
}

const (
	minRetryDelay = 20 * time.Millisecond // before a failed creation of a queue entry is tried again
	maxRetryDelay = time.Second
	storeTimeout  = time.Second // timeout of changes of the store whose failure the daemon can retry or ignore
)

// ErrClosed is returned by calls that a closed Runner cannot serve, and is the cause of the end of a lease's context
// when the Runner closes.
var ErrClosed = errors.New("the daemon is shutting down")

// Runner acquires and holds leases for one daemon, and runs the daemon's fleet-wide tasks. It is safe for concurrent
// use.
type Runner struct {
	cfg   Config
	store daemon.Store
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu        sync.Mutex
	table     *lease.Table
	sessions  map[int64]*session      // by TTL, in milliseconds
	leases    map[string]*Lease       // waiting, held or being released, by the key of their queue entry
	running   map[string]*runningTask // by name of the task
	updatedAt map[string]int64        // when an event created or last changed a key of tasks
	changed   chan struct{}           // closed and replaced when state that callers wait for has changed
	closed    bool
}

// New returns a Runner without sessions and leases. Attach must be called before it is used.
func New(cfg Config) *Runner {
	if cfg.MaxClockSkew == 0 {
		cfg.MaxClockSkew = lease.DefaultMaxClockSkew
	}
	r := &Runner{
		cfg:       cfg,
		table:     lease.NewTable(cfg.TableDefect),
		sessions:  map[int64]*session{},
		leases:    map[string]*Lease{},
		running:   map[string]*runningTask{},
		updatedAt: map[string]int64{},
		changed:   make(chan struct{}),
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// Attach sets the store. It must be called after the store is open, and before any method other than Event, Reset and
// Subscription.
func (r *Runner) Attach(s daemon.Store) { r.store = s }

// Subscription implements daemon.Subscriber. It covers the queue entries of all hosts, because whether an entry holds
// its task depends on the entries ahead of it. Nothing is kept for the next start, since queue entries expire with
// sessions.
func (r *Runner) Subscription() changefeed.Subscription {
	return changefeed.Subscription{Interest: &store.Interest{Prefixes: []string{lease.Prefix}}}
}

// Run blocks until ctx ends. Together with Attach, Event and Reset it makes a Runner a component of a daemon.
func (r *Runner) Run(ctx context.Context) { <-ctx.Done() }

// Event applies a change of the daemon's copy of the store. The daemon calls it for each change; it does not block.
func (r *Runner) Event(e store.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.table.Event(e) {
		return
	}
	_, seen := r.updatedAt[e.Item.Key]
	switch {
	case e.Deleted:
		delete(r.updatedAt, e.Item.Key)
	case !seen || e.Item.Version > 1:
		r.updatedAt[e.Item.Key] = r.cfg.Clock.Now()
	}
	r.notifyChanged()
}

// Reset replaces the state of tasks with that of a complete copy of the store. If the copy is of another cluster than
// the one before, all sessions are lost. Reset does not block.
func (r *Runner) Reset(state *store.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previousCluster := r.table.Cluster()
	r.table.Reset(state)
	if previousCluster != 0 && previousCluster != state.Cluster() {
		for _, session := range r.sessions {
			session.state.Reset() // the session exists only in the previous cluster
		}
	}
	for key := range r.updatedAt {
		if _, exists := state.Get(key); !exists {
			delete(r.updatedAt, key)
		}
	}
	r.notifyChanged()
}

// notifyChanged wakes all callers of waitForChange. The lock must be held.
func (r *Runner) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// waitForChange blocks until changed is closed or the clock reaches the instant until, where 0 stands for no limit. It
// returns an error if ctx ends or the Runner is closed first.
func (r *Runner) waitForChange(ctx context.Context, changed <-chan struct{}, until int64) error {
	var due <-chan time.Time
	if until != 0 {
		timer := time.NewTimer(r.cfg.Clock.TimerDuration(until - r.cfg.Clock.Now()))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-changed:
	case <-due:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return ErrClosed
	}
	return nil
}

// Close releases all leases and revokes the sessions, so that other daemons need not wait until these expire. It waits
// for running actions, at most until their leases cease to be valid.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	var leases []*Lease
	for _, l := range r.leases {
		leases = append(leases, l)
	}
	r.notifyChanged()
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, l := range leases {
		wg.Go(l.Release)
	}
	wg.Wait()
	r.stop()
	r.wg.Wait()
}
