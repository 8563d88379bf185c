package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/rollout"
	"birchmoor/internal/store"
)

// Settings may come in force in steps. The plan and its settings are keys of the store; each daemon finds by them whether it runs the
// new settings, and tells how its clients are answered. One daemon drives: the holder of the task RolloutTask, whose every change of
// the plan is conditional on its place and on the plan that it judged. After its loss the next goes on where the plan stands, and lets
// the step settle anew.
const (
	keyPlan         = "config/plan"
	keyPlanSettings = "config/stepped" // the plan's settings
	reportPrefix    = "config/report/" // HOST

	// RolloutTask is the task of driving a plan.
	RolloutTask = "rollout"
	// FleetTask is the task that every daemon takes part in: who has a place in its queue is there.
	FleetTask = "sweep"

	minReportInterval = 250 * time.Millisecond // at least; a quarter of the settling time otherwise
)

// Errors of plans.
var (
	ErrRolloutRunning = errors.New("other settings are coming in force in steps")
	ErrNoRollout      = errors.New("no settings are coming in force in steps")
)

// ReportKey is where a daemon tells how a plan goes with it.
func ReportKey(host string) string { return reportPrefix + host }

// Allowed says whether an operation is a daemon's own to make: its report of how a plan goes with it.
func Allowed(op store.Op, owner string) bool {
	return op.Key == ReportKey(owner) && lease.IsPersistentPut(op, owner)
}

// AnswerCounter are what a sidecar's clients were answered since its start: served, or refused and failed.
type AnswerCounter func() (served, not uint64, err error)

// rolloutState is this daemon's part in a plan.
type rolloutState struct {
	plan         rollout.Plan
	planRevision uint64 // its revision; 0: there is none
	settings     json.RawMessage
	answers      AnswerCounter

	lastReport   rollout.Report // last
	reportedAt   time.Time
	baseline     [2]uint64 // figures when this daemon came to the step
	baselineStep [2]uint64 // the plan and step of base

	observedRevision uint64 // the revision of the plan that this daemon, if it drives, first saw
	observedAt       time.Time
}

// SetAnswerCounter gives what tells the answers of this daemon's sidecar.
func (x *Settings) SetAnswerCounter(f AnswerCounter) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.rollout.answers = f
}

// applyPlanItem takes a change of the plan's keys, and has the sidecar read its settings anew if they are others. The lock is held.
func (x *Settings) applyPlanItem(i store.Item, deleted bool) {
	was := x.rollout.plan.RunsOn(x.name)
	switch i.Key {
	case keyPlan:
		x.rollout.plan, x.rollout.planRevision = rollout.Plan{}, 0
		if !deleted && json.Unmarshal(i.Value, &x.rollout.plan) == nil {
			x.rollout.planRevision = i.ModRevision
		}
	case keyPlanSettings:
		if x.rollout.settings = nil; !deleted {
			x.rollout.settings = i.Value
		}
	default:
		return
	}
	if was != x.rollout.plan.RunsOn(x.name) {
		x.notifyReload()
	}
	x.wakeUp()
}

// resetPlan takes the plan of a whole copy. The lock is held.
func (x *Settings) resetPlan(s *store.State) {
	for _, key := range []string{keyPlanSettings, keyPlan} {
		i, there := s.Get(key)
		i.Key = key
		x.applyPlanItem(i, !there)
	}
}

// reportProgress tells how the plan goes here, if there is one.
func (x *Settings) reportProgress(ctx context.Context) {
	x.mu.Lock()
	st := &x.rollout
	plan, text, figures := st.plan, st.settings, st.answers
	every := max(minReportInterval, time.Duration(plan.SettleMillis)*time.Millisecond/4)
	due := st.lastReport.PlanID != plan.ID || st.lastReport.Step != plan.Step || time.Since(st.reportedAt) >= every
	x.mu.Unlock()
	if plan.State != rollout.Running || plan.Step < 0 || !due {
		return
	}
	r := rollout.Report{PlanID: plan.ID, Step: plan.Step}
	if plan.RunsOn(x.name) && x.check != nil && text != nil {
		if err := x.check(text); err != nil {
			r.Error = err.Error()
		}
	}
	if figures != nil {
		served, not, err := figures()
		if err != nil {
			x.log.Warn("how settings do here is not known", "error", err)
			return
		}
		x.mu.Lock()
		if at := [2]uint64{plan.ID, uint64(plan.Step)}; st.baselineStep != at {
			st.baselineStep, st.baseline = at, [2]uint64{served, not}
		}
		r.Served, r.Unserved = served-min(served, st.baseline[0]), not-min(not, st.baseline[1]) // a sidecar that began anew counts from nothing
		x.mu.Unlock()
	}
	b, err := json.Marshal(r)
	if err != nil {
		return
	}
	wait, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if _, err := x.store.Do(wait, store.Command{Txn: &store.Txn{Owner: x.name, If: []store.Compare{{Key: keyPlan, ModRevision: x.planRevision()}},
		Then: []store.Op{{Key: ReportKey(x.name), Value: b}}}}); err != nil {
		return // it is told again
	}
	x.mu.Lock()
	st.lastReport, st.reportedAt = r, time.Now()
	x.mu.Unlock()
}

func (x *Settings) planRevision() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.rollout.planRevision
}

// StartRollout has settings checked by every replica, and come in force in steps.
func (x *Settings) StartRollout(ctx context.Context, settings json.RawMessage, steps []rollout.Step, settle time.Duration, note string) (rollout.Plan, error) {
	p := rollout.Plan{State: rollout.Running, Steps: steps, SettleMillis: settle.Milliseconds(), Step: -1, Operator: x.name, Note: note}
	if err := p.Validate(); err != nil {
		return p, err
	}
	set, err := x.finishedPlanRevision(ctx)
	if err != nil {
		return p, err
	}
	id, err := x.proposeCandidate(ctx, settings)
	if err != nil {
		return p, err
	}
	p.ID = id
	b, err := json.Marshal(p)
	if err != nil {
		return p, err
	}
	r, err := x.store.Do(ctx, store.Command{Txn: &store.Txn{If: []store.Compare{{Key: keyCandidate, ModRevision: id}, {Key: keyPlan, ModRevision: set}},
		Then: []store.Op{{Key: keyPlan, Value: b}, {Key: keyPlanSettings, Value: settings}, {Key: keyCandidate, Delete: true},
			{Key: reportPrefix, Delete: true, RangeEnd: store.PrefixEnd(reportPrefix)}, {Key: verdictPrefix, Delete: true, RangeEnd: store.PrefixEnd(verdictPrefix)}}}})
	if err == nil && !r.Succeeded {
		err = ErrRolloutRunning
	}
	return p, err
}

// finishedPlanRevision is the revision of a plan that has ended, 0 if there never was one, and an error if one is running.
func (x *Settings) finishedPlanRevision(ctx context.Context) (set uint64, err error) {
	p, set, err := x.Plan(ctx)
	if errors.Is(err, ErrNoRollout) {
		return set, nil
	}
	if err == nil && p.State == rollout.Running {
		err = ErrRolloutRunning
	}
	return set, err
}

// Plan is the newest plan and its revision. That there never was one is ErrNoPlan.
func (x *Settings) Plan(ctx context.Context) (p rollout.Plan, set uint64, err error) {
	var bad error = ErrNoRollout
	_, err = x.store.View(ctx, false, func(s *store.State) {
		p, set, bad = rollout.Plan{}, 0, ErrNoRollout
		if i, there := s.Get(keyPlan); there {
			set, bad = i.ModRevision, json.Unmarshal(i.Value, &p)
		}
	})
	return p, set, errors.Join(err, bad)
}

// CancelRollout takes a running plan back.
func (x *Settings) CancelRollout(ctx context.Context, by string) error {
	p, set, err := x.Plan(ctx)
	if err == nil && p.State != rollout.Running {
		err = ErrNoRollout
	}
	if err != nil {
		return err
	}
	p.State, p.Reason = rollout.RolledBack, "called off by "+by
	return x.replacePlan(ctx, &p, set, nil, func(ctx context.Context, t store.Txn) (store.Result, error) {
		return x.store.Do(ctx, store.Command{Txn: &t})
	})
}

// replacePlan writes a plan in the place of the one with a revision.
func (x *Settings) replacePlan(ctx context.Context, p *rollout.Plan, set uint64, more []store.Op, do func(context.Context, store.Txn) (store.Result, error)) error {
	b, err := json.Marshal(p)
	if err != nil {
		return err
	}
	ops := append([]store.Op{{Key: keyPlan, Value: b}}, more...)
	if p.State != rollout.Running {
		ops = append(ops, store.Op{Key: keyPlanSettings, Delete: true}, store.Op{Key: reportPrefix, Delete: true, RangeEnd: store.PrefixEnd(reportPrefix)})
	}
	r, err := do(ctx, store.Txn{If: []store.Compare{{Key: keyPlan, ModRevision: set}}, Then: ops})
	if err == nil && !r.Succeeded {
		err = ErrExcludedAgain
	}
	return err
}

// AdvanceRollout takes the plan a step further, or back, if it is time. do makes a transaction that takes effect only while this daemon
// holds RolloutTask, with that token.
func (x *Settings) AdvanceRollout(ctx context.Context, token uint64, do func(context.Context, store.Txn) (store.Result, error)) error {
	var p rollout.Plan
	var set, next uint64
	var text json.RawMessage
	var old store.Item
	var bad error
	reports, fleet := map[string]rollout.Report{}, map[string]bool{}
	if _, err := x.store.View(ctx, false, func(s *store.State) {
		p, set, bad, text = rollout.Plan{}, 0, nil, nil
		clear(reports)
		clear(fleet)
		i, there := s.Get(keyPlan)
		if !there {
			return
		}
		if set, bad = i.ModRevision, json.Unmarshal(i.Value, &p); bad != nil || p.State != rollout.Running {
			return // a follower's copy has not what others report: it is read while there is a plan
		}
		if i, there := s.Get(keyPlanSettings); there {
			text = i.Value
		}
		s.Range(reportPrefix, store.PrefixEnd(reportPrefix), func(i store.Item) bool {
			var r rollout.Report
			if json.Unmarshal(i.Value, &r) == nil {
				reports[strings.TrimPrefix(i.Key, reportPrefix)] = r
			}
			return true
		})
		places := lease.QueuePrefix + FleetTask + "/"
		s.Range(places, store.PrefixEnd(places), func(i store.Item) bool {
			if _, host, _, ok := lease.ParseQueueEntryKey(i.Key); ok {
				fleet[host] = true
			}
			return true
		})
		next, old = nextVersion(s)
	}); err != nil || bad != nil || set == 0 || p.State != rollout.Running {
		return errors.Join(err, bad)
	}
	now := time.Now()
	x.mu.Lock()
	if x.rollout.observedRevision != set {
		x.rollout.observedRevision, x.rollout.observedAt = set, now
	}
	settled := now.Sub(x.rollout.observedAt)
	x.mu.Unlock()
	var all []string
	for host := range fleet {
		all = append(all, host)
	}
	verdict, why := rollout.Advance, ""
	if p.Step >= 0 {
		verdict, why = p.Evaluate(settled.Milliseconds(), all, reports)
	}
	p.Token = token
	switch {
	case verdict == rollout.Wait:
		return nil
	case verdict == rollout.RollBack:
		p.State, p.Reason = rollout.RolledBack, fmt.Sprintf("step %v: %s", p.Steps[p.Step], why)
		x.log.Warn("settings are taken back", "step", p.Steps[p.Step], "why", why)
		return x.replacePlan(ctx, &p, set, nil, do)
	case p.Step < len(p.Steps)-1:
		p.Step++
		p.Hosts, p.Reason = rollout.SelectHosts(p.Steps[p.Step], all, p.ID), why
		x.log.Info("settings go a step further", "step", p.Steps[p.Step], "daemons", len(p.Hosts), "because", why)
		return x.replacePlan(ctx, &p, set, nil, do)
	}
	p.State, p.Reason = rollout.Completed, why
	v := Version{Version: next, Settings: text, By: p.Operator, Note: p.Note, At: time.Now().UTC().Truncate(time.Second)}
	ops, err := v.commitOps()
	if err != nil {
		return err
	}
	return x.replacePlan(ctx, &p, set, ops, func(ctx context.Context, t store.Txn) (store.Result, error) {
		t.If = append(t.If, store.Compare{Key: keyCurrent, ModRevision: old.ModRevision})
		return do(ctx, t)
	})
}
