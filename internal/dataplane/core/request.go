package core

import (
	"context"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"birchmoor/balancer"
)

// Request is a client's request on its way through the loop.
type Request struct {
	ID            string // the client's
	Class         string
	Config        *ConfigSnapshot
	Input         balancer.Request // but for the ID, which the loop sets
	Payload       any              // the request, for targets of its protocol
	StreamsBody   bool             // its body is streamed, and cannot be sent again once that has begun
	Answer        chan Answer      // receives the one final answer; needs room for it
	BudgetBytes   int              // of the front's budget that its body takes
	TimeAfterBody balancer.Micros  // for a streamed body: the client's time from its last byte on
	MaxAttempts   int              // where the protocol allows fewer than the settings; 0 for theirs
	// ClientGone reports whether the client has closed its connection. It may be called from any goroutine; nil: not
	// known.
	ClientGone func() bool

	// The following belong to the loop's goroutine.
	attempts     []*attemptState
	openAttempts int // without an outcome
	ended        bool
	timedOut     bool // the last outcome was a timeout
}

// maxAttempts returns how many attempts the request may have.
func (r *Request) maxAttempts() int {
	limit := r.Config.Settings.Limits.MaxAttempts
	if r.MaxAttempts <= 0 {
		return limit
	}
	return min(limit, r.MaxAttempts)
}

// waitForOthers returns a function that waits until all attempts so far are closed, where the settings allow no hedged
// requests: a cancelled attempt runs until its connection is closed.
func (r *Request) waitForOthers(t Transport) func() {
	if r.Config.Settings.Limits.HedgedRequests || t.AcceptsLateReplies() {
		return func() {}
	}
	others := slices.Clone(r.attempts)
	return func() {
		for _, a := range others {
			<-a.closed
		}
	}
}

// retryDeadline returns the instant from which on no attempt may begin: servers that drop retries by their idempotency
// key remember the key only for the class's window, from the first attempt that may have run.
func (r *Request) retryDeadline() balancer.Micros {
	class := &r.Config.Settings.Classes[r.Input.Class]
	if class.Idempotency != balancer.WithIdempotencyKey {
		return math.MaxInt64
	}
	for _, a := range r.attempts {
		if !a.neverRan {
			return a.startedAt + class.DedupWindow
		}
	}
	return math.MaxInt64
}

// attemptPhase is how far an attempt has come for the module.
type attemptPhase uint8

const (
	attemptOpen      attemptPhase = iota
	attemptDone                   // the module has its outcome
	attemptLateReply              // the module has a timeout as its outcome, but a late reply is still accepted
)

// attemptState is one call of Target.Send. Its goroutine posts one result to the loop, which passes one outcome on to
// the module.
type attemptState struct {
	request     *Request
	number      int
	endpoint    *endpoint
	startedAt   balancer.Micros
	startedTime time.Time // the same instant
	deadline    balancer.Micros
	timeout     *timer
	gate        gate
	cancel      context.CancelFunc
	closed      chan struct{} // closed once nothing of it is running any more

	phase     attemptPhase
	neverRan  bool // its outcome proves that
	uploading bool // its streamed body is being sent
}

// gate decides once whether the first byte of an attempt is sent.
type gate struct{ state atomic.Int32 }

const (
	gateOpen int32 = iota
	gatePassed
	gateClosed
)

func (g *gate) pass() bool { return g.state.CompareAndSwap(gateOpen, gatePassed) }

func (g *gate) hasPassed() bool { return g.state.Load() == gatePassed }

// close keeps the attempt from being sent, and reports whether it did so in time: then the attempt never runs.
func (g *gate) close() bool {
	g.state.CompareAndSwap(gateOpen, gateClosed)
	return g.state.Load() == gateClosed
}
