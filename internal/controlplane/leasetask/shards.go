package leasetask

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"birchmoor/internal/controlplane/lease"
)

const maxShards = 256

// ShardFunc is an action for one shard of a task.
type ShardFunc func(ctx context.Context, l *Lease, shard int) error

// shardRunner runs the shards of a task that are assigned to this daemon.
type shardRunner struct {
	runner *Runner
	task   Task // its claim is that of membership
	shards int
	do     ShardFunc
	wg     sync.WaitGroup
	stop   map[int]context.CancelFunc // of the shards that run here
}

// RunShards takes part in a task of n shards until ctx ends: TASK.0 and so on, each a task of its own with its own
// lease and token. Which of them this daemon claims follows from who takes part (lease.AssignedShards), as its copy
// of the store shows it. While two daemons' copies differ, one waits for the other's lease.
func (r *Runner) RunShards(ctx context.Context, t Task, n int, do ShardFunc) error {
	t.Do = func(context.Context, *Lease) error { return nil }
	if err := t.check(); err != nil {
		return err
	}
	if n < 1 || n > maxShards {
		return fmt.Errorf("%s: %d shards are not within 1 and %d", t.Task, n, maxShards)
	}
	s := &shardRunner{runner: r, task: t, shards: n, do: do}
	defer s.wg.Wait()
	membership := t.Claim
	membership.Slots = lease.MaxSlots // every member holds it
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

// runAsMember runs the shards assigned to this daemon until the lease of its membership is lost, and releases that.
func (s *shardRunner) runAsMember(ctx context.Context, member *Lease) {
	defer member.Release()
	s.stop = map[int]context.CancelFunc{}
	defer func() {
		for _, cancel := range s.stop {
			cancel()
		}
	}()
	defer context.AfterFunc(ctx, func() { member.cancel(ctx.Err()) })()
	for ctx.Err() == nil && member.ctx.Err() == nil {
		members, changed := s.members()
		s.assign(ctx, lease.AssignedShards(s.task.Task, s.shards, members, member.key))
		if s.runner.waitForChange(member.ctx, changed, 0) != nil {
			return
		}
	}
}

// members returns the keys of the members' queue entries, and a channel that is closed when these may have changed.
func (s *shardRunner) members() (keys []string, changed <-chan struct{}) {
	r := s.runner
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.table.Queue(s.task.Task) {
		keys = append(keys, entry.Key)
	}
	return keys, r.changed
}

// assign stops the shards that are no longer assigned to this daemon, and starts those that are and do not run.
func (s *shardRunner) assign(ctx context.Context, assigned []int) {
	for shard, cancel := range s.stop {
		if !slices.Contains(assigned, shard) {
			cancel()
			delete(s.stop, shard)
		}
	}
	for _, shard := range assigned {
		if s.stop[shard] == nil {
			s.start(ctx, shard)
		}
	}
}

// start runs a shard until it is stopped.
func (s *shardRunner) start(ctx context.Context, shard int) {
	ctx, cancel := context.WithCancel(ctx)
	s.stop[shard] = cancel
	task := s.task
	task.Task = fmt.Sprintf("%s.%d", s.task.Task, shard)
	task.Slots = 1
	task.Do = func(ctx context.Context, l *Lease) error { return s.do(ctx, l, shard) }
	s.wg.Go(func() {
		for ctx.Err() == nil && s.runner.RunTask(ctx, task) != nil {
			_ = sleep(ctx, minRetryDelay) // an earlier run of the same shard is about to end
		}
	})
}
