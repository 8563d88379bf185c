package admin

import (
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"time"

	"birchmoor/internal/store"
)

// Paths of calls of followers, besides ChangePath.
const (
	CopyPath     = "/v1/copy"
	StreamPath   = "/v1/follow"
	RevisionPath = "/v1/revision"
)

// ScopedHeader is set in the answer to a request for a stream by replicas that send the changes of an interest
// alone.
const ScopedHeader = "Store-Scoped"

// Parameters of the queries of followers.
const (
	afterParam      = "after"
	prefixParam     = "prefix" // of an interest; may stand several times
	keyParam        = "key"    // of an interest; may stand several times
	sizePrefixParam = "sum"    // may stand several times
)

const (
	maxSizePrefixes = 4      // of a follower
	placeholderKey  = "\x00" // a key that is never put, for an interest without any key
)

// StreamLine is a line of a follower's stream, with one of its fields set, or Events and Through. A follower of
// all keys receives a line for each event; one of an interest a line for all events of a revision, and the
// revision through which it was sent everything.
type StreamLine struct {
	Event     *store.Event `json:"event,omitempty"`
	Heartbeat *Heartbeat   `json:"beat,omitempty"`
	Error     *ErrorBody   `json:"fault,omitempty"`

	Events  []store.Event `json:"events,omitempty"`
	Through uint64        `json:"through,omitempty"`
}

// Heartbeat says how the replica stands, so that a follower knows whether its copy is up to date and how old it
// may be.
type Heartbeat struct {
	Cluster   uint64        `json:"cluster"`
	Revision  uint64        `json:"revision"`
	Confirmed bool          `json:"proved"` // a quorum confirmed the revision
	Age       time.Duration `json:"age_ns"` // since then
	Ages      []KeyAge      `json:"ages,omitempty"`

	// PrefixSizes has the requested prefixes whose number or size of keys changed since they were last sent.
	PrefixSizes map[string]store.PrefixSize `json:"sums,omitempty"`
}

// KeyAge is how long ago a module snapshot was put. The first heartbeat after the history has them.
type KeyAge struct {
	Key string        `json:"key"`
	Age time.Duration `json:"age_ns"`
}

// CopyQuery is the query for a copy of an interest; nil is all keys.
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

// StreamQuery is the query for a stream of the changes of an interest after a revision. The sizes of prefixes
// are sent with the changes of an interest alone.
func StreamQuery(interest *store.Interest, after uint64, sizePrefixes []string) url.Values {
	query := CopyQuery(interest)
	query.Set(afterParam, strconv.FormatUint(after, 10))
	if interest != nil {
		query[sizePrefixParam] = sizePrefixes
	}
	return query
}

// parseInterest parses the interest of a query; nil is all keys.
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

// parseSizePrefixes parses the prefixes of a query whose sizes are requested.
func parseSizePrefixes(query url.Values) ([]string, error) {
	prefixes := query[sizePrefixParam]
	if len(prefixes) > maxSizePrefixes || slices.Contains(prefixes, "") {
		return nil, fmt.Errorf("%w: sum: %d prefixes are more than %d, or one is empty",
			ErrBadRequest, len(prefixes), maxSizePrefixes)
	}
	return prefixes, nil
}
