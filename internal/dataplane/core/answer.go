package core

import (
	"time"

	"birchmoor/balancer"
)

// Disposition is how a request ended for its client.
type Disposition uint8

// The dispositions.
const (
	Served        Disposition = iota
	Rejected                  // nothing has run: a retry is harmless
	Failed                    // it may have run
	FailedTimeout             // failed, and the last attempt timed out
	DuplicateID               // not accepted: another request with its ID is open
)

// Answer is the final answer to a request.
type Answer struct {
	Disposition Disposition
	RetryAfter  time.Duration   // Rejected only; 0 is no advice
	Reply       *Reply          // Served only
	MayHaveRun  bool            // an attempt has begun to be sent
	StreamEnded func(StreamEnd) // must be called when a streamed answer has ended; nil for a complete one
}

// Discard releases an answer that no client receives.
func (a Answer) Discard() {
	if a.Reply != nil {
		a.Reply.Release()
	}
	if a.StreamEnded != nil {
		a.StreamEnded(StreamAbandoned)
	}
}

// Reply is the result of an attempt or a probe.
type Reply struct {
	Status          balancer.Status
	At              balancer.Micros
	Load            []float32 // the endpoint's load report
	Content         Content   // nil for none
	RequestConsumed bool      // the request cannot be sent again
}

// Release releases a reply that no client receives.
func (r *Reply) Release() {
	if r.Content != nil {
		r.Content.Release()
	}
}

// Content is an answer in the terms of its protocol.
type Content interface {
	// Streams reports whether it is passed on while it arrives. It is then the final answer, and how it ends is
	// reported later.
	Streams() bool
	// Release frees its resources. Further calls do nothing.
	Release()
}

// StreamEnd is how passing on a streamed answer ended.
type StreamEnd uint8

// The ends of a stream.
const (
	StreamComplete  StreamEnd = iota
	StreamCut                 // by the endpoint
	StreamAbandoned           // by the client, or since there is none
)
