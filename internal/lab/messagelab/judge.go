package messagelab

import (
	"fmt"
	"net/http"
	"time"
)

// Rule is a guarantee to callers, or a limit of the platform.
type Rule string

// Rules that a run is checked against.
const (
	Answered       Rule = "every request that was read has an answer"
	Late           Rule = "no answer comes half a second late"
	Cut            Rule = "no answer that a server still writes is cut off"
	Delayed        Rule = "the rest of an answer is not delayed by 2 s"
	Foreign        Rule = "the answer is the one made for the request"
	NoRepeat       Rule = "no repeat of an unsafe request"
	Gone           Rule = "no attempt for a client that has gone"
	PassedDeadline Rule = "the deadline passed on is what the client has left"
	Memory         Rule = "memory stays within its limit"
	Crash          Rule = "no process ends by itself"
)

const (
	lateAfter     = 500 * time.Millisecond
	delayedAfter  = 2 * time.Second
	goneAfter     = 100 * time.Millisecond
	deadlineSlack = 150 * time.Millisecond
	labSlack      = 100 * time.Millisecond // between an event and its record in the lab
	maxLateness   = 50 * time.Millisecond  // of the lab; beyond it, rules with a bound in real time are not judged
	maxExamples   = 5                      // violations of a rule that a result lists
)

// Violation is one violation of a rule.
type Violation struct {
	Rule   Rule   `json:"rule"`
	Detail string `json:"detail"`
}

// dueAt returns when a request's answer is due; zero if the client did not write its last byte.
func (r *record) dueAt() time.Time {
	if r.writtenAt.IsZero() {
		return time.Time{}
	}
	return r.writtenAt.Add(r.plan.wait)
}

// isServed reports whether the client got all of a server's answer.
func (r *record) isServed() bool { return r.outcome == answered && r.status == http.StatusOK }

// judge checks a request against all rules. realTime reports whether rules with a bound in real time are checked.
func (r *run) judge(rec *record, realTime bool) {
	attempts := r.servers.attempts[rec.plan.id]
	report := func(rule Rule, format string, args ...any) {
		p := rec.plan
		r.violateLocked(rule, fmt.Sprintf("%s n%d %s, %d bytes %s, server reads %d then %d/s, wait %v: "+
			"answer %s %s %d bytes: %s (%s, status %d, %d bytes, written after %v, first byte %v, end %v, %d attempts, "+
			"new connection %v)",
			p.id, rec.sidecar, p.class.name, p.requestBytes, p.requestFraming, p.serverReads, p.serverReadRate, p.wait,
			p.form, p.answerFraming, p.answerBytes, fmt.Sprintf(format, args...), rec.outcome, rec.status, rec.received,
			since(rec.startedAt, rec.writtenAt), since(rec.startedAt, rec.firstAt), since(rec.startedAt, rec.endedAt),
			len(attempts), rec.newConn))
	}
	isIncomplete := rec.outcome == answered && rec.received != rec.plan.answerBytes
	if rec.status == http.StatusOK && (!rec.intact || isIncomplete) {
		report(Foreign, "its content is not the request's")
	}
	r.judgeAttempts(rec, attempts, realTime, report)
	if r.excused(rec) {
		return
	}
	switch rec.outcome {
	case closed:
		isNewAndUnread := rec.newConn && (len(attempts) == 0 || rec.again)
		if !isNewAndUnread && len(attempts) > 0 || isNewAndUnread && !rec.writtenAt.IsZero() && !r.hasCrowd() {
			report(Answered, "it was sent, and its connection ended")
		}
	case timedOut:
		report(Answered, "it had no answer %v after its last byte", patience)
	case broken:
		report(Cut, "its answer broke off")
	case answered:
		if realTime {
			judgeTimes(rec, attempts, report)
		}
	case abandoned:
	}
}

// judgeTimes checks when an answer began and ended.
func judgeTimes(rec *record, attempts []*attempt, report reporter) {
	at := rec.endedAt
	if !rec.isServed() || rec.plan.answerIsLong() || rec.plan.readRate > 0 {
		at = rec.firstAt
	}
	if due := rec.dueAt(); !due.IsZero() && at.Sub(due) > lateAfter+labSlack {
		report(Late, "%v after its time", at.Sub(due).Round(time.Millisecond))
	}
	if !rec.isServed() || rec.plan.readRate > 0 {
		return
	}
	var answeredAt time.Time // when the last attempt's answer was complete: it is not known which one was passed on
	for _, a := range attempts {
		if a.answeredAt.After(answeredAt) {
			answeredAt = a.answeredAt
		}
	}
	if held := rec.endedAt.Sub(answeredAt); !answeredAt.IsZero() && held > delayedAfter+labSlack {
		report(Delayed, "its end came %v after the server had written it", held.Round(time.Millisecond))
	}
}

type reporter func(rule Rule, format string, args ...any)

func (r *run) judgeAttempts(rec *record, attempts []*attempt, realTime bool, report reporter) {
	ran := 0
	for _, a := range attempts {
		if !a.complete.IsZero() {
			ran++
			if !a.intact {
				report(Foreign, "the request's body was changed on the way")
			}
		}
	}
	isExcused := ran > 1 && rec.plan.comesAgain && r.restartedBetween(rec.sidecar, attempts)
	if rec.plan.class.notIdempotent && ran > 1 && !isExcused {
		report(NoRepeat, "it ran %d times", ran)
	}
	if r.excused(rec) {
		return
	}
	for _, a := range attempts {
		r.judgeAttempt(rec, a, realTime, report)
	}
}

func (r *run) judgeAttempt(rec *record, a *attempt, realTime bool, report reporter) {
	due := rec.dueAt()
	if rec.plan.comesAgain {
		return // its attempts are those of two requests
	}
	if rec.outcome == abandoned {
		if late := a.began.Sub(rec.endedAt); realTime && late > goneAfter+labSlack {
			report(Gone, "an attempt began %v after its client had left", late.Round(time.Millisecond))
		}
		return
	}
	if realTime && !due.IsZero() && rec.plan.requestBytes < longMessageBytes {
		passedOn := time.Duration(a.deadlineMillis) * time.Millisecond
		if left := due.Sub(a.began); passedOn > left+deadlineSlack+labSlack {
			report(PassedDeadline, "a server got a deadline of %v when %v was left", passedOn, left.Round(time.Millisecond))
		}
	}
	if a.cutAt.IsZero() || rec.isServed() || due.IsZero() {
		return
	}
	before := due.Sub(a.cutAt)
	isHeadInTime := !a.headAt.IsZero() && a.headAt.Before(due.Add(-labSlack))
	if rec.plan.answerIsLong() && isHeadInTime && (realTime || before > labSlack) {
		report(Cut, "closed %v before its time, %v after the head, %d bytes were given",
			before.Round(time.Millisecond), since(a.headAt, a.cutAt), a.given)
		return
	}
	if rec.plan.class.notIdempotent && before > labSlack {
		report(Cut, "closed %v before its time", before.Round(time.Millisecond))
	}
}

// restartedBetween reports whether a sidecar was restarted between the first and the last attempt of a request. No
// process can know what its client sent to an earlier one.
func (r *run) restartedBetween(sidecar int, attempts []*attempt) bool {
	for _, p := range r.excuses {
		first, last := attempts[0].began, attempts[len(attempts)-1].began
		if p.restart && p.sidecar == sidecar && p.from.Before(last) && first.Before(p.to) {
			return true
		}
	}
	return false
}

// excused reports whether a fault explains what happened to a request.
func (r *run) excused(rec *record) bool {
	for _, p := range r.excuses {
		overlaps := p.sidecar == rec.sidecar && p.from.Before(rec.endedAt.Add(labSlack)) && rec.startedAt.Before(p.to)
		switch {
		case !overlaps:
		case p.unaccepted:
			if rec.newConn && rec.startedAt.After(p.from.Add(-labSlack)) {
				return true
			}
		case p.cutsOpen:
			isOpen := rec.startedAt.Before(p.to) && rec.endedAt.After(p.to.Add(-labSlack))
			isIncomplete := rec.writtenAt.IsZero() || rec.writtenAt.After(p.to.Add(-labSlack)) || !rec.firstAt.IsZero()
			if isOpen && isIncomplete {
				return true
			}
		default:
			return true
		}
	}
	return false
}

// since returns the time between two events, or -1 if the later one did not happen.
func since(from, to time.Time) time.Duration {
	if to.IsZero() {
		return -1
	}
	return to.Sub(from).Round(time.Millisecond)
}
