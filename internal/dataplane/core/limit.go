package core

import "time"

// Limiter lets requests through, or refuses them, before they are taken. Any goroutine may use it; it does not wait.
type Limiter interface {
	// Admit is asked once for a request. Ended, unless it is nil, is to be told once, when the request is over, whether it may have run:
	// what never did is not charged.
	Admit(a *LimiterRequest) (ended func(ran bool), no *LimitExceeded)
}

// LimiterRequest is what limits read of a request.
type LimiterRequest struct {
	Class          string
	Path           string
	CostMs         int64   // work that the client expects; 0: it says nothing
	PriorityWeight float64 // of its class, by the greatest of all: 0 to 1
	Header         func(name string) string
}

// LimitExceeded says which limit a request found spent, and when there will be room.
type LimitExceeded struct {
	Limit            string
	Part             string // the part, empty for the whole
	StoreUnreachable bool   // the store is out of reach
	RetryAfter       time.Duration
}
