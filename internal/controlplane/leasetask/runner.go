// Package leasetask lets a daemon hold leases for fleet-wide tasks. It sends the requests of package lease to the
// store, follows the queues through the daemon's own copy of the store, and runs tasks that one daemon, or a fixed
// number, is to run for the whole fleet.
//
// One goroutine a session renews it, however many tasks it holds. Nothing here is on the path of a request that a
// sidecar serves. The package may import lease, daemon, the store and the platform's clock.
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
	Host          string  // the name of this daemon, as in its key
	Skew          float64 // as of lease.Rules; 0: lease.DefaultSkew
	Log           *slog.Logger
	Clock         bootclock.Clock
	SessionDefect lease.Defect // injected by tests
	TableDefect   lease.TableDefect
}

const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	storeTimeout  = time.Second // of a change that the daemon can make again, or do without
)

// ErrClosed says that the Runner was closed.
var ErrClosed = errors.New("the daemon is shutting down")

// Runner holds leases for one daemon. It is safe for concurrent use.
type Runner struct {
	cfg   Config
	store daemon.Store
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu        sync.Mutex
	table     *lease.Table
	sessions  map[int64]*session      // by TTL in milliseconds
	leases    map[string]*Lease       // by the key of the queue entry
	running   map[string]*runningTask // by name of the task
	firstSeen map[string]int64        // when the copy first showed a queue entry or a report, by key
	changed   chan struct{}           // closed and replaced when any of this changes
	closed    bool
}

// New returns a Runner that holds nothing.
func New(cfg Config) *Runner {
	if cfg.Skew == 0 {
		cfg.Skew = lease.DefaultSkew
	}
	r := &Runner{
		cfg:       cfg,
		table:     lease.NewTable(cfg.TableDefect),
		sessions:  map[int64]*session{},
		leases:    map[string]*Lease{},
		running:   map[string]*runningTask{},
		firstSeen: map[string]int64{},
		changed:   make(chan struct{}),
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// Attach sets the store. It must be called once the store is open, and before any method other than Event and Reset.
func (r *Runner) Attach(s daemon.Store) { r.store = s }

// Subscription implements daemon.Subscriber: it covers the queues of all hosts, since a host's turn depends on
// those ahead of it. The next start has no use for keys that expire with sessions.
func (r *Runner) Subscription() changefeed.Subscription {
	return changefeed.Subscription{Interest: &store.Interest{Prefixes: []string{lease.Prefix}}}
}

// Run waits until ctx ends. With Attach, Event and Reset it makes a Runner a component of a daemon.
func (r *Runner) Run(ctx context.Context) { <-ctx.Done() }

// Event receives each change of the daemon's copy of the store. It does not block.
func (r *Runner) Event(e store.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.table.Event(e) {
		return
	}
	_, seen := r.firstSeen[e.Item.Key]
	switch {
	case e.Deleted:
		delete(r.firstSeen, e.Item.Key)
	case !seen || e.Item.Version > 1:
		r.firstSeen[e.Item.Key] = r.cfg.Clock.Now()
	}
	r.notifyChanged()
}

// Reset receives a complete copy of the store. It does not block.
func (r *Runner) Reset(s *store.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.table.Cluster()
	r.table.Reset(s)
	if previous != 0 && previous != s.Cluster() {
		for _, session := range r.sessions {
			session.state.Reset() // it was granted by another cluster
		}
	}
	for key := range r.firstSeen {
		if _, exists := s.Get(key); !exists {
			delete(r.firstSeen, key)
		}
	}
	r.notifyChanged()
}

// notifyChanged wakes everything that waits for a change. The lock must be held.
func (r *Runner) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// waitForChange waits until changed is closed or the clock reaches until; 0: there is no such instant.
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

// Close releases all leases and revokes the sessions, so that others need not wait until these expire. It waits for
// running actions, but no longer than their leases are valid.
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
