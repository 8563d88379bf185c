package daemon

import (
	"context"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/engine"
)

// Component implements one concern of a daemon that depends on the replicated store. The goroutine that updates the
// copy of the store calls Event and Reset, which must not block.
type Component interface {
	// Event applies one change, which the copy has applied already.
	Event(e store.Event)
	// Reset replaces everything that the component knows with the content of a new copy.
	Reset(s *store.State)
	// Attach sets the copy once it is open. Before that, only the hooks are called: Event, Reset and those of the
	// optional interfaces.
	Attach(s Store)
	// Run works until ctx ends.
	Run(ctx context.Context)
}

// Optional interfaces of a Component.
type (
	// LogTailObserver is notified of the end of a replica's log after a restart: commands of which the replica does not
	// know whether they are committed.
	LogTailObserver interface {
		// Uncommitted passes on one such command, before the copy is open.
		Uncommitted(c *store.Command)
		// CaughtUp reports that the copy has reached the end that the log had at the restart.
		CaughtUp()
	}
	// ConfirmationObserver is notified each time a quorum has confirmed the copy, and how long ago that was.
	ConfirmationObserver interface{ Confirmed(ago time.Duration) }
	// Subscriber names the keys that a component needs if the copy is partial. The component is not notified of other
	// keys and must not treat their absence as a deletion. A component that is no Subscriber needs all keys.
	Subscriber interface {
		Subscription() changefeed.Subscription
	}
	// PrefixSizeObserver is notified of the number and the bytes of the keys with one of the SizePrefixes of its
	// Subscription, if the copy does not hold these keys.
	PrefixSizeObserver interface {
		ObservePrefixSize(prefix string, n store.PrefixSize)
	}
	// Expirer returns the transactions that delete reports which were not renewed in time. Each transaction is
	// conditional: it does nothing if its report was renewed in the meantime.
	Expirer interface {
		Expired(now time.Time) []*store.Txn
	}
)

// Store is the copy of the store that a daemon works with: a replica's or a follower's. It is safe for concurrent use.
type Store interface {
	// Do proposes a command and returns its result once it is committed; see engine.Engine.
	Do(ctx context.Context, c store.Command) (store.Result, error)
	// View calls f with the copy. Unless stale is set, a quorum confirms beforehand that the copy is up to date, and if
	// f reads keys that a partial copy does not hold, View calls f again with the state of a replica; f must start
	// over.
	View(ctx context.Context, stale bool, f func(*store.State)) (engine.CopyAge, error)
	// NextChanges waits for changes of keys with a prefix after a revision. It returns up to limit of them, but never a
	// part of a revision, and the revision after which the next call continues.
	NextChanges(ctx context.Context, prefix string, after uint64, limit int) ([]store.Event, uint64, error)
}

// InterestUpdater is implemented by a partial copy. UpdateInterest makes it read the daemon's Subscription again.
type InterestUpdater interface{ UpdateInterest() }

// updateInterest notifies a partial copy that a Subscription has changed. The caller holds no component's lock, since
// the copy calls Subscription, which takes it. It does nothing for a complete copy or nil.
func updateInterest(s Store) {
	if u, ok := s.(InterestUpdater); ok {
		u.UpdateInterest()
	}
}

// subscribeTo returns a subscription to the keys with the given prefixes, which the copy also keeps on disk for the
// next start.
func subscribeTo(prefixes ...string) changefeed.Subscription {
	interest := store.Interest{Prefixes: prefixes}
	return changefeed.Subscription{Interest: &interest, Retained: interest}
}

// isPartial reports whether a copy is not subscribed to all keys with a prefix.
func isPartial(s *store.State, prefix string) bool {
	interest := s.Interest()
	return interest != nil && !interest.CoversPrefix(prefix)
}

// revisionsWithPrefix returns the revision of the latest change of each key with a prefix.
func revisionsWithPrefix(s *store.State, prefix string) map[string]uint64 {
	revisions := map[string]uint64{}
	s.Range(prefix, store.PrefixEnd(prefix), func(i store.Item) bool {
		revisions[i.Key] = i.ModRevision
		return true
	})
	return revisions
}
