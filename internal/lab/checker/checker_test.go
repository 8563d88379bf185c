package checker

import (
	"flag"
	"os/exec"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"birchmoor/internal/lab/trace"
)

const ms = 1000

var testSettings = Settings{NonIdempotent: []bool{false, true}, DrainGrace: 500 * ms, ClockSlack: 50 * ms, OverloadMultiple: 3, OverloadWindow: 3000 * ms}

// traceBuilder builds a trace.
type traceBuilder struct {
	events []trace.Event
	now    Micros
}

func (s *traceBuilder) add(e trace.Event) *traceBuilder {
	e.At = s.now
	s.events = append(s.events, e)
	return s
}

func (s *traceBuilder) wait(d Micros) *traceBuilder { s.now += d; return s }

func (s *traceBuilder) request(id, task uint64, class uint8) *traceBuilder {
	return s.add(trace.Event{Kind: trace.Asked, Request: id, Task: task, Class: class, Work: 50 * ms})
}

func (s *traceBuilder) execute(id uint64, server int32) *traceBuilder {
	return s.add(trace.Event{Kind: trace.Sent, Request: id, Server: server}).
		add(trace.Event{Kind: trace.Accepted, Request: id, Server: server, Work: 50 * ms})
}

func (s *traceBuilder) answer(id uint64, v trace.Verdict) *traceBuilder {
	return s.add(trace.Event{Kind: trace.Answered, Request: id, Verdict: v})
}

func (s *traceBuilder) notify(server int32, state trace.State) *traceBuilder {
	return s.add(trace.Event{Kind: trace.Told, Server: server, State: state})
}

func (s *traceBuilder) check() *Verdict {
	r := New(testSettings)
	for _, e := range s.events {
		r.Take(e)
	}
	return r.Finish(s.now)
}

// Each script breaks one rule once.
var injectViolation = map[Rule]func(s *traceBuilder){
	LostRequests: func(s *traceBuilder) {
		s.request(1, 1, 0).wait(2000 * ms).add(trace.Event{Kind: trace.Left, Request: 1})
	},
	DuplicateAnswers: func(s *traceBuilder) {
		s.request(1, 1, 0).execute(1, 0).answer(1, trace.Served).answer(1, trace.Served)
	},
	ForeignAnswers:      func(s *traceBuilder) { s.request(1, 1, 0).answer(1, trace.Served) },
	DuplicateExecutions: func(s *traceBuilder) { s.request(1, 1, 1).execute(1, 0).execute(1, 2).answer(1, trace.Served) },
	FalseRejections: func(s *traceBuilder) {
		s.request(1, 1, 1).execute(1, 0).answer(1, trace.Refused)
	},
	TrafficAfterDrain: func(s *traceBuilder) {
		s.notify(0, trace.Draining).wait(551*ms).request(1, 1, 0).execute(1, 0).answer(1, trace.Served)
	},
	SlowStartOverload: func(s *traceBuilder) {
		s.add(trace.Event{Kind: trace.Started, Capacity: 1e6, ColdFrom: 0.2, ColdFor: 20_000 * ms})
		for id := uint64(1); id < 58; id++ { // over 3 x 1.25 x 0.2 s of work a second, over 3 s
			s.request(id, id, 0).execute(id, 0).wait(10*ms).answer(id, trace.Served)
		}
	},
	UnbalancedCounts: func(s *traceBuilder) { s.request(1, 1, 0).execute(1, 0) },
}

func TestCheckerReportsInjectedViolationOnce(t *testing.T) {
	for rule, plant := range injectViolation {
		s := &traceBuilder{now: 1000 * ms}
		plant(s)
		if v := s.check(); v.ViolationCounts[rule] != 1 || len(v.ViolationCounts) != 1 {
			t.Errorf("%s was broken once; the referee says: %s (%v)", rule, v, v.Violations)
		}
	}
}

// These are more of the same rules, and each is caught as well.
func TestCheckerReportsFurtherViolations(t *testing.T) {
	for name, c := range map[string]struct {
		rule  Rule
		plant func(s *traceBuilder)
	}{
		"a banned server": {TrafficAfterDrain, func(s *traceBuilder) {
			s.notify(3, trace.Banned).notify(3, trace.Up).wait(600*ms).request(1, 1, 0).execute(1, 3).answer(1, trace.Served)
		}},
		"a server that is gone": {TrafficAfterDrain, func(s *traceBuilder) {
			s.notify(3, trace.Gone).wait(600*ms).request(1, 1, 0).execute(1, 3).answer(1, trace.Served)
		}},
		"a drain told twice": {TrafficAfterDrain, func(s *traceBuilder) {
			s.notify(3, trace.Draining).wait(400*ms).notify(3, trace.Draining).wait(200*ms).request(1, 1, 0).execute(1, 3).answer(1, trace.Served)
		}},
		"a cut connection": {LostRequests, func(s *traceBuilder) { s.request(1, 1, 0).execute(1, 0).add(trace.Event{Kind: trace.Cut, Request: 1}) }},
		"a request held at a planned end": {LostRequests, func(s *traceBuilder) {
			s.request(1, 1, 0).add(trace.Event{Kind: trace.Killed, State: trace.Draining}).wait(2000 * ms).add(trace.Event{Kind: trace.Left, Request: 1})
		}},
		"two tries of one booking": {DuplicateExecutions, func(s *traceBuilder) {
			s.request(1, 1, 1).execute(1, 0).answer(1, trace.Failed).request(2, 1, 1).execute(2, 1).answer(2, trace.Served)
		}},
		"another request's answer":    {ForeignAnswers, func(s *traceBuilder) { s.request(1, 1, 0).execute(1, 0).answer(1, trace.Foreign) }},
		"a request nobody sent":       {ForeignAnswers, func(s *traceBuilder) { s.execute(9, 0) }},
		"an answer nobody waits for":  {DuplicateAnswers, func(s *traceBuilder) { s.answer(9, trace.Served) }},
		"a refusal after the booking": {FalseRejections, func(s *traceBuilder) { s.request(1, 1, 1).execute(1, 0).wait(10*ms).answer(1, trace.Refused) }},
	} {
		s := &traceBuilder{now: 1000 * ms}
		c.plant(s)
		if v := s.check(); v.ViolationCounts[c.rule] == 0 {
			t.Errorf("%s is not caught as %s: %s", name, c.rule, v)
		}
	}
}

func TestCheckerPassesRunWithinRules(t *testing.T) {
	s := &traceBuilder{}
	s.add(trace.Event{Kind: trace.Started, Capacity: 4e6, ColdFrom: 0.2, ColdFor: 20_000 * ms})
	s.request(1, 1, 0).execute(1, 0).add(trace.Event{Kind: trace.Sent, Request: 1, Server: 1}).
		add(trace.Event{Kind: trace.Accepted, Request: 1, Server: 1}).answer(1, trace.Served) // a safe one may run twice
	s.request(2, 2, 1).add(trace.Event{Kind: trace.Sent, Request: 2}).add(trace.Event{Kind: trace.Turned, Request: 2}).
		execute(2, 1).answer(2, trace.Served) // turned away, it never ran
	s.request(3, 3, 1).answer(3, trace.Refused).request(4, 3, 1).execute(4, 1).answer(4, trace.Served)
	s.request(5, 5, 1).execute(5, 1).answer(5, trace.Failed)
	s.notify(0, trace.Draining).wait(549*ms).request(6, 6, 0).execute(6, 0).answer(6, trace.Served) // within the grace
	s.wait(5000*ms).notify(0, trace.Up).request(7, 7, 0).execute(7, 0).answer(7, trace.Served)
	s.notify(1, trace.Banned).notify(1, trace.Released).wait(5000*ms).request(8, 8, 0).execute(8, 1).answer(8, trace.Served)
	s.request(9, 9, 0).add(trace.Event{Kind: trace.Killed, State: trace.Gone}).add(trace.Event{Kind: trace.Cut, Request: 9})
	s.request(10, 10, 0).wait(3000 * ms).add(trace.Event{Kind: trace.Left, Request: 10}).add(trace.Event{Kind: trace.Killed, State: trace.Up})
	s.request(11, 11, 0).add(trace.Event{Kind: trace.Left, Request: 11, Note: "unheard"})
	v := s.check()
	if !v.Passed() {
		t.Errorf("all was kept, but the referee says: %s (%v)", v, v.Violations)
	}
	want := Counts{Requests: 11, Served: 6, Rejected: 1, Failed: 2, Abandoned: 2, Excused: 2, Unread: 1, Attempts: 9, Executions: 8}
	if v.Counts != want {
		t.Errorf("counts are %+v, want %+v", v.Counts, want)
	}
	if v.String() != "rules kept" {
		t.Errorf("the line is %q", v)
	}
}

// Whatever becomes of requests, in whatever order, the counts balance and nothing is called broken.
func TestCountsBalanceWhateverOrderRequestsEndIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &traceBuilder{}
		var open []uint64
		var id uint64
		class := map[uint64]uint8{}
		ran := map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s.wait(rapid.Int64Range(0, 2_000_000).Draw(t, "wait"))
			if len(open) == 0 || rapid.Bool().Draw(t, "ask") {
				id++
				class[id] = uint8(rapid.IntRange(0, 1).Draw(t, "class"))
				s.request(id, id, class[id])
				open = append(open, id)
				if ran[id] = rapid.Bool().Draw(t, "run"); ran[id] {
					s.execute(id, int32(id%5))
				}
				continue
			}
			at := rapid.IntRange(0, len(open)-1).Draw(t, "which")
			x := open[at]
			open = append(open[:at], open[at+1:]...)
			switch {
			case ran[x]:
				s.answer(x, trace.Served)
			default:
				s.answer(x, rapid.SampledFrom([]trace.Verdict{trace.Refused, trace.Failed}).Draw(t, "end"))
			}
		}
		for _, x := range open {
			s.answer(x, trace.Failed)
		}
		v := s.check()
		if c := v.Counts; !v.Passed() || c.Requests != c.Served+c.Rejected+c.Failed+c.Abandoned {
			t.Fatalf("%s: %+v", v, c)
		}
	})
}

// The referee must not know what it judges.
func TestCheckerImportsNothingItChecks(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range strings.Fields(string(out)) {
		if p == "birchmoor/balancer" || p == "birchmoor/internal/dataplane/core" || p == "birchmoor/internal/dataplane/sidecar" {
			t.Errorf("the referee imports %s", p)
		}
	}
}

func init() {
	flag.Set("rapid.seed", "20261201") // the same verdict every time; the command line goes before it
}
