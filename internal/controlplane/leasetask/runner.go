// Package leasetask lets a daemon hold leases for fleet-wide tasks: it sends what package lease asks for to the store, follows the
// queues by the copy of the store that the daemon has anyway, and runs what is to be run by one or by so many for the whole fleet.
//
// One goroutine a session renews it, whatever number of tasks it holds. Nothing on a request's way comes here.
package leasetask

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/platform/bootclock"
	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
)

// Config is what a Runner goes by.
type Config struct {
	Host          string // of this daemon, which its key says
	Skew          float64
	Log           *slog.Logger
	Clock         bootclock.Clock
	SessionDefect lease.Defect // for tests
	TableDefect   lease.TableDefect
}

const (
	maxSessions   = 8 // lengths of sessions at once
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
	marginDivisor = 50 // of the TTL is given away, at least
	minMargin     = 20 * time.Millisecond
)

// Errors of a Runner.
var (
	ErrTooManySessions = fmt.Errorf("%d lengths of leases are in use at this daemon already", maxSessions)
	ErrClosed          = errors.New("the daemon is ending")
)

// Runner holds leases for one daemon. Any goroutine may use it.
type Runner struct {
	cfg   Config
	store daemon.Store
	ctx   context.Context
	stop  context.CancelFunc
	wg    sync.WaitGroup

	mu        sync.Mutex
	table     *lease.Table
	sessions  map[int64]*session
	leases    map[string]*Lease       // by the key of the place
	running   map[string]*runningTask // tasks that this daemon runs, by name
	firstSeen map[string]int64        // when the copy first showed a place or what a task did, by key
	changed   chan struct{}           // closed when anything of this has changed
	closed    bool
}

type session struct {
	state *lease.Session
	ttl   time.Duration
	users int
	wake  chan struct{}
}

// New returns a Runner that holds nothing.
func New(cfg Config) *Runner {
	if cfg.Skew == 0 {
		cfg.Skew = lease.DefaultSkew
	}
	r := &Runner{cfg: cfg, table: lease.NewTable(cfg.TableDefect), sessions: map[int64]*session{}, leases: map[string]*Lease{},
		running: map[string]*runningTask{}, firstSeen: map[string]int64{}, changed: make(chan struct{})}
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// Attach gives the copy of the store, once it is open and before anything else but the hooks is called.
func (r *Runner) Attach(s daemon.Store) { r.store = s }

// Subscription is of daemon.Needy: all queues. Whose turn it is follows from those before it, whoever they are; the next start has no use
// for what goes with sessions.
func (r *Runner) Subscription() changefeed.Subscription {
	return changefeed.Subscription{Of: &store.Interest{Prefixes: []string{lease.Prefix}}}
}

// Run waits until ctx ends. With Attach, Event and Reset it makes a Runner a part of a daemon.
func (r *Runner) Run(ctx context.Context) { <-ctx.Done() }

// Event is told of each change that the copy shows. It does not wait.
func (r *Runner) Event(e store.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.table.Event(e) {
		return
	}
	if e.Deleted {
		delete(r.firstSeen, e.Item.Key)
	} else if _, seen := r.firstSeen[e.Item.Key]; !seen || e.Item.Version > 1 {
		r.firstSeen[e.Item.Key] = r.cfg.Clock.Now()
	}
	r.notifyChanged()
}

// Reset is told of a whole copy. It does not wait.
func (r *Runner) Reset(s *store.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.table.Cluster()
	if r.table.Reset(s); was != 0 && was != s.Cluster() {
		for _, x := range r.sessions { // they are of a store that is gone
			x.state.Reset()
		}
	}
	for key := range r.firstSeen {
		if _, there := s.Get(key); !there {
			delete(r.firstSeen, key)
		}
	}
	r.notifyChanged()
}

// notifyChanged wakes all who wait for a change. The lock is held.
func (r *Runner) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Close releases what is held and ends the sessions, so that others need not wait for their time. It waits for the actions under
// way, up to the end of their entitlement.
func (r *Runner) Close() {
	r.mu.Lock()
	r.closed = true
	var holds []*Lease
	for _, h := range r.leases {
		holds = append(holds, h)
	}
	r.notifyChanged()
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range holds {
		wg.Go(h.Release)
	}
	wg.Wait()
	r.stop()
	r.wg.Wait()
}

// sessionFor returns the one of a length, which is begun if there is none. The lock is held.
func (r *Runner) sessionFor(ttl time.Duration) (*session, error) {
	ms := ttl.Milliseconds()
	if ms < lease.MinTTLMillis || ms > lease.MaxTTLMillis {
		return nil, fmt.Errorf("%v is not within %v and %v", ttl, lease.MinTTLMillis*time.Millisecond, lease.MaxTTLMillis*time.Millisecond)
	}
	if s := r.sessions[ms]; s != nil {
		return s, nil
	}
	if r.closed {
		return nil, ErrClosed
	}
	if len(r.sessions) >= maxSessions {
		return nil, ErrTooManySessions
	}
	rules := lease.Rules{TTL: ms * 1e6, Skew: r.cfg.Skew, Margin: max(ms*1e6/marginDivisor, int64(minMargin))}
	s := &session{state: lease.NewSession(rules, r.cfg.SessionDefect), ttl: ttl, wake: make(chan struct{}, 1)}
	r.sessions[ms] = s
	r.wg.Go(func() { r.renewSession(s, ms) })
	return s, nil
}

// renewSession keeps one session until nobody has used it for as long as it lasts.
func (r *Runner) renewSession(s *session, ms int64) {
	var idle int64 // since when
	for {
		r.mu.Lock()
		now := r.cfg.Clock.Now()
		if s.users > 0 {
			idle = 0
		} else if idle == 0 {
			idle = now
		}
		over := r.ctx.Err() != nil || idle != 0 && now-idle > int64(s.ttl)
		if over {
			delete(r.sessions, ms)
			id := s.state.ID()
			s.state.Reset()
			r.mu.Unlock()
			r.revokeSession(id)
			return
		}
		ask, due := s.state.Next(now)
		id := s.state.ID()
		r.mu.Unlock()
		if ask == lease.NoRequest {
			t := time.NewTimer(r.cfg.Clock.Span(due - now))
			select {
			case <-t.C:
			case <-s.wake:
			case <-r.ctx.Done():
			}
			t.Stop()
			continue
		}
		c := store.Command{GrantLease: &store.GrantLease{TTLMillis: uint64(ms), Owner: r.cfg.Host}}
		if ask == lease.RenewRequest {
			c = store.Command{RenewLease: &store.RenewLease{LeaseID: id, Owner: r.cfg.Host}}
		}
		wait, cancel := context.WithTimeout(r.ctx, max(s.ttl/2, 200*time.Millisecond))
		res, err := r.store.Do(wait, c)
		cancel()
		o := lease.Succeeded
		switch {
		case errors.Is(err, store.ErrLeaseNotFound):
			o = lease.SessionNotFound
		case err != nil:
			o = lease.OutcomeUnknown
		}
		r.mu.Lock()
		before := s.state.Generation()
		s.state.HandleResponse(r.cfg.Clock.Now(), o, res.LeaseID)
		r.notifyChanged()
		var orphans []string
		if o == lease.Succeeded && s.state.Generation() == before {
			orphans = r.orphanedEntries(s)
		}
		r.mu.Unlock()
		if o == lease.SessionNotFound {
			r.cfg.Log.Warn("the session of this daemon's leases has ended", "ttl", s.ttl)
		}
		for _, key := range orphans {
			_ = r.removeEntry(r.ctx, key) // or at the next renewal
		}
	}
}

// orphanedEntries are places of a session that nobody here has a use for: the answer to their putting was lost, or the one to their
// removal. They would keep the next in order waiting. The lock is held.
func (r *Runner) orphanedEntries(s *session) (keys []string) {
	for _, p := range r.table.EntriesOf(r.cfg.Host, s.state.ID()) {
		if r.leases[p.Key] == nil {
			keys = append(keys, p.Key)
		}
	}
	return keys
}

// revokeSession ends a session at the store, if it can be reached: else it falls silent.
func (r *Runner) revokeSession(id uint64) {
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), time.Second)
	defer cancel()
	_, _ = r.store.Do(ctx, store.Command{RevokeLease: &store.RevokeLease{LeaseID: id, Owner: r.cfg.Host}})
}

// removeEntry takes a place away.
func (r *Runner) removeEntry(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := r.store.Do(ctx, store.Command{Txn: &store.Txn{Owner: r.cfg.Host, Then: []store.Op{{Key: key, Delete: true}}}})
	return err
}

// Claim says what is to be held.
type Claim struct {
	Task  string
	Slots int           // that hold it at once; all who want it must say the same. 0: one
	TTL   time.Duration // after which another may have it when this daemon falls silent
	Note  string        // for people
}

const maxNoteBytes = 256

func (w *Claim) check() error {
	if err := lease.CheckName(w.Task); err != nil {
		return fmt.Errorf("%q: %w", w.Task, err)
	}
	if w.Slots == 0 {
		w.Slots = 1
	}
	if w.Slots < 1 || w.Slots > lease.MaxSlots {
		return fmt.Errorf("%d slots are not within 1 and %d", w.Slots, lease.MaxSlots)
	}
	if len(w.Note) > maxNoteBytes {
		return fmt.Errorf("the note has more than %d bytes", maxNoteBytes)
	}
	return nil
}

// Acquire waits in the task's queue until this daemon holds it, or ctx ends. Waiting is told of the place in the queue as it
// changes, if it is not nil; it must not wait. The Hold must be released.
func (r *Runner) Acquire(ctx context.Context, w Claim, waiting func(before int, why error)) (*Lease, error) {
	if err := w.check(); err != nil {
		return nil, err
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, err
	}
	r.mu.Lock()
	s, err := r.sessionFor(w.TTL)
	if err != nil {
		r.mu.Unlock()
		return nil, err
	}
	s.users++
	r.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	h := &Lease{runner: r, claim: w, session: s}
	if err := h.waitForTurn(ctx, hex.EncodeToString(b[:]), waiting); err != nil {
		h.Release()
		return nil, err
	}
	return h, nil
}

// waitForChange waits for a change, or until an instant of the clock; 0 is none.
func (r *Runner) waitForChange(ctx context.Context, changed chan struct{}, until int64) error {
	var at <-chan time.Time
	if until != 0 {
		t := time.NewTimer(r.cfg.Clock.Span(until - r.cfg.Clock.Now()))
		defer t.Stop()
		at = t.C
	}
	select {
	case <-changed:
	case <-at:
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return ErrClosed
	}
	return nil
}

// putEntry writes the place of a hold once, with the task's number of slots if nobody has said it yet.
func (r *Runner) putEntry(ctx context.Context, h *Lease, id uint64) error {
	r.mu.Lock()
	slots := r.table.Slots(h.claim.Task)
	r.mu.Unlock()
	if slots != 0 && slots != h.claim.Slots {
		return fmt.Errorf("%w: %d, and not %d", lease.ErrSlotsMismatch, slots, h.claim.Slots)
	}
	value, err := json.Marshal(lease.QueueRecord{Session: id, TTLMillis: h.claim.TTL.Milliseconds(), Note: h.claim.Note})
	if err != nil {
		return err
	}
	t := &store.Txn{Owner: r.cfg.Host, If: []store.Compare{{Key: h.key}}, Then: []store.Op{{Key: h.key, Value: value, LeaseID: id}},
		KeyLimits: []store.KeyLimit{{Prefix: lease.QueuePrefix + h.claim.Task + "/", MaxKeys: lease.MaxQueueEntries}}}
	if slots == 0 {
		conf, err := json.Marshal(lease.TaskConfig{Slots: h.claim.Slots})
		if err != nil {
			return err
		}
		t.If = append(t.If, store.Compare{Key: lease.TaskConfigPrefix + h.claim.Task})
		t.Then = append(t.Then, store.Op{Key: lease.TaskConfigPrefix + h.claim.Task, Value: conf})
		t.KeyLimits = append(t.KeyLimits, store.KeyLimit{Prefix: lease.TaskConfigPrefix, MaxKeys: lease.MaxTasks})
	}
	wait, cancel := context.WithTimeout(ctx, max(h.claim.TTL/2, time.Second))
	defer cancel()
	_, err = r.store.Do(wait, store.Command{Txn: t})
	return err // one that did not hold is looked at by the copy
}
