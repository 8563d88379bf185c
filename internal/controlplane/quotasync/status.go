package quotasync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/store"
)

// ErrConfigChanged is returned by Put if the limits were changed by someone else at the same time. Put may be retried.
var ErrConfigChanged = errors.New("the limits were changed concurrently")

// Put replaces the limits of the fleet and returns them with their version and generations. It sets these in config.
// Each process enforces the previous limits until it has received the new ones.
func (m *Manager) Put(ctx context.Context, config *quota.Config) (*quota.Config, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	previous, revision, err := m.storedConfig(ctx)
	if err != nil {
		return nil, err
	}
	config.AssignGenerations(previous)
	value, err := json.Marshal(config)
	if err != nil {
		return nil, fmt.Errorf("encode limits: %w", err)
	}
	result, err := m.store.Do(ctx, store.Command{Txn: &store.Txn{
		If:   []store.Compare{{Key: quota.ConfigKey, ModRevision: revision}},
		Then: []store.Op{{Key: quota.ConfigKey, Value: value}},
	}})
	if err == nil && !result.Succeeded {
		err = ErrConfigChanged
	}
	return config, err
}

// storedConfig returns the limits in the store and the revision of their key. If there are none, it returns an empty
// configuration and 0.
func (m *Manager) storedConfig(ctx context.Context) (config *quota.Config, revision uint64, err error) {
	var decodeErr error
	_, err = m.store.View(ctx, false, func(s *store.State) {
		config, revision, decodeErr = &quota.Config{}, 0, nil
		if item, ok := s.Get(quota.ConfigKey); ok {
			revision = item.ModRevision
			decodeErr = json.Unmarshal(item.Value, config)
		}
	})
	return config, revision, errors.Join(err, decodeErr)
}

// Status describes the limits and their allocation, as one daemon knows them. It is a JSON answer to operators.
type Status struct {
	Version       uint64         `json:"version"`         // of the limits that this daemon enforces
	Fault         string         `json:"fault,omitempty"` // why the status or the enforcement is incomplete, or ""
	AllocatorHost string         `json:"divider"`         // the daemon that allocates, or "" if none does
	MaxClockSkew  float64        `json:"skew"`
	TTLMs         int64          `json:"ttl_ms"`
	Process       quota.Process  `json:"here"`    // of this daemon
	ValidForMs    int64          `json:"left_ms"` // until this daemon's session ends, unless it is renewed
	Limits        []*LimitStatus `json:"limits"`
}

// LimitStatus describes a limit and its allocation.
type LimitStatus struct {
	*quota.Limit
	NodeStatuses []quota.NodeStatus `json:"parts"` // in the order of Limit.Nodes
	Overshoot    string             `json:"over"`  // as Limit.DescribeOvershoot returns it for the departed processes
}

// Status returns the status of all limits, or of the named one if name is not empty. It is based on a copy of the store
// that holds all processes, this daemon's or else a replica's. If no replica answers, the status covers this daemon's
// processes only, and Fault says so. The error wraps quota.ErrLimitNotFound if there is no limit of that name.
func (m *Manager) Status(ctx context.Context, name string) (*Status, error) {
	allocator, replicaErr := m.allocatorForStatus(ctx)
	allocatorHost := ""
	if holders := m.runner.Holders(AllocatorTask); len(holders) > 0 {
		allocatorHost = holders[0]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	status := &Status{
		Version:       m.config.Version,
		Fault:         m.statusFault(allocator, replicaErr),
		AllocatorHost: allocatorHost,
		MaxClockSkew:  m.cfg.MaxClockSkew,
		TTLMs:         m.cfg.TTL.Milliseconds(),
		Process:       m.process,
		ValidForMs:    max(0, m.consumer.ValidUntil()-now) / int64(time.Millisecond),
		Limits:        []*LimitStatus{},
	}
	for _, limit := range m.config.Limits {
		if name == "" || limit.Name == name {
			status.Limits = append(status.Limits, newLimitStatus(now, limit, allocator))
		}
	}
	if name != "" && len(status.Limits) == 0 {
		return nil, fmt.Errorf("%s: %w", name, quota.ErrLimitNotFound)
	}
	return status, nil
}

// faultNoCopy is the fault of a daemon that has never had a copy of the store.
const faultNoCopy = "there is no copy of the store yet: this daemon enforces no limits"

// statusFault returns the fault that Status reports, or "". The caller holds mu.
func (m *Manager) statusFault(allocator *quota.Allocator, replicaErr error) string {
	if !m.hasCopy {
		return faultNoCopy
	}
	fault := m.configFault
	if replicaErr != nil {
		fault = fmt.Sprintf("no replica tells of the others: the status covers only this daemon's quotas: %v",
			replicaErr)
	}
	if allocatorFault := allocator.Fault(); fault == "" && allocatorFault != "" {
		fault = "quotas cannot be allocated from this copy of the store: " + allocatorFault
	}
	return fault
}

func newLimitStatus(now int64, limit *quota.Limit, allocator *quota.Allocator) *LimitStatus {
	nodes := allocator.Status(now, limit)
	departed := 0
	for _, p := range nodes[0].Processes {
		if p.Departed {
			departed++
		}
	}
	return &LimitStatus{Limit: limit, NodeStatuses: nodes, Overshoot: limit.DescribeOvershoot(departed)}
}

// allocatorForStatus returns an allocator whose copy of the store holds all processes. If no replica answers, it
// returns this daemon's, whose copy holds only its own processes, and the error.
func (m *Manager) allocatorForStatus(ctx context.Context) (*quota.Allocator, error) {
	m.mu.Lock()
	partialCopy, config := m.partialCopy, m.config
	m.mu.Unlock()
	if !partialCopy {
		return m.allocator, nil
	}
	allocator := quota.NewAllocator(m.cfg.rules(), quota.NoDefect)
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, err := m.store.View(ctx, false, func(s *store.State) {
		allocator.SetConfig(config)
		allocator.Reset(m.now(), s)
	})
	if err != nil {
		return m.allocator, err
	}
	return allocator, nil
}
