// Package checker checks a run of the lab against the rules of the service. It uses only what went over the sockets and
// what the lab knows about its own servers.
//
// The package imports nothing of the program under test and keeps its own counts, so that a fault of that program
// cannot hide itself. A test checks the imports.
package checker

import (
	"fmt"
	"sort"

	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

// Micros is an instant since the start of the run, or a duration, in microseconds.
type Micros = trace.Micros

// Settings are the parameters of the rules.
type Settings struct {
	NonIdempotent    []bool // by class of request; classes beyond its end are idempotent
	DrainGrace       Micros // after a drain was reported to a sidecar, until it must send no further attempts
	ClockSlack       Micros // added to DrainGrace for the difference between a sidecar's clock and the lab's
	OverloadMultiple float64
	// A server that is warming up is overloaded if it gets more than OverloadMultiple times its capacity for this long.
	OverloadWindow Micros
}

// SettingsFrom returns the settings of a scenario.
func SettingsFrom(s *scenario.Scenario, clockSlack Micros) Settings {
	settings := Settings{
		DrainGrace:       s.Rules.DrainGrace.Micros(),
		ClockSlack:       clockSlack,
		OverloadMultiple: s.Rules.OverloadMultiple,
		OverloadWindow:   s.Rules.OverloadWindow.Micros(),
	}
	for i := range s.Classes {
		settings.NonIdempotent = append(settings.NonIdempotent, s.Classes[i].NotIdempotent)
	}
	return settings
}

const (
	maxExamplesPerRule   = 10   // violations of a rule that a verdict lists
	meanWorkSampleWindow = 1000 // requests over which the mean work is averaged
)

// Checker takes the events of a run, in order. It is not safe for concurrent use.
type Checker struct {
	settings         Settings
	verdict          Verdict
	requests         map[uint64]*trackedRequest
	ended            []endedRequest // oldest first
	executionsByTask map[uint64]int // of requests that are not idempotent
	exclusions       map[sidecarServer]exclusions
	servers          map[int32]*slowStartServer
	stoppedSidecars  map[int32]bool // stopped or killed by the lab, and not yet started again
	meanWork         float64        // of a request, in microseconds
}

// New returns a checker that has taken no events.
func New(s Settings) *Checker {
	return &Checker{
		settings:         s,
		verdict:          Verdict{ViolationCounts: map[Rule]int{}},
		requests:         map[uint64]*trackedRequest{},
		executionsByTask: map[uint64]int{},
		exclusions:       map[sidecarServer]exclusions{},
		servers:          map[int32]*slowStartServer{},
		stoppedSidecars:  map[int32]bool{},
	}
}

func (c *Checker) addViolation(rule Rule, e *trace.Event, format string, args ...any) {
	c.verdict.ViolationCounts[rule]++
	if c.verdict.ViolationCounts[rule] > maxExamplesPerRule {
		return
	}
	c.verdict.Violations = append(c.verdict.Violations, Violation{
		Rule:    rule,
		At:      e.At,
		Request: e.Request,
		Server:  int(e.Server),
		Sidecar: int(e.Sidecar),
		Detail:  fmt.Sprintf(format, args...),
	})
}

// Take processes the next event. Events must come in the order of their time.
func (c *Checker) Take(e trace.Event) {
	switch e.Kind {
	case trace.RequestSent:
		c.handleRequest(&e)
	case trace.RequestAnswered:
		c.handleAnswer(&e)
	case trace.RequestAbandoned, trace.ClientCutOff:
		c.handleUnanswered(&e)
	case trace.AttemptSent:
		c.verdict.Counts.Attempts++
		c.checkDrain(&e)
	case trace.AttemptAccepted:
		c.verdict.Counts.Executions++
		c.checkSlowStart(&e)
		c.countExecution(&e)
	case trace.AttemptRejected:
		c.checkSlowStart(&e)
	case trace.ServerListed:
		c.handleNotice(&e)
	case trace.ServerStarted:
		c.servers[e.Server] = newSlowStartServer(&e)
	case trace.SidecarStateChanged:
		c.handleSidecarState(&e)
	}
}

// Finish ends the run at an instant and returns its verdict. Requests that are still open violate UnbalancedCounts. The
// checker must not be used afterwards.
func (c *Checker) Finish(now Micros) *Verdict {
	counts := &c.verdict.Counts
	if counts.ended() != counts.Requests {
		c.addViolation(UnbalancedCounts, &trace.Event{At: now},
			"asked %d, but served %d + refused %d + failed %d + gone %d = %d; %d are open", counts.Requests,
			counts.Served, counts.Rejected, counts.Failed, counts.Abandoned, counts.ended(), c.openRequests())
	}
	violations := c.verdict.Violations
	sort.SliceStable(violations, func(i, j int) bool { return violations[i].At < violations[j].At })
	return &c.verdict
}
