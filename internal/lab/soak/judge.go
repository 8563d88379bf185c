package soak

import (
	"fmt"
	"sort"
	"time"
)

// Rule is a promise to callers, or of the operation of a sidecar.
type Rule string

// The rules.
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
	goneGrace       = 100 * time.Millisecond // after a client's leaving, in which an attempt may begin
	drainGrace      = 500 * time.Millisecond // after a drain is reported, in which an attempt may begin
	arrivalSlack    = 100 * time.Millisecond // from an attempt's first byte until the lab's server notes it
	connectGrace    = 400 * time.Millisecond // after SIGTERM, in which clients still connect
	crossingSlack   = 50 * time.Millisecond  // between a signal and its note in the lab
	readyTimeout    = 10 * time.Second
	minRestarts     = 10 // below which the share of those in time says nothing
	maxLateRestarts = 0.1
	maxExamples     = 5 // of a rule
)

// period is a time in which something was done to a daemon.
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

// daemonHistory is what was done to a daemon.
type daemonHistory struct {
	killed      []period    // from a SIGKILL without a SIGTERM before it until the next process is ready
	terminated  []period    // from SIGTERM until the next process is ready
	endedByKill []time.Time // of those terminated, when SIGKILL came
	stopped     []period
	quiet       []period // its discovery said nothing new
}

// drain is a time in which a server drained.
type drain struct {
	server int
	period
}

// evidence is all that was seen of a run.
type evidence struct {
	requests  []*request
	arrivals  map[string][]arrival
	daemons   []daemonHistory
	drains    []drain
	crowd     bool
	realTime  bool // rules with a bound in real time are judged
	restarts  []time.Duration
	otherwise []Violation // found while it ran
}

// Violation is one breach of a rule.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
}

// judge returns the violations, at most maxExamples of a rule, and how many there are of each.
func (e *evidence) judge() (examples []Violation, counts map[Rule]int) {
	counts = map[Rule]int{}
	add := func(v Violation) {
		counts[v.Rule]++
		if counts[v.Rule] <= maxExamples {
			examples = append(examples, v)
		}
	}
	for _, v := range e.otherwise {
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

func (e *evidence) judgeRequest(r *request) (all []Violation) {
	attempts := e.arrivals[r.id]
	describe := func(rule Rule, what string) Violation {
		took := r.endedAt.Sub(r.sentAt).Round(time.Millisecond)
		return Violation{rule, fmt.Sprintf("request %s to d%d %s: %s; %v after %v, %d attempts, new connection %v",
			r.id, r.daemon, r.path, what, r.outcome, took, len(attempts), r.newConn)}
	}
	if r.unsafe && len(attempts) > 1 {
		all = append(all, describe(NoRepeat, "it came to servers more than once"))
	}
	if r.surplus > 0 {
		all = append(all, describe(OneAnswer, fmt.Sprintf("%d bytes followed its answer", r.surplus)))
	}
	if what := e.lost(r, attempts); what != "" {
		all = append(all, describe(OneAnswer, what))
	}
	if r.outcome == abandoned && e.realTime && len(attempts) > 0 {
		late := attempts[0].at.Sub(r.endedAt)
		if late > goneGrace+arrivalSlack && !anyOverlaps(e.daemons[r.daemon].stopped, r.sentAt, attempts[0].at) {
			all = append(all, describe(ClientGone, fmt.Sprintf("its first attempt came %v after its client had left",
				late.Round(time.Millisecond))))
		}
	}
	return all
}

// lost says why a request without an answer should have had one, or "".
func (e *evidence) lost(r *request, attempts []arrival) string {
	d := &e.daemons[r.daemon]
	until := r.endedAt.Add(crossingSlack)
	if r.outcome == answered || r.outcome == abandoned ||
		anyOverlaps(d.killed, r.sentAt, until) || anyOverlaps(d.stopped, r.sentAt, until) {
		return ""
	}
	if !e.realTime && (r.outcome == timedOut || e.openAtKill(r)) {
		return "" // a busy machine may be the cause
	}
	if r.outcome == timedOut {
		if r.newConn && e.connectedLate(r) {
			return "" // it waits for the next process
		}
		return "it had no answer half a second past its time"
	}
	if len(attempts) > 0 {
		return "it was read, and its connection ended without a complete answer"
	}
	if r.newConn && e.realTime && !e.connectedLate(r) && !e.crowd {
		return "its new connection ended without an answer"
	}
	return "" // it crossed the end of an idle connection
}

// openAtKill reports whether a request was open as SIGKILL ended its process after a SIGTERM.
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

// judgeDrains finds attempts at a draining server by a process to which the drain was reported, and which ran
// all the time.
func (e *evidence) judgeDrains() (all []Violation) {
	for id, attempts := range e.arrivals {
		for _, a := range attempts {
			for _, d := range e.drains {
				late := a.at.Sub(d.from)
				isLate := a.server == d.server && late > drainGrace+arrivalSlack && !a.at.After(d.to)
				if !isLate || e.interrupted(a.daemon, d.from, a.at) {
					continue
				}
				what := fmt.Sprintf("request %s of d%d came to server %d %v after its drain",
					id, a.daemon, a.server, late.Round(time.Millisecond))
				all = append(all, Violation{AfterDrain, what})
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Detail < all[j].Detail })
	return all
}

// interrupted reports whether a daemon's process did not run, or got no reports, for a part of a time.
func (e *evidence) interrupted(daemon int, from, to time.Time) bool {
	d := &e.daemons[daemon]
	for _, periods := range [][]period{d.killed, d.terminated, d.stopped, d.quiet} {
		if anyOverlaps(periods, from.Add(-time.Second), to) {
			return true
		}
	}
	return false
}

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
	what := fmt.Sprintf("%d of %d were not ready within %v", late, len(e.restarts), readyTimeout)
	return Violation{Readiness, what}, true
}
