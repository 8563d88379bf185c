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

// QueueEntry is one in a task's queue as people see it.
type QueueEntry struct {
	Host        string `json:"host"`
	Token       uint64 `json:"token"`
	Holds       bool   `json:"holds"`
	TTLMillis   int64  `json:"ttl_ms"`
	Note        string `json:"note,omitempty"`
	AgeMillis   int64  `json:"age_ms"`            // since the copy showed it; -1: before this start
	Local       bool   `json:"here,omitempty"`    // it is this daemon's
	ValidMillis int64  `json:"left_ms,omitempty"` // of this daemon's entitlement, unless it is renewed
}

// TaskStatus is a task as people see it.
type TaskStatus struct {
	Task                string             `json:"task"`
	Slots               int                `json:"slots"`
	Override            lease.TaskOverride `json:"order"`
	Queue               []QueueEntry       `json:"places"`         // the holders first
	NoHolderReason      string             `json:"why,omitempty"`  // there is no holder
	LastReport          *ActionReport      `json:"last,omitempty"` // what it did last
	LastReportAgeMillis int64              `json:"last_age_ms"`    // since the copy showed that; -1: before this start
	LocalState          string             `json:"here,omitempty"` // what this daemon does about it
}

// List shows all tasks, or those of one name, as the store has them.
func (r *Runner) List(ctx context.Context, name string) ([]TaskStatus, error) {
	last, table := map[string]*ActionReport{}, lease.NewTable(lease.NoTableDefect)
	if _, err := r.store.View(ctx, false, func(s *store.State) {
		clear(last)
		table.Reset(s)
		s.Range(ReportPrefix, store.PrefixEnd(ReportPrefix), func(i store.Item) bool {
			var x ActionReport
			if json.Unmarshal(i.Value, &x) == nil {
				last[strings.TrimPrefix(i.Key, ReportPrefix)] = &x
			}
			return true
		})
	}); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	age := func(key string) int64 {
		if at, ok := r.firstSeen[key]; ok {
			return (now - at) / 1e6
		}
		return -1
	}
	names := map[string]bool{}
	for _, n := range table.Tasks() {
		names[n] = true
	}
	for n := range last {
		names[n] = true
	}
	for n := range r.running {
		names[n] = true
	}
	all := []TaskStatus{}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		if name != "" && n != name {
			continue
		}
		i := TaskStatus{Task: n, Slots: table.Slots(n), Queue: []QueueEntry{}, LastReport: last[n], LastReportAgeMillis: age(ReportPrefix + n)}
		i.Override, _ = table.Override(n)
		holders := 0
		for _, p := range table.Queue(n) {
			_, holds := table.Holds(n, p.Key)
			x := QueueEntry{Host: p.Host, Token: p.Token, Holds: holds && !i.Override.Pause, TTLMillis: p.TTLMillis, Note: p.Note, AgeMillis: age(p.Key)}
			if h := r.leases[p.Key]; h != nil {
				x.Local = true
				if until, err := h.validUntil(now); err == nil {
					x.ValidMillis = (until - now) / 1e6
				}
			}
			if x.Holds {
				holders++
			}
			i.Queue = append(i.Queue, x)
		}
		if l := r.running[n]; l != nil {
			i.LocalState = l.describe(now)
		}
		switch {
		case holders > 0:
		case table.Suspended():
			i.NoHolderReason = "the store was restored a moment ago"
		case i.Override.Pause:
			i.NoHolderReason = "it is paused"
			if i.Override.Operator != "" {
				i.NoHolderReason += " by " + i.Override.Operator
			}
		case len(i.Queue) == 0:
			i.NoHolderReason = "nobody wants it"
		}
		all = append(all, i)
	}
	return all, nil
}

// Holders are the daemons that hold a task, by this daemon's copy.
func (r *Runner) Holders(task string) (hosts []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.table.Queue(task) {
		if _, holds := r.table.Holds(task, p.Key); holds {
			hosts = append(hosts, p.Host)
		}
	}
	return hosts
}

// describe says what this daemon does about a task that it runs.
func (l *runningTask) describe(now int64) string {
	s := "waits"
	switch {
	case l.lease != nil:
		s = fmt.Sprintf("holds it, %d done, the last %v ago", l.completed, time.Duration(now-l.lastProgress).Round(time.Millisecond))
	case l.cooldownUntil > now:
		s = fmt.Sprintf("is held off for another %v", time.Duration(l.cooldownUntil-now).Round(time.Second))
	case l.ahead >= 0:
		s = fmt.Sprintf("waits, %d before it", l.ahead)
	}
	if l.lastErr != nil {
		s += ": " + l.lastErr.Error()
	}
	return s
}

// ErrTaskNotFound says that nothing is known of a task.
var ErrTaskNotFound = errors.New("no such task")

// SetOverride puts an operator's order on a task, in place of the one before; an empty one takes it away.
func (r *Runner) SetOverride(ctx context.Context, task string, o lease.TaskOverride) error {
	if err := lease.CheckName(task); err != nil {
		return fmt.Errorf("%q: %w", task, err)
	}
	if len(o.Note)+len(o.Operator)+len(o.PreferredHost) > 3*maxNoteBytes {
		return fmt.Errorf("the order has more than %d bytes", 3*maxNoteBytes)
	}
	op := store.Op{Key: lease.OverridePrefix + task, Delete: true}
	if o.Pause || o.PreferredHost != "" {
		b, err := json.Marshal(o)
		if err != nil {
			return err
		}
		op = store.Op{Key: op.Key, Value: b}
	}
	_, err := r.store.Do(ctx, store.Command{Txn: &store.Txn{Then: []store.Op{op},
		KeyLimits: []store.KeyLimit{{Prefix: lease.OverridePrefix, MaxKeys: lease.MaxTasks}}}})
	return err
}
