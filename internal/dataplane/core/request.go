package core

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"birchmoor/balancer"
)

// Request is a client's request in the loop.
type Request struct {
	ID            string // chosen by the client
	Class         string
	Config        *ConfigSnapshot
	Input         balancer.Request // for the decision module; the loop sets the ID
	Payload       any              // the request as the protocol's targets expect it
	StreamsBody   bool             // the body is streamed, and cannot be sent again once sending has begun
	Answer        chan Answer      // receives the one final answer; must have a buffer of one
	TimeAfterBody balancer.Micros  // for a streamed body: the client's timeout from the last byte of the body
	MaxAttempts   int              // limit of the protocol, if lower than that of the settings; 0 for none
	// ClientDisconnected reports whether the client has closed its connection. It may be called from any goroutine; nil
	// if the protocol cannot tell.
	ClientDisconnected func() bool

	// Only the loop's goroutine accesses the following fields.
	attempts     []*attemptState
	openAttempts int  // attempts without an outcome
	ended        bool // the request has its final answer
	timedOut     bool // the last outcome was a timeout
}

// maxAttempts returns the maximum number of attempts of the request.
func (r *Request) maxAttempts() int {
	limit := r.Config.Settings.Limits.MaxAttempts
	if r.MaxAttempts <= 0 {
		return limit
	}
	return min(limit, r.MaxAttempts)
}

// waitForEarlierAttempts returns a function that waits until Target.Send has returned for all attempts so far, since a
// cancelled attempt is in flight until its connection is closed. The function returns at once if the settings allow
// hedged requests, or if the transport accepts late replies.
func (r *Request) waitForEarlierAttempts(transport Transport) func() {
	if r.Config.Settings.Limits.HedgedRequests || transport.AcceptsLateReplies() {
		return func() {}
	}
	earlier := slices.Clone(r.attempts)
	return func() {
		for _, attempt := range earlier {
			<-attempt.sendDone
		}
	}
}

// retryDeadline returns the time from which on no further attempt may begin, or math.MaxInt64 for no limit. Servers
// that drop duplicates by their idempotency key remember the key only for the class's window, which starts with the
// first attempt that may have run.
func (r *Request) retryDeadline() balancer.Micros {
	class := &r.Config.Settings.Classes[r.Input.Class]
	if class.Idempotency != balancer.WithIdempotencyKey {
		return math.MaxInt64
	}
	for _, attempt := range r.attempts {
		if !attempt.neverRan {
			return attempt.startedAt + class.DedupWindow
		}
	}
	return math.MaxInt64
}

// attemptPhase tells whether the module has the outcome of an attempt.
type attemptPhase uint8

const (
	attemptOpen      attemptPhase = iota // the module has no outcome yet
	attemptDone                          // the module has its outcome
	attemptLateReply                     // the module has a timeout as its outcome, but a late reply is still accepted
)

// Causes that end an attempt's context before Target.Send has returned.
var (
	ErrAttemptTimedOut  = errors.New("the attempt timed out")
	ErrAttemptCancelled = errors.New("the attempt was cancelled")
)

// attemptState is an attempt in the loop: one call of Target.Send on a goroutine of its own, which posts one result to
// the loop. The loop passes one outcome on to the module.
type attemptState struct {
	request     *Request
	number      int // index in request.attempts
	endpoint    *endpointState
	startedAt   balancer.Micros // start, or the end of a streamed body, on the loop's clock
	startedTime time.Time       // the same time as startedAt
	deadline    balancer.Micros
	timeout     *timer // fires at deadline; nil if the attempt is never sent
	gate        gate   // of the first byte
	bodyGate    gate   // of the last byte of a streamed body
	cancel      context.CancelCauseFunc
	sendDone    chan struct{} // closed once Target.Send has returned

	phase     attemptPhase
	neverRan  bool // the outcome proves that the attempt never ran
	uploading bool // the streamed body has not been sent completely
}

// gate decides once whether a byte of an attempt is sent: by pass on the attempt's goroutine or by close on the
// loop's, whichever comes first.
type gate struct{ state atomic.Int32 }

const (
	gateOpen int32 = iota
	gatePassed
	gateClosed
)

// pass reports whether the byte may be sent.
func (g *gate) pass() bool { return g.state.CompareAndSwap(gateOpen, gatePassed) }

func (g *gate) hasPassed() bool { return g.state.Load() == gatePassed }

// close keeps the attempt from being sent, unless pass came first. It reports whether the gate is closed: if so the
// attempt never runs, otherwise sending has begun.
func (g *gate) close() bool {
	g.state.CompareAndSwap(gateOpen, gateClosed)
	return g.state.Load() == gateClosed
}
