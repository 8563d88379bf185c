package store

import "errors"

// Errors of commands. They are outcomes of a command, not failures of a replica: all replicas return the same error for
// the same command. ErrFull covers all limits on the number or size of what is stored. ErrInvalidMember covers an
// unknown member, a name in use, another disk than the registered one, an earlier start than the registered one, and
// the removal of the last member.
var (
	ErrTooLarge         = errors.New("key, value or transaction is too large")
	ErrFull             = errors.New("the store is full or a limit on its keys, leases or members is reached")
	ErrLeaseNotFound    = errors.New("there is no such lease, or it has another owner")
	ErrBadKey           = errors.New("a key, key limit or member name is invalid or given twice")
	ErrRequestExpired   = errors.New("the request is too old to tell whether it was applied before")
	ErrInvalidMember    = errors.New("the member is unknown, conflicts with a registered one, or is the last one")
	ErrUnsupportedLevel = errors.New("the cluster has not enabled the command level, or a member does not support it")
	ErrUnknownCommand   = errors.New("the command requires a newer build")
)

// results caches the outcomes of requests, so that a retry gets the outcome of the attempt that was applied.
type results struct {
	ring ring[cachedResult]
	byID map[RequestID]Result
}

// cachedResult is the outcome of one request.
type cachedResult struct {
	ID     RequestID
	Result Result
}

// CachedResult returns the outcome of a request that was applied, and whether it is still cached.
func (s *State) CachedResult(id RequestID) (Result, bool) { return s.results.find(id) }

func (r *results) find(id RequestID) (Result, bool) {
	result, ok := r.byID[id]
	return result, ok
}

// add caches a result and drops the oldest ones if there are more than maxResults.
func (r *results) add(id RequestID, result Result, maxResults int) {
	if r.byID == nil {
		r.byID = map[RequestID]Result{}
	}
	r.byID[id] = result
	r.ring.push(cachedResult{id, result}, 0)
	for r.ring.len() > maxResults {
		oldest := r.ring.at(0)
		delete(r.byID, oldest.ID)
		r.ring.drop(0, oldest.Result.Index)
	}
}

// clone returns a copy that can be saved. Its find finds nothing.
func (r *results) clone() results { return results{ring: r.ring.clone()} }
