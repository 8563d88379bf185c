package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"birchmoor/internal/store"
)

// Keys of tasks.
const (
	Prefix           = "task/"
	QueuePrefix      = "task/place/" // TASK/HOST/NONCE: a place in a task's queue
	TaskConfigPrefix = "task/conf/"  // TASK: Conf
	OverridePrefix   = "task/order/" // TASK: Order, of operators
	SuspendKey       = "task/hold"   // while it is there nobody is entitled: the store was restored a moment ago
)

// Bounds of what the store keeps.
const (
	MaxTasks        = 1024
	MaxQueueEntries = 2048                    // of one task
	MaxValueBytes   = 4096                    // bytes of a place's value
	MinTTLMillis    = store.MinOwnedTTLMillis // milliseconds of a session
	MaxTTLMillis    = store.MaxOwnedTTLMillis
	MaxSlots        = 256
)

// TaskConfig is what all who want a task must agree on.
type TaskConfig struct {
	Slots int `json:"slots"` // that hold it at once
}

// TaskOverride is an operator's word on a task.
type TaskOverride struct {
	Pause         bool   `json:"pause,omitempty"` // nobody is to hold it
	PreferredHost string `json:"host,omitempty"`  // those before its first place are to go behind it
	Operator      string `json:"by,omitempty"`
	Note          string `json:"note,omitempty"`
}

// QueueRecord is the value of a place.
type QueueRecord struct {
	Session   uint64 `json:"session"`
	TTLMillis int64  `json:"ttl_ms"`
	Note      string `json:"note,omitempty"` // what it is for
}

// QueueEntry is one in a task's queue.
type QueueEntry struct {
	QueueRecord
	Key   string
	Task  string
	Host  string
	Token uint64 // the revision at which it was put
}

// QueueEntryKey is the key of a host's place; the nonce is of one try alone.
func QueueEntryKey(task, host, nonce string) string {
	return QueuePrefix + task + "/" + host + "/" + nonce
}

// ParseQueueEntryKey reads the key of a place.
func ParseQueueEntryKey(key string) (task, host, nonce string, ok bool) {
	rest, ok := strings.CutPrefix(key, QueuePrefix)
	parts := strings.Split(rest, "/")
	if !ok || len(parts) != 3 || CheckName(parts[0]) != nil || parts[1] == "" || parts[2] == "" {
		return "", "", "", false
	}
	return parts[0], parts[1], parts[2], true
}

// Table is what a copy of the store shows of tasks. It is for one goroutine at a time.
type Table struct {
	tasks      map[string]*taskQueue
	suspended  bool // HoldKey is there
	defect     TableDefect
	renumbered map[string]uint64 // with ForgetTokens
	cluster    uint64
}

type taskQueue struct {
	entries          []QueueEntry // by token
	config           TaskConfig
	override         TaskOverride
	overrideRevision uint64 // the revision of the order; 0: there is none
}

// TableDefect is a fault of a Table.
type TableDefect int

// The faults.
const (
	NoTableDefect       TableDefect = iota
	CountOwnEntriesOnly             // permits are counted among this daemon's own places
	IgnoreQueueOrder                // whoever has a place may act
	RenumberTokens                  // the token is not the place's, but counted anew by this process
)

// NewTable returns an empty one.
func NewTable(p TableDefect) *Table { return &Table{tasks: map[string]*taskQueue{}, defect: p} }

// queueOf is a task's queue.
func (t *Table) queueOf(task string) *taskQueue {
	q := t.tasks[task]
	if q == nil {
		q = &taskQueue{}
		t.tasks[task] = q
	}
	return q
}

// Event takes a change that the copy shows, and says whether it is of tasks.
func (t *Table) Event(e store.Event) bool {
	if !strings.HasPrefix(e.Item.Key, Prefix) {
		return false
	}
	t.apply(e.Item, e.Deleted)
	return true
}

// Reset takes a whole copy. Cluster is told apart: places are of the one in which they were put.
func (t *Table) Reset(s *store.State) {
	clear(t.tasks)
	t.suspended, t.cluster = false, s.Cluster()
	s.Range(Prefix, store.PrefixEnd(Prefix), func(i store.Item) bool { t.apply(i, false); return true })
}

// Cluster is that of the last whole copy.
func (t *Table) Cluster() uint64 { return t.cluster }

func (t *Table) apply(i store.Item, deleted bool) {
	key := i.Key
	if key == SuspendKey {
		t.suspended = !deleted
		return
	}
	if task, host, _, ok := ParseQueueEntryKey(key); ok {
		q := t.queueOf(task)
		at := slices.IndexFunc(q.entries, func(p QueueEntry) bool { return p.Key == key })
		if at >= 0 {
			q.entries = slices.Delete(q.entries, at, at+1)
		}
		if !deleted {
			p := QueueEntry{Key: key, Task: task, Host: host, Token: i.CreateRevision}
			_ = json.Unmarshal(i.Value, &p.QueueRecord) // a place holds its rank whatever its value says
			at, _ := slices.BinarySearchFunc(q.entries, p.Token, func(x QueueEntry, token uint64) int { return cmp.Compare(x.Token, token) })
			q.entries = slices.Insert(q.entries, at, p)
		}
		t.dropIfEmpty(task)
		return
	}
	for _, x := range []struct {
		prefix string
		do     func(q *taskQueue)
	}{
		{TaskConfigPrefix, func(q *taskQueue) {
			if q.config = (TaskConfig{}); !deleted {
				_ = json.Unmarshal(i.Value, &q.config)
			}
		}},
		{OverridePrefix, func(q *taskQueue) {
			if q.override, q.overrideRevision = (TaskOverride{}), 0; !deleted {
				q.overrideRevision = i.ModRevision
				if json.Unmarshal(i.Value, &q.override) != nil {
					q.override = TaskOverride{Pause: true} // what cannot be read stops the task rather than nothing
				}
			}
		}},
	} {
		if task, ok := strings.CutPrefix(key, x.prefix); ok && CheckName(task) == nil {
			x.do(t.queueOf(task))
			t.dropIfEmpty(task)
		}
	}
}

// dropIfEmpty drops a task of which nothing is known.
func (t *Table) dropIfEmpty(task string) {
	if q := t.tasks[task]; q != nil && len(q.entries) == 0 && q.config == (TaskConfig{}) && q.overrideRevision == 0 {
		delete(t.tasks, task)
	}
}

// Find returns a place that the copy shows, and how many are before it.
func (t *Table) Find(task, key string) (p QueueEntry, before int, ok bool) {
	q := t.tasks[task]
	if q == nil {
		return QueueEntry{}, 0, false
	}
	at := slices.IndexFunc(q.entries, func(p QueueEntry) bool { return p.Key == key })
	if at < 0 {
		return QueueEntry{}, 0, false
	}
	return q.entries[at], at, true
}

// Slots is how many hold a task at once; 0: nobody has said.
func (t *Table) Slots(task string) int {
	if q := t.tasks[task]; q != nil {
		return q.config.Slots
	}
	return 0
}

// Override is the operators' word on a task, and its revision; 0: there is none.
func (t *Table) Override(task string) (TaskOverride, uint64) {
	if q := t.tasks[task]; q != nil {
		return q.override, q.overrideRevision
	}
	return TaskOverride{}, 0
}

// Suspended says whether nobody may act, since the store was restored a moment ago.
func (t *Table) Suspended() bool { return t.suspended }

// Holds says whether the place is among those that hold its task, by this copy: with an old copy too few, never too many. The
// order of operators is not asked: it has a holder release.
func (t *Table) Holds(task, key string) (token uint64, ok bool) {
	p, before, ok := t.Find(task, key)
	if !ok || t.suspended {
		return 0, false
	}
	switch t.defect {
	case CountOwnEntriesOnly:
		before = 0
		for _, x := range t.tasks[task].entries {
			if x.Token < p.Token && x.Host == p.Host {
				before++
			}
		}
	case IgnoreQueueOrder:
		before = 0
	}
	if t.defect == RenumberTokens {
		if t.renumbered == nil {
			t.renumbered = map[string]uint64{}
		}
		if t.renumbered[key] == 0 {
			t.renumbered[key] = uint64(len(t.renumbered)) + 1
		}
		p.Token = t.renumbered[key]
	}
	return p.Token, before < max(1, t.Slots(task))
}

// MustRelease says whether a holder of this place is to release it, or one who waits to leave: the task is paused, or given to a host
// that waits behind it.
func (t *Table) MustRelease(task, key string) error {
	o, _ := t.Override(task)
	if o.Pause {
		return ErrPaused
	}
	if o.PreferredHost == "" {
		return nil
	}
	p, _, ok := t.Find(task, key)
	if !ok || p.Host == o.PreferredHost {
		return nil
	}
	for _, x := range t.tasks[task].entries {
		if x.Host == o.PreferredHost && x.Token > p.Token {
			return fmt.Errorf("%w: it is given to %s", ErrLost, o.PreferredHost)
		}
	}
	return nil
}

// Tasks lists the names of all tasks that the copy knows.
func (t *Table) Tasks() []string {
	names := make([]string, 0, len(t.tasks))
	for n := range t.tasks {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Queue lists a task's, first the holders.
func (t *Table) Queue(task string) []QueueEntry {
	if q := t.tasks[task]; q != nil {
		return slices.Clone(q.entries)
	}
	return nil
}

// EntriesOf lists the places of a host's sessions: what the host has no use for any more it takes away.
func (t *Table) EntriesOf(host string, session uint64) []QueueEntry {
	var own []QueueEntry
	for _, task := range t.Tasks() {
		for _, p := range t.tasks[task].entries {
			if p.Host == host && p.Session == session {
				own = append(own, p)
			}
		}
	}
	return own
}

// Allowed says whether an operation is a daemon's own part in tasks: its places, which go with its lease, and how many may hold a task.
func Allowed(op store.Op, owner string) bool {
	if _, host, _, ok := ParseQueueEntryKey(op.Key); ok {
		return host == owner && (op.Delete || op.LeaseID != 0 && len(op.Value) <= MaxValueBytes)
	}
	task, ok := strings.CutPrefix(op.Key, TaskConfigPrefix)
	return ok && CheckName(task) == nil && IsPersistentPut(op, owner)
}

// IsPersistentPut says whether an operation puts, in a daemon's name, what stays and is short.
func IsPersistentPut(op store.Op, owner string) bool {
	return owner != "" && !op.Delete && op.LeaseID == 0 && len(op.Value) <= MaxValueBytes
}
