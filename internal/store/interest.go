package store

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Interest is the set of keys that a partial copy holds or that a change feed covers: the listed keys, and all keys
// with one of the prefixes. The zero value is the empty set. A nil *Interest stands for all keys.
type Interest struct {
	Prefixes []string `cbor:"1,keyasint,omitempty" json:"prefixes,omitempty"`
	Keys     []string `cbor:"2,keyasint,omitempty" json:"keys,omitempty"`
}

// Limits of an interest that a client may request.
const (
	MaxInterestEntries = 128     // prefixes and keys together
	MaxInterestBytes   = 8 << 10 // total length of the prefixes and keys
)

// ErrInvalidInterest reports an interest that exceeds these limits, or has a prefix or key that is empty or too long.
var ErrInvalidInterest = errors.New("invalid interest")

// Validate returns an error that wraps ErrInvalidInterest if a client may not request the interest.
func (i Interest) Validate() error {
	if n := len(i.Prefixes) + len(i.Keys); n > MaxInterestEntries {
		return fmt.Errorf("%w: %d prefixes and keys are more than %d", ErrInvalidInterest, n, MaxInterestEntries)
	}
	bytes := 0
	for _, key := range slices.Concat(i.Prefixes, i.Keys) {
		if key == "" || len(key) > DefaultLimits.KeyBytes {
			return fmt.Errorf("%w: %q is not of 1 to %d bytes", ErrInvalidInterest, key, DefaultLimits.KeyBytes)
		}
		bytes += len(key)
	}
	if bytes > MaxInterestBytes {
		return fmt.Errorf("%w: %d bytes are more than %d", ErrInvalidInterest, bytes, MaxInterestBytes)
	}
	return nil
}

// Union returns the set of the keys of either interest in normal form: prefixes and keys are sorted, and none is
// covered by another entry.
func (i Interest) Union(other Interest) Interest {
	var union Interest
	prefixes := slices.Concat(i.Prefixes, other.Prefixes)
	slices.Sort(prefixes)
	for _, prefix := range prefixes { // a prefix sorts before longer prefixes that it covers
		n := len(union.Prefixes)
		if n == 0 || !strings.HasPrefix(prefix, union.Prefixes[n-1]) {
			union.Prefixes = append(union.Prefixes, prefix)
		}
	}
	keys := slices.Concat(i.Keys, other.Keys)
	slices.Sort(keys)
	for _, key := range slices.Compact(keys) {
		if !union.Covers(key) {
			union.Keys = append(union.Keys, key)
		}
	}
	return union
}

// Covers reports whether a key is in the set.
func (i Interest) Covers(key string) bool {
	return i.CoversPrefix(key) || slices.Contains(i.Keys, key)
}

// CoversPrefix reports whether all keys with a prefix are in the set.
func (i Interest) CoversPrefix(prefix string) bool {
	return slices.ContainsFunc(i.Prefixes, func(p string) bool { return strings.HasPrefix(prefix, p) })
}

// Contains reports whether the interest covers all keys of another.
func (i Interest) Contains(other Interest) bool {
	for _, prefix := range other.Prefixes {
		if !i.CoversPrefix(prefix) {
			return false
		}
	}
	for _, key := range other.Keys {
		if !i.Covers(key) {
			return false
		}
	}
	return true
}

// Equal reports whether two interests in the normal form of Union are the same.
func (i Interest) Equal(other Interest) bool {
	return slices.Equal(i.Prefixes, other.Prefixes) && slices.Equal(i.Keys, other.Keys)
}

// rangeInterest returns an interest that covers the keys from one up to but not including end. Unless the range is a
// single key or a prefix, the interest covers more keys than the range: all that share the prefix of both ends.
func rangeInterest(from, end string) Interest {
	switch end {
	case from + "\x00":
		return Interest{Keys: []string{from}}
	case PrefixEnd(from):
		return Interest{Prefixes: []string{from}}
	}
	commonBytes := 0
	for commonBytes < len(from) && commonBytes < len(end) && from[commonBytes] == end[commonBytes] {
		commonBytes++
	}
	return Interest{Prefixes: []string{from[:commonBytes]}}
}
