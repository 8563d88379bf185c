package store

import "errors"

// Errors of commands. They are outcomes, not faults of a replica: every replica returns the same.
var (
	ErrTooLarge       = errors.New("key, value or transaction is too large")
	ErrFull           = errors.New("the store is full")
	ErrLeaseNotFound  = errors.New("no such lease")
	ErrBadKey         = errors.New("a key is empty or is given twice in a transaction")
	ErrRequestExpired = errors.New("the request is too old to know whether it was done before")
	ErrUnknownMember  = errors.New("the member is not known, or known otherwise")
	ErrLevel          = errors.New("a member does not know that level yet")
	ErrUnknownCommand = errors.New("the command is of a newer version")
)

// results caches the outcomes of requests, so that a retry gets the outcome of the first attempt.
type results struct {
	ring ring[cachedResult]
	byID map[RequestID]Result
}

type cachedResult struct {
	ID     RequestID
	Result Result
}

// CachedResult returns the outcome of a request, if it is still cached.
func (s *State) CachedResult(id RequestID) (Result, bool) { return s.results.find(id) }

func (r *results) find(id RequestID) (Result, bool) {
	v, ok := r.byID[id]
	return v, ok
}

// add caches a result and drops the oldest ones beyond maxResults.
func (r *results) add(id RequestID, v Result, maxResults int) {
	if r.byID == nil {
		r.byID = map[RequestID]Result{}
	}
	r.byID[id] = v
	r.ring.push(cachedResult{id, v}, 0)
	for r.ring.len() > maxResults {
		old := r.ring.at(0)
		delete(r.byID, old.ID)
		r.ring.drop(0, old.Result.Index)
	}
}

// clone returns a copy that can be saved, but not searched.
func (r *results) clone() results { return results{ring: r.ring.clone()} }
