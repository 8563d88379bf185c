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

// New settings may take effect by a rollout, in steps of a plan. The store holds the plan and its settings, from which
// each daemon derives whether it runs the new settings; during a step every daemon reports how many requests of its
// clients were served. One daemon drives the plan: the lease holder of RolloutTask, see rolloutdriver.go.
const (
	// RolloutTask is the task whose lease holder drives the plan of a rollout.
	RolloutTask = "rollout"
	// FleetTask is the task whose lease holder sweeps expired reports. Every daemon enters its queue, so that the queue
	// entries list the daemons of the fleet.
	FleetTask = "sweep"

	minReportInterval = 250 * time.Millisecond
	reportsPerSettle  = 4 // reports of a daemon within the settling time of a step
)

// Errors of rollouts.
var (
	ErrRolloutRunning = errors.New("a rollout of other settings is running")
	ErrNoRollout      = errors.New("no rollout is running") // or there never was one
	ErrPlanChanged    = errors.New("the plan of the rollout was changed in the meantime")
)

// ReportKey returns the key of a daemon's report on the progress of a rollout.
func ReportKey(host string) string { return reportPrefix + host }

// Allowed reports whether a follower's daemon, the owner, may make an operation: it may write its own report on the
// progress of a rollout.
func Allowed(op store.Op, owner string) bool {
	return op.Key == ReportKey(owner) && lease.IsPersistentPut(op, owner)
}

// AnswerCounter returns how many requests a sidecar has served since its start, and how many it has rejected or failed.
type AnswerCounter func() (served, notServed uint64, err error)

// answerCounts holds the numbers that an AnswerCounter returned.
type answerCounts struct {
	served, notServed uint64
}

// since returns the increase over a baseline. A count below its baseline is that of a restarted sidecar, which counts
// from zero, and is returned as it is.
func (c answerCounts) since(baseline answerCounts) answerCounts {
	return answerCounts{
		served:    c.served - min(c.served, baseline.served),
		notServed: c.notServed - min(c.notServed, baseline.notServed),
	}
}

// planStep identifies a step of a plan by the ID of the plan and the index of the step.
type planStep struct {
	planID uint64
	step   int
}

// rolloutState is this daemon's part in a rollout. The lock of Settings guards it.
type rolloutState struct {
	plan          rollout.Plan
	planRevision  uint64 // 0: there is no plan
	settings      json.RawMessage
	answerCounter AnswerCounter // nil where no sidecar runs

	lastReport   rollout.Report // the latest that was written
	reportedAt   time.Time
	baseline     answerCounts // counts at this daemon's first report on baselineStep
	baselineStep planStep

	observedRevision uint64    // revision of the plan that this daemon last read as its driver
	observedAt       time.Time // when it first read that revision
}

// reportDue reports whether this daemon has not reported on the running step yet, or not for the report interval.
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

// SetAnswerCounter sets the function that counts the answers of this daemon's sidecar. Without it reports count none.
func (s *Settings) SetAnswerCounter(counter AnswerCounter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollout.answerCounter = counter
}

// applyPlanItem applies a change of the plan or its settings. It notifies the sidecar if the plan now selects this
// daemon or selects it no longer. The caller holds the lock.
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

// resetPlan applies the plan and its settings from a new copy. The caller holds the lock.
func (s *Settings) resetPlan(state *store.State) {
	for _, key := range []string{keyPlanSettings, keyPlan} {
		i, ok := state.Get(key)
		i.Key = key
		s.applyPlanItem(i, !ok)
	}
}

// reportProgress writes this daemon's report on the current step of a rollout, if it is due: the answers to its clients
// since the step began, and what is wrong with the settings if the plan selects this daemon.
func (s *Settings) reportProgress(ctx context.Context) {
	s.mu.Lock()
	due, plan, settings, counter := s.rollout.reportDue(), s.rollout.plan, s.rollout.settings, s.rollout.answerCounter
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
			s.log.Warn("cannot read the answer counts of the sidecar; no rollout report is written", "error", err)
			return
		}
		counts := s.answersSinceStepBegan(planStep{plan.ID, plan.Step}, answerCounts{served, notServed})
		report.Served, report.Unserved = counts.served, counts.notServed
	}
	if err := s.writeReport(ctx, report); err != nil {
		return // the next tick tries again
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollout.lastReport, s.rollout.reportedAt = report, time.Now()
}

// answersSinceStepBegan returns the increase of the counts since the first call for a step.
func (s *Settings) answersSinceStepBegan(step planStep, counts answerCounts) answerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rollout.baselineStep != step {
		s.rollout.baselineStep, s.rollout.baseline = step, counts
	}
	return counts.since(s.rollout.baseline)
}

// writeReport writes a report unless the plan has changed in the meantime.
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

// StartRollout has every replica check settings, and writes a plan to roll them out in steps. Each step is judged after
// the settling time. ErrRolloutRunning says that another rollout is running.
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

// finishedPlanRevision returns the revision of the latest plan, which has ended, or 0 if there never was one. If it has
// not ended the error is ErrRolloutRunning.
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

// CancelRollout ends the running rollout, so that all daemons return to the settings from before it. The plan's reason
// names the operator. ErrNoRollout says that no rollout is running.
func (s *Settings) CancelRollout(ctx context.Context, operator string) error {
	plan, revision, err := s.Plan(ctx)
	if err != nil {
		return err
	}
	if plan.State != rollout.Running {
		return ErrNoRollout
	}
	plan.State, plan.Reason = rollout.RolledBack, "called off by "+operator
	return s.replacePlan(ctx, &plan, revision, nil, func(ctx context.Context, txn store.Txn) (store.Result, error) {
		return s.store.Do(ctx, store.Command{Txn: &txn})
	})
}
