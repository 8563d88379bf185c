// Package quotasync connects the fleet's limits (package quota) to a daemon and its sidecar. It keeps the process's
// session, reports its demand to the store, applies its grants, runs the allocator, admits requests, and shows and
// changes limits for operators. It may import the store, the packages of the control plane except adminapi, and core
// for the interface that a sidecar calls.
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

// Config configures a Manager. The report intervals and MaxClockSkew must be the same in the whole fleet.
type Config struct {
	Host                     string        // name of the daemon, which the keys of its processes contain
	TTL                      time.Duration // of the session; a process that does not renew it loses its quotas
	ReportInterval           time.Duration // shortest time between two reports of a process
	ReportIntervalPerProcess time.Duration // for each process of the fleet, if that makes a longer interval
	MaxClockSkew             float64       // as in quota.Rules
	Clock                    bootclock.Clock
	Log                      *slog.Logger
	Defect                   quota.Defect // injected by tests; quota.NoDefect otherwise
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
	requestTimeout       = 2 * time.Second // for requests to the store
)

// Manager implements daemon.Component and core.Limiter. It is safe for concurrent use.
type Manager struct {
	cfg     Config
	runner  *leasetask.Runner
	store   daemon.Store
	matcher atomic.Pointer[quota.Matcher] // nil while no limits are in force

	reporterWakeup chan struct{} // holds at most one wake-up

	mu                sync.Mutex // guards the fields below
	consumer          *quota.Consumer
	allocator         *quota.Allocator
	config            *quota.Config
	configFault       string // why this daemon does not enforce the newest limits, or ""
	committedConfig   []byte // the quota.Config that the copy of the store has; nil if there is none
	configFromLogTail bool   // the limits in force are from the log's tail and may not be committed
	process           quota.Process
	demandKeys        map[string]bool   // the keys with quota.DemandPrefix in the copy of the store
	loggedRejections  map[string]uint64 // rejected requests logged so far, by the name of the limit

	hasCopy     bool             // there is a copy of the store; without one no limits are known
	partialCopy bool             // the copy does not hold the demand of all processes
	demandSize  store.PrefixSize // of the demand keys of all processes, if the copy is partial
}

// New returns a manager. Attach must be called before Run.
func New(cfg Config, runner *leasetask.Runner) *Manager {
	rules := cfg.rules()
	return &Manager{
		cfg:              cfg,
		runner:           runner,
		reporterWakeup:   make(chan struct{}, 1),
		consumer:         quota.NewConsumer(rules, cfg.Defect),
		allocator:        quota.NewAllocator(rules, cfg.Defect),
		config:           &quota.Config{},
		demandKeys:       map[string]bool{},
		loggedRejections: map[string]uint64{},
	}
}

func (m *Manager) now() int64 { return m.cfg.Clock.Now() }

// Attach implements daemon.Component.
func (m *Manager) Attach(s daemon.Store) { m.store = s }

// Subscription implements daemon.Subscriber. The daemon needs the limits, the demand and the grants of its own
// processes, and the number of processes that report. The demand and the grants of others are needed only by
// allocators, which followers do not run. The limits are durable, since a process that starts without them admits all
// requests.
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
		m.demandSize = size
		m.updateProcessCount()
	}
}

// updateProcessCount sets the number of processes on which the interval between reports depends. The caller holds mu.
func (m *Manager) updateProcessCount() {
	m.consumer.SetProcessCount(max(len(m.demandKeys), m.demandSize.Keys))
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
		m.setCommittedConfig(nil)
	case key == quota.ConfigKey:
		m.setCommittedConfig(e.Item.Value)
	case strings.HasPrefix(key, quota.DemandPrefix):
		if e.Deleted {
			delete(m.demandKeys, key)
		} else {
			m.demandKeys[key] = true
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
	m.setCommittedConfig(item.Value)
	clear(m.demandKeys)
	s.Range(quota.DemandPrefix, store.PrefixEnd(quota.DemandPrefix), func(item store.Item) bool {
		m.demandKeys[item.Key] = true
		return true
	})
	interest := s.Interest()
	m.partialCopy = interest != nil && !interest.CoversPrefix(quota.DemandPrefix)
	if !m.partialCopy {
		m.demandSize = store.PrefixSize{}
	}
	m.updateProcessCount()
	m.applyGrantFrom(s)
}

// applyGrantFrom applies this process's grant, if the copy s has one. The caller holds mu.
func (m *Manager) applyGrantFrom(s *store.State) {
	if m.process.Session == 0 {
		return
	}
	if item, ok := s.Get(m.process.GrantKey()); ok {
		m.applyGrant(item)
	}
}

// applyGrant applies this process's grant. If decoding it fails, quotas that were not decoded are set to zero. The
// caller holds mu.
func (m *Manager) applyGrant(item store.Item) {
	grant, err := quota.DecodeGrant(item.Value)
	if err != nil {
		m.cfg.Log.Error("cannot decode the grant of quotas; those not decoded are set to zero", "key", item.Key,
			"error", err)
	}
	m.consumer.ApplyGrant(m.now(), m.process.Session, item.ModRevision, grant)
	m.wakeReporter()
}

// wakeReporter makes the reporter check whether a report is due. It does not block.
func (m *Manager) wakeReporter() {
	select {
	case m.reporterWakeup <- struct{}{}:
	default:
	}
}

// Uncommitted implements daemon.LogTailObserver. A replica that starts without a quorum may not know that the last
// entries of its log were committed, and thus in force before it stopped. If it knows no other limits, it enforces
// those of the log's tail until it has caught up. Since it has no session, strict limits then admit nothing.
func (m *Manager) Uncommitted(c *store.Command) {
	if c.Txn == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, op := range c.Txn.Then {
		if op.Key == quota.ConfigKey && !op.Delete && m.committedConfig == nil {
			m.configFromLogTail = true
			m.setConfig(op.Value)
		}
	}
}

// CaughtUp implements daemon.LogTailObserver. From now on the limits of the copy are in force.
func (m *Manager) CaughtUp() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.configFromLogTail {
		m.setCommittedConfig(m.committedConfig)
	}
}

// setCommittedConfig puts the encoded limits that the copy has in force; nil means none. The caller holds mu.
func (m *Manager) setCommittedConfig(text []byte) {
	m.committedConfig = text
	m.configFromLogTail = false
	m.setConfig(text)
}

// setConfig puts encoded limits in force; nil means none. If this version finds them invalid, as it may find those of a
// newer version, the previous limits stay in force. The caller holds mu.
func (m *Manager) setConfig(text []byte) {
	config := &quota.Config{}
	if text != nil {
		if err := errors.Join(json.Unmarshal(text, config), config.Check()); err != nil {
			m.configFault = err.Error()
			m.cfg.Log.Error("limits in the store are invalid; the previous ones stay in force", "error", err)
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
	m.wakeReporter()
}

// Allowed reports whether the daemon named owner, which has no replica, may do an operation on the keys of limits.
func Allowed(op store.Op, owner string) bool { return quota.Allowed(op, owner) }
