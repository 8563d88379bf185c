// Package quotasync connects the fleet's limits (package quota) to a daemon and its sidecar: it keeps the process's
// session and reports its demand to the store, applies grants, runs the allocator, admits requests, and answers
// operators. It may import the packages of the control plane but adminapi, the store, and core for the interface
// that a sidecar calls.
package quotasync

import (
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/platform/bootclock"
	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
)

// Config configures a Manager.
type Config struct {
	Host                     string
	TTL                      time.Duration // of the session, after which the quotas of a silent process end
	ReportInterval           time.Duration // between two reports of a process, at least
	ReportIntervalPerProcess time.Duration // for each process of the fleet, if that makes a longer interval
	MaxClockSkew             float64       // as in quota.Rules
	Clock                    bootclock.Clock
	Log                      *slog.Logger
	Defect                   quota.Defect // for tests
}

func (c *Config) rules() quota.Rules {
	return quota.Rules{
		MaxClockSkew:             c.MaxClockSkew,
		ReportInterval:           int64(c.ReportInterval),
		ReportIntervalPerProcess: int64(c.ReportIntervalPerProcess),
	}
}

const (
	allocateInterval     = 100 * time.Millisecond
	rejectionLogInterval = 10 * time.Second
	requestTimeout       = 2 * time.Second // of a request to the store
)

// Manager is a daemon.Component and a core.Limiter. It is safe for concurrent use.
type Manager struct {
	cfg     Config
	runner  *leasetask.Runner
	store   daemon.Store
	matcher atomic.Pointer[quota.Matcher] // nil while there are no limits

	wakeReporter chan struct{}

	mu               sync.Mutex // guards what follows
	consumer         *quota.Consumer
	allocator        *quota.Allocator
	config           *quota.Config
	configFault      string // why the newest limits are not in force here, or ""
	committed        []byte // the limits that the copy has; nil: none
	fromLogTail      bool   // the limits in force may not be committed
	process          quota.Process
	reporting        map[string]bool   // demand keys of the copy
	loggedRejections map[string]uint64 // by limit

	hasCopy       bool             // of the store; without one no limits are known
	partialCopy   bool             // the copy does not hold the demand of all processes,
	reportingSize store.PrefixSize // of which there are so many
}

// New returns a manager that is to be attached to a store.
func New(cfg Config, runner *leasetask.Runner) *Manager {
	rules := cfg.rules()
	return &Manager{
		cfg:              cfg,
		runner:           runner,
		wakeReporter:     make(chan struct{}, 1),
		consumer:         quota.NewConsumer(rules, cfg.Defect),
		allocator:        quota.NewAllocator(rules, cfg.Defect),
		config:           &quota.Config{},
		reporting:        map[string]bool{},
		loggedRejections: map[string]uint64{},
	}
}

func (m *Manager) now() int64 { return m.cfg.Clock.Now() }

// Attach implements daemon.Component.
func (m *Manager) Attach(s daemon.Store) { m.store = s }

// Subscription implements daemon.Subscriber: the limits, this daemon's own demand and grant, and how many processes
// report. The demand and the grants of others are for allocators, which followers do not run. The limits are durable:
// a process that starts without them admits everything.
func (m *Manager) Subscription() changefeed.Subscription {
	retained := store.Interest{Keys: []string{quota.ConfigKey}}
	ownPrefix := m.cfg.Host + "/"
	own := store.Interest{Prefixes: []string{quota.DemandPrefix + ownPrefix, quota.GrantPrefix + ownPrefix}}
	all := retained.Union(own)
	return changefeed.Subscription{
		Interest:     &all,
		Retained:     retained,
		Durable:      retained,
		SizePrefixes: []string{quota.DemandPrefix},
	}
}

// ObservePrefixSize implements daemon.PrefixSizeObserver.
func (m *Manager) ObservePrefixSize(prefix string, size store.PrefixSize) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if prefix == quota.DemandPrefix && m.partialCopy {
		m.reportingSize = size
		m.updateProcessCount()
	}
}

// updateProcessCount sets how many processes pace their reports. The lock is held.
func (m *Manager) updateProcessCount() {
	m.consumer.SetProcessCount(max(len(m.reporting), m.reportingSize.Keys))
}

// Event implements daemon.Component.
func (m *Manager) Event(e store.Event) {
	key := e.Item.Key
	if !strings.HasPrefix(key, quota.Prefix) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.allocator.Event(m.now(), e)
	switch {
	case key == quota.ConfigKey && e.Deleted:
		m.setCommitted(nil)
	case key == quota.ConfigKey:
		m.setCommitted(e.Item.Value)
	case strings.HasPrefix(key, quota.DemandPrefix):
		if e.Deleted {
			delete(m.reporting, key)
		} else {
			m.reporting[key] = true
		}
		m.updateProcessCount()
	case !e.Deleted && m.process.Session != 0 && key == m.process.GrantKey():
		m.applyGrant(e.Item)
	}
}

// Reset implements daemon.Component.
func (m *Manager) Reset(s *store.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hasCopy = true
	m.allocator.Reset(m.now(), s)
	item, _ := s.Get(quota.ConfigKey)
	m.setCommitted(item.Value)
	clear(m.reporting)
	s.Range(quota.DemandPrefix, store.PrefixEnd(quota.DemandPrefix), func(item store.Item) bool {
		m.reporting[item.Key] = true
		return true
	})
	interest := s.Interest()
	m.partialCopy = interest != nil && !interest.CoversPrefix(quota.DemandPrefix)
	if !m.partialCopy {
		m.reportingSize = store.PrefixSize{}
	}
	m.updateProcessCount()
	m.applyGrantOf(s)
}

// applyGrantOf applies this process's grant as a copy has it. The lock is held.
func (m *Manager) applyGrantOf(s *store.State) {
	if m.process.Session == 0 {
		return
	}
	if item, ok := s.Get(m.process.GrantKey()); ok {
		m.applyGrant(item)
	}
}

// applyGrant applies this process's grant. The lock is held.
func (m *Manager) applyGrant(item store.Item) {
	grant, err := quota.DecodeGrant(item.Value)
	if err != nil {
		m.cfg.Log.Error("grant of quotas cannot be decoded, quotas count as zero", "key", item.Key, "error", err)
	}
	m.consumer.ApplyGrant(m.now(), m.process.Session, item.ModRevision, grant)
	m.wake()
}

// wake has the reporter look whether a report is due.
func (m *Manager) wake() {
	select {
	case m.wakeReporter <- struct{}{}:
	default:
	}
}

// Uncommitted implements daemon.LogTailObserver. A replica that starts alone may not know that the last entries of its
// log were committed, and so in force before it ended. Where it knows of no limits, those of the tail are in force until
// it has caught up: without a session a strict limit admits nothing.
func (m *Manager) Uncommitted(c *store.Command) {
	if c.Txn == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, op := range c.Txn.Then {
		if op.Key == quota.ConfigKey && !op.Delete && m.committed == nil {
			m.fromLogTail = true
			m.setConfig(op.Value)
		}
	}
}

// CaughtUp implements daemon.LogTailObserver: what the copy has decides.
func (m *Manager) CaughtUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fromLogTail {
		m.setCommitted(m.committed)
	}
}

// setCommitted puts the limits that the copy has in force; nil is for none. The lock is held.
func (m *Manager) setCommitted(text []byte) {
	m.committed = text
	m.fromLogTail = false
	m.setConfig(text)
}

// setConfig puts limits in force; nil is for none. Limits that are invalid here, such as a newer
// version's, leave the previous ones in force. The lock is held.
func (m *Manager) setConfig(text []byte) {
	config := &quota.Config{}
	if text != nil {
		if err := errors.Join(json.Unmarshal(text, config), config.Check()); err != nil {
			m.configFault = err.Error()
			m.cfg.Log.Error("limits are invalid here, the previous ones stay in force", "error", err)
			return
		}
	}
	m.configFault = ""
	m.config = config
	m.consumer.SetConfig(m.now(), config)
	m.allocator.SetConfig(config)
	m.matcher.Store(nil)
	if len(config.Limits) > 0 {
		m.matcher.Store(quota.NewMatcher(config))
	}
	m.wake()
}

// Allowed reports whether a daemon without a replica may do an operation on limits.
func Allowed(op store.Op, owner string) bool { return quota.Allowed(op, owner) }
