package figures

import (
	"math"
	"strings"
	"testing"

	"birchmoor/internal/lab/checker"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

func parseScenario(t *testing.T, keep string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("x.toml", []byte(`name = "x"
length = "20s"
[[servers]]
count = 2
[[class]]
name = "look"
aim = "100ms"
worth = 1.0
[[class]]
name = "pay"
aim = "100ms"
worth = 3.0
unsafe = true
`+keep))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// The worth of a task counts once, in the second of its first request, and only if a request of the task is served
// within the latency objective.
func TestServiceCountsWorthOncePerTaskWithinObjective(t *testing.T) {
	recorder := New(parseScenario(t, "[keep]\nservice = 0.9\nattempts_most = 0.1\n[keep.class]\npay = 0.5\n"))
	ask := func(at Micros, id, task uint64, class uint8, retry bool) {
		recorder.Take(trace.Event{At: at, Kind: trace.RequestSent, Request: id, Task: task, Class: class, Work: 10,
			Retry: retry})
	}
	answer := func(at Micros, id uint64, v trace.Verdict) {
		recorder.Take(trace.Event{At: at, Kind: trace.RequestAnswered, Request: id, Verdict: v})
	}
	ask(0, 1, 1, 0, false) // served in time: earns 1 of 1
	recorder.Take(trace.Event{At: 1000, Kind: trace.AttemptSent, CrossZone: true})
	recorder.Take(trace.Event{At: 1000, Kind: trace.AttemptSent})
	answer(50_000, 1, trace.Served)
	ask(1e6, 2, 2, 0, false) // served late: earns 0 of 1
	answer(1_150_000, 2, trace.Served)
	ask(2e6, 3, 3, 1, false) // rejected, then served in time: earns 3 of 3
	answer(2_010_000, 3, trace.Rejected)
	ask(2_020_000, 4, 3, 1, true)
	answer(2_090_000, 4, trace.Served)
	ask(15e6, 5, 4, 1, false) // the client gives up: earns 0 of 3
	recorder.Take(trace.Event{At: 16e6, Kind: trace.RequestAbandoned, Request: 5})
	result := recorder.End(&checker.Verdict{Counts: checker.Counts{Requests: 5, Served: 3, Rejected: 1, Abandoned: 1}})
	if want := 4.0 / 8; math.Abs(result.Service-want) > 1e-9 {
		t.Errorf("service %v, want %v", result.Service, want)
	}
	if result.Classes[0].Service != 0.5 || result.Classes[1].Service != 0.5 || result.Worst10s != 0 {
		t.Errorf("service by class %v and %v, want 0.5 each; in the worst 10 s %v, want 0", result.Classes[0].Service,
			result.Classes[1].Service, result.Worst10s)
	}
	if f := result.Figures; f["crossings"] != 0.5 || f["attempts_per_task"] != 0.5 || f["tries_per_task"] != 1.25 {
		t.Errorf("figures %v, want crossings 0.5, attempts_per_task 0.5 and tries_per_task 1.25", f)
	}
	if text := strings.Join(result.Missed, "; "); len(result.Missed) != 2 ||
		!strings.Contains(text, "service 0.500 is under 0.900") ||
		!strings.Contains(text, "attempts a request") || result.Passed() {
		t.Errorf("missed requirements %q, want service and attempts a request", text)
	}
	if c := result.Series.Classes[1]; c.Offered[2] != 2 || c.Served[2] != 1 || c.Refused[2] != 1 || c.Failed[16] != 1 {
		t.Errorf(
			"series of class pay %+v, want 2 offered, 1 served and 1 refused in second 2, and 1 failed in second 16", c)
	}
}

func TestVoidRunDoesNotPass(t *testing.T) {
	x := New(parseScenario(t, "")).End(&checker.Verdict{})
	if !x.Passed() {
		t.Errorf("a run without requests and requirements does not pass: %s", x.Line())
	}
	if x.Void = "the lab was late"; x.Passed() || !strings.HasPrefix(x.Line(), "void: the lab was late") {
		t.Errorf("a void run passes, or its summary does not say that it is void: %s", x.Line())
	}
}

// The figures of a fleet are taken per server and second over all sidecars, and each exceeded limit is named.
func TestFleetFiguresCoverAllSidecarsAndNameExceededLimits(t *testing.T) {
	recorder := New(parseScenario(t, "[keep.fleet_most]\nprobes_worst = 4.0\nshut_mean = 0.001\ncold_worst = 0.5\n"))
	take := func(at Micros, kind trace.Kind, server, sidecar int32, n int) {
		for range n {
			recorder.Take(trace.Event{At: at, Kind: kind, Server: server, Sidecar: sidecar})
		}
	}
	take(100, trace.ProbeSent, 0, 1, 2)
	take(200, trace.ProbeSent, 0, 2, 3) // 5 probes in one second, by two sidecars
	take(300, trace.ConnOpened, 1, 1, 4)
	take(1_200_000, trace.ConnOpened, 1, 2, 2)
	take(1_300_000, trace.ConnRefused, 1, 3, 1)
	take(1_400_000, trace.ConnClosed, 1, 1, 1)
	take(2_100_000, trace.ServerStopped, 1, 0, 1) // its connections end with the process
	recorder.Take(trace.Event{At: 2_200_000, Kind: trace.ColdLoad, Server: 1, Warmth: 0.4})
	recorder.Take(trace.Event{At: 2_300_000, Kind: trace.DiscoveryCalled, Sidecar: 1, Work: 20_000})
	recorder.Take(trace.Event{At: 2_400_000, Kind: trace.DiscoveryCalled, Sidecar: 2, Work: 40_000,
		Verdict: trace.Failed})
	take(3_500_000, trace.ProbeSent, 9, 1, 1) // no such server: is ignored
	result := recorder.End(&checker.Verdict{})
	want := map[string]float64{"probes_worst": 5, "probes_mean": 5.0 / 8, "handshakes_worst": 4,
		"handshakes_mean": 6.0 / 8, "shut_mean": 1.0 / 8,
		"cold_worst": 0.4, "calls_worst": 2, "calls_mean": 0.5, "calls_failed": 0.5, "call_wait_mean_ms": 30,
		"call_wait_worst_ms": 40}
	for name, v := range want {
		if got := result.Figures[name]; math.Abs(got-v) > 1e-9 {
			t.Errorf("%s %v, want %v", name, got, v)
		}
	}
	for _, l := range result.Fleet { // 5 connections are open at the end of second 1: 6 were opened and 1 closed
		if most := 5 / float64(recorder.scenario.Servers[0].ConnCap); l.Name == "connections" &&
			(l.Server != 1 || l.At != 1 || math.Abs(l.Worst-most) > 1e-9) {
			t.Errorf("%+v, want %v at server 1 in second 1", l, most)
		}
	}
	if len(result.Missed) != 2 || !strings.Contains(result.Missed[0],
		"probes_worst (probes of a server in its worst second) 5 is over 4") ||
		!strings.Contains(result.Missed[1], "shut_mean") {
		t.Errorf("missed requirements %q, want probes_worst and shut_mean", result.Missed)
	}
}

// The work that all sidecars together send to a cold server within the overload window is compared with N + 2 roots of
// N + 2. A fall counts as one of informed sidecars only if over two thirds of the work came from sidecars that had been
// told of the start.
func TestRampCountsAllArrivalsAndBlamesInformedSidecars(t *testing.T) {
	const second = 1_000_000
	// The defaults are a multiple of 3 for 3 s, and 50 ms of work a request. A server that does 2 seconds of work a
	// second and starts at an eighth of that is allowed N = 3 * 2 * 0.125 * 3 / 0.05 = 45 requests at its start.
	run := func(informed, uninformed int, interval Micros) map[string]float64 {
		recorder := New(parseScenario(t, "[keep.fleet_most]\nramp_worst = 1.0\nramp_falls_told = 0.5\n"))
		recorder.Take(trace.Event{At: 7 * second, Kind: trace.ServerStarted, Server: 1, Capacity: 2 * second,
			ColdFrom: 0.125, ColdFor: 1 << 50})
		recorder.Take(trace.Event{At: 7 * second, Kind: trace.ServerListed, Server: 1, Sidecar: 1, State: trace.Up,
			StartedAt: 7 * second})
		// Sidecar 2 was told of an earlier start.
		recorder.Take(trace.Event{At: 7 * second, Kind: trace.ServerListed, Server: 1, Sidecar: 2, State: trace.Up,
			StartedAt: 5 * second})
		for i := range informed + uninformed {
			e := trace.Event{At: 8*second + Micros(i)*interval, Kind: trace.AttemptAccepted, Server: 1, Sidecar: 1,
				Request: uint64(i), Work: 50_000}
			if i%2 == 1 {
				e.Kind = trace.AttemptRejected // rejected arrivals count, too
			}
			if i >= informed {
				e.Sidecar = 2
			}
			recorder.Take(e)
		}
		recorder.Take(trace.Event{At: 20 * second, Kind: trace.ProbeSent, Server: 1, Sidecar: 1})
		result := recorder.End(&checker.Verdict{})
		if over := result.Figures["ramp_falls"] > 0; over != (len(result.Missed) > 0) {
			t.Errorf("%d arrivals from informed sidecars and %d from others: %v falls, but missed requirements %q",
				informed, uninformed, result.Figures["ramp_falls"], result.Missed)
		}
		return result.Figures
	}
	limit := 45 + 2*math.Sqrt(45) + 2 // 60.4
	for _, result := range []struct {
		known, unknown int
		apart          Micros
		ratio          float64
		falls, told    float64
	}{
		{60, 0, 1000, 60 / limit, 0, 0},
		{61, 0, 1000, 61 / limit, 1, 1},
		{41, 20, 1000, 61 / limit, 1, 1},          // over two thirds came from informed sidecars
		{40, 21, 1000, 61 / limit, 1, 0},          // less than two thirds did
		{200, 0, second / 10, 31 / limit, 0, 0},   // 31 arrivals in any 3 s, with those at both ends
		{0, 100, second / 100, 100 / limit, 1, 0}, // no informed sidecar
	} {
		got := run(result.known, result.unknown, result.apart)
		if math.Abs(got["ramp_worst"]-result.ratio) > 1e-3 || got["ramp_falls"] != result.falls ||
			got["ramp_falls_told"] != result.told ||
			math.Abs(got["ramp_untold"]-float64(result.unknown)/float64(result.known+result.unknown)) > 1e-9 {
			t.Errorf("%+v: got %v of the limit, %v falls, %v of them by informed sidecars, %v of the work by others",
				result, got["ramp_worst"], got["ramp_falls"], got["ramp_falls_told"], got["ramp_untold"])
		}
	}
}
