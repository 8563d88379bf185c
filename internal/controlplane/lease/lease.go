// Package lease is the holder's side of leases for fleet-wide tasks: when a daemon may act, with which fencing
// token, and when it must have stopped. It does no I/O and reads neither clocks nor random numbers: instants,
// responses and changes of the store come in; requests to send and the end of the lease's validity come out. It may
// import internal/store, for the forms of keys and events, and nothing else of the control plane.
//
// A daemon has a session, which is a lease of the store that only it renews, and any number of entries in the
// queues of tasks, which are keys bound to that session. The first entries of a task's queue hold the task. So one
// renewal keeps everything a daemon holds, a release is one deletion, and the next in the queue learns from its own
// copy of the store that its turn has come.
//
// Two holders are kept apart, whatever is killed, stopped, partitioned or slow (docs/design/leases.md has the
// proof):
//
//   - A lease is valid for Rules.Validity from when its last acknowledged renewal was sent, by the holder's clock.
//     The store expires a session no sooner than its full TTL after that renewal was applied, by the leader's
//     clock. Two clocks are never compared; only their rates may differ, by Rules.Skew at most.
//   - An entry is deleted by its holder, once that has stopped acting, or expires with its session. Nothing else
//     removes one, so an entry that a copy shows as gone is gone, and a stale copy lets no one act too early.
//   - The fencing token is the revision at which the entry was created: it only grows along a queue.
//
// Sources: Gray and Cheriton, Leases (SOSP 1989); Burrows, The Chubby lock service (OSDI 2006), for sequencers; the
// queue is the recipe of Hunt et al., ZooKeeper (ATC 2010).
package lease

import "errors"

// Errors of lease holders.
var (
	ErrLost            = errors.New("the lease is lost")
	ErrLeaseTooShort   = errors.New("the lease is shorter than the action may take")
	ErrStaleToken      = errors.New("a higher token was seen")
	ErrInvalidTaskName = errors.New("not the name of a task: 1 to 64 of a-z, 0-9, '.', '_' and '-'")
	ErrSlotsMismatch   = errors.New("the task has another number of slots")
	ErrPaused          = errors.New("the task is paused")
)

const maxNameBytes = 64

// CheckName returns ErrInvalidTaskName if s cannot name a task.
func CheckName(s string) error {
	if len(s) == 0 || len(s) > maxNameBytes {
		return ErrInvalidTaskName
	}
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '.' && c != '_' && c != '-' {
			return ErrInvalidTaskName
		}
	}
	return nil
}
