package checker

import (
	"flag"
	"os/exec"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"birchmoor/internal/lab/trace"
)

const millisecond Micros = 1000

var testSettings = Settings{
	NonIdempotent:    []bool{false, true},
	DrainGrace:       500 * millisecond,
	ClockSlack:       50 * millisecond,
	OverloadMultiple: 3,
	OverloadWindow:   3000 * millisecond,
}

// traceBuilder builds a trace; its methods add events at the current instant and return the builder.
type traceBuilder struct {
	events []trace.Event
	now    Micros
}

func (b *traceBuilder) add(e trace.Event) *traceBuilder {
	e.At = b.now
	b.events = append(b.events, e)
	return b
}

func (b *traceBuilder) wait(d Micros) *traceBuilder {
	b.now += d
	return b
}

func (b *traceBuilder) request(id, task uint64, class uint8) *traceBuilder {
	return b.add(trace.Event{Kind: trace.RequestSent, Request: id, Task: task, Class: class, Work: 50 * millisecond})
}

func (b *traceBuilder) execute(id uint64, server int32) *traceBuilder {
	return b.add(trace.Event{Kind: trace.AttemptSent, Request: id, Server: server}).
		add(trace.Event{Kind: trace.AttemptAccepted, Request: id, Server: server, Work: 50 * millisecond})
}

func (b *traceBuilder) answer(id uint64, v trace.Verdict) *traceBuilder {
	return b.add(trace.Event{Kind: trace.RequestAnswered, Request: id, Verdict: v})
}

func (b *traceBuilder) notify(server int32, state trace.State) *traceBuilder {
	return b.add(trace.Event{Kind: trace.ServerListed, Server: server, State: state})
}

func (b *traceBuilder) check() *Verdict {
	c := New(testSettings)
	for _, e := range b.events {
		c.Take(e)
	}
	return c.Finish(b.now)
}

// injectedViolations builds, for each rule, a trace that violates it once.
var injectedViolations = map[Rule]func(b *traceBuilder){
	LostRequests: func(b *traceBuilder) {
		b.request(1, 1, 0).wait(2000 * millisecond).add(trace.Event{Kind: trace.RequestAbandoned, Request: 1})
	},
	DuplicateAnswers: func(b *traceBuilder) {
		b.request(1, 1, 0).execute(1, 0).answer(1, trace.Served).answer(1, trace.Served)
	},
	ForeignAnswers: func(b *traceBuilder) { b.request(1, 1, 0).answer(1, trace.Served) },
	DuplicateExecutions: func(b *traceBuilder) {
		b.request(1, 1, 1).execute(1, 0).execute(1, 2).answer(1, trace.Served)
	},
	FalseRejections: func(b *traceBuilder) {
		b.request(1, 1, 1).execute(1, 0).answer(1, trace.Rejected)
	},
	TrafficAfterDrain: func(b *traceBuilder) {
		b.notify(0, trace.Draining).wait(551*millisecond).request(1, 1, 0).execute(1, 0).answer(1, trace.Served)
	},
	SlowStartOverload: func(b *traceBuilder) {
		b.add(trace.Event{Kind: trace.ServerStarted, Capacity: 1e6, ColdFrom: 0.2, ColdFor: 20_000 * millisecond})
		for id := uint64(1); id < 58; id++ { // more than 3 x 1.25 x 0.2 s of work a second, over 3 s
			b.request(id, id, 0).execute(id, 0).wait(10*millisecond).answer(id, trace.Served)
		}
	},
	UnbalancedCounts: func(b *traceBuilder) { b.request(1, 1, 0).execute(1, 0) },
}

func TestCheckerReportsInjectedViolationOnce(t *testing.T) {
	for rule, inject := range injectedViolations {
		b := &traceBuilder{now: 1000 * millisecond}
		inject(b)
		v := b.check()
		if v.ViolationCounts[rule] != 1 || len(v.ViolationCounts) != 1 {
			t.Errorf("%s was violated once; the checker says: %s (%v)", rule, v, v.Violations)
		}
	}
}

// Checks less obvious ways to violate the same rules.
func TestCheckerReportsFurtherViolations(t *testing.T) {
	for name, c := range map[string]struct {
		rule   Rule
		inject func(b *traceBuilder)
	}{
		"a server drained by an operator": {TrafficAfterDrain, func(b *traceBuilder) {
			b.notify(3, trace.DrainedByOperator).notify(3, trace.Up).wait(600 * millisecond)
			b.request(1, 1, 0).execute(1, 3).answer(1, trace.Served)
		}},
		"a server that is no longer listed": {TrafficAfterDrain, func(b *traceBuilder) {
			b.notify(3, trace.Removed).wait(600*millisecond).request(1, 1, 0).execute(1, 3).answer(1, trace.Served)
		}},
		"a drain reported twice": {TrafficAfterDrain, func(b *traceBuilder) {
			b.notify(3, trace.Draining).wait(400*millisecond).notify(3, trace.Draining).wait(200 * millisecond)
			b.request(1, 1, 0).execute(1, 3).answer(1, trace.Served)
		}},
		"a closed connection": {LostRequests, func(b *traceBuilder) {
			b.request(1, 1, 0).execute(1, 0).add(trace.Event{Kind: trace.ClientCutOff, Request: 1})
		}},
		"a request open at a graceful shutdown": {LostRequests, func(b *traceBuilder) {
			b.request(1, 1, 0).add(trace.Event{Kind: trace.SidecarStateChanged,
				State: trace.Draining}).wait(2000 * millisecond)
			b.add(trace.Event{Kind: trace.RequestAbandoned, Request: 1})
		}},
		"a retry of a booking that was executed": {DuplicateExecutions, func(b *traceBuilder) {
			b.request(1, 1, 1).execute(1, 0).answer(1, trace.Failed)
			b.request(2, 1, 1).execute(2, 1).answer(2, trace.Served)
		}},
		"another request's answer": {ForeignAnswers, func(b *traceBuilder) {
			b.request(1, 1, 0).execute(1, 0).answer(1, trace.Foreign)
		}},
		"a request that no client sent": {ForeignAnswers, func(b *traceBuilder) { b.execute(9, 0) }},
		"an answer that no client awaits": {DuplicateAnswers, func(b *traceBuilder) {
			b.answer(9, trace.Served)
		}},
		"a rejection after the booking": {FalseRejections, func(b *traceBuilder) {
			b.request(1, 1, 1).execute(1, 0).wait(10*millisecond).answer(1, trace.Rejected)
		}},
	} {
		b := &traceBuilder{now: 1000 * millisecond}
		c.inject(b)
		v := b.check()
		if v.ViolationCounts[c.rule] == 0 {
			t.Errorf("%s is not reported as %s: %s", name, c.rule, v)
		}
	}
}

func TestCheckerPassesRunWithinRules(t *testing.T) {
	b := &traceBuilder{}
	b.add(trace.Event{Kind: trace.ServerStarted, Capacity: 4e6, ColdFrom: 0.2, ColdFor: 20_000 * millisecond})

	// An idempotent request may be executed twice.
	b.request(1, 1, 0).execute(1, 0)
	b.add(trace.Event{Kind: trace.AttemptSent, Request: 1, Server: 1})
	b.add(trace.Event{Kind: trace.AttemptAccepted, Request: 1, Server: 1}).answer(1, trace.Served)

	// An attempt that a server rejected was not executed.
	b.request(2, 2, 1).add(trace.Event{Kind: trace.AttemptSent,
		Request: 2}).add(trace.Event{Kind: trace.AttemptRejected, Request: 2})
	b.execute(2, 1).answer(2, trace.Served)

	// A client may retry what was rejected.
	b.request(3, 3, 1).answer(3, trace.Rejected).request(4, 3, 1).execute(4, 1).answer(4, trace.Served)
	b.request(5, 5, 1).execute(5, 1).answer(5, trace.Failed)

	// Attempts are allowed within a drain's grace period, and after its end.
	b.notify(0, trace.Draining).wait(549*millisecond).request(6, 6, 0).execute(6, 0).answer(6, trace.Served)
	b.wait(5000*millisecond).notify(0, trace.Up).request(7, 7, 0).execute(7, 0).answer(7, trace.Served)
	b.notify(1, trace.DrainedByOperator).notify(1, trace.ReleasedByOperator).wait(5000 * millisecond)
	b.request(8, 8, 0).execute(8, 1).answer(8, trace.Served)

	// The sidecar is excused for what the lab did to it.
	b.request(9, 9, 0).add(trace.Event{Kind: trace.SidecarStateChanged, State: trace.Removed})
	b.add(trace.Event{Kind: trace.ClientCutOff, Request: 9})
	b.request(10, 10, 0).wait(3000 * millisecond).add(trace.Event{Kind: trace.RequestAbandoned, Request: 10})
	b.add(trace.Event{Kind: trace.SidecarStateChanged, State: trace.Up})
	b.request(11, 11, 0).add(trace.Event{Kind: trace.RequestAbandoned, Request: 11, Note: unreadNote})

	v := b.check()
	if !v.Passed() {
		t.Errorf("no rule was violated, but the checker says: %s (%v)", v, v.Violations)
	}
	want := Counts{
		Requests:   11,
		Served:     6,
		Rejected:   1,
		Failed:     2,
		Abandoned:  2,
		Excused:    2,
		Unread:     1,
		Attempts:   9,
		Executions: 8,
	}
	if v.Counts != want {
		t.Errorf("counts are %+v, want %+v", v.Counts, want)
	}
	if v.String() != "rules kept" {
		t.Errorf("the line is %q", v)
	}
}

// However requests end, and in whatever order, the counts balance and no violation is reported.
func TestCountsBalanceWhateverOrderRequestsEndIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &traceBuilder{}
		var open []uint64
		var id uint64
		class := map[uint64]uint8{}
		executed := map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			b.wait(rapid.Int64Range(0, 2_000_000).Draw(t, "wait"))
			if len(open) == 0 || rapid.Bool().Draw(t, "request") {
				id++
				class[id] = uint8(rapid.IntRange(0, 1).Draw(t, "class"))
				b.request(id, id, class[id])
				open = append(open, id)
				executed[id] = rapid.Bool().Draw(t, "execute")
				if executed[id] {
					b.execute(id, int32(id%5))
				}
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
			ending := open[i]
			open = append(open[:i], open[i+1:]...)
			if executed[ending] {
				b.answer(ending, trace.Served)
				continue
			}
			b.answer(ending, rapid.SampledFrom([]trace.Verdict{trace.Rejected, trace.Failed}).Draw(t, "verdict"))
		}
		for _, remaining := range open {
			b.answer(remaining, trace.Failed)
		}
		v := b.check()
		if c := v.Counts; !v.Passed() || c.Requests != c.Served+c.Rejected+c.Failed+c.Abandoned {
			t.Fatalf("%s: %+v", v, c)
		}
	})
}

// The checker must not depend on the code that it checks.
func TestCheckerImportsNothingItChecks(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, dependency := range strings.Fields(string(out)) {
		switch dependency {
		case "birchmoor/balancer", "birchmoor/internal/dataplane/core", "birchmoor/internal/dataplane/sidecar":
			t.Errorf("the checker imports %s", dependency)
		}
	}
}

func init() {
	// A fixed seed makes the properties deterministic; a flag on the command line overrides it.
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
