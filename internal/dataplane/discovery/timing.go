package discovery

import (
	"time"

	"birchmoor/balancer"
)

// MaxChangeDelay is the time after which a change must be known here, counted from when discovery has it and can be
// reached: whatever is otherwise allowed after a call that failed, was rejected or timed out.
const MaxChangeDelay = 6 * time.Second

// ResponseTimeout is how long a call may stay without the next bytes, until it has returned a complete list.
const ResponseTimeout = 1250 * time.Millisecond

// PollJitter is the bound of the random delay before a call that follows another at once.
const PollJitter = time.Duration(balancer.PollJitter) * time.Microsecond

const (
	watchIdleTimeout = 2900 * time.Millisecond // an idle watch sends an empty line every 2 s
	maxServerDelay   = time.Second             // discovery fails a call that waits for longer
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = time.Second
	dialTimeout      = time.Second
)

// The longest that a change stays unknown, from when discovery has it and can be reached, is that of this path: the
// open watch is silent, or a call hangs, or a backoff has begun; the next call fails as well, in any way; the one
// after that is answered, as late as discovery answers a call. A backoff counts from the beginning of its call, so
// that a call and its backoff take the longer of the two, which with jitter is up to one and a half times the
// backoff.
const (
	pushedRetryCycle = max(ResponseTimeout+PollJitter, maxBackoff*3/2)
	polledRetryCycle = max(ResponseTimeout+PollJitter, time.Duration(balancer.MaxPollInterval)*time.Microsecond*3/2)

	// MaxPushedDelay is the longest with the backoff of Watcher.Run.
	MaxPushedDelay = max(watchIdleTimeout+PollJitter, pushedRetryCycle) + pushedRetryCycle + maxServerDelay
	// MaxPolledDelay is the longest with Watcher.RunOnce and the backoff of the decision module.
	MaxPolledDelay = max(watchIdleTimeout+PollJitter+ResponseTimeout+PollJitter, 2*polledRetryCycle) + maxServerDelay
)
