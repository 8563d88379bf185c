// Package lease implements the lease holder's side of leases for fleet-wide tasks: it decides when a daemon may act,
// with which fencing token, and by when the daemon must have stopped. It does no I/O and reads neither clocks nor
// random numbers: its inputs are instants, responses and changes of the store, its outputs are requests to send and
// the instant at which a lease ceases to be valid. It may import internal/store, for the types of items and events,
// and no other package of the control plane.
//
// A daemon has a session, which is a lease of the store that only this daemon renews, and any number of entries in the
// queues of tasks, which are keys bound to that session. The first entries of a task's queue, as many as the task has
// slots, hold the task. One renewal therefore keeps everything that a daemon holds, a release is a single deletion, and
// the daemon whose entry is next learns from its own copy of the store that it holds the task.
//
// A task never has more holders than slots, whichever processes are killed, stopped, partitioned or slow
// (docs/design/leases.md has the proof):
//
//   - A lease is valid for Rules.Validity after its last acknowledged renewal was sent, by the holder's clock. The
//     store expires a session no sooner than its full TTL after that renewal was applied, by the leader's clock.
//     Instants of two clocks are never compared; the rates of two clocks may differ by Rules.MaxClockSkew at most.
//   - A queue entry is deleted by its owner, once that has stopped acting, or expires with its session. Nothing else
//     removes an entry, so an entry that is missing from a copy of the store no longer exists, and a stale copy makes
//     no daemon act too early.
//   - The fencing token is the revision at which the entry was created, so tokens increase along a queue.
//
// Leases follow Gray and Cheriton, Leases (SOSP 1989), fencing tokens the sequencers of Burrows, The Chubby lock
// service (OSDI 2006), and the queue the lock recipe of Hunt et al., ZooKeeper (ATC 2010).
package lease

import "errors"

// Errors of leases, claims and fences.
var (
	ErrLost            = errors.New("the lease is lost")
	ErrLeaseTooShort   = errors.New("the lease is too short for the timeout of the action")
	ErrStaleToken      = errors.New("the fencing token is stale")
	ErrInvalidTaskName = errors.New("invalid task name: want 1 to 64 characters of a-z, 0-9, '.', '_' and '-'")
	ErrSlotsMismatch   = errors.New("the task has a different number of slots")
	ErrPaused          = errors.New("the task is paused")
)

const maxNameBytes = 64

// CheckName returns ErrInvalidTaskName if name is not a valid name of a task, and nil otherwise.
func CheckName(name string) error {
	if len(name) == 0 || len(name) > maxNameBytes {
		return ErrInvalidTaskName
	}
	for _, char := range name {
		if (char < 'a' || char > 'z') && (char < '0' || char > '9') && char != '.' && char != '_' && char != '-' {
			return ErrInvalidTaskName
		}
	}
	return nil
}
