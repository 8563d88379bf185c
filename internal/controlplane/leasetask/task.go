package leasetask

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
)

// ReportPrefix is the prefix of the keys of reports: task/done/TASK.
const ReportPrefix = lease.Prefix + "done/"

const reportInterval = 10 * time.Second

// ErrNoProgress says that no action of a task succeeded within its progress timeout.
var ErrNoProgress = errors.New("the task makes no progress")

// Task is a task that one daemon, or as many as its claim has slots, runs for the whole fleet.
type Task struct {
	Claim
	Interval        time.Duration // between two actions
	Timeout         time.Duration // of an action
	ProgressTimeout time.Duration // a holder without an action that succeeds releases the task after this,
	Cooldown        time.Duration // and does not claim it again for this
	Do              func(ctx context.Context, l *Lease) error
}

// ActionReport says what a task did last, as stored.
type ActionReport struct {
	Token     uint64 `json:"token"`
	Host      string `json:"host"`
	Completed uint64 `json:"done"` // actions that succeeded under this token
	Error     string `json:"error,omitempty"`
}

// runningTask is the state of a task that this daemon runs. The Runner's lock guards all but task.
type runningTask struct {
	task          Task
	lease         *Lease // nil: the daemon does not hold the task
	completed     uint64 // actions that succeeded under this lease
	lastProgress  int64  // when an action last succeeded, or the lease was acquired
	cooldownUntil int64  // until when the task is not claimed again; 0: it is claimed
	lastErr       error  // of the last action, or why the task is not held
	ahead         int    // queue entries that must go first; -1: the daemon is not in the queue
}

func (t *Task) check() error {
	if t.Interval <= 0 || t.Timeout <= 0 || t.ProgressTimeout < t.Interval || t.Do == nil {
		return fmt.Errorf("%s: interval and timeouts must be positive, and the progress timeout at least the interval", t.Task)
	}
	return t.Claim.check()
}

// RunTask claims a task and runs its actions while it holds it, until ctx ends.
func (r *Runner) RunTask(ctx context.Context, t Task) error {
	if err := t.check(); err != nil {
		return err
	}
	rt := &runningTask{task: t, ahead: -1}
	if !r.register(rt) {
		return fmt.Errorf("%s: runs here already", t.Task)
	}
	defer r.unregister(rt)
	for ctx.Err() == nil && r.ctx.Err() == nil {
		l, err := r.Acquire(ctx, t.Claim, func(ahead int, reason error) { r.setWaiting(rt, ahead, reason) })
		if err != nil {
			r.setWaiting(rt, -1, err)
			if sleep(ctx, maxRetryDelay) != nil {
				break
			}
			continue
		}
		if r.holdTask(ctx, rt, l) && r.coolDown(ctx, rt) != nil {
			break
		}
	}
	return ctx.Err()
}

// holdTask runs the actions of a task until the lease is lost, and releases it. It reports whether the task must
// cool down.
func (r *Runner) holdTask(ctx context.Context, rt *runningTask, l *Lease) (cooldown bool) {
	task := rt.task.Task
	r.cfg.Log.Info("acquired the lease of a task", "task", task, "token", l.Token())
	r.setLease(rt, l)
	err := r.runActions(ctx, rt, l)
	// The state changes before another daemon can hold the task, so that no one sees two holders.
	r.setLease(rt, nil)
	cooldown = errors.Is(err, ErrNoProgress)
	if cooldown {
		r.mu.Lock()
		rt.cooldownUntil = r.cfg.Clock.Now() + int64(rt.task.Cooldown)
		rt.lastErr = err
		r.mu.Unlock()
	}
	l.Release()
	r.cfg.Log.Info("released the lease of a task", "task", task, "token", l.Token(), "why", err)
	return cooldown
}

// coolDown waits until the task may be claimed again.
func (r *Runner) coolDown(ctx context.Context, rt *runningTask) error {
	if err := sleep(ctx, rt.task.Cooldown); err != nil {
		return err
	}
	r.mu.Lock()
	rt.cooldownUntil = 0
	r.mu.Unlock()
	return nil
}

// register adds a running task, unless one of the same name runs already.
func (r *Runner) register(rt *runningTask) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[rt.task.Task] != nil {
		return false
	}
	r.running[rt.task.Task] = rt
	return true
}

func (r *Runner) unregister(rt *runningTask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, rt.task.Task)
}

// setWaiting records how many are ahead of this daemon in the queue, and why it waits.
func (r *Runner) setWaiting(rt *runningTask, ahead int, reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt.ahead = ahead
	rt.lastErr = reason
}

// setLease records that the task is held by l, or no longer held if l is nil.
func (r *Runner) setLease(rt *runningTask, l *Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt.lease = l
	rt.completed = 0
	rt.lastErr = nil
	rt.ahead = -1
	rt.lastProgress = r.cfg.Clock.Now()
}

// runActions runs the task's actions while the lease is valid, and returns why it stopped.
func (r *Runner) runActions(ctx context.Context, rt *runningTask, l *Lease) error {
	task := rt.task
	var reported int64 // when the last report was stored; 0: never
	for {
		err := l.Do(ctx, task.Timeout, func(ctx context.Context, _ uint64) error { return task.Do(ctx, l) })
		now := r.cfg.Clock.Now()
		completed, stuck := r.recordAction(rt, now, err)
		if err != nil && l.ctx.Err() == nil && ctx.Err() == nil {
			r.cfg.Log.Warn("an action of a task failed", "task", task.Task, "error", err)
		}
		if reported == 0 || now-reported > int64(reportInterval) || err != nil {
			reported = now
			r.report(ctx, l, completed, err)
		}
		if stuck {
			return fmt.Errorf("%w: no action succeeded for %v: %w", ErrNoProgress, task.ProgressTimeout, err)
		}
		timer := time.NewTimer(task.Interval)
		select {
		case <-timer.C:
		case <-l.ctx.Done():
			timer.Stop()
			return context.Cause(l.ctx)
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// recordAction records the outcome of an action. It returns how many succeeded under this lease, and whether the
// progress timeout has passed.
func (r *Runner) recordAction(rt *runningTask, now int64, err error) (completed uint64, stuck bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt.lastErr = err
	if err == nil {
		rt.completed++
		rt.lastProgress = now
	}
	return rt.completed, now-rt.lastProgress > int64(rt.task.ProgressTimeout)
}

// report stores what a task did last, unless a later holder has done so.
func (r *Runner) report(ctx context.Context, l *Lease, completed uint64, actionErr error) {
	report := ActionReport{Token: l.token, Host: r.cfg.Host, Completed: completed}
	if actionErr != nil {
		text := actionErr.Error()
		report.Error = text[:min(len(text), maxNoteBytes)]
	}
	value, err := json.Marshal(report)
	if err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		_, err = l.Txn(ctx, store.Txn{
			Owner: r.cfg.Host,
			Then:  []store.Op{{Key: ReportPrefix + l.claim.Task, Value: value}},
		})
	}
	if err != nil {
		r.cfg.Log.Debug("the report of a task was not stored", "task", l.claim.Task, "error", err)
	}
}

// Allowed reports whether a daemon may make this change of the store on its own: to the report of a task.
func Allowed(op store.Op, owner string) bool {
	task, ok := strings.CutPrefix(op.Key, ReportPrefix)
	return ok && lease.CheckName(task) == nil && lease.IsPersistentPut(op, owner)
}

// sleep waits for d, or returns ctx's error if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
