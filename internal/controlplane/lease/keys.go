package lease

import (
	"strings"

	"birchmoor/internal/store"
)

// Keys of tasks in the store.
const (
	Prefix           = "task/"
	QueuePrefix      = "task/place/" // TASK/HOST/NONCE: a QueueRecord
	TaskConfigPrefix = "task/conf/"  // TASK: a TaskConfig
	OverridePrefix   = "task/order/" // TASK: a TaskOverride
	SuspendKey       = "task/hold"   // suspends all tasks while it exists, after the store was restored from a backup
)

// Limits of what the store keeps of tasks.
const (
	MaxTasks        = 1024
	MaxQueueEntries = 2048 // of one task
	MaxValueBytes   = 4096 // of a queue entry
	MinTTLMillis    = store.MinOwnedTTLMillis
	MaxTTLMillis    = store.MaxOwnedTTLMillis
	MaxSlots        = 256
)

// TaskConfig is what all claimants of a task must agree on.
type TaskConfig struct {
	Slots int `json:"slots"` // how many may hold it at once
}

// TaskOverride is an operator's override of a task.
type TaskOverride struct {
	Pause         bool   `json:"pause,omitempty"` // no one is to hold it
	PreferredHost string `json:"host,omitempty"`  // entries before this host's first are to requeue behind it
	Operator      string `json:"by,omitempty"`
	Note          string `json:"note,omitempty"`
}

// QueueRecord is the stored value of a queue entry.
type QueueRecord struct {
	Session   uint64 `json:"session"`
	TTLMillis int64  `json:"ttl_ms"`
	Note      string `json:"note,omitempty"` // what the task is held for
}

// QueueEntry is an entry in a task's queue.
type QueueEntry struct {
	QueueRecord
	Key   string
	Task  string
	Host  string
	Token uint64 // fencing token: the revision at which the entry was created
}

// QueueEntryKey is the key of a host's queue entry; each acquisition has a nonce of its own.
func QueueEntryKey(task, host, nonce string) string {
	return QueuePrefix + task + "/" + host + "/" + nonce
}

// ParseQueueEntryKey splits the key of a queue entry into its parts.
func ParseQueueEntryKey(key string) (task, host, nonce string, ok bool) {
	rest, ok := strings.CutPrefix(key, QueuePrefix)
	parts := strings.Split(rest, "/")
	if !ok || len(parts) != 3 || CheckName(parts[0]) != nil || parts[1] == "" || parts[2] == "" {
		return "", "", "", false
	}
	return parts[0], parts[1], parts[2], true
}

// Allowed reports whether a daemon may make this change of the store on its own: of its queue entries, which expire
// with its session, and of the config of a task.
func Allowed(op store.Op, owner string) bool {
	if _, host, _, ok := ParseQueueEntryKey(op.Key); ok {
		return host == owner && (op.Delete || op.LeaseID != 0 && len(op.Value) <= MaxValueBytes)
	}
	task, ok := strings.CutPrefix(op.Key, TaskConfigPrefix)
	return ok && CheckName(task) == nil && IsPersistentPut(op, owner)
}

// IsPersistentPut reports whether a daemon puts a short value that is not bound to a lease.
func IsPersistentPut(op store.Op, owner string) bool {
	return owner != "" && !op.Delete && op.LeaseID == 0 && len(op.Value) <= MaxValueBytes
}
