package admin

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"time"

	"birchmoor/internal/store"
)

// Paths of the calls for followers, in addition to ChangePath.
const (
	CopyPath     = "/v1/copy"
	StreamPath   = "/v1/follow"
	RevisionPath = "/v1/revision"
)

// ScopedHeader is set in the answer to a request for a stream if the replica sends only the changes of the requested
// interest. Replicas of older versions ignore the interest and do not set it.
const ScopedHeader = "Store-Scoped"

// Query parameters of the requests of followers.
const (
	afterParam      = "after"
	prefixParam     = "prefix" // a prefix of the interest; may be repeated
	keyParam        = "key"    // a key of the interest; may be repeated
	sizePrefixParam = "sum"    // a prefix whose size is requested; may be repeated
)

const (
	maxSizePrefixes = 4 // in one request
	// a key that is never put; represents an empty interest, because no parameters mean all keys
	placeholderKey = "\x00"
)

// StreamLine is a line of a follower's stream. Either one of its fields is set, or Events and Through. In a stream of
// all keys, each event has its own line, in Event. In a stream of an interest, all events of a revision are on one
// line, in Events, and Through is the revision up to which all changes were sent.
type StreamLine struct {
	Event     *store.Event `json:"event,omitempty"`
	Heartbeat *Heartbeat   `json:"beat,omitempty"`
	Error     *ErrorBody   `json:"fault,omitempty"`

	Events  []store.Event `json:"events,omitempty"`
	Through uint64        `json:"through,omitempty"`
}

// Heartbeat reports the state of the replica's copy, from which a follower determines whether its own copy is up to
// date and how old it may be.
type Heartbeat struct {
	Cluster   uint64        `json:"cluster"`
	Revision  uint64        `json:"revision"`
	Confirmed bool          `json:"proved"`         // a quorum has confirmed the revision
	Age       time.Duration `json:"age_ns"`         // time since the confirmation
	Ages      []KeyAge      `json:"ages,omitempty"` // ages of module snapshots, only in the first heartbeat of a stream

	// PrefixSizes has the sizes of the requested prefixes that were not sent yet or have changed since.
	PrefixSizes map[string]store.PrefixSize `json:"sums,omitempty"`
}

// KeyAge is the time since a module snapshot was put.
type KeyAge struct {
	Key string        `json:"key"`
	Age time.Duration `json:"age_ns"`
}

// CopyQuery returns the query that requests a copy of the keys of an interest; nil means all keys.
func CopyQuery(interest *store.Interest) url.Values {
	query := url.Values{}
	if interest == nil {
		return query
	}
	query[prefixParam] = interest.Prefixes
	query[keyParam] = interest.Keys
	if len(interest.Prefixes)+len(interest.Keys) == 0 {
		query[keyParam] = []string{placeholderKey}
	}
	return query
}

// StreamQuery returns the query that requests a stream of the changes to an interest after a revision; nil means all
// keys. The sizes of prefixes are requested only if the interest is not nil.
func StreamQuery(interest *store.Interest, after uint64, sizePrefixes []string) url.Values {
	query := CopyQuery(interest)
	query.Set(afterParam, strconv.FormatUint(after, 10))
	if interest != nil {
		query[sizePrefixParam] = sizePrefixes
	}
	return query
}

// parseInterest parses the interest in a query; nil means all keys.
func parseInterest(query url.Values) (*store.Interest, error) {
	if !query.Has(prefixParam) && !query.Has(keyParam) {
		return nil, nil
	}
	interest := store.Interest{Prefixes: query[prefixParam], Keys: query[keyParam]}
	if err := interest.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	normalized := store.Interest{}.Union(interest)
	return &normalized, nil
}

// parseSizePrefixes returns the prefixes in a query whose sizes are requested.
func parseSizePrefixes(query url.Values) ([]string, error) {
	prefixes := query[sizePrefixParam]
	if len(prefixes) > maxSizePrefixes || slices.Contains(prefixes, "") {
		return nil, fmt.Errorf("%w: sum: %d prefixes are more than %d, or one is empty",
			ErrBadRequest, len(prefixes), maxSizePrefixes)
	}
	return prefixes, nil
}
