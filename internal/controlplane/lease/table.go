package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"birchmoor/internal/store"
)

// Table is the state of all tasks, built from the items and events of a copy of the store. It is as stale as that copy.
// It is not safe for concurrent use.
type Table struct {
	tasks      map[string]*taskQueue // by name of the task
	suspended  bool                  // SuspendKey exists
	defect     TableDefect
	renumbered map[string]uint64 // with RenumberTokens: tokens by the key of their queue entry
	cluster    uint64            // of the last complete copy; 0: there was none
}

// taskQueue is the queue of one task, with the task's configuration and override.
type taskQueue struct {
	entries          []QueueEntry // sorted by token
	config           TaskConfig
	override         TaskOverride
	overrideRevision uint64 // 0: there is no override
}

// TableDefect is a defect injected into a Table, so that a test can show that it is detected.
type TableDefect int

// Injected defects of a Table.
const (
	NoTableDefect       TableDefect = iota
	CountOwnEntriesOnly             // only entries of the same host count as ahead of an entry
	IgnoreQueueOrder                // every entry holds its task, whatever is ahead of it
	RenumberTokens                  // tokens are numbers that this process counts up, instead of revisions
)

// NewTable returns an empty Table.
func NewTable(defect TableDefect) *Table {
	return &Table{tasks: map[string]*taskQueue{}, defect: defect}
}

// Event applies a change of the copy of the store, and reports whether it is a change of a key of tasks.
func (t *Table) Event(e store.Event) bool {
	if !strings.HasPrefix(e.Item.Key, Prefix) {
		return false
	}
	t.apply(e.Item, e.Deleted)
	return true
}

// Reset replaces the contents of the table with those of a complete copy of the store.
func (t *Table) Reset(state *store.State) {
	clear(t.tasks)
	t.suspended = false
	t.cluster = state.Cluster()
	state.Range(Prefix, store.PrefixEnd(Prefix), func(item store.Item) bool {
		t.apply(item, false)
		return true
	})
}

// Cluster returns the ID of the cluster of the last complete copy, or 0 before the first one. Sessions and queue
// entries exist only in the cluster that created them.
func (t *Table) Cluster() uint64 { return t.cluster }

// apply updates the table with an item that was put or deleted.
func (t *Table) apply(item store.Item, deleted bool) {
	if item.Key == SuspendKey {
		t.suspended = !deleted
		return
	}
	if task, host, _, ok := ParseQueueEntryKey(item.Key); ok {
		t.queueOf(task).applyEntry(item, task, host, deleted)
		t.dropIfEmpty(task)
		return
	}
	if task, ok := strings.CutPrefix(item.Key, TaskConfigPrefix); ok && CheckName(task) == nil {
		t.queueOf(task).applyConfig(item, deleted)
		t.dropIfEmpty(task)
		return
	}
	if task, ok := strings.CutPrefix(item.Key, OverridePrefix); ok && CheckName(task) == nil {
		t.queueOf(task).applyOverride(item, deleted)
		t.dropIfEmpty(task)
	}
}

// applyEntry removes the entry with the item's key and, unless it was deleted, inserts it at its token.
func (q *taskQueue) applyEntry(item store.Item, task, host string, deleted bool) {
	q.entries = slices.DeleteFunc(q.entries, func(e QueueEntry) bool { return e.Key == item.Key })
	if deleted {
		return
	}
	entry := QueueEntry{Key: item.Key, Task: task, Host: host, Token: item.CreateRevision}
	_ = json.Unmarshal(item.Value, &entry.QueueRecord) // an entry keeps its position even if its value is invalid
	index, _ := slices.BinarySearchFunc(q.entries, entry.Token, func(e QueueEntry, token uint64) int {
		return cmp.Compare(e.Token, token)
	})
	q.entries = slices.Insert(q.entries, index, entry)
}

func (q *taskQueue) applyConfig(item store.Item, deleted bool) {
	q.config = TaskConfig{}
	if !deleted {
		_ = json.Unmarshal(item.Value, &q.config) // an invalid config counts as absent
	}
}

func (q *taskQueue) applyOverride(item store.Item, deleted bool) {
	q.override = TaskOverride{}
	q.overrideRevision = 0
	if deleted {
		return
	}
	q.overrideRevision = item.ModRevision
	if json.Unmarshal(item.Value, &q.override) != nil {
		q.override = TaskOverride{Pause: true} // an invalid override must not be ignored: it may be a pause
	}
}

// queueOf returns the queue of a task, and adds an empty one if the table has none.
func (t *Table) queueOf(task string) *taskQueue {
	q := t.tasks[task]
	if q == nil {
		q = &taskQueue{}
		t.tasks[task] = q
	}
	return q
}

// dropIfEmpty removes a task that has neither queue entries nor a config nor an override.
func (t *Table) dropIfEmpty(task string) {
	q := t.tasks[task]
	if q != nil && len(q.entries) == 0 && q.config == (TaskConfig{}) && q.overrideRevision == 0 {
		delete(t.tasks, task)
	}
}

// Find returns the queue entry with this key, and the number of entries ahead of it. ok is false if there is none.
func (t *Table) Find(task, key string) (entry QueueEntry, ahead int, ok bool) {
	q := t.tasks[task]
	if q == nil {
		return QueueEntry{}, 0, false
	}
	index := slices.IndexFunc(q.entries, func(e QueueEntry) bool { return e.Key == key })
	if index < 0 {
		return QueueEntry{}, 0, false
	}
	return q.entries[index], index, true
}

// Slots returns how many queue entries may hold a task at once, or 0 if the task has no config.
func (t *Table) Slots(task string) int {
	if q := t.tasks[task]; q != nil {
		return q.config.Slots
	}
	return 0
}

// Override returns the operator's override of a task and the revision of its last change, which is 0 if there is none.
func (t *Table) Override(task string) (TaskOverride, uint64) {
	if q := t.tasks[task]; q != nil {
		return q.override, q.overrideRevision
	}
	return TaskOverride{}, 0
}

// Suspended reports whether all tasks are suspended, because the store was recently restored from a snapshot.
func (t *Table) Suspended() bool { return t.suspended }

// Holds reports whether the queue entry with this key holds the task, and returns its fencing token. A stale copy may
// still have entries ahead that were deleted since, so the turn of an entry may be reported late, but never early.
// Holds ignores an operator's override; MustRelease tells the owner of an entry to release it for one.
func (t *Table) Holds(task, key string) (token uint64, ok bool) {
	entry, ahead, ok := t.Find(task, key)
	if !ok || t.suspended {
		return 0, false
	}
	token = entry.Token
	switch t.defect {
	case CountOwnEntriesOnly:
		ahead = t.ownEntriesAhead(entry)
	case IgnoreQueueOrder:
		ahead = 0
	case RenumberTokens:
		token = t.renumber(key)
	}
	return token, ahead < max(1, t.Slots(task))
}

// ownEntriesAhead counts the entries ahead of this one that belong to the same host.
func (t *Table) ownEntriesAhead(entry QueueEntry) int {
	ahead := 0
	for _, e := range t.tasks[entry.Task].entries {
		if e.Token < entry.Token && e.Host == entry.Host {
			ahead++
		}
	}
	return ahead
}

// renumber returns the token of the defect RenumberTokens for a queue entry.
func (t *Table) renumber(key string) uint64 {
	if t.renumbered == nil {
		t.renumbered = map[string]uint64{}
	}
	if t.renumbered[key] == 0 {
		t.renumbered[key] = uint64(len(t.renumbered)) + 1
	}
	return t.renumbered[key]
}

// MustRelease returns why the owner of the queue entry with this key must release it, whether the entry holds the task
// or waits: ErrPaused if the task is paused, ErrLost if the task is to go to a preferred host that has an entry behind
// this one. It returns nil if the entry may stay.
func (t *Table) MustRelease(task, key string) error {
	override, _ := t.Override(task)
	if override.Pause {
		return ErrPaused
	}
	if override.PreferredHost == "" {
		return nil
	}
	entry, _, ok := t.Find(task, key)
	if !ok || entry.Host == override.PreferredHost {
		return nil
	}
	for _, e := range t.tasks[task].entries {
		if e.Host == override.PreferredHost && e.Token > entry.Token {
			return fmt.Errorf("%w: an operator moved the task to %s", ErrLost, override.PreferredHost)
		}
	}
	return nil
}

// Tasks returns the names of all tasks in the table, sorted.
func (t *Table) Tasks() []string {
	names := make([]string, 0, len(t.tasks))
	for name := range t.tasks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Queue returns a copy of a task's queue in the order of tokens, so that holders come first.
func (t *Table) Queue(task string) []QueueEntry {
	if q := t.tasks[task]; q != nil {
		return slices.Clone(q.entries)
	}
	return nil
}

// EntriesOf returns the queue entries of one session of a host, over all tasks. The host uses it to find entries that
// it no longer needs and must delete.
func (t *Table) EntriesOf(host string, session uint64) []QueueEntry {
	var entries []QueueEntry
	for _, task := range t.Tasks() {
		for _, e := range t.tasks[task].entries {
			if e.Host == host && e.Session == session {
				entries = append(entries, e)
			}
		}
	}
	return entries
}
