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
	Lost          Rule = "lost requests"   // taken, and no answer by their time
	Doubles       Rule = "double answers"  // a second final answer
	Foreign       Rule = "foreign answers" // an answer that no server made for the request
	Duplicates    Rule = "duplicates"      // an unsafe request taken by a second server, or twice
	FalseRefusals Rule = "false refusals"  // "trying again is harmless" of an unsafe request that may have run
	LateDrains    Rule = "late drains"     // sent to a server after the grace
	ColdFalls     Rule = "cold servers pushed over"
	Unbalanced    Rule = "unbalanced counts" // asked is not served + refused + failed + gone
)

// Breach is one break of a rule.
type Breach struct {
	Rule    Rule   `json:"rule"`
	At      Micros `json:"at_us"`
	Request uint64 `json:"request,omitempty"`
	Server  int    `json:"server"`
	Sidecar int    `json:"sidecar"`
	Text    string `json:"text"`
}

// Counts is what became of the clients' requests. Each that was asked is in exactly one of the others.
type Counts struct {
	Asked   int `json:"asked"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`  // also those whose connection the sidecar closed
	Gone    int `json:"gone"`    // the client left without an answer
	Excused int `json:"excused"` // of failed and gone, those whose sidecar the lab had killed or stopped
	Unheard int `json:"unheard"` // of gone, those that the sidecar never read
	Sent    int `json:"sent"`    // attempts
	Runs    int `json:"runs"`    // attempts that a server took
}

// Verdict is what the referee says of a run.
type Verdict struct {
	Counts   Counts       `json:"counts"`
	Broken   map[Rule]int `json:"broken"`
	Breaches []Breach     `json:"breaches"` // the first of each rule
}

// Kept says whether all rules were kept.
func (v *Verdict) Kept() bool { return len(v.Broken) == 0 }

// String is "rules kept", or names what was broken and how often.
func (v *Verdict) String() string {
	if v.Kept() {
		return "rules kept"
	}
	var names []string
	for r := range v.Broken {
		names = append(names, string(r))
	}
	sort.Strings(names)
	for i, r := range names {
		names[i] = fmt.Sprintf("%s %d", r, v.Broken[Rule(r)])
	}
	return "rules broken: " + strings.Join(names, ", ")
}

// Settings is what the rules are judged by.
type Settings struct {
	Unsafe       []bool // by class
	DrainGrace   Micros
	Slack        Micros // further time, for what lies between a sidecar's clock and ours
	FallMultiple float64
	OverloadFor  Micros
}

// From takes the settings from a scenario.
func From(s *scenario.Scenario, slack Micros) Settings {
	x := Settings{DrainGrace: s.Rules.DrainGrace.Micros(), Slack: slack, FallMultiple: s.Rules.FallMultiple,
		OverloadFor: s.Rules.OverloadFor.Micros()}
	for i := range s.Classes {
		x.Unsafe = append(x.Unsafe, s.Classes[i].Unsafe)
	}
	return x
}

const (
	examples   = 10               // breaches kept of each rule
	remembered = 40 * 1000 * 1000 // for how long a request is known after its end
	pressSlack = 1.25             // of what a cold server bears: chance is 2 roots of its requests and 2, and no more than this
	pressLeast = 4                // and so many mean works
)

// Referee takes the events of a run, in order. It is not safe for concurrent use.
type Referee struct {
	s        Settings
	v        Verdict
	examples map[Rule]int
	tries    map[uint64]*try
	ended    []endedTry // oldest first, to be forgotten
	tasks    map[uint64]int
	told     map[link]told
	servers  map[int32]*server
	down     map[int32]bool // sidecars that the lab keeps down
	work     float64
}

type try struct {
	task    uint64
	class   uint8
	sidecar int32
	answers int
	over    bool
	runs    int
	excused bool
}

type endedTry struct {
	id uint64
	at Micros
}

type link struct{ sidecar, server int32 }

type told struct {
	outAt  Micros // by discovery; meaningful if out
	out    bool
	banAt  Micros
	banned bool
}

type server struct {
	started  Micros
	capacity float64
	from     float64
	ramp     Micros
	adds     []add
	sum      float64
	fallen   bool
}

type add struct {
	at   Micros
	work float64
}

// New returns a referee.
func New(s Settings) *Referee {
	return &Referee{s: s, v: Verdict{Broken: map[Rule]int{}}, examples: map[Rule]int{}, tries: map[uint64]*try{},
		tasks: map[uint64]int{}, told: map[link]told{}, servers: map[int32]*server{}, down: map[int32]bool{}}
}

func (r *Referee) breach(rule Rule, e *trace.Event, format string, args ...any) {
	r.v.Broken[rule]++
	if r.examples[rule]++; r.examples[rule] <= examples {
		r.v.Breaches = append(r.v.Breaches, Breach{rule, e.At, e.Request, int(e.Server), int(e.Sidecar), fmt.Sprintf(format, args...)})
	}
}

// Take takes the next event.
func (r *Referee) Take(e trace.Event) {
	switch e.Kind {
	case trace.Asked:
		r.v.Counts.Asked++
		r.tries[e.Request] = &try{task: e.Task, class: e.Class, sidecar: e.Sidecar, excused: r.down[e.Sidecar]}
		r.work += (float64(e.Work) - r.work) / float64(min(r.v.Counts.Asked, 1000))
		r.forget(e.At)
	case trace.Answered:
		r.answered(&e)
	case trace.Left, trace.Cut:
		r.leftOut(&e)
	case trace.Sent:
		r.v.Counts.Sent++
		r.sent(&e)
	case trace.Accepted:
		r.v.Counts.Runs++
		r.press(&e)
		r.runs(&e)
	case trace.Turned:
		r.press(&e)
	case trace.Told:
		r.tell(&e)
	case trace.Started:
		r.servers[e.Server] = &server{started: e.At, capacity: e.Capacity, from: e.ColdFrom, ramp: e.ColdFor}
	case trace.Killed:
		r.killed(&e)
	}
}

func (r *Referee) answered(e *trace.Event) {
	t := r.tries[e.Request]
	if t == nil {
		r.breach(Doubles, e, "an answer to a request that nobody has open")
		return
	}
	if t.answers++; t.answers > 1 {
		r.breach(Doubles, e, "answer number %d", t.answers)
		return
	}
	if t.over {
		return // the client had left, and what came crossed that
	}
	r.end(e, t)
	switch e.Verdict {
	case trace.Served:
		r.v.Counts.Served++
		if t.runs == 0 {
			r.breach(Foreign, e, "served, and no server had it")
		}
	case trace.Refused:
		r.v.Counts.Refused++
		if r.unsafe(t) && t.runs > 0 {
			r.breach(FalseRefusals, e, "refused after %d of its attempts had been taken", t.runs)
		}
	case trace.Foreign:
		r.v.Counts.Served++
		r.breach(Foreign, e, "its answer is another request's")
	default:
		r.v.Counts.Failed++
	}
}

// leftOut handles a request that ended without an answer.
func (r *Referee) leftOut(e *trace.Event) {
	t := r.tries[e.Request]
	if t == nil || t.over {
		r.breach(Unbalanced, e, "%v of a request that nobody has open", e.Kind)
		return
	}
	r.end(e, t)
	unheard := e.Note == "unheard"
	if e.Kind == trace.Cut {
		r.v.Counts.Failed++
	} else {
		r.v.Counts.Gone++
	}
	switch {
	case unheard:
		r.v.Counts.Unheard++
	case t.excused:
		r.v.Counts.Excused++
	default:
		r.breach(Lost, e, "no final answer by its time (%v)", e.Kind)
	}
}

func (r *Referee) end(e *trace.Event, t *try) {
	t.over = true
	r.ended = append(r.ended, endedTry{e.Request, e.At})
}

func (r *Referee) unsafe(t *try) bool { return int(t.class) < len(r.s.Unsafe) && r.s.Unsafe[t.class] }

// runs counts the executions of a request, and of what its client wants.
func (r *Referee) runs(e *trace.Event) {
	t := r.tries[e.Request]
	if t == nil {
		r.breach(Foreign, e, "a server was sent a request that no client has sent")
		return
	}
	t.runs++
	if !r.unsafe(t) {
		return
	}
	if r.tasks[t.task]++; r.tasks[t.task] > 1 {
		r.breach(Duplicates, e, "taken by servers %d times", r.tasks[t.task])
	}
}

// sent checks an attempt against what its sidecar had been told.
func (r *Referee) sent(e *trace.Event) {
	w := r.told[link{e.Sidecar, e.Server}]
	grace := r.s.DrainGrace + r.s.Slack
	switch {
	case w.banned && e.At > w.banAt+grace:
		r.breach(LateDrains, e, "%d ms after operators took the server out", (e.At-w.banAt)/1000)
	case w.out && e.At > w.outAt+grace:
		r.breach(LateDrains, e, "%d ms after the sidecar was told", (e.At-w.outAt)/1000)
	}
}

func (r *Referee) tell(e *trace.Event) {
	l := link{e.Sidecar, e.Server}
	w := r.told[l]
	switch e.State {
	case trace.Up:
		w.out = false
	case trace.Draining, trace.Gone:
		if !w.out {
			w.out, w.outAt = true, e.At
		}
	case trace.Banned:
		if !w.banned {
			w.banned, w.banAt = true, e.At
		}
	case trace.Released:
		w.banned = false
	}
	r.told[l] = w
}

// press counts the work sent to a cold server in each window.
func (r *Referee) press(e *trace.Event) {
	s := r.servers[e.Server]
	if s == nil || s.fallen || s.ramp <= 0 || e.At-s.started >= s.ramp {
		return
	}
	cut := 0
	for cut < len(s.adds) && s.adds[cut].at < e.At-r.s.OverloadFor {
		s.sum -= s.adds[cut].work
		cut++
	}
	s.adds = append(s.adds[cut:], add{e.At, float64(e.Work)})
	s.sum += float64(e.Work)
	warmth := s.from + (1-s.from)*float64(e.At-s.started)/float64(s.ramp)
	bears := r.s.FallMultiple * s.capacity * warmth * float64(r.s.OverloadFor) / 1e6
	chance := r.work * (2*math.Sqrt(bears/r.work) + 2)
	if s.sum > bears+min((pressSlack-1)*bears+pressLeast*r.work, chance) {
		s.fallen = true
		r.breach(ColdFalls, e, "was sent %.1f times what it could do, for %d ms", s.sum/(bears/r.s.FallMultiple), r.s.OverloadFor/1000)
	}
}

// killed notes what the lab did to a sidecar: what it is asked meanwhile is not its fault, nor, if it was killed, what
// it held. One that was asked to end (Draining) owes an answer to all that it had taken.
func (r *Referee) killed(e *trace.Event) {
	r.down[e.Sidecar] = e.State != trace.Up
	for _, t := range r.tries {
		if e.State == trace.Gone && t.sidecar == e.Sidecar && !t.over {
			t.excused = true
		}
	}
}

// forget drops what ended long ago.
func (r *Referee) forget(now Micros) {
	cut := 0
	for cut < len(r.ended) && r.ended[cut].at < now-remembered {
		if t := r.tries[r.ended[cut].id]; t != nil {
			delete(r.tries, r.ended[cut].id)
			delete(r.tasks, t.task)
		}
		cut++
	}
	r.ended = r.ended[cut:]
}

// End returns the verdict. What is still open then has no end.
func (r *Referee) End(now Micros) *Verdict {
	open := 0
	for _, t := range r.tries {
		if !t.over {
			open++
		}
	}
	c := &r.v.Counts
	if sum := c.Served + c.Refused + c.Failed + c.Gone; sum != c.Asked {
		r.breach(Unbalanced, &trace.Event{At: now}, "asked %d, but served %d + refused %d + failed %d + gone %d = %d; %d are open",
			c.Asked, c.Served, c.Refused, c.Failed, c.Gone, sum, open)
	}
	sort.SliceStable(r.v.Breaches, func(i, j int) bool { return r.v.Breaches[i].At < r.v.Breaches[j].At })
	return &r.v
}
