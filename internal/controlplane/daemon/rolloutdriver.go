package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/rollout"
	"birchmoor/internal/store"
)

// The driver of a rollout makes every change of the plan on condition that it still holds RolloutTask and that the plan
// is the one it judged. If it is lost, the next holder continues with the plan as it is, and lets the step settle
// again.

// txnFunc makes a transaction.
type txnFunc func(context.Context, store.Txn) (store.Result, error)

// rolloutView is what a driver reads from the store to judge a plan.
type rolloutView struct {
	plan         rollout.Plan
	planRevision uint64 // 0: there is no plan
	settings     json.RawMessage
	reports      map[string]rollout.Report // by daemon
	fleet        map[string]bool           // daemons
	nextVersion  uint64
	current      store.Item
}

// readRollout reads everything of the running plan. Of one that has ended it reads only the plan, since a follower's
// copy holds the rest only while it reads it.
func (s *Settings) readRollout(ctx context.Context) (rolloutView, error) {
	var view rolloutView
	var decodeErr error
	_, err := s.store.View(ctx, false, func(state *store.State) {
		view, decodeErr = rolloutView{}, nil
		i, ok := state.Get(keyPlan)
		if !ok {
			return
		}
		view.planRevision = i.ModRevision
		decodeErr = json.Unmarshal(i.Value, &view.plan)
		if decodeErr != nil || view.plan.State != rollout.Running {
			return
		}
		if i, ok := state.Get(keyPlanSettings); ok {
			view.settings = i.Value
		}
		view.reports = progressReports(state)
		view.fleet = fleetMembers(state)
		view.nextVersion, view.current = nextVersion(state)
	})
	return view, errors.Join(err, decodeErr)
}

func progressReports(state *store.State) map[string]rollout.Report {
	reports := map[string]rollout.Report{}
	state.Range(reportPrefix, store.PrefixEnd(reportPrefix), func(i store.Item) bool {
		var r rollout.Report
		if json.Unmarshal(i.Value, &r) == nil {
			reports[strings.TrimPrefix(i.Key, reportPrefix)] = r
		}
		return true
	})
	return reports
}

// fleetMembers returns the daemons with an entry in the queue of FleetTask.
func fleetMembers(state *store.State) map[string]bool {
	fleet := map[string]bool{}
	queue := lease.QueuePrefix + FleetTask + "/"
	state.Range(queue, store.PrefixEnd(queue), func(i store.Item) bool {
		if _, host, _, ok := lease.ParseQueueEntryKey(i.Key); ok {
			fleet[host] = true
		}
		return true
	})
	return fleet
}

// AdvanceRollout judges the current step of the running plan and, if it is time, goes on to the next step or takes the
// settings back. do makes a transaction that takes effect only while this daemon holds RolloutTask with the fencing
// token.
func (s *Settings) AdvanceRollout(ctx context.Context, token uint64,
	do func(context.Context, store.Txn) (store.Result, error)) error {
	view, err := s.readRollout(ctx)
	if err != nil || view.planRevision == 0 || view.plan.State != rollout.Running {
		return err
	}
	plan := &view.plan
	settled := s.timeSinceObserved(view.planRevision)
	fleet := slices.Collect(maps.Keys(view.fleet))
	decision, why := rollout.Advance, ""
	if plan.Step >= 0 {
		decision, why = plan.Evaluate(settled.Milliseconds(), fleet, view.reports)
	}
	plan.Token = token
	switch {
	case decision == rollout.Wait:
		return nil
	case decision == rollout.RollBack:
		plan.State, plan.Reason = rollout.RolledBack, fmt.Sprintf("step %v: %s", plan.Steps[plan.Step], why)
		s.log.Warn("rollout failed: settings are rolled back", "step", plan.Steps[plan.Step], "why", why)
		return s.replacePlan(ctx, plan, view.planRevision, nil, do)
	case plan.Step < len(plan.Steps)-1:
		plan.Step++
		plan.Hosts, plan.Reason = rollout.SelectHosts(plan.Steps[plan.Step], fleet, plan.ID), why
		s.log.Info("rollout advances", "step", plan.Steps[plan.Step], "daemons", len(plan.Hosts), "why", why)
		return s.replacePlan(ctx, plan, view.planRevision, nil, do)
	}
	plan.State, plan.Reason = rollout.Completed, why
	return s.commitRollout(ctx, &view, do)
}

// timeSinceObserved returns for how long this daemon has observed a revision of the plan as its driver.
func (s *Settings) timeSinceObserved(planRevision uint64) time.Duration {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout.observedRevision != planRevision {
		s.rollout.observedRevision, s.rollout.observedAt = planRevision, now
	}
	return now.Sub(s.rollout.observedAt)
}

// commitRollout makes the settings of a plan that has succeeded the next version.
func (s *Settings) commitRollout(ctx context.Context, view *rolloutView, do txnFunc) error {
	plan := &view.plan
	ops, err := newVersion(view.nextVersion, view.settings, plan.Operator, plan.Note).commitOps()
	if err != nil {
		return err
	}
	unlessChanged := store.Compare{Key: keyCurrent, ModRevision: view.current.ModRevision}
	doUnlessChanged := func(ctx context.Context, txn store.Txn) (store.Result, error) {
		txn.If = append(txn.If, unlessChanged)
		return do(ctx, txn)
	}
	return s.replacePlan(ctx, plan, view.planRevision, ops, doUnlessChanged)
}

// replacePlan writes a plan in place of the one with a revision, together with other operations. ErrPlanChanged says
// that the plan is not of that revision any more.
func (s *Settings) replacePlan(ctx context.Context, plan *rollout.Plan, revision uint64, more []store.Op,
	do txnFunc) error {
	value, err := json.Marshal(plan)
	if err != nil {
		return fmt.Errorf("encode a plan: %w", err)
	}
	ops := append([]store.Op{{Key: keyPlan, Value: value}}, more...)
	if plan.State != rollout.Running {
		ops = append(ops, store.Op{Key: keyPlanSettings, Delete: true}, deletePrefix(reportPrefix))
	}
	result, err := do(ctx, store.Txn{If: []store.Compare{{Key: keyPlan, ModRevision: revision}}, Then: ops})
	if err == nil && !result.Succeeded {
		err = ErrPlanChanged
	}
	return err
}
