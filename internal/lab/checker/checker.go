// Package checker judges a run by the four rules, from what went over the sockets and the world's truth alone.
//
// It knows nothing of the program that it judges and imports none of it; a test holds that. Every count is its own.
package checker

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

// Micros is an instant since the start of the run, or a duration, in microseconds.
type Micros = trace.Micros

// Rule names a rule, or the balance of the counts.
type Rule string

// The rules. The first three are parts of "every request has exactly one final answer", the next two of "nothing
// runs twice that must not".
const (
	LostRequests        Rule = "lost requests"   // taken, and no answer by their time
	DuplicateAnswers    Rule = "double answers"  // a second final answer
	ForeignAnswers      Rule = "foreign answers" // an answer that no server made for the request
	DuplicateExecutions Rule = "duplicates"      // an unsafe request taken by a second server, or twice
	FalseRejections     Rule = "false refusals"  // "trying again is harmless" of an unsafe request that may have run
	TrafficAfterDrain   Rule = "late drains"     // sent to a server after the grace
	SlowStartOverload   Rule = "cold servers pushed over"
	UnbalancedCounts    Rule = "unbalanced counts" // asked is not served + refused + failed + gone
)

// Violation is one break of a rule.
type Violation struct {
	Rule    Rule   `json:"rule"`
	At      Micros `json:"at_us"`
	Request uint64 `json:"request,omitempty"`
	Server  int    `json:"server"`
	Sidecar int    `json:"sidecar"`
	Detail  string `json:"text"`
}

// Counts is what became of the clients' requests. Each that was asked is in exactly one of the others.
type Counts struct {
	Requests   int `json:"asked"`
	Served     int `json:"served"`
	Rejected   int `json:"refused"`
	Failed     int `json:"failed"`  // also those whose connection the sidecar closed
	Abandoned  int `json:"gone"`    // the client left without an answer
	Excused    int `json:"excused"` // of failed and gone, those whose sidecar the lab had killed or stopped
	Unread     int `json:"unheard"` // of gone, those that the sidecar never read
	Attempts   int `json:"sent"`    // attempts
	Executions int `json:"runs"`    // attempts that a server took
}

// Verdict is what the referee says of a run.
type Verdict struct {
	Counts          Counts       `json:"counts"`
	ViolationCounts map[Rule]int `json:"broken"`
	Violations      []Violation  `json:"breaches"` // the first of each rule
}

// Passed says whether all rules were kept.
func (v *Verdict) Passed() bool { return len(v.ViolationCounts) == 0 }

// String is "rules kept", or names what was broken and how often.
func (v *Verdict) String() string {
	if v.Passed() {
		return "rules kept"
	}
	var names []string
	for rule := range v.ViolationCounts {
		names = append(names, string(rule))
	}
	sort.Strings(names)
	for i, rule := range names {
		names[i] = fmt.Sprintf("%s %d", rule, v.ViolationCounts[Rule(rule)])
	}
	return "rules broken: " + strings.Join(names, ", ")
}

// Settings is what the rules are judged by.
type Settings struct {
	NonIdempotent    []bool // by class
	DrainGrace       Micros
	ClockSlack       Micros // further time, for what lies between a sidecar's clock and ours
	OverloadMultiple float64
	OverloadWindow   Micros
}

// SettingsFrom takes the settings from a scenario.
func SettingsFrom(s *scenario.Scenario, slack Micros) Settings {
	settings := Settings{DrainGrace: s.Rules.DrainGrace.Micros(), ClockSlack: slack, OverloadMultiple: s.Rules.FallMultiple,
		OverloadWindow: s.Rules.OverloadFor.Micros()}
	for i := range s.Classes {
		settings.NonIdempotent = append(settings.NonIdempotent, s.Classes[i].Unsafe)
	}
	return settings
}

const (
	maxExamplesPerRule         = 10               // breaches kept of each rule
	requestRetention           = 40 * 1000 * 1000 // for how long a request is known after its end
	slowStartTolerance         = 1.25             // of what a cold server bears: chance is 2 roots of its requests and 2, and no more than this
	slowStartToleranceRequests = 4                // and so many mean works
)

// Checker takes the events of a run, in order. It is not safe for concurrent use.
type Checker struct {
	settings         Settings
	verdict          Verdict
	examples         map[Rule]int
	requests         map[uint64]*request
	ended            []endedRequest // oldest first, to be forgotten
	executionsByTask map[uint64]int
	notices          map[sidecarServer]serverNotice
	servers          map[int32]*slowStartServer
	stoppedSidecars  map[int32]bool // sidecars that the lab keeps down
	meanWork         float64
}

type request struct {
	task       uint64
	class      uint8
	sidecar    int32
	answers    int
	ended      bool
	executions int
	excused    bool
}

type endedRequest struct {
	id uint64
	at Micros
}

type sidecarServer struct{ sidecar, server int32 }

type serverNotice struct {
	drainedAt    Micros // by discovery; meaningful if out
	drained      bool
	overriddenAt Micros
	overridden   bool
}

type slowStartServer struct {
	started      Micros
	capacity     float64
	initialShare float64
	duration     Micros
	samples      []workSample
	sampledWork  float64
	overloaded   bool
}

type workSample struct {
	at   Micros
	work float64
}

// New returns a referee.
func New(s Settings) *Checker {
	return &Checker{settings: s, verdict: Verdict{ViolationCounts: map[Rule]int{}}, examples: map[Rule]int{}, requests: map[uint64]*request{},
		executionsByTask: map[uint64]int{}, notices: map[sidecarServer]serverNotice{}, servers: map[int32]*slowStartServer{}, stoppedSidecars: map[int32]bool{}}
}

func (r *Checker) addViolation(rule Rule, e *trace.Event, format string, args ...any) {
	r.verdict.ViolationCounts[rule]++
	if r.examples[rule]++; r.examples[rule] <= maxExamplesPerRule {
		r.verdict.Violations = append(r.verdict.Violations, Violation{rule, e.At, e.Request, int(e.Server), int(e.Sidecar), fmt.Sprintf(format, args...)})
	}
}

// Take takes the next event.
func (r *Checker) Take(e trace.Event) {
	switch e.Kind {
	case trace.Asked:
		r.verdict.Counts.Requests++
		r.requests[e.Request] = &request{task: e.Task, class: e.Class, sidecar: e.Sidecar, excused: r.stoppedSidecars[e.Sidecar]}
		r.meanWork += (float64(e.Work) - r.meanWork) / float64(min(r.verdict.Counts.Requests, 1000))
		r.forgetOldRequests(e.At)
	case trace.Answered:
		r.handleAnswer(&e)
	case trace.Left, trace.Cut:
		r.handleUnanswered(&e)
	case trace.Sent:
		r.verdict.Counts.Attempts++
		r.checkDrain(&e)
	case trace.Accepted:
		r.verdict.Counts.Executions++
		r.checkSlowStart(&e)
		r.countExecution(&e)
	case trace.Turned:
		r.checkSlowStart(&e)
	case trace.Told:
		r.handleNotice(&e)
	case trace.Started:
		r.servers[e.Server] = &slowStartServer{started: e.At, capacity: e.Capacity, initialShare: e.ColdFrom, duration: e.ColdFor}
	case trace.Killed:
		r.handleSidecarState(&e)
	}
}

func (r *Checker) handleAnswer(e *trace.Event) {
	request := r.requests[e.Request]
	if request == nil {
		r.addViolation(DuplicateAnswers, e, "an answer to a request that nobody has open")
		return
	}
	if request.answers++; request.answers > 1 {
		r.addViolation(DuplicateAnswers, e, "answer number %d", request.answers)
		return
	}
	if request.ended {
		return // the client had left, and what came crossed that
	}
	r.endRequest(e, request)
	switch e.Verdict {
	case trace.Served:
		r.verdict.Counts.Served++
		if request.executions == 0 {
			r.addViolation(ForeignAnswers, e, "served, and no server had it")
		}
	case trace.Refused:
		r.verdict.Counts.Rejected++
		if r.isNonIdempotent(request) && request.executions > 0 {
			r.addViolation(FalseRejections, e, "refused after %d of its attempts had been taken", request.executions)
		}
	case trace.Foreign:
		r.verdict.Counts.Served++
		r.addViolation(ForeignAnswers, e, "its answer is another request's")
	default:
		r.verdict.Counts.Failed++
	}
}

// handleUnanswered handles a request that ended without an answer.
func (r *Checker) handleUnanswered(e *trace.Event) {
	request := r.requests[e.Request]
	if request == nil || request.ended {
		r.addViolation(UnbalancedCounts, e, "%v of a request that nobody has open", e.Kind)
		return
	}
	r.endRequest(e, request)
	unheard := e.Note == "unheard"
	if e.Kind == trace.Cut {
		r.verdict.Counts.Failed++
	} else {
		r.verdict.Counts.Abandoned++
	}
	switch {
	case unheard:
		r.verdict.Counts.Unread++
	case request.excused:
		r.verdict.Counts.Excused++
	default:
		r.addViolation(LostRequests, e, "no final answer by its time (%v)", e.Kind)
	}
}

func (r *Checker) endRequest(e *trace.Event, request *request) {
	request.ended = true
	r.ended = append(r.ended, endedRequest{e.Request, e.At})
}

func (r *Checker) isNonIdempotent(request *request) bool {
	return int(request.class) < len(r.settings.NonIdempotent) && r.settings.NonIdempotent[request.class]
}

// countExecution counts the executions of a request, and of what its client wants.
func (r *Checker) countExecution(e *trace.Event) {
	request := r.requests[e.Request]
	if request == nil {
		r.addViolation(ForeignAnswers, e, "a server was sent a request that no client has sent")
		return
	}
	request.executions++
	if !r.isNonIdempotent(request) {
		return
	}
	if r.executionsByTask[request.task]++; r.executionsByTask[request.task] > 1 {
		r.addViolation(DuplicateExecutions, e, "taken by servers %d times", r.executionsByTask[request.task])
	}
}

// checkDrain checks an attempt against what its sidecar had been told.
func (r *Checker) checkDrain(e *trace.Event) {
	notice := r.notices[sidecarServer{e.Sidecar, e.Server}]
	grace := r.settings.DrainGrace + r.settings.ClockSlack
	switch {
	case notice.overridden && e.At > notice.overriddenAt+grace:
		r.addViolation(TrafficAfterDrain, e, "%d ms after operators took the server out", (e.At-notice.overriddenAt)/1000)
	case notice.drained && e.At > notice.drainedAt+grace:
		r.addViolation(TrafficAfterDrain, e, "%d ms after the sidecar was told", (e.At-notice.drainedAt)/1000)
	}
}

func (r *Checker) handleNotice(e *trace.Event) {
	l := sidecarServer{e.Sidecar, e.Server}
	notice := r.notices[l]
	switch e.State {
	case trace.Up:
		notice.drained = false
	case trace.Draining, trace.Gone:
		if !notice.drained {
			notice.drained, notice.drainedAt = true, e.At
		}
	case trace.Banned:
		if !notice.overridden {
			notice.overridden, notice.overriddenAt = true, e.At
		}
	case trace.Released:
		notice.overridden = false
	}
	r.notices[l] = notice
}

// checkSlowStart counts the work sent to a cold server in each window.
func (r *Checker) checkSlowStart(e *trace.Event) {
	server := r.servers[e.Server]
	if server == nil || server.overloaded || server.duration <= 0 || e.At-server.started >= server.duration {
		return
	}
	expired := 0
	for expired < len(server.samples) && server.samples[expired].at < e.At-r.settings.OverloadWindow {
		server.sampledWork -= server.samples[expired].work
		expired++
	}
	server.samples = append(server.samples[expired:], workSample{e.At, float64(e.Work)})
	server.sampledWork += float64(e.Work)
	warmth := server.initialShare + (1-server.initialShare)*float64(e.At-server.started)/float64(server.duration)
	sustainable := r.settings.OverloadMultiple * server.capacity * warmth * float64(r.settings.OverloadWindow) / 1e6
	variation := r.meanWork * (2*math.Sqrt(sustainable/r.meanWork) + 2)
	if server.sampledWork > sustainable+min((slowStartTolerance-1)*sustainable+slowStartToleranceRequests*r.meanWork, variation) {
		server.overloaded = true
		r.addViolation(SlowStartOverload, e, "was sent %.1f times what it could do, for %d ms", server.sampledWork/(sustainable/r.settings.OverloadMultiple), r.settings.OverloadWindow/1000)
	}
}

// handleSidecarState notes what the lab did to a sidecar: what it is asked meanwhile is not its fault, nor, if it was killed, what
// it held. One that was asked to end (Draining) owes an answer to all that it had taken.
func (r *Checker) handleSidecarState(e *trace.Event) {
	r.stoppedSidecars[e.Sidecar] = e.State != trace.Up
	for _, request := range r.requests {
		if e.State == trace.Gone && request.sidecar == e.Sidecar && !request.ended {
			request.excused = true
		}
	}
}

// forgetOldRequests drops what ended long ago.
func (r *Checker) forgetOldRequests(now Micros) {
	expired := 0
	for expired < len(r.ended) && r.ended[expired].at < now-requestRetention {
		if request := r.requests[r.ended[expired].id]; request != nil {
			delete(r.requests, r.ended[expired].id)
			delete(r.executionsByTask, request.task)
		}
		expired++
	}
	r.ended = r.ended[expired:]
}

// Finish returns the verdict. What is still open then has no end.
func (r *Checker) Finish(now Micros) *Verdict {
	open := 0
	for _, request := range r.requests {
		if !request.ended {
			open++
		}
	}
	c := &r.verdict.Counts
	if sum := c.Served + c.Rejected + c.Failed + c.Abandoned; sum != c.Requests {
		r.addViolation(UnbalancedCounts, &trace.Event{At: now}, "asked %d, but served %d + refused %d + failed %d + gone %d = %d; %d are open",
			c.Requests, c.Served, c.Rejected, c.Failed, c.Abandoned, sum, open)
	}
	sort.SliceStable(r.verdict.Violations, func(i, j int) bool { return r.verdict.Violations[i].At < r.verdict.Violations[j].At })
	return &r.verdict
}
