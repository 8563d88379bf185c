package leasetask

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
)

// ReportPrefix is that of the keys that say what a task did last: task/done/TASK.
const ReportPrefix = lease.Prefix + "done/"

// Task is what one holder, or so many, does for the whole fleet.
type Task struct {
	Claim
	Interval        time.Duration // between two actions
	Timeout         time.Duration // of an action
	ProgressTimeout time.Duration // without an action that succeeds the holder gives it up,
	Cooldown        time.Duration // and does not ask for it again for so long
	Do              func(ctx context.Context, h *Lease) error
}

// ActionReport is what a task did last, as the store has it.
type ActionReport struct {
	Token     uint64 `json:"token"`
	Host      string `json:"host"`
	Completed uint64 `json:"done"` // actions that succeeded, of this holding
	Error     string `json:"error,omitempty"`
}

// runningTask is a task that this daemon runs.
type runningTask struct {
	task          Task
	lease         *Lease
	completed     uint64
	lastProgress  int64 // when an action last succeeded, or the holding began
	cooldownUntil int64 // until when it does not ask for the task; 0: it does
	lastErr       error // of the last action, or why there is none
	ahead         int   // that hold or wait before this daemon; -1: it has no place
}

const reportInterval = 10 * time.Second

// RunTask takes part in a task until ctx ends.
func (r *Runner) RunTask(ctx context.Context, t Task) error {
	if err := t.check(); err != nil {
		return err
	}
	l := &runningTask{task: t, ahead: -1}
	r.mu.Lock()
	if r.running[t.Task] != nil {
		r.mu.Unlock()
		return fmt.Errorf("%s: runs here already", t.Task)
	}
	r.running[t.Task] = l
	r.mu.Unlock()
	for ctx.Err() == nil && r.ctx.Err() == nil {
		h, err := r.Acquire(ctx, t.Claim, func(before int, why error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			l.ahead, l.lastErr = before, why
		})
		if err != nil {
			r.mu.Lock()
			l.ahead, l.lastErr = -1, err
			r.mu.Unlock()
			if sleep(ctx, maxRetryDelay) != nil {
				break
			}
			continue
		}
		r.cfg.Log.Info("this daemon holds a task", "task", t.Task, "token", h.Token())
		r.setLease(l, h)
		err = r.runActions(ctx, l, h)
		// What is said here changes before others can hold the task: who sees the next holder does not see this one as well.
		off := errors.Is(err, lease.ErrSuspended)
		r.setLease(l, nil)
		if off {
			r.mu.Lock()
			l.cooldownUntil = r.cfg.Clock.Now() + int64(t.Cooldown)
			l.lastErr = err
			r.mu.Unlock()
		}
		h.Release()
		r.cfg.Log.Info("this daemon holds a task no more", "task", t.Task, "token", h.Token(), "why", err)
		if off {
			if sleep(ctx, t.Cooldown) != nil {
				break
			}
			r.mu.Lock()
			l.cooldownUntil = 0
			r.mu.Unlock()
		}
	}
	r.mu.Lock()
	delete(r.running, t.Task)
	r.mu.Unlock()
	return ctx.Err()
}

func (t *Task) check() error {
	if t.Interval <= 0 || t.Timeout <= 0 || t.ProgressTimeout < t.Interval || t.Do == nil {
		return fmt.Errorf("%s: every, most and progress are to be positive, and progress no less than every", t.Task)
	}
	return t.Claim.check()
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// setLease says who holds a loop's task here.
func (r *Runner) setLease(l *runningTask, h *Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.lease, l.completed, l.lastErr, l.ahead = h, 0, nil, -1
	l.lastProgress = r.cfg.Clock.Now()
}

// runActions acts for as long as it holds the task, and says why it ended.
func (r *Runner) runActions(ctx context.Context, l *runningTask, h *Lease) error {
	var reported int64
	for {
		err := h.Do(ctx, l.task.Timeout, func(in context.Context, _ uint64) error { return l.task.Do(in, h) })
		now := r.cfg.Clock.Now()
		r.mu.Lock()
		if l.lastErr = err; err == nil {
			l.completed++
			l.lastProgress = now
		}
		stuck, done := now-l.lastProgress > int64(l.task.ProgressTimeout), l.completed
		r.mu.Unlock()
		if err != nil && h.ctx.Err() == nil && ctx.Err() == nil {
			r.cfg.Log.Warn("an action of a task failed", "task", l.task.Task, "error", err)
		}
		if reported == 0 || now-reported > int64(reportInterval) || err != nil {
			reported = now
			r.report(ctx, h, done, err)
		}
		if stuck {
			return fmt.Errorf("%w: nothing was done for %v: %w", lease.ErrSuspended, l.task.ProgressTimeout, err)
		}
		t := time.NewTimer(l.task.Interval)
		select {
		case <-t.C:
		case <-h.ctx.Done():
			t.Stop()
			return context.Cause(h.ctx)
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}

// report tells the store what a task did, conditional on the token.
func (r *Runner) report(ctx context.Context, h *Lease, done uint64, err error) {
	x := ActionReport{Token: h.token, Host: r.cfg.Host, Completed: done}
	if err != nil {
		x.Error = err.Error()
		x.Error = x.Error[:min(len(x.Error), maxNoteBytes)]
	}
	b, bad := json.Marshal(x)
	if bad != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if _, err := h.Txn(ctx, store.Txn{Owner: r.cfg.Host, Then: []store.Op{{Key: ReportPrefix + h.claim.Task, Value: b}}}); err != nil {
		r.cfg.Log.Debug("what a task did is not told", "task", h.claim.Task, "error", err)
	}
}

// RunShards takes part in a task of n shards until ctx ends: TASK.0 and so on, each a task of its own with its own lease and token.
// Which of them this daemon wants follows from who takes part (lease.Shards), by its copy of the store; that two reckon otherwise for a
// while has one wait for the other. do is told which shard it is to act for.
func (r *Runner) RunShards(ctx context.Context, t Task, n int, do func(ctx context.Context, h *Lease, shard int) error) error {
	t.Do = func(context.Context, *Lease) error { return nil }
	if err := t.check(); err != nil {
		return err
	}
	if n < 1 || n > maxShards {
		return fmt.Errorf("%s: %d shards are not within 1 and %d", t.Task, n, maxShards)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil && r.ctx.Err() == nil {
		member := t.Claim
		member.Slots = lease.MaxSlots // all who take part hold it
		h, err := r.Acquire(ctx, member, nil)
		if err != nil {
			if sleep(ctx, maxRetryDelay) != nil {
				break
			}
			continue
		}
		off := context.AfterFunc(ctx, func() { h.cancel(ctx.Err()) })
		held := map[int]context.CancelFunc{}
		for ctx.Err() == nil && h.ctx.Err() == nil {
			r.mu.Lock()
			changed := r.changed
			var members []string
			for _, p := range r.table.Queue(t.Task) {
				members = append(members, p.Key)
			}
			r.mu.Unlock()
			want := lease.AssignedShards(t.Task, n, members, h.key)
			for shard, cancel := range held {
				if !slices.Contains(want, shard) {
					cancel()
					delete(held, shard)
				}
			}
			for _, shard := range want {
				if held[shard] != nil {
					continue
				}
				in, cancel := context.WithCancel(ctx)
				held[shard] = cancel
				one := t
				one.Task, one.Slots = fmt.Sprintf("%s.%d", t.Task, shard), 1
				one.Do = func(ctx context.Context, h *Lease) error { return do(ctx, h, shard) }
				wg.Go(func() {
					for in.Err() == nil && r.RunTask(in, one) != nil {
						_ = sleep(in, minRetryDelay) // an earlier taking of the same shard is about to end
					}
				})
			}
			if r.waitForChange(h.ctx, changed, 0) != nil {
				break
			}
		}
		off()
		for _, cancel := range held {
			cancel()
		}
		h.Release()
	}
	return ctx.Err()
}

const maxShards = 256

// Allowed says whether an operation is a daemon's own to make: what a task that it held did.
func Allowed(op store.Op, owner string) bool {
	task, ok := strings.CutPrefix(op.Key, ReportPrefix)
	return ok && lease.CheckName(task) == nil && lease.IsPersistentPut(op, owner)
}
