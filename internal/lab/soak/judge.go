package soak

import (
	"fmt"
	"sort"
	"time"
)

// Rule is a guarantee to callers, or one about the operation of a sidecar. Its values are part of stored results.
type Rule string

// Rules that a run is checked against.
const (
	OneAnswer   Rule = "one final answer"
	NoRepeat    Rule = "no repeat of an unsafe request"
	ClientGone  Rule = "no attempt for a client that has gone"
	AfterDrain  Rule = "nothing new after a drain"
	Limits      Rule = "limits of the fleet"
	Readiness   Rule = "nine in ten restarts are ready in time"
	Descriptors Rule = "descriptors are back where they were"
	Crash       Rule = "no process ends by itself"
)

const (
	abandonGrace    = 100 * time.Millisecond // after a client abandoned its request, in which an attempt may begin
	drainGrace      = 500 * time.Millisecond // after a drain is reported, in which an attempt may begin
	arrivalSlack    = 100 * time.Millisecond // from an attempt's first byte until the lab's server records it
	connectGrace    = 400 * time.Millisecond // after SIGTERM, in which a process still accepts connections
	crossingSlack   = 50 * time.Millisecond  // between a signal and its record in the lab
	readyTimeout    = 10 * time.Second
	minRestarts     = 10  // with fewer restarts the share of late ones is not judged: it says too little
	maxLateRestarts = 0.1 // share of all restarts
	maxExamples     = 5   // violations of a rule that a result lists
)

// period is a time in which a fault was injected into a daemon.
type period struct {
	from, to time.Time
}

func (p period) overlaps(from, to time.Time) bool { return p.from.Before(to) && from.Before(p.to) }

func anyOverlaps(periods []period, from, to time.Time) bool {
	for _, p := range periods {
		if p.overlaps(from, to) {
			return true
		}
	}
	return false
}

// daemonHistory holds the times of the faults injected into a daemon.
type daemonHistory struct {
	killed      []period    // from a SIGKILL without a SIGTERM before it until the next process is ready
	terminated  []period    // from SIGTERM until the next process is ready
	endedByKill []time.Time // when SIGKILL ended a process that had received SIGTERM
	stopped     []period
	quiet       []period // its discovery reported no changes
}

// drain is the time in which a server was reported as draining.
type drain struct {
	server int
	period
}

// evidence holds everything that clients, servers and the lab observed in a run.
type evidence struct {
	requests        []*request
	arrivals        map[string][]arrivedAttempt // by ID of the request
	daemons         []daemonHistory
	drains          []drain
	fullDescriptors bool            // idle clients used up the daemons' descriptors
	realTime        bool            // rules with a bound in real time are judged
	restarts        []time.Duration // time until ready of each
	observed        []Violation     // found during the run
}

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
}

// judge returns the violations, at most maxExamples of a rule, and the number of violations by rule.
func (e *evidence) judge() (examples []Violation, counts map[Rule]int) {
	counts = map[Rule]int{}
	add := func(v Violation) {
		counts[v.Rule]++
		if counts[v.Rule] <= maxExamples {
			examples = append(examples, v)
		}
	}
	for _, v := range e.observed {
		add(v)
	}
	for _, r := range e.requests {
		for _, v := range e.judgeRequest(r) {
			add(v)
		}
	}
	if e.realTime {
		for _, v := range e.judgeDrains() {
			add(v)
		}
		if v, broken := e.judgeRestarts(); broken {
			add(v)
		}
	}
	return examples, counts
}

func (e *evidence) judgeRequest(r *request) (violations []Violation) {
	attempts := e.arrivals[r.id]
	describe := func(rule Rule, reason string) Violation {
		took := r.endedAt.Sub(r.sentAt).Round(time.Millisecond)
		return Violation{rule, fmt.Sprintf("request %s to d%d %s: %s; %v after %v, %d attempts, new connection %v",
			r.id, r.daemon, r.path, reason, r.outcome, took, len(attempts), r.newConn)}
	}
	if r.nonIdempotent && len(attempts) > 1 {
		violations = append(violations, describe(NoRepeat, "it came to servers more than once"))
	}
	if r.trailingBytes > 0 {
		violations = append(violations,
			describe(OneAnswer, fmt.Sprintf("%d bytes followed its answer", r.trailingBytes)))
	}
	if reason := e.missingAnswerReason(r, attempts); reason != "" {
		violations = append(violations, describe(OneAnswer, reason))
	}
	if r.outcome == abandoned && e.realTime && len(attempts) > 0 {
		late := attempts[0].at.Sub(r.endedAt)
		if late > abandonGrace+arrivalSlack && !anyOverlaps(e.daemons[r.daemon].stopped, r.sentAt, attempts[0].at) {
			violations = append(violations, describe(ClientGone,
				fmt.Sprintf("its first attempt came %v after its client had left", late.Round(time.Millisecond))))
		}
	}
	return violations
}

// missingAnswerReason returns why a request without an answer should have received one, or "" if the missing answer is
// excused or the request has one.
func (e *evidence) missingAnswerReason(r *request, attempts []arrivedAttempt) string {
	history := &e.daemons[r.daemon]
	until := r.endedAt.Add(crossingSlack)
	if r.outcome == answered || r.outcome == abandoned ||
		anyOverlaps(history.killed, r.sentAt, until) || anyOverlaps(history.stopped, r.sentAt, until) {
		return ""
	}
	if !e.realTime && (r.outcome == timedOut || e.openAtKill(r)) {
		return "" // the cause may be a busy machine
	}
	if r.outcome == timedOut {
		if r.newConn && e.connectedLate(r) {
			return "" // the connection waits for the next process to accept it
		}
		return "it had no answer half a second past its time"
	}
	if len(attempts) > 0 {
		return "it was read, and its connection ended without a complete answer"
	}
	if r.newConn && e.realTime && !e.connectedLate(r) && !e.fullDescriptors {
		return "its new connection ended without an answer"
	}
	return "" // the request was sent just as the sidecar closed the idle connection
}

// openAtKill reports whether a request was open when SIGKILL ended its process after a SIGTERM.
func (e *evidence) openAtKill(r *request) bool {
	for _, at := range e.daemons[r.daemon].endedByKill {
		if r.sentAt.Before(at) && at.Before(r.endedAt.Add(crossingSlack)) {
			return true
		}
	}
	return false
}

// connectedLate reports whether a request's connection was opened so long after a SIGTERM that it may have come to
// the listening socket after the process had stopped accepting.
func (e *evidence) connectedLate(r *request) bool {
	for _, p := range e.daemons[r.daemon].terminated {
		if r.dialledAt.After(p.from.Add(connectGrace)) && r.dialledAt.Before(p.to) {
			return true
		}
	}
	return false
}

// judgeDrains finds attempts sent to a draining server after drainGrace, by a process that ran and received reports all
// the time since the drain.
func (e *evidence) judgeDrains() (violations []Violation) {
	for id, attempts := range e.arrivals {
		for _, attempt := range attempts {
			for _, drained := range e.drains {
				late := attempt.at.Sub(drained.from)
				isLate := attempt.server == drained.server && late > drainGrace+arrivalSlack &&
					!attempt.at.After(drained.to)
				if !isLate || e.interrupted(attempt.daemon, drained.from, attempt.at) {
					continue
				}
				detail := fmt.Sprintf("request %s of d%d came to server %d %v after its drain",
					id, attempt.daemon, attempt.server, late.Round(time.Millisecond))
				violations = append(violations, Violation{AfterDrain, detail})
			}
		}
	}
	sort.Slice(violations, func(i, j int) bool { return violations[i].Detail < violations[j].Detail })
	return violations
}

// interrupted reports whether a daemon's process did not run or received no reports for a part of a time, or in the
// second before it.
func (e *evidence) interrupted(daemon int, from, to time.Time) bool {
	history := &e.daemons[daemon]
	for _, periods := range [][]period{history.killed, history.terminated, history.stopped, history.quiet} {
		if anyOverlaps(periods, from.Add(-time.Second), to) {
			return true
		}
	}
	return false
}

// judgeRestarts checks the share of restarts that were ready within readyTimeout.
func (e *evidence) judgeRestarts() (v Violation, broken bool) {
	late := 0
	for _, took := range e.restarts {
		if took > readyTimeout {
			late++
		}
	}
	if len(e.restarts) < minRestarts || float64(late) <= maxLateRestarts*float64(len(e.restarts)) {
		return Violation{}, false
	}
	detail := fmt.Sprintf("%d of %d were not ready within %v", late, len(e.restarts), readyTimeout)
	return Violation{Readiness, detail}, true
}
