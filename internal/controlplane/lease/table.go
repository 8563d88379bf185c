package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"birchmoor/internal/store"
)

// Table is the view of all tasks that a copy of the store gives. It is for one goroutine at a time.
type Table struct {
	tasks      map[string]*taskQueue
	suspended  bool // SuspendKey exists
	defect     TableDefect
	renumbered map[string]uint64 // tokens by key of the entry, with RenumberTokens
	cluster    uint64
}

// taskQueue is what is known of one task.
type taskQueue struct {
	entries          []QueueEntry // sorted by token
	config           TaskConfig
	override         TaskOverride
	overrideRevision uint64 // 0: there is no override
}

// TableDefect is a fault injected into a Table, so that a test can show that the fault is detected.
type TableDefect int

// The defects of a Table.
const (
	NoTableDefect       TableDefect = iota
	CountOwnEntriesOnly             // slots are counted among this daemon's own entries
	IgnoreQueueOrder                // every entry holds its task
	RenumberTokens                  // tokens are numbered anew by this process
)

// NewTable returns an empty table.
func NewTable(d TableDefect) *Table { return &Table{tasks: map[string]*taskQueue{}, defect: d} }

// Event applies a change of the copy, and reports whether it concerns tasks.
func (t *Table) Event(e store.Event) bool {
	if !strings.HasPrefix(e.Item.Key, Prefix) {
		return false
	}
	t.apply(e.Item, e.Deleted)
	return true
}

// Reset replaces the table's contents by those of a complete copy.
func (t *Table) Reset(s *store.State) {
	clear(t.tasks)
	t.suspended = false
	t.cluster = s.Cluster()
	s.Range(Prefix, store.PrefixEnd(Prefix), func(i store.Item) bool {
		t.apply(i, false)
		return true
	})
}

// Cluster identifies the cluster of the last complete copy: queue entries belong to the cluster in which they were
// created.
func (t *Table) Cluster() uint64 { return t.cluster }

// apply takes over an item that was put or deleted.
func (t *Table) apply(i store.Item, deleted bool) {
	if i.Key == SuspendKey {
		t.suspended = !deleted
		return
	}
	if task, host, _, ok := ParseQueueEntryKey(i.Key); ok {
		t.queueOf(task).applyEntry(i, task, host, deleted)
		t.dropIfEmpty(task)
		return
	}
	if task, ok := strings.CutPrefix(i.Key, TaskConfigPrefix); ok && CheckName(task) == nil {
		t.queueOf(task).applyConfig(i, deleted)
		t.dropIfEmpty(task)
		return
	}
	if task, ok := strings.CutPrefix(i.Key, OverridePrefix); ok && CheckName(task) == nil {
		t.queueOf(task).applyOverride(i, deleted)
		t.dropIfEmpty(task)
	}
}

// applyEntry removes the entry with the item's key and, unless it was deleted, inserts it at its token.
func (q *taskQueue) applyEntry(i store.Item, task, host string, deleted bool) {
	q.entries = slices.DeleteFunc(q.entries, func(e QueueEntry) bool { return e.Key == i.Key })
	if deleted {
		return
	}
	entry := QueueEntry{Key: i.Key, Task: task, Host: host, Token: i.CreateRevision}
	_ = json.Unmarshal(i.Value, &entry.QueueRecord) // an entry keeps its rank whatever its value says
	at, _ := slices.BinarySearchFunc(q.entries, entry.Token, func(e QueueEntry, token uint64) int {
		return cmp.Compare(e.Token, token)
	})
	q.entries = slices.Insert(q.entries, at, entry)
}

func (q *taskQueue) applyConfig(i store.Item, deleted bool) {
	q.config = TaskConfig{}
	if !deleted {
		_ = json.Unmarshal(i.Value, &q.config) // one that cannot be read counts as absent
	}
}

func (q *taskQueue) applyOverride(i store.Item, deleted bool) {
	q.override = TaskOverride{}
	q.overrideRevision = 0
	if deleted {
		return
	}
	q.overrideRevision = i.ModRevision
	if json.Unmarshal(i.Value, &q.override) != nil {
		q.override = TaskOverride{Pause: true} // an override that cannot be read must not be ignored
	}
}

// queueOf returns the queue of a task, a new one if the task is not known.
func (t *Table) queueOf(task string) *taskQueue {
	q := t.tasks[task]
	if q == nil {
		q = &taskQueue{}
		t.tasks[task] = q
	}
	return q
}

// dropIfEmpty forgets a task of which nothing is stored.
func (t *Table) dropIfEmpty(task string) {
	q := t.tasks[task]
	if q != nil && len(q.entries) == 0 && q.config == (TaskConfig{}) && q.overrideRevision == 0 {
		delete(t.tasks, task)
	}
}

// Find returns the entry with this key, and how many are ahead of it in the queue.
func (t *Table) Find(task, key string) (entry QueueEntry, ahead int, ok bool) {
	q := t.tasks[task]
	if q == nil {
		return QueueEntry{}, 0, false
	}
	at := slices.IndexFunc(q.entries, func(e QueueEntry) bool { return e.Key == key })
	if at < 0 {
		return QueueEntry{}, 0, false
	}
	return q.entries[at], at, true
}

// Slots is how many may hold a task at once; 0: it has no config.
func (t *Table) Slots(task string) int {
	if q := t.tasks[task]; q != nil {
		return q.config.Slots
	}
	return 0
}

// Override returns the operators' override of a task and its revision; 0: there is none.
func (t *Table) Override(task string) (TaskOverride, uint64) {
	if q := t.tasks[task]; q != nil {
		return q.override, q.overrideRevision
	}
	return TaskOverride{}, 0
}

// Suspended reports whether all tasks are suspended, because the store was restored a moment ago.
func (t *Table) Suspended() bool { return t.suspended }

// Holds reports whether the entry holds its task, and its fencing token. A stale copy shows too few holders, never
// too many. It does not consider operators' overrides: these make a holder release.
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

// ownEntriesAhead counts the entries of the same host ahead of this one.
func (t *Table) ownEntriesAhead(entry QueueEntry) int {
	ahead := 0
	for _, e := range t.tasks[entry.Task].entries {
		if e.Token < entry.Token && e.Host == entry.Host {
			ahead++
		}
	}
	return ahead
}

// renumber returns a token that this process counts by itself.
func (t *Table) renumber(key string) uint64 {
	if t.renumbered == nil {
		t.renumbered = map[string]uint64{}
	}
	if t.renumbered[key] == 0 {
		t.renumbered[key] = uint64(len(t.renumbered)) + 1
	}
	return t.renumbered[key]
}

// MustRelease returns why the owner of this entry must release it, whether it holds the task or waits: ErrPaused if
// the task is paused, ErrLost if it is handed over to a host that waits behind the entry.
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
			return fmt.Errorf("%w: it is handed over to %s", ErrLost, override.PreferredHost)
		}
	}
	return nil
}

// Tasks returns the names of all known tasks, sorted.
func (t *Table) Tasks() []string {
	names := make([]string, 0, len(t.tasks))
	for name := range t.tasks {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Queue returns a copy of a task's queue, holders first.
func (t *Table) Queue(task string) []QueueEntry {
	if q := t.tasks[task]; q != nil {
		return slices.Clone(q.entries)
	}
	return nil
}

// EntriesOf returns the queue entries of one of a host's sessions, so that the host can delete those it has no use
// for.
func (t *Table) EntriesOf(host string, session uint64) []QueueEntry {
	var own []QueueEntry
	for _, task := range t.Tasks() {
		for _, e := range t.tasks[task].entries {
			if e.Host == host && e.Session == session {
				own = append(own, e)
			}
		}
	}
	return own
}
