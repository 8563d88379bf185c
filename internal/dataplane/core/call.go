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

// Verdict is how a request ended for its client.
type Verdict uint8

const (
	Served Verdict = iota
	Refused
	Failed
	FailedLate // as failed, and the last attempt ran out of time
	IDOpen     // not taken: another request with its id is open
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	RetryAfter time.Duration // refused only; 0 is no advice
	Reply      *Reply        // served only
	Ran        bool          // an attempt has begun to go out: it may have run
	Flowed     func(FlowEnd) // is told how an answer that flows ended; nil for one that is whole
}

// Drop gives back what an answer holds that nobody gets.
func (a Answer) Drop() {
	if a.Reply != nil {
		a.Reply.Release()
	}
	if a.Flowed != nil {
		a.Flowed(FlowLeft)
	}
}

// Reply is what came of an attempt or a probe.
type Reply struct {
	Status  balancer.Status
	At      balancer.Micros
	Load    []float32
	Content Content // nil for none
	Spent   bool    // the request cannot be sent again
}

// Release gives back what a reply holds that nobody gets.
func (r *Reply) Release() {
	if r.Content != nil {
		r.Content.Release()
	}
}

// Content is an answer in the terms of its protocol.
type Content interface {
	// Flows says whether it is passed on while it comes: it is the final answer, and how it ends is told later.
	Flows() bool
	// Release gives back what it holds. Another call does nothing.
	Release()
}

// FlowEnd is how passing an answer on ended.
type FlowEnd uint8

const (
	FlowWhole FlowEnd = iota
	FlowCut           // the endpoint's fault
	FlowLeft          // the client's, or nobody's
)

// Transport is the upstream side of a protocol.
type Transport interface {
	// Target returns where an endpoint listens. What it keeps for the endpoint is that one's own: a new endpoint may
	// listen where one has gone, and what was meant for the one must not reach the other.
	Target(addr string) Target
	// Adopt takes a new configuration.
	Adopt(c *config.Config)
	// KeepsLate says whether an attempt goes on when its time is up, at no cost, until its request has an answer: then
	// an answer that comes late is still the client's. The module hears of a time-out all the same.
	KeepsLate() bool
}

// Target is where an endpoint listens. Its methods may be called from any goroutine.
type Target interface {
	// Send makes one attempt and returns how it ended. When ctx ends the attempt does, unless its answer has begun to
	// flow.
	Send(ctx context.Context, o Order) Reply
	// Probe asks for the endpoint's load.
	Probe() Reply
	// Drop ends the use of the target. What is out there goes on.
	Drop()
	// Flush gives up what was kept for the target and last used before an instant.
	Flush(before time.Time)
}

// Order is an attempt as its target gets it.
type Order struct {
	Request  any             // the call's
	Deadline balancer.Micros // after it the attempt counts as timed out
	// Go is asked last, right before the first byte; if it says no, nothing goes out.
	Go func(now balancer.Micros) bool
	// More is asked before anything else that begins anew, such as the same on another connection: the server may
	// have been told to drain meanwhile.
	More func(now balancer.Micros) bool
	// Whole is called when a body that flows has gone out.
	Whole func(now balancer.Micros)
}

// Call is a client's request on its way through the loop.
type Call struct {
	ID     string // the client's
	Class  string
	View   *View
	In     balancer.Request // but for the ID, which the loop gives
	Out    any              // the request, for targets of its protocol
	Flows  bool             // its body flows by: it cannot be sent again once it has begun to
	Answer chan Answer      // holds the one final answer
	Held   int              // bytes of the front's budget that its body takes
	Left   balancer.Micros  // for a body that flows: the client's time, from its last byte on
	Most   int              // attempts, where the protocol allows fewer than the settings; 0 for those
	Gone   func() bool      // looks, at the moment, whether the client has closed its connection, from any goroutine; nil: nobody can

	// The loop's own.
	attempts []*attempt
	open     int // attempts without outcome
	ended    bool
	late     bool // the last outcome was a time-out
}

// attempt is one Send. Its goroutine reports to the loop once; the loop tells the balancer once.
type attempt struct {
	call     *Call
	number   int
	endpoint *endpoint
	sent     balancer.Micros
	began    time.Time // the same
	deadline balancer.Micros
	gate     gate
	cancel   context.CancelFunc
	over     chan struct{} // closed once nothing of it is out any more
	timeUp   *alarm
	done     bool // the balancer knows the outcome
	late     bool // and it was a time-out, while the attempt goes on

	neverRan  bool // its outcome proves that
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
	number  uint32
	addr    string
	to      Target
	state   balancer.State
	told    discovery.Instance // the latest entry
	started int64              // of the latest entry that told it
	drains  discovery.Process  // what discovery told to drain, until it does no more
	began   balancer.Micros    // by others' word, where discovery does not tell; 0: not known
	own     bool               // this sidecar saw it begin
	banned  bool               // operators have taken it out
	stopAt  atomic.Int64       // nothing new goes out from this instant on; 0: no such instant
}
