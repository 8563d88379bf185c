package core

import (
	"context"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
)

// Transport is the upstream side of a protocol.
type Transport interface {
	// Target returns where an endpoint listens. Each has its own connections, also at the address of an earlier one: a
	// new endpoint may listen where one was removed, and must not receive what was meant for that.
	Target(addr string) Target
	// SetConfig applies a new configuration.
	SetConfig(c *config.Config)
	// AcceptsLateReplies reports whether an attempt continues after its timeout, at no cost, until its request has an
	// answer: a late reply is then still the client's. The module is notified of the timeout all the same.
	AcceptsLateReplies() bool
}

// Target is where an endpoint listens. It is safe for concurrent use.
type Target interface {
	// Send makes one attempt and returns its result. It ends with ctx, unless its answer has begun to stream.
	Send(ctx context.Context, a Attempt) Reply
	// Probe asks for the endpoint's load.
	Probe() Reply
	// Close ends the use of the target. Attempts that were sent continue.
	Close()
	// CloseUnusedSince closes the idle connections that were last used before an instant.
	CloseUnusedSince(before time.Time)
}

// Attempt is an attempt as its target receives it. Its functions may be called from any goroutine.
type Attempt struct {
	Request  any             // the Payload of its Request
	Deadline balancer.Micros // after which it counts as timed out
	// Begin must be called last, right before the first byte is sent. If it returns false nothing may be sent.
	Begin func(now balancer.Micros) bool
	// MayContinue must be called before anything else is begun for the attempt, such as sending it on another
	// connection: the server may have begun to drain in the meantime.
	MayContinue func(now balancer.Micros) bool
	// BodySent must be called when a streamed body has been sent.
	BodySent func(now balancer.Micros)
}
