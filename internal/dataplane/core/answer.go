package core

import (
	"time"

	"birchmoor/balancer"
)

// Disposition is the result of a request for its client.
type Disposition uint8

// The dispositions.
const (
	Served        Disposition = iota
	Rejected                  // the request never ran: the client may safely retry it
	Failed                    // the request may have run
	FailedTimeout             // failed, and the last attempt timed out
	DuplicateID               // not accepted: another open request has the same ID
)

// Answer is the final answer to a request.
type Answer struct {
	Disposition Disposition
	RetryAfter  time.Duration   // only for Rejected; 0 for no Retry-After
	Reply       *Reply          // only for Served
	MayHaveRun  bool            // whether sending of an attempt has begun
	StreamEnded func(StreamEnd) // must be called when the stream has ended; nil if the answer is not streamed
}

// Discard releases an answer that no client receives, and reports its stream, if any, as abandoned.
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
	At              balancer.Micros // when the result was known, on the loop's clock
	Load            []float32       // the endpoint's load report
	Content         Content         // nil without an answer of the endpoint
	RequestConsumed bool            // the body was streamed from the client, so that the request cannot be sent again
}

// Release releases the content of a reply that no client receives.
func (r *Reply) Release() {
	if r.Content != nil {
		r.Content.Release()
	}
}

// Content is the protocol's representation of an endpoint's answer.
type Content interface {
	// Streams reports whether the content is passed on to the client while it arrives. Such an answer is final, and
	// the end of the stream is reported later.
	Streams() bool
	// Release frees the resources of the content. Further calls do nothing.
	Release()
}

// StreamEnd is the reason why a streamed answer ended.
type StreamEnd uint8

// The ends of a stream.
const (
	StreamComplete  StreamEnd = iota
	StreamCut                 // the endpoint broke the stream off
	StreamAbandoned           // the client left, or the answer was discarded
)
