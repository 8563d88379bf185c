package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/rollout"
	"birchmoor/internal/store"
)

// Settings may take effect by a rollout, in steps. The plan and its settings are keys of the store, by which each
// daemon finds whether it runs the new settings; it then reports how its clients are answered. One daemon drives the
// plan: the lease holder of RolloutTask, see rolloutdriver.go.
const (
	// RolloutTask is the task of driving a plan.
	RolloutTask = "rollout"
	// FleetTask is the task of sweeping, whose queue every daemon enters: its entries are the daemons there are.
	FleetTask = "sweep"

	minReportInterval = 250 * time.Millisecond
	reportsPerSettle  = 4 // reports within the time in which a step settles
)

// Errors of rollouts.
var (
	ErrRolloutRunning = errors.New("a rollout of other settings is running")
	ErrNoRollout      = errors.New("no rollout is running")
	ErrPlanChanged    = errors.New("the plan of the rollout was changed in the meantime")
)

// ReportKey is the key of a daemon's report on the progress of a rollout.
func ReportKey(host string) string { return reportPrefix + host }

// Allowed reports whether an operation is a daemon's own to make: its report on the progress of a rollout.
func Allowed(op store.Op, owner string) bool {
	return op.Key == ReportKey(owner) && lease.IsPersistentPut(op, owner)
}

// AnswerCounter returns the numbers of answers to a sidecar's clients since its start: served, and rejected or failed.
type AnswerCounter func() (served, notServed uint64, err error)

// answerCounts are the results of an AnswerCounter.
type answerCounts struct {
	served, notServed uint64
}

// since returns the answers after base. A sidecar that was restarted since counts from zero.
func (c answerCounts) since(base answerCounts) answerCounts {
	return answerCounts{
		served:    c.served - min(c.served, base.served),
		notServed: c.notServed - min(c.notServed, base.notServed),
	}
}

// planStep identifies a step of a plan.
type planStep struct {
	plan uint64
	step int
}

// rolloutState is this daemon's part in a rollout. The lock of Settings guards it.
type rolloutState struct {
	plan         rollout.Plan
	planRevision uint64 // 0: there is no plan
	settings     json.RawMessage
	answers      AnswerCounter // nil where no sidecar runs

	lastReport   rollout.Report
	reportedAt   time.Time
	baseline     answerCounts // when this daemon came to baselineStep
	baselineStep planStep

	observedRevision uint64 // latest revision of the plan that this daemon observed as its driver
	observedAt       time.Time
}

// reportDue reports whether the step has no report of this daemon yet, or one that is too old.
func (r *rolloutState) reportDue() bool {
	if r.plan.State != rollout.Running || r.plan.Step < 0 {
		return false
	}
	if r.lastReport.PlanID != r.plan.ID || r.lastReport.Step != r.plan.Step {
		return true
	}
	settle := time.Duration(r.plan.SettleMillis) * time.Millisecond
	return time.Since(r.reportedAt) >= max(minReportInterval, settle/reportsPerSettle)
}

// SetAnswerCounter sets what counts the answers of this daemon's sidecar.
func (s *Settings) SetAnswerCounter(counter AnswerCounter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollout.answers = counter
}

// applyPlanItem applies a change of the plan or its settings, and notifies the sidecar if other settings are in effect
// now. The lock is held.
func (s *Settings) applyPlanItem(i store.Item, deleted bool) {
	selectedBefore := s.rollout.plan.RunsOn(s.name)
	switch i.Key {
	case keyPlan:
		s.rollout.plan, s.rollout.planRevision = rollout.Plan{}, 0
		if !deleted && json.Unmarshal(i.Value, &s.rollout.plan) == nil {
			s.rollout.planRevision = i.ModRevision
		}
	case keyPlanSettings:
		s.rollout.settings = nil
		if !deleted {
			s.rollout.settings = i.Value
		}
	default:
		return
	}
	if selectedBefore != s.rollout.plan.RunsOn(s.name) {
		s.notifyReload()
	}
	s.wakeUp()
}

// resetPlan applies the plan of a new copy. The lock is held.
func (s *Settings) resetPlan(state *store.State) {
	for _, key := range []string{keyPlanSettings, keyPlan} {
		i, ok := state.Get(key)
		i.Key = key
		s.applyPlanItem(i, !ok)
	}
}

// reportProgress reports how this daemon's clients are answered at the current step of a rollout, if a report is due.
func (s *Settings) reportProgress(ctx context.Context) {
	s.mu.Lock()
	due, plan, settings, counter := s.rollout.reportDue(), s.rollout.plan, s.rollout.settings, s.rollout.answers
	s.mu.Unlock()
	if !due {
		return
	}
	report := rollout.Report{PlanID: plan.ID, Step: plan.Step}
	if plan.RunsOn(s.name) && s.check != nil && settings != nil {
		if err := s.check(settings); err != nil {
			report.Error = err.Error()
		}
	}
	if counter != nil {
		served, notServed, err := counter()
		if err != nil {
			s.log.Warn("cannot count the answers of the sidecar for a rollout", "error", err)
			return
		}
		counts := s.answersOfStep(planStep{plan.ID, plan.Step}, answerCounts{served, notServed})
		report.Served, report.Unserved = counts.served, counts.notServed
	}
	if err := s.writeReport(ctx, report); err != nil {
		return // the next tick tries again
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollout.lastReport, s.rollout.reportedAt = report, time.Now()
}

// answersOfStep returns the answers since this daemon came to a step.
func (s *Settings) answersOfStep(step planStep, now answerCounts) answerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout.baselineStep != step {
		s.rollout.baselineStep, s.rollout.baseline = step, now
	}
	return now.since(s.rollout.baseline)
}

func (s *Settings) writeReport(ctx context.Context, report rollout.Report) error {
	value, err := json.Marshal(report)
	if err != nil {
		return fmt.Errorf("encode a report on a rollout: %w", err)
	}
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = s.store.Do(writeCtx, store.Command{Txn: &store.Txn{
		Owner: s.name,
		If:    []store.Compare{{Key: keyPlan, ModRevision: s.planRevision()}},
		Then:  []store.Op{{Key: ReportKey(s.name), Value: value}},
	}})
	return err
}

func (s *Settings) planRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollout.planRevision
}

// StartRollout has settings checked by every replica, and starts a rollout of them. Each step settles for a time before
// it is judged. ErrRolloutRunning says that another rollout is running.
func (s *Settings) StartRollout(ctx context.Context, settings json.RawMessage, steps []rollout.Step,
	settle time.Duration, note string) (rollout.Plan, error) {
	plan := rollout.Plan{
		State:        rollout.Running,
		Steps:        steps,
		SettleMillis: settle.Milliseconds(),
		Step:         -1,
		Operator:     s.name,
		Note:         note,
	}
	if err := plan.Validate(); err != nil {
		return plan, err
	}
	planRevision, err := s.finishedPlanRevision(ctx)
	if err != nil {
		return plan, err
	}
	plan.ID, err = s.proposeCandidate(ctx, settings)
	if err != nil {
		return plan, err
	}
	value, err := json.Marshal(plan)
	if err != nil {
		return plan, fmt.Errorf("encode a plan: %w", err)
	}
	result, err := s.store.Do(ctx, store.Command{Txn: &store.Txn{
		If: []store.Compare{
			{Key: keyCandidate, ModRevision: plan.ID},
			{Key: keyPlan, ModRevision: planRevision},
		},
		Then: []store.Op{
			{Key: keyPlan, Value: value},
			{Key: keyPlanSettings, Value: settings},
			{Key: keyCandidate, Delete: true},
			deletePrefix(reportPrefix),
			deletePrefix(verdictPrefix),
		},
	}})
	if err == nil && !result.Succeeded {
		err = ErrRolloutRunning
	}
	return plan, err
}

// finishedPlanRevision returns the revision of the plan that has ended, 0 if there never was one, or ErrRolloutRunning.
func (s *Settings) finishedPlanRevision(ctx context.Context) (uint64, error) {
	plan, revision, err := s.Plan(ctx)
	switch {
	case errors.Is(err, ErrNoRollout):
		return revision, nil
	case err != nil:
		return revision, err
	case plan.State == rollout.Running:
		return revision, ErrRolloutRunning
	}
	return revision, nil
}

// Plan returns the latest plan and its revision. ErrNoRollout says that there never was one.
func (s *Settings) Plan(ctx context.Context) (plan rollout.Plan, revision uint64, err error) {
	planErr := ErrNoRollout
	_, err = s.store.View(ctx, false, func(state *store.State) {
		plan, revision, planErr = rollout.Plan{}, 0, ErrNoRollout
		if i, ok := state.Get(keyPlan); ok {
			revision, planErr = i.ModRevision, json.Unmarshal(i.Value, &plan)
		}
	})
	return plan, revision, errors.Join(err, planErr)
}

// CancelRollout ends the running rollout, so that all daemons run the settings from before it. ErrNoRollout says that
// none is running.
func (s *Settings) CancelRollout(ctx context.Context, by string) error {
	plan, revision, err := s.Plan(ctx)
	if err != nil {
		return err
	}
	if plan.State != rollout.Running {
		return ErrNoRollout
	}
	plan.State, plan.Reason = rollout.RolledBack, "called off by "+by
	return s.replacePlan(ctx, &plan, revision, nil, func(ctx context.Context, txn store.Txn) (store.Result, error) {
		return s.store.Do(ctx, store.Command{Txn: &txn})
	})
}
