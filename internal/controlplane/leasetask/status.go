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

// ErrTaskNotFound says that nothing is known of a task.
var ErrTaskNotFound = errors.New("no such task")

// QueueEntry is an entry in a task's queue as operators see it.
type QueueEntry struct {
	Host        string `json:"host"`
	Token       uint64 `json:"token"`
	Holds       bool   `json:"holds"`
	TTLMillis   int64  `json:"ttl_ms"`
	Note        string `json:"note,omitempty"`
	AgeMillis   int64  `json:"age_ms"`            // since the copy first showed it; -1: since before this start
	Local       bool   `json:"here,omitempty"`    // it is this daemon's
	ValidMillis int64  `json:"left_ms,omitempty"` // that this daemon's lease is still valid, unless it is renewed
}

// TaskStatus is a task as operators see it.
type TaskStatus struct {
	Task                string             `json:"task"`
	Slots               int                `json:"slots"`
	Override            lease.TaskOverride `json:"order"`
	Queue               []QueueEntry       `json:"places"` // holders first
	NoHolderReason      string             `json:"why,omitempty"`
	LastReport          *ActionReport      `json:"last,omitempty"`
	LastReportAgeMillis int64              `json:"last_age_ms"`    // as QueueEntry.AgeMillis
	LocalState          string             `json:"here,omitempty"` // what this daemon does about the task
}

// List returns the status of all tasks, or of the one with this name, as the store has them.
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
	all := []TaskStatus{}
	for _, task := range slices.Sorted(maps.Keys(names)) {
		if name == "" || task == name {
			all = append(all, r.status(task, table, reports[task]))
		}
	}
	return all, nil
}

// readTasks reads the tasks and their reports from the store.
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

// status returns the status of one task. The lock must be held.
func (r *Runner) status(task string, table *lease.Table, report *ActionReport) TaskStatus {
	now := r.cfg.Clock.Now()
	s := TaskStatus{
		Task:                task,
		Slots:               table.Slots(task),
		Queue:               []QueueEntry{},
		LastReport:          report,
		LastReportAgeMillis: r.ageMillis(now, ReportPrefix+task),
	}
	s.Override, _ = table.Override(task)
	holders := 0
	for _, entry := range table.Queue(task) {
		shown := r.queueEntry(now, entry)
		_, holds := table.Holds(task, entry.Key)
		shown.Holds = holds && !s.Override.Pause
		if shown.Holds {
			holders++
		}
		s.Queue = append(s.Queue, shown)
	}
	if holders == 0 {
		s.NoHolderReason = noHolderReason(s, table.Suspended())
	}
	if t := r.running[task]; t != nil {
		s.LocalState = t.describe(now)
	}
	return s
}

// queueEntry returns an entry as operators see it, but for whether it holds the task. The lock must be held.
func (r *Runner) queueEntry(now int64, entry lease.QueueEntry) QueueEntry {
	shown := QueueEntry{
		Host:      entry.Host,
		Token:     entry.Token,
		TTLMillis: entry.TTLMillis,
		Note:      entry.Note,
		AgeMillis: r.ageMillis(now, entry.Key),
	}
	l := r.leases[entry.Key]
	if l == nil {
		return shown
	}
	shown.Local = true
	if until, err := l.validUntil(now); err == nil {
		shown.ValidMillis = (until - now) / int64(time.Millisecond)
	}
	return shown
}

// ageMillis is how long ago the copy first showed a key; -1: before this start. The lock must be held.
func (r *Runner) ageMillis(now int64, key string) int64 {
	since, ok := r.firstSeen[key]
	if !ok {
		return -1
	}
	return (now - since) / int64(time.Millisecond)
}

// noHolderReason says why a task without a holder has none.
func noHolderReason(s TaskStatus, suspended bool) string {
	switch {
	case suspended:
		return "the store was restored a moment ago"
	case s.Override.Pause && s.Override.Operator != "":
		return "it is paused by " + s.Override.Operator
	case s.Override.Pause:
		return "it is paused"
	case len(s.Queue) == 0:
		return "nobody wants it"
	}
	return ""
}

// Holders returns the hosts that hold a task, as this daemon's copy of the store shows it.
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

// describe says what this daemon does about a task that it runs. The Runner's lock must be held.
func (t *runningTask) describe(now int64) string {
	state := "waits"
	switch {
	case t.lease != nil:
		idle := time.Duration(now - t.lastProgress).Round(time.Millisecond)
		state = fmt.Sprintf("holds it, %d done, the last %v ago", t.completed, idle)
	case t.cooldownUntil > now:
		left := time.Duration(t.cooldownUntil - now).Round(time.Second)
		state = fmt.Sprintf("is held off for another %v", left)
	case t.ahead >= 0:
		state = fmt.Sprintf("waits, %d before it", t.ahead)
	}
	if t.lastErr != nil {
		state += ": " + t.lastErr.Error()
	}
	return state
}
