package daemon

import (
	"context"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/engine"
)

// Component is one concern of a daemon that depends on the replicated store. Event and Reset are called by the loop of
// the store's copy and must not block.
type Component interface {
	// Event applies one change that the copy shows.
	Event(e store.Event)
	// Reset replaces everything known with a new copy.
	Reset(s *store.State)
	// Attach sets the copy once it is open. Only the hooks (Event, Reset and those of the optional interfaces) are
	// called before.
	Attach(s Store)
	// Run works until ctx ends.
	Run(ctx context.Context)
}

// Interfaces that a Component may implement besides.
type (
	// LogTailObserver observes the end of a replica's log after a restart: commands that may or may not be committed.
	LogTailObserver interface {
		// Uncommitted reports one such command.
		Uncommitted(c *store.Command)
		// CaughtUp reports that the copy has reached the end of that log.
		CaughtUp()
	}
	// ConfirmationObserver is notified how long ago a quorum confirmed the copy.
	ConfirmationObserver interface{ Confirmed(ago time.Duration) }
	// Subscriber names the keys that a component needs of a partial copy. It is not notified of other keys and must not
	// take their absence for a deletion. A daemon with a component that is no Subscriber needs all keys.
	Subscriber interface {
		Subscription() changefeed.Subscription
	}
	// PrefixSizeObserver is notified of the number and bytes of the keys with a prefix of its Subscription's
	// SizePrefixes, where the copy does not hold them.
	PrefixSizeObserver interface {
		ObservePrefixSize(prefix string, n store.PrefixSize)
	}
	// Expirer returns transactions that end reports which have not been renewed in time. Each does nothing if its
	// report was renewed in the meantime.
	Expirer interface {
		Expired(now time.Time) []*store.Txn
	}
)

// Store is the copy of the store that a daemon works with: a replica's or a follower's.
type Store interface {
	// Do makes a change; see engine.Engine.
	Do(ctx context.Context, c store.Command) (store.Result, error)
	// View calls f with the copy, which is confirmed by a quorum before unless stale is set. If f reads keys that a
	// partial copy does not hold, it is called again and must start over.
	View(ctx context.Context, stale bool, f func(*store.State)) (engine.CopyAge, error)
	// NextChanges returns up to limit changes of keys with a prefix after a revision, and the revision that they reach.
	NextChanges(ctx context.Context, prefix string, after uint64, limit int) ([]store.Event, uint64, error)
}

// InterestUpdater is a partial copy, which reads the daemon's Subscription again when it is notified.
type InterestUpdater interface{ UpdateInterest() }

// updateInterest notifies a partial copy that a Subscription has changed. No component's lock is held.
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

// isPartial reports whether a copy lacks some of the keys with a prefix.
func isPartial(s *store.State, prefix string) bool {
	interest := s.Interest()
	return interest != nil && !interest.CoversPrefix(prefix)
}

// revisionsWithPrefix returns the keys with a prefix and the revisions of their latest changes.
func revisionsWithPrefix(s *store.State, prefix string) map[string]uint64 {
	revisions := map[string]uint64{}
	s.Range(prefix, store.PrefixEnd(prefix), func(i store.Item) bool {
		revisions[i.Key] = i.ModRevision
		return true
	})
	return revisions
}
