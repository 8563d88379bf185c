package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"birchmoor/balancer"
)

// clock tells microseconds: Unix time at its start, monotonic from there.
type clock struct{ start time.Time }

func (c clock) now() balancer.Micros {
	return c.start.UnixMicro() + time.Since(c.start).Microseconds()
}

// verdict is how a request ended for its client.
type verdict uint8

const (
	served verdict = iota
	refused
	failed
	failedLate // as failed, and the last attempt ran out of time
	idOpen     // not taken: another request with its id is open
)

// answer is the final answer to a request.
type answer struct {
	verdict    verdict
	retryAfter time.Duration // refused only; 0 is no advice
	reply      *reply        // served only
	flowed     func(flowEnd) // is told how an answer that flows ended; nil for one that is whole
}

// reply is what came of an attempt or a probe.
type reply struct {
	status  balancer.Status
	at      balancer.Micros
	load    []float32
	content content // nil for none
	spent   bool    // the request cannot be sent again
}

// release gives back what a reply holds that nobody gets.
func (r *reply) release() {
	if r.content != nil {
		r.content.Release()
	}
}

// content is an answer in the terms of its protocol.
type content interface {
	// Flows says whether it is passed on while it comes: it is the final answer, and how it ends is told later.
	Flows() bool
	// Release gives back what it holds. Another call does nothing.
	Release()
}

// flowEnd is how passing an answer on ended.
type flowEnd uint8

const (
	flowWhole flowEnd = iota
	flowCut           // the endpoint's fault
	flowLeft          // the client's, or nobody's
)

// transport is the upstream side of a protocol.
type transport interface {
	// Target returns where an endpoint listens. What it keeps for the endpoint is that one's own: a new endpoint may
	// listen where one has gone, and what was meant for the one must not reach the other.
	Target(addr string) target
	// Adopt takes a new configuration.
	Adopt(c *Config)
}

// target is where an endpoint listens. Its methods may be called from any goroutine.
type target interface {
	// Send makes one attempt with a call's request, and returns how it ended. mayGo is asked last, right before the
	// first byte; if it says no, nothing goes out. Whole is called when a body that flows has gone out. When ctx
	// ends the attempt does, unless its answer has begun to flow.
	Send(ctx context.Context, request any, deadline balancer.Micros, mayGo func(now balancer.Micros) bool,
		whole func(now balancer.Micros)) reply
	// Probe asks for the endpoint's load.
	Probe() reply
	// Drop ends the use of the target. What is out there goes on.
	Drop()
	// Flush gives up what was kept for the target and last used before an instant.
	Flush(before time.Time)
}

// call is a client's request on its way through the loop.
type call struct {
	id     string // the client's
	class  string
	config *view
	in     balancer.Request // but for the ID, which the loop gives
	out    any         // the request, for targets of its protocol
	flows  bool        // its body flows by: it cannot be sent again once it has begun to
	answer chan answer // holds the one final answer

	// The loop's own.
	attempts []*attempt
	held     int             // bytes of the budget that its body takes
	left     balancer.Micros // for a body that flows: the client's time, from its last byte on
	open     int             // attempts without outcome
	ended    bool
	late     bool // the last outcome was a time-out
}

// attempt is one Send. Its goroutine reports to the loop once; the loop tells the balancer once.
type attempt struct {
	call     *call
	number   int
	endpoint *endpoint
	sent     balancer.Micros
	began    time.Time // the same
	deadline balancer.Micros
	gate     gate
	cancel   context.CancelFunc
	timeUp   *alarm
	done     bool // the balancer knows the outcome

	uploading bool // its body is under way
}

// gate decides once whether an attempt's first byte goes out.
type gate struct{ state atomic.Int32 }

const (
	gateOpen int32 = iota
	gatePassed
	gateShut
)

func (g *gate) pass() bool { return g.state.CompareAndSwap(gateOpen, gatePassed) }

// shut keeps the attempt in, and says whether that was in time: then it never runs.
func (g *gate) shut() bool {
	g.state.CompareAndSwap(gateOpen, gateShut)
	return g.state.Load() == gateShut
}

// endpoint is one of discovery's entries. Attempts read stopAt.
type endpoint struct {
	number uint32
	addr   string
	to     target
	state  balancer.State
	told   Instance     // the latest entry
	banned bool         // operators have taken it out
	stopAt atomic.Int64 // nothing new goes out from this instant on; 0: no such instant
}
