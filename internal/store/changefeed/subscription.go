package changefeed

import (
	"slices"

	"birchmoor/internal/store"
)

// Subscription is what a daemon needs of the store.
type Subscription struct {
	Interest     *store.Interest // nil: all keys
	Retained     store.Interest  // the part of Interest that is of use to the next start
	Durable      store.Interest  // the part of Retained that the next start has to know whenever this process did
	SizePrefixes []string        // prefixes of which the daemon needs the number and size of keys
}

// Union is what either of two subscriptions needs.
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

// normalized is an interest without entries that others of it cover; nil, all keys, stays nil.
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

// coversInterest reports whether an interest covers all of another; nil is all keys.
func coversInterest(have, want *store.Interest) bool {
	if have == nil {
		return true
	}
	return want != nil && have.Contains(*want)
}

// intersect is what both interests cover.
func intersect(a, b store.Interest) store.Interest {
	return coveredEntries(a, b).Union(coveredEntries(b, a))
}

// coveredEntries is the entries of an interest that another covers.
func coveredEntries(interest, by store.Interest) store.Interest {
	var covered store.Interest
	for _, prefix := range interest.Prefixes {
		if by.CoversPrefix(prefix) {
			covered.Prefixes = append(covered.Prefixes, prefix)
		}
	}
	for _, key := range interest.Keys {
		if by.Covers(key) {
			covered.Keys = append(covered.Keys, key)
		}
	}
	return covered
}
