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

// The driver of a rollout changes the plan only on the conditions that it still holds the lease of RolloutTask and that
// the plan is the one that it judged. If the driver fails, the next lease holder continues with the plan as it is, and
// waits for the whole settling time of the current step again.

// txnFunc executes a transaction that takes effect only while this daemon may change the plan.
type txnFunc func(context.Context, store.Txn) (store.Result, error)

// rolloutView is what a driver reads from the store to judge a plan.
type rolloutView struct {
	plan         rollout.Plan
	planRevision uint64 // 0: there is no plan
	settings     json.RawMessage
	reports      map[string]rollout.Report // by daemon
	fleet        map[string]bool           // the daemons that are running
	nextVersion  uint64                    // of the settings
	current      store.Item                // the settings in effect without the rollout
}

// readRollout reads all that a driver needs to judge the running plan. If the plan has ended it reads only the plan: at
// a follower, whose copy does not hold the rest, a replica would have to send it at each call.
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

// progressReports returns the daemons' reports on the progress of the rollout, by daemon.
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

// fleetMembers returns the daemons with a queue entry of FleetTask, which every running daemon has.
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

// AdvanceRollout judges the current step of the running plan. It then waits, begins the next step, commits the settings
// after the last step, or rolls them back. doTxn executes a transaction that takes effect only while this daemon holds
// the lease of RolloutTask with the fencing token. Without a running rollout AdvanceRollout does nothing.
func (s *Settings) AdvanceRollout(ctx context.Context, token uint64,
	doTxn func(context.Context, store.Txn) (store.Result, error)) error {
	view, err := s.readRollout(ctx)
	if err != nil || view.planRevision == 0 || view.plan.State != rollout.Running {
		return err
	}
	plan := &view.plan
	settlingTime := s.timeSinceObserved(view.planRevision)
	fleet := slices.Collect(maps.Keys(view.fleet))
	decision, reason := rollout.Advance, ""
	if plan.Step >= 0 {
		decision, reason = plan.Evaluate(settlingTime.Milliseconds(), fleet, view.reports)
	}
	plan.Token = token
	switch {
	case decision == rollout.Wait:
		return nil
	case decision == rollout.RollBack:
		plan.State, plan.Reason = rollout.RolledBack, fmt.Sprintf("step %v: %s", plan.Steps[plan.Step], reason)
		s.log.Warn("rollout failed: rolling back the settings", "step", plan.Steps[plan.Step], "why", reason)
		return s.replacePlan(ctx, plan, view.planRevision, nil, doTxn)
	case plan.Step < len(plan.Steps)-1:
		plan.Step++
		plan.Hosts, plan.Reason = rollout.SelectHosts(plan.Steps[plan.Step], fleet, plan.ID), reason
		s.log.Info("rollout advances to the next step",
			"step", plan.Steps[plan.Step], "daemons", len(plan.Hosts), "why", reason)
		return s.replacePlan(ctx, plan, view.planRevision, nil, doTxn)
	}
	plan.State, plan.Reason = rollout.Completed, reason
	return s.commitRollout(ctx, &view, doTxn)
}

// timeSinceObserved returns how long ago this daemon first read a revision of the plan as its driver.
func (s *Settings) timeSinceObserved(planRevision uint64) time.Duration {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout.observedRevision != planRevision {
		s.rollout.observedRevision, s.rollout.observedAt = planRevision, now
	}
	return now.Sub(s.rollout.observedAt)
}

// commitRollout commits the settings of a plan that has succeeded as the next version, unless other settings were
// committed in the meantime.
func (s *Settings) commitRollout(ctx context.Context, view *rolloutView, doTxn txnFunc) error {
	plan := &view.plan
	ops, err := newVersion(view.nextVersion, view.settings, plan.Operator, plan.Note).commitOps()
	if err != nil {
		return err
	}
	unlessChanged := store.Compare{Key: keyCurrent, ModRevision: view.current.ModRevision}
	doUnlessChanged := func(ctx context.Context, txn store.Txn) (store.Result, error) {
		txn.If = append(txn.If, unlessChanged)
		return doTxn(ctx, txn)
	}
	return s.replacePlan(ctx, plan, view.planRevision, ops, doUnlessChanged)
}

// replacePlan replaces the plan of a revision, together with otherOps. If the new plan has ended, it also deletes the
// settings and the reports of the rollout. ErrPlanChanged says that a condition of the transaction failed, such as that
// the plan still has that revision.
func (s *Settings) replacePlan(ctx context.Context, plan *rollout.Plan, revision uint64, otherOps []store.Op,
	doTxn txnFunc) error {
	value, err := json.Marshal(plan)
	if err != nil {
		return fmt.Errorf("encode a plan: %w", err)
	}
	ops := append([]store.Op{{Key: keyPlan, Value: value}}, otherOps...)
	if plan.State != rollout.Running {
		ops = append(ops, store.Op{Key: keyPlanSettings, Delete: true}, deletePrefix(reportPrefix))
	}
	result, err := doTxn(ctx, store.Txn{If: []store.Compare{{Key: keyPlan, ModRevision: revision}}, Then: ops})
	if err == nil && !result.Succeeded {
		err = ErrPlanChanged
	}
	return err
}
