package leasetask

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"birchmoor/internal/controlplane/lease"
)

const maxShards = 256 // of one task

// ShardFunc is an action for one shard of a task. l is the lease of the shard.
type ShardFunc func(ctx context.Context, l *Lease, shard int) error

// shardRunner runs the shards of a task that are assigned to this daemon.
type shardRunner struct {
	runner     *Runner
	task       Task // its claim is the claim of membership, but for the number of slots
	shardCount int
	action     ShardFunc
	wg         sync.WaitGroup
	cancels    map[int]context.CancelFunc // stop the shards that run here, by shard
}

// RunShards makes this daemon a member of a task of shardCount shards, and runs the shards assigned to it, until ctx
// ends or the Runner is closed. The shards are TASK.0, TASK.1 and so on, each a task of its own with its own lease
// and token. lease.AssignedShards assigns them to the members that this daemon's copy of the store shows. While the
// copies of two daemons differ, both may claim a shard, and one waits until the other releases it. RunShards replaces
// t.Do by action.
func (r *Runner) RunShards(ctx context.Context, t Task, shardCount int, action ShardFunc) error {
	t.Do = func(context.Context, *Lease) error { return nil }
	if err := t.check(); err != nil {
		return err
	}
	if shardCount < 1 || shardCount > maxShards {
		return fmt.Errorf("%s: shards: %d is not between 1 and %d", t.Task, shardCount, maxShards)
	}
	s := &shardRunner{runner: r, task: t, shardCount: shardCount, action: action}
	defer s.wg.Wait()
	membership := t.Claim
	membership.Slots = lease.MaxSlots // all members hold the task at once
	for ctx.Err() == nil && r.ctx.Err() == nil {
		member, err := r.Acquire(ctx, membership, nil)
		if err == nil {
			s.runAsMember(ctx, member)
			continue
		}
		if sleep(ctx, maxRetryDelay) != nil {
			break
		}
	}
	return ctx.Err()
}

// runAsMember runs the shards assigned to this daemon until ctx ends or member, the lease of its membership, ends. Then
// it stops the shards and releases member.
func (s *shardRunner) runAsMember(ctx context.Context, member *Lease) {
	defer member.Release()
	s.cancels = map[int]context.CancelFunc{}
	defer func() {
		for _, cancel := range s.cancels {
			cancel()
		}
	}()
	defer context.AfterFunc(ctx, func() { member.cancel(ctx.Err()) })()
	for ctx.Err() == nil && member.ctx.Err() == nil {
		members, changed := s.members()
		s.applyAssignment(ctx, lease.AssignedShards(s.task.Task, s.shardCount, members, member.key))
		if s.runner.waitForChange(member.ctx, changed, 0) != nil {
			return
		}
	}
}

// members returns the keys of the members' queue entries, which identify the members, and a channel that is closed when
// these may have changed.
func (s *shardRunner) members() (keys []string, changed <-chan struct{}) {
	r := s.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.table.Queue(s.task.Task) {
		keys = append(keys, entry.Key)
	}
	return keys, r.changed
}

// applyAssignment stops the running shards that are no longer assigned to this daemon, and starts the assigned ones
// that do not run.
func (s *shardRunner) applyAssignment(ctx context.Context, assigned []int) {
	for shard, cancel := range s.cancels {
		if !slices.Contains(assigned, shard) {
			cancel()
			delete(s.cancels, shard)
		}
	}
	for _, shard := range assigned {
		if s.cancels[shard] == nil {
			s.startShard(ctx, shard)
		}
	}
}

// startShard runs a shard in a goroutine until ctx ends or applyAssignment stops it.
func (s *shardRunner) startShard(ctx context.Context, shard int) {
	ctx, cancel := context.WithCancel(ctx)
	s.cancels[shard] = cancel
	task := s.task
	task.Task = fmt.Sprintf("%s.%d", s.task.Task, shard)
	task.Slots = 1
	task.Do = func(ctx context.Context, l *Lease) error { return s.action(ctx, l, shard) }
	s.wg.Go(func() {
		for ctx.Err() == nil && s.runner.RunTask(ctx, task) != nil {
			_ = sleep(ctx, minRetryDelay) // RunTask fails while an earlier run of the same shard is ending
		}
	})
}
