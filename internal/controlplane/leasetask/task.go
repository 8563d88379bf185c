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
	Every    time.Duration // between two actions
	Most     time.Duration // of an action
	Progress time.Duration // without an action that succeeds the holder gives it up,
	HoldDown time.Duration // and does not ask for it again for so long
	Do       func(ctx context.Context, h *Lease) error
}

// ActionReport is what a task did last, as the store has it.
type ActionReport struct {
	Token uint64 `json:"token"`
	Host  string `json:"host"`
	Done  uint64 `json:"done"` // actions that succeeded, of this holding
	Error string `json:"error,omitempty"`
}

// loop is a task that this daemon runs.
type loop struct {
	task   Task
	hold   *Lease
	done   uint64
	last   int64 // when an action last succeeded, or the holding began
	off    int64 // until when it does not ask for the task; 0: it does
	err    error // of the last action, or why there is none
	before int   // that hold or wait before this daemon; -1: it has no place
}

const reportEvery = 10 * time.Second

// RunTask takes part in a task until ctx ends.
func (r *Runner) RunTask(ctx context.Context, t Task) error {
	if err := t.check(); err != nil {
		return err
	}
	l := &loop{task: t, before: -1}
	r.mu.Lock()
	if r.loops[t.Task] != nil {
		r.mu.Unlock()
		return fmt.Errorf("%s: runs here already", t.Task)
	}
	r.loops[t.Task] = l
	r.mu.Unlock()
	for ctx.Err() == nil && r.ctx.Err() == nil {
		h, err := r.Acquire(ctx, t.Claim, func(before int, why error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			l.before, l.err = before, why
		})
		if err != nil {
			r.mu.Lock()
			l.before, l.err = -1, err
			r.mu.Unlock()
			if pause(ctx, retryMost) != nil {
				break
			}
			continue
		}
		r.cfg.Log.Info("this daemon holds a task", "task", t.Task, "token", h.Token())
		r.note(l, h)
		err = r.work(ctx, l, h)
		// What is said here changes before others can hold the task: who sees the next holder does not see this one as well.
		off := errors.Is(err, lease.ErrSuspended)
		r.note(l, nil)
		if off {
			r.mu.Lock()
			l.off = r.cfg.Clock.Now() + int64(t.HoldDown)
			l.err = err
			r.mu.Unlock()
		}
		h.Release()
		r.cfg.Log.Info("this daemon holds a task no more", "task", t.Task, "token", h.Token(), "why", err)
		if off {
			if pause(ctx, t.HoldDown) != nil {
				break
			}
			r.mu.Lock()
			l.off = 0
			r.mu.Unlock()
		}
	}
	r.mu.Lock()
	delete(r.loops, t.Task)
	r.mu.Unlock()
	return ctx.Err()
}

func (t *Task) check() error {
	if t.Every <= 0 || t.Most <= 0 || t.Progress < t.Every || t.Do == nil {
		return fmt.Errorf("%s: every, most and progress are to be positive, and progress no less than every", t.Task)
	}
	return t.Claim.check()
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// note says who holds a loop's task here.
func (r *Runner) note(l *loop, h *Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.hold, l.done, l.err, l.before = h, 0, nil, -1
	l.last = r.cfg.Clock.Now()
}

// work acts for as long as it holds the task, and says why it ended.
func (r *Runner) work(ctx context.Context, l *loop, h *Lease) error {
	var reported int64
	for {
		err := h.Do(ctx, l.task.Most, func(in context.Context, _ uint64) error { return l.task.Do(in, h) })
		now := r.cfg.Clock.Now()
		r.mu.Lock()
		if l.err = err; err == nil {
			l.done++
			l.last = now
		}
		stuck, done := now-l.last > int64(l.task.Progress), l.done
		r.mu.Unlock()
		if err != nil && h.ctx.Err() == nil && ctx.Err() == nil {
			r.cfg.Log.Warn("an action of a task failed", "task", l.task.Task, "error", err)
		}
		if reported == 0 || now-reported > int64(reportEvery) || err != nil {
			reported = now
			r.report(ctx, h, done, err)
		}
		if stuck {
			return fmt.Errorf("%w: nothing was done for %v: %w", lease.ErrSuspended, l.task.Progress, err)
		}
		t := time.NewTimer(l.task.Every)
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
	x := ActionReport{Token: h.token, Host: r.cfg.Host, Done: done}
	if err != nil {
		x.Error = err.Error()
		x.Error = x.Error[:min(len(x.Error), noteMost)]
	}
	b, bad := json.Marshal(x)
	if bad != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if _, err := h.Txn(ctx, store.Txn{Owner: r.cfg.Host, Then: []store.Op{{Key: ReportPrefix + h.want.Task, Value: b}}}); err != nil {
		r.cfg.Log.Debug("what a task did is not told", "task", h.want.Task, "error", err)
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
	if n < 1 || n > shardsMost {
		return fmt.Errorf("%s: %d shards are not within 1 and %d", t.Task, n, shardsMost)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil && r.ctx.Err() == nil {
		member := t.Claim
		member.Slots = lease.MaxSlots // all who take part hold it
		h, err := r.Acquire(ctx, member, nil)
		if err != nil {
			if pause(ctx, retryMost) != nil {
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
			want := lease.Shards(t.Task, n, members, h.key)
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
						_ = pause(in, retryMin) // an earlier taking of the same shard is about to end
					}
				})
			}
			if r.wait(h.ctx, changed, 0) != nil {
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

const shardsMost = 256

// Allowed says whether an operation is a daemon's own to make: what a task that it held did.
func Allowed(op store.Op, owner string) bool {
	task, ok := strings.CutPrefix(op.Key, ReportPrefix)
	return ok && lease.CheckName(task) == nil && lease.Puts(op, owner)
}
