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

// ReportPrefix is the prefix of the keys of reports. The name of the task follows; the value is an ActionReport.
const ReportPrefix = lease.Prefix + "done/"

const reportInterval = 10 * time.Second // minimum time between two reports, other than of failed actions

// ErrNoProgress is the reason for releasing a task of which no action has succeeded within its progress timeout.
var ErrNoProgress = errors.New("the task makes no progress")

// Task is a task that one daemon, or as many daemons as its claim has slots, runs for the whole fleet.
type Task struct {
	Claim
	Interval        time.Duration // between the end of an action and the start of the next
	Timeout         time.Duration // of one action
	ProgressTimeout time.Duration // a holder releases the task if no action has succeeded for this long,
	Cooldown        time.Duration // and does not claim it again for this long
	// Do runs one action. l is the lease of the task.
	Do func(ctx context.Context, l *Lease) error
}

// ActionReport is the stored outcome of the last reported action of a task.
type ActionReport struct {
	Token     uint64 `json:"token"`           // fencing token of the lease under which the action ran
	Host      string `json:"host"`            // host that ran the action
	Completed uint64 `json:"done"`            // actions that succeeded under this token
	Error     string `json:"error,omitempty"` // empty: the action succeeded
}

// runningTask is the state of a task that this daemon runs. The Runner's lock guards all fields but task.
type runningTask struct {
	task          Task
	lease         *Lease // nil: the daemon does not hold the task
	completed     uint64 // actions that succeeded under this lease
	lastProgress  int64  // when an action last succeeded, or the lease was acquired or ended
	cooldownUntil int64  // the task is not claimed before this instant; 0: the task does not cool down
	lastErr       error  // error of the last action, or why the daemon does not hold the task
	ahead         int    // queue entries that must leave the queue first; -1: the daemon has no queue entry
}

func (t *Task) check() error {
	if t.Interval <= 0 || t.Timeout <= 0 || t.ProgressTimeout < t.Interval || t.Do == nil {
		return fmt.Errorf(
			"%s: want an action, a positive interval and timeout, and a progress timeout of at least the interval",
			t.Task)
	}
	return t.Claim.check()
}

// RunTask claims a task and runs its actions while this daemon holds it, until ctx ends or the Runner is closed. It
// returns an error if the task is invalid or runs here already, the error of ctx if that has ended, and nil after the
// Runner was closed.
func (r *Runner) RunTask(ctx context.Context, t Task) error {
	if err := t.check(); err != nil {
		return err
	}
	rt := &runningTask{task: t, ahead: -1}
	if !r.register(rt) {
		return fmt.Errorf("%s: the task already runs at this daemon", t.Task)
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

// holdTask runs the actions of a task until the lease or ctx ends or there is no progress, and releases the lease. It
// reports whether the task must cool down because there was no progress.
func (r *Runner) holdTask(ctx context.Context, rt *runningTask, l *Lease) (mustCoolDown bool) {
	task := rt.task.Task
	r.cfg.Log.Info("acquired the lease of a task", "task", task, "token", l.Token())
	r.setLease(rt, l)
	err := r.runActions(ctx, rt, l)
	// The status changes before another daemon can hold the task, so that no two daemons show themselves as its holder.
	r.setLease(rt, nil)
	mustCoolDown = errors.Is(err, ErrNoProgress)
	if mustCoolDown {
		r.mu.Lock()
		rt.cooldownUntil = r.cfg.Clock.Now() + int64(rt.task.Cooldown)
		rt.lastErr = err
		r.mu.Unlock()
	}
	l.Release()
	r.cfg.Log.Info("released the lease of a task", "task", task, "token", l.Token(), "why", err)
	return mustCoolDown
}

// coolDown waits until the task may be claimed again, or returns the error of ctx if that ends first.
func (r *Runner) coolDown(ctx context.Context, rt *runningTask) error {
	if err := sleep(ctx, rt.task.Cooldown); err != nil {
		return err
	}
	r.mu.Lock()
	rt.cooldownUntil = 0
	r.mu.Unlock()
	return nil
}

// register adds a running task, and reports false if one of the same name runs already.
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

// setWaiting records how many queue entries must leave the queue before this daemon's holds the task, and what else
// delays the acquisition.
func (r *Runner) setWaiting(rt *runningTask, ahead int, reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt.ahead = ahead
	rt.lastErr = reason
}

// setLease records that this daemon holds the task by l, or does not hold it if l is nil.
func (r *Runner) setLease(rt *runningTask, l *Lease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt.lease = l
	rt.completed = 0
	rt.lastErr = nil
	rt.ahead = -1
	rt.lastProgress = r.cfg.Clock.Now()
}

// runActions runs the task's actions until the lease or ctx ends or there is no progress, and returns the reason.
func (r *Runner) runActions(ctx context.Context, rt *runningTask, l *Lease) error {
	task := rt.task
	var reportedAt int64 // when an action was last reported; 0: never
	for {
		err := l.Do(ctx, task.Timeout, func(ctx context.Context, _ uint64) error { return task.Do(ctx, l) })
		now := r.cfg.Clock.Now()
		completed, noProgress := r.recordAction(rt, now, err)
		if err != nil && l.ctx.Err() == nil && ctx.Err() == nil {
			r.cfg.Log.Warn("an action of a task failed", "task", task.Task, "error", err)
		}
		if reportedAt == 0 || now-reportedAt > int64(reportInterval) || err != nil {
			reportedAt = now
			r.storeReport(ctx, l, completed, err)
		}
		if noProgress {
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

// recordAction records the outcome of an action. It returns how many actions have succeeded under this lease, and
// whether none has succeeded for longer than the progress timeout.
func (r *Runner) recordAction(rt *runningTask, now int64, err error) (completed uint64, noProgress bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rt.lastErr = err
	if err == nil {
		rt.completed++
		rt.lastProgress = now
	}
	return rt.completed, now-rt.lastProgress > int64(rt.task.ProgressTimeout)
}

// storeReport stores the report of a task's last action, unless the lease's queue entry no longer exists.
func (r *Runner) storeReport(ctx context.Context, l *Lease, completed uint64, actionErr error) {
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
		r.cfg.Log.Debug("could not store the report of a task", "task", l.claim.Task, "error", err)
	}
}

// Allowed reports whether the daemon named owner may make this change of the store without an operator: it may put the
// report of any task.
func Allowed(op store.Op, owner string) bool {
	task, ok := strings.CutPrefix(op.Key, ReportPrefix)
	return ok && lease.CheckName(task) == nil && lease.IsPersistentPut(op, owner)
}

// sleep waits for d, or returns the error of ctx if that ends first.
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
