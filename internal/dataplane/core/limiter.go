package core

import "time"

// Limiter admits or rejects requests before they are submitted. It is safe for concurrent use and does not block.
type Limiter interface {
	// Admit is called once for a request. ended, unless it is nil, must be called once when the request has ended, with
	// whether it may have run: one that never ran is not charged. exceeded is nil for an admitted request.
	Admit(r *LimiterRequest) (ended func(mayHaveRun bool), exceeded *LimitExceeded)
}

// LimiterRequest is what limits read of a request.
type LimiterRequest struct {
	Class          string
	Path           string
	CostMs         int64   // that the client expects; 0: it does not say
	PriorityWeight float64 // of its class, relative to the greatest: 0 to 1
	Header         func(name string) string
}

// LimitExceeded says which limit rejects a request, and when a retry may be admitted.
type LimitExceeded struct {
	Limit            string
	Part             string // of the limit; empty for the whole
	StoreUnreachable bool
	RetryAfter       time.Duration
}
