package lease

import (
	"strings"

	"birchmoor/internal/store"
)

// Keys of tasks in the store. A restore from a snapshot creates SuspendKey for MaxTTLMillis, so that all leases granted
// before the restore have expired when the first task is held again.
const (
	Prefix           = "task/"
	QueuePrefix      = "task/place/" // TASK/HOST/NONCE follows; the value is a QueueRecord
	TaskConfigPrefix = "task/conf/"  // TASK follows; the value is a TaskConfig
	OverridePrefix   = "task/order/" // TASK follows; the value is a TaskOverride
	SuspendKey       = "task/hold"   // while this key exists, no task has a holder
)

// Limits on tasks and on what the store keeps about them.
const (
	MaxTasks        = 1024
	MaxQueueEntries = 2048 // in the queue of one task
	MaxValueBytes   = 4096 // in a value that a daemon stores on its own
	MinTTLMillis    = store.MinOwnedTTLMillis
	MaxTTLMillis    = store.MaxOwnedTTLMillis
	MaxSlots        = 256 // of one task
)

// TaskConfig is the configuration of a task, on which all claims of the task must agree. The first claim creates it.
type TaskConfig struct {
	Slots int `json:"slots"` // how many queue entries may hold the task at once
}

// TaskOverride is an operator's override of a task. The zero TaskOverride changes nothing.
type TaskOverride struct {
	Pause         bool   `json:"pause,omitempty"` // holders must release the task, and no host may acquire it
	PreferredHost string `json:"host,omitempty"`  // other hosts' entries ahead of an entry of this host must requeue
	Operator      string `json:"by,omitempty"`    // who set the override
	Note          string `json:"note,omitempty"`
}

// QueueRecord is the stored value of a queue entry.
type QueueRecord struct {
	Session   uint64 `json:"session"`        // ID of the session to which the entry is bound
	TTLMillis int64  `json:"ttl_ms"`         // TTL of that session
	Note      string `json:"note,omitempty"` // shown to operators: what the host holds the task for
}

// QueueEntry is an entry in a task's queue, with the parts of its key.
type QueueEntry struct {
	QueueRecord
	Key   string
	Task  string
	Host  string
	Token uint64 // fencing token: the revision at which the entry was created
}

// QueueEntryKey returns the key of a host's entry in the queue of a task. Each entry needs a nonce of its own,
// because a host may have several entries in one queue.
func QueueEntryKey(task, host, nonce string) string {
	return QueuePrefix + task + "/" + host + "/" + nonce
}

// ParseQueueEntryKey splits the key of a queue entry into its parts. ok is false if the key is not one of a queue
// entry.
func ParseQueueEntryKey(key string) (task, host, nonce string, ok bool) {
	rest, ok := strings.CutPrefix(key, QueuePrefix)
	parts := strings.Split(rest, "/")
	if !ok || len(parts) != 3 || CheckName(parts[0]) != nil || parts[1] == "" || parts[2] == "" {
		return "", "", "", false
	}
	return parts[0], parts[1], parts[2], true
}

// Allowed reports whether the daemon named owner may make this change of the store without an operator: it may create
// and delete its own queue entries, which must be bound to a lease, and put the TaskConfig of any task.
func Allowed(op store.Op, owner string) bool {
	if _, host, _, ok := ParseQueueEntryKey(op.Key); ok {
		return host == owner && (op.Delete || op.LeaseID != 0 && len(op.Value) <= MaxValueBytes)
	}
	task, ok := strings.CutPrefix(op.Key, TaskConfigPrefix)
	return ok && CheckName(task) == nil && IsPersistentPut(op, owner)
}

// IsPersistentPut reports whether op is a put by a daemon of at most MaxValueBytes that is not bound to a lease. It
// reports false for an empty owner.
func IsPersistentPut(op store.Op, owner string) bool {
	return owner != "" && !op.Delete && op.LeaseID == 0 && len(op.Value) <= MaxValueBytes
}
