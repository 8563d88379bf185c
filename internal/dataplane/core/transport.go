package core

import (
	"context"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
)

// Transport is the upstream side of a protocol.
type Transport interface {
	// Target returns a new target for the address of an endpoint. Targets never share connections, not even at the same
	// address: a new endpoint may listen at the address of a removed one, and must not receive requests that were meant
	// for the removed one.
	Target(addr string) Target
	// SetConfig applies a new configuration.
	SetConfig(cfg *config.Config)
	// AcceptsLateReplies reports whether an attempt continues after its timeout until its request is answered, because
	// waiting costs nothing. A late reply can then still answer the request. The decision module is told of the timeout
	// in either case.
	AcceptsLateReplies() bool
}

// Target is the address of an endpoint together with the connections to it. It is safe for concurrent use.
type Target interface {
	// Send makes one attempt and returns its result. It returns when ctx ends; a streamed answer outlasts ctx.
	Send(ctx context.Context, a Attempt) Reply
	// Probe requests the endpoint's load report.
	Probe() Reply
	// Close ends the use of the target for new attempts. Attempts that were already sent continue.
	Close()
	// CloseUnusedSince closes the idle connections that were last used before the given time.
	CloseUnusedSince(before time.Time)
}

// Attempt describes an attempt to the target that sends it. Its functions may be called from any goroutine.
type Attempt struct {
	Request  any             // Payload of the Request
	Deadline balancer.Micros // the loop counts the attempt as timed out from then on
	// Begin must be called right before the first byte is sent. If it returns false, nothing may be sent.
	Begin func(now balancer.Micros) bool
	// MayContinue must be called before each further step of the attempt, such as sending it on another connection,
	// which is not taken if it returns false: the endpoint may have begun to drain in the meantime.
	MayContinue func(now balancer.Micros) bool
	// BodyEnding must be called right before the last byte of a streamed body is sent. If it returns false, nothing
	// more may be sent: the attempt has ended, and counts as one that never ran.
	BodyEnding func() bool
	// BodySent must be called when a streamed body has been sent completely.
	BodySent func(now balancer.Micros)
}
