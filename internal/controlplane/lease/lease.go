// Package lease is the holder's half of leases for fleet-wide tasks: when a daemon may act, with which token, and when it must
// have stopped. It is free of I/O, clocks and chance: instants, answers and changes of the store come in, what is to be sent and
// until when the daemon is entitled come out.
//
// A daemon has a session, which is a lease of the store that it alone renews, and any number of places in the queues of tasks,
// which are keys tied to that session. The first places of a task's queue hold it. So one renewal keeps all that a daemon holds,
// a release writes one deletion, and the next in order finds by its own copy that its turn has come.
//
// What keeps two holders apart, whatever is killed, stopped, cut or slow (docs/design/leases.md has the proof):
//
//   - A daemon is entitled for Rules.Span from the sending of its last answered renewal, by its own clock. The store ends a
//     session no sooner than the whole TTL after that renewal was applied, by the leader's clock. No two clocks are compared;
//     their rates may differ by Rules.Skew.
//   - A place goes by its holder's hand, after it has stopped acting, or with its session. Nobody else removes one. What a copy
//     shows to be gone is gone, so that an old copy lets nobody act too early.
//   - The token is the revision at which the place was put: it only grows along a queue.
//
// Sources: Gray and Cheriton, Leases (SOSP 1989); Burrows, The Chubby lock service (OSDI 2006), for sequencers; the queue is the
// recipe of Hunt et al., ZooKeeper (ATC 2010).
package lease

import "errors"

// Errors of holders.
var (
	ErrLost            = errors.New("the lease is lost")
	ErrLeaseTooShort   = errors.New("the lease does not last for as long as the action may take")
	ErrStaleToken      = errors.New("a higher token was seen")
	ErrInvalidTaskName = errors.New("not the name of a task: 1 to 64 of a-z, 0-9, '.', '_' and '-'")
	ErrSlotsMismatch   = errors.New("the task has another number of slots")
	ErrPaused          = errors.New("the task is paused")
	ErrSuspended       = errors.New("the task is held off")
)

// Rules are those of a session. Times are nanoseconds.
type Rules struct {
	TTL    int64   // for which the store keeps a session that falls silent, by its leader's clock
	Skew   float64 // the fastest of two clocks gains this part on the other at most: 0.1 is a tenth
	Margin int64   // that a holder gives away besides, for what is between its look at the clock and its act
}

// DefaultSkew is far beyond what clocks of hosts do (500 ppm is what NTP corrects at most).
const DefaultSkew = 0.02

// Validity is for how long a holder is entitled after it sent a renewal that was answered.
//
// A renewal that was sent at s by true time is applied at a >= s. The session ends at e >= a + TTL/(1+x), if the leader's clock
// gains x on true time; the holder's Span takes Span/(1-y) of true time, if its clock loses y. With (1+x)/(1-y) <= 1+Skew,
// s + Span/(1-y) <= s + TTL/(1+x) - Margin < e.
func (r Rules) Validity() int64 { return int64(float64(r.TTL)/(1+r.Skew)) - r.Margin }

// CheckName says whether a text may name a task.
func CheckName(s string) error {
	if len(s) == 0 || len(s) > 64 {
		return ErrInvalidTaskName
	}
	for _, c := range s {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '.' && c != '_' && c != '-' {
			return ErrInvalidTaskName
		}
	}
	return nil
}
