// Package core is the part of a sidecar that knows no protocol: one event loop that owns the decision module
// (package balancer), the list of endpoints, operators' marks, alarms, the settings of the moment, and the requests that
// are open. A front brings a Call and gets its one Answer; a Transport makes the attempts and probes that the module
// asks for. No file but loop.go, marks.go and recall.go calls the balancer, and none does I/O.
package core

import (
	"context"
	"sync/atomic"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/discovery"
)

// Clock tells microseconds: Unix time at its start, monotonic from there.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time.
func (c Clock) Now() balancer.Micros {
	return c.start.UnixMicro() + time.Since(c.start).Microseconds()
}

// Disposition is how a request ended for its client.
type Disposition uint8

const (
	Served Disposition = iota
	Rejected
	Failed
	FailedTimeout // as failed, and the last attempt ran out of time
	DuplicateID   // not taken: another request with its id is open
)

// Answer is the final answer to a request.
type Answer struct {
	Disposition Disposition
	RetryAfter  time.Duration   // refused only; 0 is no advice
	Reply       *Reply          // served only
	MayHaveRun  bool            // an attempt has begun to go out: it may have run
	StreamEnded func(StreamEnd) // is told how an answer that flows ended; nil for one that is whole
}

// Discard gives back what an answer holds that nobody gets.
func (a Answer) Discard() {
	if a.Reply != nil {
		a.Reply.Release()
	}
	if a.StreamEnded != nil {
		a.StreamEnded(StreamAbandoned)
	}
}

// Reply is what came of an attempt or a probe.
type Reply struct {
	Status          balancer.Status
	At              balancer.Micros
	Load            []float32
	Content         Content // nil for none
	RequestConsumed bool    // the request cannot be sent again
}

// Release gives back what a reply holds that nobody gets.
func (r *Reply) Release() {
	if r.Content != nil {
		r.Content.Release()
	}
}

// Content is an answer in the terms of its protocol.
type Content interface {
	// Streams says whether it is passed on while it comes: it is the final answer, and how it ends is told later.
	Streams() bool
	// Release gives back what it holds. Another call does nothing.
	Release()
}

// StreamEnd is how passing an answer on ended.
type StreamEnd uint8

const (
	StreamComplete  StreamEnd = iota
	StreamCut                 // the endpoint's fault
	StreamAbandoned           // the client's, or nobody's
)

// Transport is the upstream side of a protocol.
type Transport interface {
	// Target returns where an endpoint listens. What it keeps for the endpoint is that one's own: a new endpoint may
	// listen where one has gone, and what was meant for the one must not reach the other.
	Target(addr string) Target
	// SetConfig takes a new configuration.
	SetConfig(c *config.Config)
	// AcceptsLateReplies says whether an attempt goes on when its time is up, at no cost, until its request has an answer: then
	// an answer that comes late is still the client's. The module hears of a time-out all the same.
	AcceptsLateReplies() bool
}

// Target is where an endpoint listens. Its methods may be called from any goroutine.
type Target interface {
	// Send makes one attempt and returns how it ended. When ctx ends the attempt does, unless its answer has begun to
	// flow.
	Send(ctx context.Context, o Attempt) Reply
	// Probe asks for the endpoint's load.
	Probe() Reply
	// Close ends the use of the target. What is out there goes on.
	Close()
	// CloseUnusedSince gives up what was kept for the target and last used before an instant.
	CloseUnusedSince(before time.Time)
}

// Attempt is an attempt as its target gets it.
type Attempt struct {
	Request  any             // the call's
	Deadline balancer.Micros // after it the attempt counts as timed out
	// Begin is asked last, right before the first byte; if it says no, nothing goes out.
	Begin func(now balancer.Micros) bool
	// MayContinue is asked before anything else that begins anew, such as the same on another connection: the server may
	// have been told to drain meanwhile.
	MayContinue func(now balancer.Micros) bool
	// BodySent is called when a body that flows has gone out.
	BodySent func(now balancer.Micros)
}

// Request is a client's request on its way through the loop.
type Request struct {
	ID            string // the client's
	Class         string
	Config        *ConfigSnapshot
	Input         balancer.Request // but for the ID, which the loop gives
	Payload       any              // the request, for targets of its protocol
	StreamsBody   bool             // its body flows by: it cannot be sent again once it has begun to
	Answer        chan Answer      // holds the one final answer
	BudgetBytes   int              // bytes of the front's budget that its body takes
	TimeAfterBody balancer.Micros  // for a body that flows: the client's time, from its last byte on
	MaxAttempts   int              // attempts, where the protocol allows fewer than the settings; 0 for those
	ClientGone    func() bool      // looks, at the moment, whether the client has closed its connection, from any goroutine; nil: nobody can

	// The loop's own.
	attempts     []*attemptState
	openAttempts int // attempts without outcome
	ended        bool
	timedOut     bool // the last outcome was a time-out
}

// attemptState is one Send. Its goroutine reports to the loop once; the loop tells the balancer once.
type attemptState struct {
	request     *Request
	number      int
	endpoint    *endpoint
	startedAt   balancer.Micros
	startedTime time.Time // the same
	deadline    balancer.Micros
	gate        gate
	cancel      context.CancelFunc
	closed      chan struct{} // closed once nothing of it is out any more
	timeout     *timer
	done        bool // the balancer knows the outcome
	timedOut    bool // and it was a time-out, while the attempt goes on

	neverRan  bool // its outcome proves that
	uploading bool // its body is under way
}

// gate decides once whether an attempt's first byte goes out.
type gate struct{ state atomic.Int32 }

const (
	gateOpen int32 = iota
	gatePassed
	gateClosed
)

func (g *gate) pass() bool { return g.state.CompareAndSwap(gateOpen, gatePassed) }

// close keeps the attempt in, and says whether that was in time: then it never runs.
func (g *gate) close() bool {
	g.state.CompareAndSwap(gateOpen, gateClosed)
	return g.state.Load() == gateClosed
}

// endpoint is one of discovery's entries. Attempts read stopAt.
type endpoint struct {
	number         uint32
	addr           string
	target         Target
	state          balancer.State
	entry          discovery.Instance // the latest entry
	entryStartedMs int64              // of the latest entry that told it
	reportedDrain  discovery.Process  // what discovery told to drain, until it does no more
	peerStart      balancer.Micros    // by others' word, where discovery does not tell; 0: not known
	startObserved  bool               // this sidecar saw it begin
	adminDrained   bool               // operators have taken it out
	stopAt         atomic.Int64       // nothing new goes out from this instant on; 0: no such instant
}
