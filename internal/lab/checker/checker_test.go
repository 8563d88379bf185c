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

var rules = Settings{Unsafe: []bool{false, true}, DrainGrace: 500 * ms, Slack: 50 * ms, FallMultiple: 3, OverloadFor: 3000 * ms}

// script builds a trace.
type script struct {
	events []trace.Event
	now    Micros
}

func (s *script) add(e trace.Event) *script {
	e.At = s.now
	s.events = append(s.events, e)
	return s
}

func (s *script) wait(d Micros) *script { s.now += d; return s }

func (s *script) ask(id, task uint64, class uint8) *script {
	return s.add(trace.Event{Kind: trace.Asked, Request: id, Task: task, Class: class, Work: 50 * ms})
}

func (s *script) run(id uint64, server int32) *script {
	return s.add(trace.Event{Kind: trace.Sent, Request: id, Server: server}).
		add(trace.Event{Kind: trace.Accepted, Request: id, Server: server, Work: 50 * ms})
}

func (s *script) answer(id uint64, v trace.Verdict) *script {
	return s.add(trace.Event{Kind: trace.Answered, Request: id, Verdict: v})
}

func (s *script) tell(server int32, state trace.State) *script {
	return s.add(trace.Event{Kind: trace.Told, Server: server, State: state})
}

func (s *script) judge() *Verdict {
	r := New(rules)
	for _, e := range s.events {
		r.Take(e)
	}
	return r.End(s.now)
}

// Each script breaks one rule once.
var planted = map[Rule]func(s *script){
	Lost: func(s *script) { s.ask(1, 1, 0).wait(2000 * ms).add(trace.Event{Kind: trace.Left, Request: 1}) },
	Doubles: func(s *script) {
		s.ask(1, 1, 0).run(1, 0).answer(1, trace.Served).answer(1, trace.Served)
	},
	Foreign:    func(s *script) { s.ask(1, 1, 0).answer(1, trace.Served) },
	Duplicates: func(s *script) { s.ask(1, 1, 1).run(1, 0).run(1, 2).answer(1, trace.Served) },
	FalseRefusals: func(s *script) {
		s.ask(1, 1, 1).run(1, 0).answer(1, trace.Refused)
	},
	LateDrains: func(s *script) {
		s.tell(0, trace.Draining).wait(551*ms).ask(1, 1, 0).run(1, 0).answer(1, trace.Served)
	},
	ColdFalls: func(s *script) {
		s.add(trace.Event{Kind: trace.Started, Capacity: 1e6, ColdFrom: 0.2, ColdFor: 20_000 * ms})
		for id := uint64(1); id < 58; id++ { // over 3 x 1.25 x 0.2 s of work a second, over 3 s
			s.ask(id, id, 0).run(id, 0).wait(10*ms).answer(id, trace.Served)
		}
	},
	Unbalanced: func(s *script) { s.ask(1, 1, 0).run(1, 0) },
}

func TestPlantedFaults(t *testing.T) {
	for rule, plant := range planted {
		s := &script{now: 1000 * ms}
		plant(s)
		if v := s.judge(); v.Broken[rule] != 1 || len(v.Broken) != 1 {
			t.Errorf("%s was broken once; the referee says: %s (%v)", rule, v, v.Breaches)
		}
	}
}

// These are more of the same rules, and each is caught as well.
func TestFurtherFaults(t *testing.T) {
	for name, c := range map[string]struct {
		rule  Rule
		plant func(s *script)
	}{
		"a banned server": {LateDrains, func(s *script) {
			s.tell(3, trace.Banned).tell(3, trace.Up).wait(600*ms).ask(1, 1, 0).run(1, 3).answer(1, trace.Served)
		}},
		"a server that is gone": {LateDrains, func(s *script) { s.tell(3, trace.Gone).wait(600*ms).ask(1, 1, 0).run(1, 3).answer(1, trace.Served) }},
		"a drain told twice": {LateDrains, func(s *script) {
			s.tell(3, trace.Draining).wait(400*ms).tell(3, trace.Draining).wait(200*ms).ask(1, 1, 0).run(1, 3).answer(1, trace.Served)
		}},
		"a cut connection": {Lost, func(s *script) { s.ask(1, 1, 0).run(1, 0).add(trace.Event{Kind: trace.Cut, Request: 1}) }},
		"a request held at a planned end": {Lost, func(s *script) {
			s.ask(1, 1, 0).add(trace.Event{Kind: trace.Killed, State: trace.Draining}).wait(2000 * ms).add(trace.Event{Kind: trace.Left, Request: 1})
		}},
		"two tries of one booking": {Duplicates, func(s *script) {
			s.ask(1, 1, 1).run(1, 0).answer(1, trace.Failed).ask(2, 1, 1).run(2, 1).answer(2, trace.Served)
		}},
		"another request's answer":    {Foreign, func(s *script) { s.ask(1, 1, 0).run(1, 0).answer(1, trace.Foreign) }},
		"a request nobody sent":       {Foreign, func(s *script) { s.run(9, 0) }},
		"an answer nobody waits for":  {Doubles, func(s *script) { s.answer(9, trace.Served) }},
		"a refusal after the booking": {FalseRefusals, func(s *script) { s.ask(1, 1, 1).run(1, 0).wait(10*ms).answer(1, trace.Refused) }},
	} {
		s := &script{now: 1000 * ms}
		c.plant(s)
		if v := s.judge(); v.Broken[c.rule] == 0 {
			t.Errorf("%s is not caught as %s: %s", name, c.rule, v)
		}
	}
}

func TestKeptRules(t *testing.T) {
	s := &script{}
	s.add(trace.Event{Kind: trace.Started, Capacity: 4e6, ColdFrom: 0.2, ColdFor: 20_000 * ms})
	s.ask(1, 1, 0).run(1, 0).add(trace.Event{Kind: trace.Sent, Request: 1, Server: 1}).
		add(trace.Event{Kind: trace.Accepted, Request: 1, Server: 1}).answer(1, trace.Served) // a safe one may run twice
	s.ask(2, 2, 1).add(trace.Event{Kind: trace.Sent, Request: 2}).add(trace.Event{Kind: trace.Turned, Request: 2}).
		run(2, 1).answer(2, trace.Served) // turned away, it never ran
	s.ask(3, 3, 1).answer(3, trace.Refused).ask(4, 3, 1).run(4, 1).answer(4, trace.Served)
	s.ask(5, 5, 1).run(5, 1).answer(5, trace.Failed)
	s.tell(0, trace.Draining).wait(549*ms).ask(6, 6, 0).run(6, 0).answer(6, trace.Served) // within the grace
	s.wait(5000*ms).tell(0, trace.Up).ask(7, 7, 0).run(7, 0).answer(7, trace.Served)
	s.tell(1, trace.Banned).tell(1, trace.Released).wait(5000*ms).ask(8, 8, 0).run(8, 1).answer(8, trace.Served)
	s.ask(9, 9, 0).add(trace.Event{Kind: trace.Killed, State: trace.Gone}).add(trace.Event{Kind: trace.Cut, Request: 9})
	s.ask(10, 10, 0).wait(3000 * ms).add(trace.Event{Kind: trace.Left, Request: 10}).add(trace.Event{Kind: trace.Killed, State: trace.Up})
	s.ask(11, 11, 0).add(trace.Event{Kind: trace.Left, Request: 11, Note: "unheard"})
	v := s.judge()
	if !v.Kept() {
		t.Errorf("all was kept, but the referee says: %s (%v)", v, v.Breaches)
	}
	want := Counts{Asked: 11, Served: 6, Refused: 1, Failed: 2, Gone: 2, Excused: 2, Unheard: 1, Sent: 9, Runs: 8}
	if v.Counts != want {
		t.Errorf("counts are %+v, want %+v", v.Counts, want)
	}
	if v.String() != "rules kept" {
		t.Errorf("the line is %q", v)
	}
}

// Whatever becomes of requests, in whatever order, the counts balance and nothing is called broken.
func TestBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &script{}
		var open []uint64
		var id uint64
		class := map[uint64]uint8{}
		ran := map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			s.wait(rapid.Int64Range(0, 2_000_000).Draw(t, "wait"))
			if len(open) == 0 || rapid.Bool().Draw(t, "ask") {
				id++
				class[id] = uint8(rapid.IntRange(0, 1).Draw(t, "class"))
				s.ask(id, id, class[id])
				open = append(open, id)
				if ran[id] = rapid.Bool().Draw(t, "run"); ran[id] {
					s.run(id, int32(id%5))
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
		v := s.judge()
		if c := v.Counts; !v.Kept() || c.Asked != c.Served+c.Refused+c.Failed+c.Gone {
			t.Fatalf("%s: %+v", v, c)
		}
	})
}

// The referee must not know what it judges.
func TestImports(t *testing.T) {
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
