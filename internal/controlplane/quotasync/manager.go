// Package quotasync has a daemon share the limits of its fleet: it tells what its sidecar wants, follows what it is given, lets requests
// through or refuses them without asking anybody, and divides for all while it holds the task of that. What is decided is package
// limit's.
package quotasync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/platform/bootclock"
	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
)

// AllocatorTask is that of dividing.
const AllocatorTask = "limits"

// Config is what limits go by.
type Config struct {
	Host                     string
	TTL                      time.Duration // of the session: a share ends so long after its sidecar falls silent
	ReportInterval           time.Duration // between two words of a sidecar on what it wants, at least
	ReportIntervalPerProcess time.Duration // and for each sidecar that there is
	MaxClockSkew             float64
	Clock                    bootclock.Clock
	Log                      *slog.Logger
	Defect                   quota.Defect // for tests
}

const (
	allocateInterval     = 100 * time.Millisecond
	rejectionLogInterval = 10 * time.Second
	requestTimeout       = 2 * time.Second
)

// Manager is a Part of a daemon, and a core.Limiter. Any goroutine may use it.
type Manager struct {
	cfg     Config
	runner  *leasetask.Runner
	store   daemon.Store
	matcher atomic.Pointer[quota.Matcher] // nil while there are no limits

	mu               sync.Mutex
	consumer         *quota.Consumer
	allocator        *quota.Allocator
	config           *quota.Config
	process          quota.Process
	reporting        map[string]bool // keys by which processes tell of themselves
	wakeReporter     chan struct{}
	loggedRejections map[string]uint64 // refusals that were logged, by limit
	configFault      string            // of the limits in force, or empty

	partialCopy   bool             // the copy does not hold what all tell:
	reportingSize store.PrefixSize // there are so many
}

// New returns one that has no store yet.
func New(cfg Config, runner *leasetask.Runner) *Manager {
	rules := quota.Rules{MaxClockSkew: cfg.MaxClockSkew, ReportInterval: int64(cfg.ReportInterval), ReportIntervalPerProcess: int64(cfg.ReportIntervalPerProcess)}
	return &Manager{cfg: cfg, runner: runner, consumer: quota.NewConsumer(rules, cfg.Defect), allocator: quota.NewAllocator(rules, cfg.Defect),
		config: &quota.Config{}, reporting: map[string]bool{}, wakeReporter: make(chan struct{}, 1), loggedRejections: map[string]uint64{}}
}

func (l *Manager) now() int64 { return l.cfg.Clock.Now() }

// Attach is of daemon.Part.
func (l *Manager) Attach(s daemon.Store) { l.store = s }

// Subscription is of daemon.Needy: this daemon's own shares, and how many there are that have some. Others' are for who divides, which
// followers do not.
func (l *Manager) Subscription() changefeed.Subscription {
	kept := store.Interest{Keys: []string{quota.ConfigKey}}
	of := kept.Union(store.Interest{Prefixes: []string{quota.DemandPrefix + l.cfg.Host + "/", quota.GrantPrefix + l.cfg.Host + "/"}})
	return changefeed.Subscription{Interest: &of, Retained: kept, SizePrefixes: []string{quota.DemandPrefix}}
}

// ObservePrefixSize is of daemon.Summed.
func (l *Manager) ObservePrefixSize(prefix string, n store.PrefixSize) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if prefix == quota.DemandPrefix && l.partialCopy {
		l.reportingSize = n
		l.updateProcessCount()
	}
}

// updateProcessCount says how many processes there are. The lock is held.
func (l *Manager) updateProcessCount() {
	l.consumer.SetProcessCount(max(len(l.reporting), l.reportingSize.Keys))
}

// Event is of daemon.Part.
func (l *Manager) Event(e store.Event) {
	if !strings.HasPrefix(e.Item.Key, quota.Prefix) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allocator.Event(l.now(), e)
	switch key := e.Item.Key; {
	case key == quota.ConfigKey:
		l.setConfig(e.Item.Value, e.Deleted)
	case strings.HasPrefix(key, quota.DemandPrefix):
		if l.reporting[key] = true; e.Deleted {
			delete(l.reporting, key)
		}
		l.updateProcessCount()
	case !e.Deleted && l.process.Session != 0 && key == l.process.GrantKey():
		l.applyGrant(e.Item)
	}
}

// Reset is of daemon.Part.
func (l *Manager) Reset(s *store.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allocator.Reset(l.now(), s)
	i, there := s.Get(quota.ConfigKey)
	l.setConfig(i.Value, !there)
	clear(l.reporting)
	s.Range(quota.DemandPrefix, store.PrefixEnd(quota.DemandPrefix), func(i store.Item) bool { l.reporting[i.Key] = true; return true })
	if of := s.Interest(); of == nil || of.CoversPrefix(quota.DemandPrefix) {
		l.partialCopy, l.reportingSize = false, store.PrefixSize{}
	} else {
		l.partialCopy = true
	}
	l.updateProcessCount()
	l.applyGrantOf(s)
}

// applyGrantOf takes this process's shares as a copy has them. The lock is held.
func (l *Manager) applyGrantOf(s *store.State) {
	if l.process.Session != 0 {
		if i, ok := s.Get(l.process.GrantKey()); ok {
			l.applyGrant(i)
		}
	}
}

// applyGrant takes this process's shares. The lock is held.
func (l *Manager) applyGrant(i store.Item) {
	g, err := quota.DecodeGrant(i.Value)
	if err != nil {
		l.cfg.Log.Error("shares of limits are not read: they count as none", "key", i.Key, "error", err)
	}
	l.consumer.ApplyGrant(l.now(), l.process.Session, i.ModRevision, g)
	l.wake()
}

func (l *Manager) wake() {
	select {
	case l.wakeReporter <- struct{}{}:
	default:
	}
}

// setConfig puts limits in force. Those that cannot be read, as of a newer build, leave the ones before. The lock is held.
func (l *Manager) setConfig(text []byte, none bool) {
	c := &quota.Config{}
	if !none {
		if err := errors.Join(json.Unmarshal(text, c), c.Check()); err != nil {
			if l.configFault = err.Error(); l.configFault != "" {
				l.cfg.Log.Error("limits are not taken: the ones before stay in force here", "error", err)
			}
			return
		}
	}
	l.configFault, l.config = "", c
	l.consumer.SetConfig(l.now(), c)
	l.allocator.SetConfig(c)
	if l.matcher.Store(nil); len(c.Limits) > 0 {
		l.matcher.Store(quota.NewMatcher(c))
	}
	l.wake()
}

// Run is of daemon.Part: it keeps the session, and tells what is wanted and seen.
func (l *Manager) Run(ctx context.Context) {
	p, err := l.runner.Presence(l.cfg.TTL)
	if err != nil {
		l.cfg.Log.Error("limits are not shared", "error", err)
		return
	}
	defer p.Close()
	var telling sync.WaitGroup
	defer telling.Wait()
	telling.Go(func() { l.report(ctx) })
	say := time.NewTicker(rejectionLogInterval)
	defer say.Stop()
	for {
		id, until, changed := p.Current()
		l.mu.Lock()
		fresh := id != l.process.Session
		if l.consumer.SetSession(l.now(), id, until); fresh {
			l.process = quota.Process{Host: l.cfg.Host, Session: id}
			l.wake()
		}
		l.mu.Unlock()
		if fresh && id != 0 { // what came before it was known whose it is
			_, _ = l.store.View(ctx, true, func(s *store.State) {
				l.mu.Lock()
				defer l.mu.Unlock()
				l.applyGrantOf(s)
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-say.C:
			l.logRejections()
		}
	}
}

// report says to the store what is wanted here and which shares are gone by, when that is news.
func (l *Manager) report(ctx context.Context) {
	for ctx.Err() == nil {
		l.mu.Lock()
		now, me := l.now(), l.process
		n, due, at := l.consumer.Demand(now)
		if due = due && me.Session != 0; due {
			l.consumer.ReportSent(now, n)
		}
		l.mu.Unlock()
		if !due {
			wait := l.cfg.ReportInterval
			if at > 0 {
				wait = min(wait, max(time.Millisecond, l.cfg.Clock.Span(at-now)))
			}
			t := time.NewTimer(wait)
			select {
			case <-ctx.Done():
			case <-t.C:
			case <-l.wakeReporter:
			}
			t.Stop()
			continue
		}
		c, cancel := context.WithTimeout(ctx, min(requestTimeout, l.cfg.TTL/2))
		_, err := l.store.Do(c, store.Command{Txn: &store.Txn{Owner: l.cfg.Host,
			Then:      []store.Op{{Key: me.DemandKey(), Value: quota.Encode(n), LeaseID: me.Session}},
			KeyLimits: []store.KeyLimit{{Prefix: quota.DemandPrefix, MaxKeys: quota.MaxProcesses}}}})
		cancel()
		if err != nil {
			l.mu.Lock()
			l.consumer.ReportFailed()
			l.mu.Unlock()
			pause(ctx, l.cfg.ReportInterval)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// logRejections logs which limits have refused since the last time.
func (l *Manager) logRejections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := map[string]uint64{}
	for _, s := range l.consumer.Usage(l.now()) {
		name, _, _ := strings.Cut(s.Key, "@")
		sums[name] += s.Rejected
	}
	for name, n := range sums {
		if was := l.loggedRejections[name]; n > was {
			l.cfg.Log.Info("a limit of the fleet refuses requests", "limit", name, "since_last", n-was, "every", rejectionLogInterval)
		}
		l.loggedRejections[name] = n
	}
}

// AllocatorTask is the task of dividing, for daemons with a replica.
func (l *Manager) AllocatorTask() leasetask.Task {
	return leasetask.Task{Claim: leasetask.Claim{Task: AllocatorTask, TTL: l.cfg.TTL, Note: "divides limits among sidecars"}, Interval: allocateInterval, Timeout: l.cfg.TTL / 3,
		ProgressTimeout: time.Minute, Cooldown: time.Minute, Do: func(ctx context.Context, h *leasetask.Lease) error {
			l.mu.Lock()
			v := l.allocator.Allocate(l.now())
			l.mu.Unlock()
			if v == nil {
				return nil
			}
			// One that does not hold was on an old copy: the next is on a newer.
			_, err := h.Txn(ctx, store.Txn{If: v.If, Then: v.Then})
			return err
		}}
}

// Take is of core.Limiter.
func (l *Manager) Take(q *core.Asked) (ended func(ran bool), no *core.Limited) {
	m := l.matcher.Load()
	if m == nil {
		return nil, nil
	}
	var buf [4]quota.Charge
	charges := m.Match(buf[:0], &quota.Request{Class: q.Class, Path: q.Path, Cost: q.CostMs * quota.AmountUnit, Header: q.Header, PriorityWeight: q.Worth})
	if len(charges) == 0 {
		return nil, nil
	}
	l.mu.Lock()
	now := l.now() // not before: whoever waits for the lock, or is stopped, would go by a time that is over
	t, r := l.consumer.Reserve(now, charges, q.Worth)
	l.mu.Unlock()
	if r != nil {
		return nil, &core.Limited{Limit: r.Limit, Of: r.Node, Alone: r.StoreUnreachable, RetryAfter: l.cfg.Clock.Span(r.RetryAfter)}
	}
	return func(ran bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		now := l.now()
		if ran {
			l.consumer.Complete(now, t)
		} else {
			l.consumer.Cancel(now, t)
		}
	}, nil
}

// Put puts limits in force in the place of those that are, for all daemons. Who holds shares of what they replace goes on by them until
// it has seen the new ones.
func (l *Manager) Put(ctx context.Context, c *quota.Config) (*quota.Config, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	was, at := &quota.Config{}, uint64(0)
	var bad error
	if _, err := l.store.View(ctx, false, func(s *store.State) {
		*was, at, bad = quota.Config{}, 0, nil
		if i, ok := s.Get(quota.ConfigKey); ok {
			at, bad = i.ModRevision, json.Unmarshal(i.Value, was)
		}
	}); err != nil || bad != nil {
		return nil, errors.Join(err, bad)
	}
	c.AssignGenerations(was)
	b, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	r, err := l.store.Do(ctx, store.Command{Txn: &store.Txn{If: []store.Compare{{Key: quota.ConfigKey, ModRevision: at}}, Then: []store.Op{{Key: quota.ConfigKey, Value: b}}}})
	if err == nil && !r.Succeeded {
		err = errors.New("the limits were changed meanwhile")
	}
	return c, err
}

// Status is limits as people see them.
type Status struct {
	Version       uint64         `json:"version"`
	Fault         string         `json:"fault,omitempty"` // why the newest are not in force here, or not divided
	AllocatorHost string         `json:"divider"`         // the daemon that divides, or empty
	MaxClockSkew  float64        `json:"skew"`
	TTLMs         int64          `json:"ttl_ms"`
	Process       quota.Process  `json:"here"`
	ValidForMs    int64          `json:"left_ms"` // of this daemon's entitlement, unless it is renewed
	Limits        []*LimitStatus `json:"limits"`
}

// LimitStatus is one of them.
type LimitStatus struct {
	*quota.Limit
	NodeStatuses []quota.NodeStatus `json:"parts"`
	Overshoot    string             `json:"over"` // how far over it may be now, in words
}

// allocatorForStatus is what divides here, or, for people, knows what a replica knows of all. alone says that no replica told.
func (l *Manager) allocatorForStatus(ctx context.Context) (d *quota.Allocator, alone bool, err error) {
	l.mu.Lock()
	part, conf := l.partialCopy, l.config
	l.mu.Unlock()
	if !part {
		return l.allocator, false, nil
	}
	d = quota.NewAllocator(quota.Rules{MaxClockSkew: l.cfg.MaxClockSkew, ReportInterval: int64(l.cfg.ReportInterval), ReportIntervalPerProcess: int64(l.cfg.ReportIntervalPerProcess)}, quota.NoDefect)
	wait, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if _, err := l.store.View(wait, false, func(s *store.State) {
		d.SetConfig(conf)
		d.Reset(l.now(), s)
	}); err != nil {
		return l.allocator, true, err
	}
	return d, false, nil
}

// Status shows them by this daemon's copy, or where that does not hold what all tell by a replica's.
func (l *Manager) Status(ctx context.Context, name string) (*Status, error) {
	divider, alone, err := l.allocatorForStatus(ctx)
	holder := ""
	if holders := l.runner.Holders(AllocatorTask); len(holders) > 0 {
		holder = holders[0]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	s := &Status{Version: l.config.Version, Fault: l.configFault, AllocatorHost: holder, MaxClockSkew: l.cfg.MaxClockSkew, TTLMs: l.cfg.TTL.Milliseconds(), Process: l.process,
		ValidForMs: max(0, l.consumer.ValidUntil()-now) / 1e6, Limits: []*LimitStatus{}}
	if alone {
		s.Fault = fmt.Sprintf("no replica tells of the others: shares are this daemon's alone: %v", err)
	}
	if why := divider.Fault(); s.Fault == "" && why != "" {
		s.Fault = "nothing is divided here: " + why
	}
	for _, x := range l.config.Limits {
		if name != "" && x.Name != name {
			continue
		}
		st := &LimitStatus{Limit: x, NodeStatuses: divider.Status(now, x)}
		away := 0
		for _, p := range st.NodeStatuses[0].Processes {
			if p.Gone {
				away++
			}
		}
		st.Overshoot = x.DescribeOvershoot(away)
		s.Limits = append(s.Limits, st)
	}
	if name != "" && len(s.Limits) == 0 {
		return nil, fmt.Errorf("%s: %w", name, quota.ErrLimitNotFound)
	}
	return s, nil
}

// Allowed says whether an operation is a daemon's own part in limits.
func Allowed(op store.Op, owner string) bool { return quota.Allowed(op, owner) }
