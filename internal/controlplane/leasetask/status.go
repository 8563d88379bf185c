package leasetask

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
	"birchmoor/internal/store"
)

// ErrTaskNotFound says that there is no task with the given name: the store has nothing about it, and this daemon does
// not run it.
var ErrTaskNotFound = errors.New("no such task")

// QueueEntryStatus is an entry in a task's queue, in the form that operators see.
type QueueEntryStatus struct {
	Host        string `json:"host"`
	Token       uint64 `json:"token"`
	Holds       bool   `json:"holds"`  // whether the entry holds the task
	TTLMillis   int64  `json:"ttl_ms"` // of the entry's session
	Note        string `json:"note,omitempty"`
	AgeMillis   int64  `json:"age_ms"`            // since an event of this daemon's copy created it; -1: no event has
	Local       bool   `json:"here,omitempty"`    // the entry belongs to this daemon
	ValidMillis int64  `json:"left_ms,omitempty"` // for how long this daemon's lease is valid without a renewal
}

// TaskStatus is the status of a task, in the form that operators see.
type TaskStatus struct {
	Task                string             `json:"task"`
	Slots               int                `json:"slots"` // 0: the task has no config
	Override            lease.TaskOverride `json:"order"`
	Queue               []QueueEntryStatus `json:"places"`         // holders first
	NoHolderReason      string             `json:"why,omitempty"`  // empty: it has a holder, or the reason is unknown
	LastReport          *ActionReport      `json:"last,omitempty"` // nil: no report is stored
	LastReportAgeMillis int64              `json:"last_age_ms"`    // since an event put it; -1: no event has
	LocalState          string             `json:"here,omitempty"` // what this daemon does with a task that it runs
}

// List returns the status of the task with this name, or of all tasks if name is empty. It reads the store, not this
// daemon's copy. The tasks that this daemon runs are included even if the store has nothing about them.
func (r *Runner) List(ctx context.Context, name string) ([]TaskStatus, error) {
	reports, table, err := r.readTasks(ctx)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	names := map[string]bool{}
	for _, task := range table.Tasks() {
		names[task] = true
	}
	for task := range reports {
		names[task] = true
	}
	for task := range r.running {
		names[task] = true
	}
	statuses := []TaskStatus{}
	for _, task := range slices.Sorted(maps.Keys(names)) {
		if name == "" || task == name {
			statuses = append(statuses, r.status(task, table, reports[task]))
		}
	}
	return statuses, nil
}

// readTasks reads all tasks, and their reports by name of the task, from the store.
func (r *Runner) readTasks(ctx context.Context) (map[string]*ActionReport, *lease.Table, error) {
	reports := map[string]*ActionReport{}
	table := lease.NewTable(lease.NoTableDefect)
	_, err := r.store.View(ctx, false, func(s *store.State) {
		clear(reports)
		table.Reset(s)
		s.Range(ReportPrefix, store.PrefixEnd(ReportPrefix), func(i store.Item) bool {
			var report ActionReport
			if json.Unmarshal(i.Value, &report) == nil {
				reports[strings.TrimPrefix(i.Key, ReportPrefix)] = &report
			}
			return true
		})
	})
	return reports, table, err
}

// status returns the status of one task of table. report is its stored report, or nil. The lock must be held.
func (r *Runner) status(task string, table *lease.Table, report *ActionReport) TaskStatus {
	now := r.cfg.Clock.Now()
	s := TaskStatus{
		Task:                task,
		Slots:               table.Slots(task),
		Queue:               []QueueEntryStatus{},
		LastReport:          report,
		LastReportAgeMillis: r.ageMillis(now, ReportPrefix+task),
	}
	s.Override, _ = table.Override(task)
	holders := 0
	for _, entry := range table.Queue(task) {
		entryStatus := r.queueEntryStatus(now, entry)
		_, holds := table.Holds(task, entry.Key)
		entryStatus.Holds = holds && !s.Override.Pause
		if entryStatus.Holds {
			holders++
		}
		s.Queue = append(s.Queue, entryStatus)
	}
	if holders == 0 {
		s.NoHolderReason = noHolderReason(s, table.Suspended())
	}
	if t := r.running[task]; t != nil {
		s.LocalState = t.describe(now)
	}
	return s
}

// queueEntryStatus returns an entry in the form that operators see, with Holds unset. The lock must be held.
func (r *Runner) queueEntryStatus(now int64, entry lease.QueueEntry) QueueEntryStatus {
	entryStatus := QueueEntryStatus{
		Host:      entry.Host,
		Token:     entry.Token,
		TTLMillis: entry.TTLMillis,
		Note:      entry.Note,
		AgeMillis: r.ageMillis(now, entry.Key),
	}
	l := r.leases[entry.Key]
	if l == nil {
		return entryStatus
	}
	entryStatus.Local = true
	if until, err := l.validUntil(now); err == nil {
		entryStatus.ValidMillis = (until - now) / int64(time.Millisecond)
	}
	return entryStatus
}

// ageMillis returns the milliseconds since an event of this daemon's copy created or last changed a key, or -1 if no
// event has since the Runner was created. The lock must be held.
func (r *Runner) ageMillis(now int64, key string) int64 {
	since, ok := r.updatedAt[key]
	if !ok {
		return -1
	}
	return (now - since) / int64(time.Millisecond)
}

// noHolderReason returns why a task has no holder, or an empty string if that is unknown.
func noHolderReason(s TaskStatus, suspended bool) string {
	switch {
	case suspended:
		return "the store was recently restored from a snapshot"
	case s.Override.Pause && s.Override.Operator != "":
		return "it is paused by " + s.Override.Operator
	case s.Override.Pause:
		return "it is paused"
	case len(s.Queue) == 0:
		return "its queue is empty"
	}
	return ""
}

// Holders returns the hosts that hold a task according to this daemon's copy of the store, in the order of the queue.
// It ignores an operator's override.
func (r *Runner) Holders(task string) (hosts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.table.Queue(task) {
		if _, holds := r.table.Holds(task, entry.Key); holds {
			hosts = append(hosts, entry.Host)
		}
	}
	return hosts
}

// describe returns what this daemon does with a task that it runs, for operators. The Runner's lock must be held.
func (t *runningTask) describe(now int64) string {
	state := "waits"
	switch {
	case t.lease != nil:
		idle := time.Duration(now - t.lastProgress).Round(time.Millisecond)
		state = fmt.Sprintf("holds it, %d actions succeeded, last progress %v ago", t.completed, idle)
	case t.cooldownUntil > now:
		left := time.Duration(t.cooldownUntil - now).Round(time.Second)
		state = fmt.Sprintf("cools down for another %v", left)
	case t.ahead >= 0:
		state = fmt.Sprintf("waits, %d queue entries must leave first", t.ahead)
	}
	if t.lastErr != nil {
		state += ": " + t.lastErr.Error()
	}
	return state
}
