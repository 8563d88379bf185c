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

// ErrConfigChanged says that other limits were put in force at the same time.
var ErrConfigChanged = errors.New("the limits were changed meanwhile")

// Put replaces the limits in force, for all daemons, and returns them as numbered. Processes keep to the quotas of the
// previous ones until they have seen the new.
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

// storedConfig returns the limits of the store and their revision, 0 if there are none.
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

// Status is how the limits stand.
type Status struct {
	Version       uint64         `json:"version"`
	Fault         string         `json:"fault,omitempty"` // why the newest are not in force here, or not allocated
	AllocatorHost string         `json:"divider"`         // the daemon that allocates, or ""
	MaxClockSkew  float64        `json:"skew"`
	TTLMs         int64          `json:"ttl_ms"`
	Process       quota.Process  `json:"here"`    // this daemon's
	ValidForMs    int64          `json:"left_ms"` // until this daemon's session ends unless it is renewed
	Limits        []*LimitStatus `json:"limits"`
}

// LimitStatus is how a limit stands.
type LimitStatus struct {
	*quota.Limit
	NodeStatuses []quota.NodeStatus `json:"parts"` // as Limit.Nodes
	Overshoot    string             `json:"over"`  // in words: how far servers may see it exceeded now
}

// Status returns how all limits stand, or the one of a name, by a copy that holds all processes: this daemon's, or
// else a replica's. Its error is quota.ErrLimitNotFound if there is no such limit.
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
		Fault:         m.faultOf(allocator, replicaErr),
		AllocatorHost: allocatorHost,
		MaxClockSkew:  m.cfg.MaxClockSkew,
		TTLMs:         m.cfg.TTL.Milliseconds(),
		Process:       m.process,
		ValidForMs:    max(0, m.consumer.ValidUntil()-now) / int64(time.Millisecond),
		Limits:        []*LimitStatus{},
	}
	for _, limit := range m.config.Limits {
		if name == "" || limit.Name == name {
			status.Limits = append(status.Limits, limitStatus(now, limit, allocator))
		}
	}
	if name != "" && len(status.Limits) == 0 {
		return nil, fmt.Errorf("%s: %w", name, quota.ErrLimitNotFound)
	}
	return status, nil
}

// faultNoCopy is the fault of a daemon that never had a copy of the store.
const faultNoCopy = "there is no copy of the store yet: nothing is limited here"

// faultOf returns the fault that a status shows. The lock is held.
func (m *Manager) faultOf(allocator *quota.Allocator, replicaErr error) string {
	if !m.hasCopy {
		return faultNoCopy
	}
	fault := m.configFault
	if replicaErr != nil {
		fault = fmt.Sprintf("no replica tells of the others: shares are this daemon's alone: %v", replicaErr)
	}
	if allocatorFault := allocator.Fault(); fault == "" && allocatorFault != "" {
		fault = "nothing is divided here: " + allocatorFault
	}
	return fault
}

func limitStatus(now int64, limit *quota.Limit, allocator *quota.Allocator) *LimitStatus {
	nodes := allocator.Status(now, limit)
	gone := 0
	for _, p := range nodes[0].Processes {
		if p.Gone {
			gone++
		}
	}
	return &LimitStatus{Limit: limit, NodeStatuses: nodes, Overshoot: limit.DescribeOvershoot(gone)}
}

// allocatorForStatus returns an allocator that knows all processes. If no replica answers, it returns this
// daemon's, which knows its own process alone, and the error.
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
