package discovery

import (
	"time"

	"birchmoor/balancer"
)

// MaxChangeDelay is the time within which the sidecar must know a change of the endpoint list, counted from when
// discovery has the change and can be reached. It holds whatever delay the settings allow after a call that failed, was
// rejected or timed out.
const MaxChangeDelay = 6 * time.Second

// ResponseTimeout is how long a call of discovery may go without data until its first list is complete.
const ResponseTimeout = 1250 * time.Millisecond

// PollJitter is the maximum random delay before a call that follows another one without a backoff.
const PollJitter = time.Duration(balancer.PollJitter) * time.Microsecond

const (
	watchIdleTimeout = 2900 * time.Millisecond // an idle watch sends an empty line every 2 s
	maxServerDelay   = time.Second             // discovery fails a call that it cannot answer within this time
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = time.Second
	dialTimeout      = time.Second
)

// The longest delay between a change at a reachable discovery and the list that brings it occurs as follows: when the
// change is made, the open watch is silent, a call hangs, or a backoff has just begun; the next call fails, in any way;
// the call after that is answered as late as discovery answers calls. A backoff counts from the start of the failed
// call, so a call and its backoff together take the longer of the two; with jitter, a backoff takes up to one and a
// half times its nominal value.
const (
	pushedRetryCycle = max(ResponseTimeout+PollJitter, maxBackoff*3/2)
	polledRetryCycle = max(ResponseTimeout+PollJitter, time.Duration(balancer.MaxPollInterval)*time.Microsecond*3/2)

	// MaxPushedDelay is the longest delay of a change with Watcher.Run, which has a backoff of its own.
	MaxPushedDelay = max(watchIdleTimeout+PollJitter, pushedRetryCycle) + pushedRetryCycle + maxServerDelay
	// MaxPolledDelay is the longest delay of a change with Watcher.RunOnce and the backoff of the decision module.
	MaxPolledDelay = max(watchIdleTimeout+PollJitter+ResponseTimeout+PollJitter, 2*polledRetryCycle) + maxServerDelay
)
