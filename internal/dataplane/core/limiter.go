package core

import "time"

// Limiter admits or rejects requests before they are submitted. It is safe for concurrent use and does not block.
type Limiter interface {
	// Admit is called once for each request. exceeded is nil if the request is admitted. The caller must call ended, if
	// it is not nil, once the request has ended; mayHaveRun is false if the request never ran and is not charged.
	Admit(r *LimiterRequest) (ended func(mayHaveRun bool), exceeded *LimitExceeded)
}

// LimiterRequest is the part of a request that limits depend on.
type LimiterRequest struct {
	Class          string
	Path           string
	CostMs         int64   // cost in milliseconds as the client estimates it; 0 if the client does not
	PriorityWeight float64 // of the class, as a fraction of the greatest: 0 to 1
	Header         func(name string) string
}

// LimitExceeded describes why a request was rejected, and after which delay a retry may be admitted.
type LimitExceeded struct {
	Limit            string
	Part             string // the part of the limit that is exceeded; empty for the whole limit
	StoreUnreachable bool
	RetryAfter       time.Duration
}
