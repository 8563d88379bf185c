package changefeed

import (
	"slices"

	"birchmoor/internal/store"
)

// Subscription describes the keys that a daemon needs from the store.
type Subscription struct {
	Interest     *store.Interest // keys that the copy holds; nil: all keys
	Retained     store.Interest  // part of Interest that is saved for the next start
	Durable      store.Interest  // part of Retained whose changes are saved before they take effect
	SizePrefixes []string        // prefixes for which the daemon needs the number and total size of keys
}

// Union returns a subscription to everything that either of two subscriptions needs.
func (s Subscription) Union(other Subscription) Subscription {
	prefixes := slices.Concat(s.SizePrefixes, other.SizePrefixes)
	slices.Sort(prefixes)
	union := Subscription{
		Retained:     s.Retained.Union(other.Retained),
		Durable:      s.Durable.Union(other.Durable),
		SizePrefixes: slices.Compact(prefixes),
	}
	if s.Interest != nil && other.Interest != nil {
		interest := s.Interest.Union(*other.Interest)
		union.Interest = &interest
	}
	return union
}

// normalized returns an interest in the normal form of store.Interest.Union. nil, which means all keys, stays nil.
func normalized(interest *store.Interest) *store.Interest {
	if interest == nil {
		return nil
	}
	union := store.Interest{}.Union(*interest)
	return &union
}

func equalInterests(a, b *store.Interest) bool {
	if a == nil || b == nil {
		return a == nil && b == nil
	}
	return a.Equal(*b)
}

// coversInterest reports whether an interest covers all keys of another; nil means all keys.
func coversInterest(interest, other *store.Interest) bool {
	if interest == nil {
		return true
	}
	return other != nil && interest.Contains(*other)
}

// intersect returns the keys that both interests cover.
func intersect(a, b store.Interest) store.Interest {
	return coveredEntries(a, b).Union(coveredEntries(b, a))
}

// coveredEntries returns the entries of an interest that another interest covers.
func coveredEntries(interest, other store.Interest) store.Interest {
	var covered store.Interest
	for _, prefix := range interest.Prefixes {
		if other.CoversPrefix(prefix) {
			covered.Prefixes = append(covered.Prefixes, prefix)
		}
	}
	for _, key := range interest.Keys {
		if other.Covers(key) {
			covered.Keys = append(covered.Keys, key)
		}
	}
	return covered
}
