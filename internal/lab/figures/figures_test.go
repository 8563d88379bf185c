package figures

import (
	"math"
	"strings"
	"testing"

	"birchmoor/internal/lab/checker"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

func rules(t *testing.T, keep string) *scenario.Scenario {
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

// Worth counts once for what a client wants, by its first try's time, and only within the aim.
func TestService(t *testing.T) {
	r := New(rules(t, "[keep]\nservice = 0.9\nattempts_most = 0.1\n[keep.class]\npay = 0.5\n"))
	ask := func(at Micros, id, task uint64, class uint8, retry bool) {
		r.Take(trace.Event{At: at, Kind: trace.RequestSent, Request: id, Task: task, Class: class, Work: 10, Retry: retry})
	}
	answer := func(at Micros, id uint64, v trace.Verdict) {
		r.Take(trace.Event{At: at, Kind: trace.RequestAnswered, Request: id, Verdict: v})
	}
	ask(0, 1, 1, 0, false) // in time: 1
	r.Take(trace.Event{At: 1000, Kind: trace.AttemptSent, CrossZone: true})
	r.Take(trace.Event{At: 1000, Kind: trace.AttemptSent})
	answer(50_000, 1, trace.Served)
	ask(1e6, 2, 2, 0, false) // late: 0 of 1
	answer(1_150_000, 2, trace.Served)
	ask(2e6, 3, 3, 1, false) // refused, then in time: 3
	answer(2_010_000, 3, trace.Rejected)
	ask(2_020_000, 4, 3, 1, true)
	answer(2_090_000, 4, trace.Served)
	ask(15e6, 5, 4, 1, false) // left: 0 of 3
	r.Take(trace.Event{At: 16e6, Kind: trace.RequestAbandoned, Request: 5})
	x := r.End(&checker.Verdict{Counts: checker.Counts{Requests: 5, Served: 3, Rejected: 1, Abandoned: 1}})
	if want := 4.0 / 8; math.Abs(x.Service-want) > 1e-9 {
		t.Errorf("service %v, want %v", x.Service, want)
	}
	if x.Classes[0].Service != 0.5 || x.Classes[1].Service != 0.5 || x.Worst10s != 0 {
		t.Errorf("by class %v and %v, worst 10 s %v", x.Classes[0].Service, x.Classes[1].Service, x.Worst10s)
	}
	if f := x.Figures; f["crossings"] != 0.5 || f["attempts_per_task"] != 0.5 || f["tries_per_task"] != 1.25 {
		t.Errorf("figures: %v", f)
	}
	if text := strings.Join(x.Missed, "; "); len(x.Missed) != 2 || !strings.Contains(text, "service 0.500 is under 0.900") ||
		!strings.Contains(text, "attempts a request") || x.Passed() {
		t.Errorf("missed: %s", text)
	}
	if c := x.Series.Classes[1]; c.Offered[2] != 2 || c.Served[2] != 1 || c.Refused[2] != 1 || c.Failed[16] != 1 {
		t.Errorf("series: %+v", c)
	}
}

func TestVoidDoesNotPass(t *testing.T) {
	x := New(rules(t, "")).End(&checker.Verdict{})
	if !x.Passed() {
		t.Errorf("nothing was asked and nothing missed, but: %s", x.Line())
	}
	if x.Void = "the lab was late"; x.Passed() || !strings.HasPrefix(x.Line(), "void: the lab was late") {
		t.Errorf("a void run: %s", x.Line())
	}
}

// A fleet's figures are over all sidecars, per server and second, and a bound that is passed is named.
func TestFleet(t *testing.T) {
	r := New(rules(t, "[keep.fleet_most]\nprobes_worst = 4.0\nshut_mean = 0.001\ncold_worst = 0.5\n"))
	take := func(at Micros, kind trace.Kind, server, sidecar int32, n int) {
		for range n {
			r.Take(trace.Event{At: at, Kind: kind, Server: server, Sidecar: sidecar})
		}
	}
	take(100, trace.ProbeSent, 0, 1, 2)
	take(200, trace.ProbeSent, 0, 2, 3) // five in one second, of two sidecars
	take(300, trace.ConnOpened, 1, 1, 4)
	take(1_200_000, trace.ConnOpened, 1, 2, 2)
	take(1_300_000, trace.ConnRefused, 1, 3, 1)
	take(1_400_000, trace.ConnClosed, 1, 1, 1)
	take(2_100_000, trace.ServerStopped, 1, 0, 1) // its connections end with it
	r.Take(trace.Event{At: 2_200_000, Kind: trace.ColdLoad, Server: 1, Warmth: 0.4})
	r.Take(trace.Event{At: 2_300_000, Kind: trace.DiscoveryCalled, Sidecar: 1, Work: 20_000})
	r.Take(trace.Event{At: 2_400_000, Kind: trace.DiscoveryCalled, Sidecar: 2, Work: 40_000, Verdict: trace.Failed})
	take(3_500_000, trace.ProbeSent, 9, 1, 1) // of no server
	x := r.End(&checker.Verdict{})
	want := map[string]float64{"probes_worst": 5, "probes_mean": 5.0 / 8, "handshakes_worst": 4, "handshakes_mean": 6.0 / 8, "shut_mean": 1.0 / 8,
		"cold_worst": 0.4, "calls_worst": 2, "calls_mean": 0.5, "calls_failed": 0.5, "call_wait_mean_ms": 30, "call_wait_worst_ms": 40}
	for name, v := range want {
		if got := x.Figures[name]; math.Abs(got-v) > 1e-9 {
			t.Errorf("%s %v, want %v", name, got, v)
		}
	}
	for _, l := range x.Fleet { // five are open at the end of second 1: four and two were opened, one closed
		if most := 5 / float64(r.s.Servers[0].ConnCap); l.Name == "connections" && (l.Server != 1 || l.At != 1 || math.Abs(l.Worst-most) > 1e-9) {
			t.Errorf("%+v, want %v at server 1 in second 1", l, most)
		}
	}
	if len(x.Missed) != 2 || !strings.Contains(x.Missed[0], "probes_worst (probes of a server in its worst second) 5 is over 4") ||
		!strings.Contains(x.Missed[1], "shut_mean") {
		t.Errorf("missed %q", x.Missed)
	}
}

// What all sidecars send to a cold server is counted in the window of the settings, against N + 2 roots of N + 2, and a fall is
// laid to those that had been told of the start only if over two thirds came from them.
func TestRamp(t *testing.T) {
	const second = 1_000_000
	// The defaults: 3 times of what it can do, for 3 s, and 50 ms a request. A server of 2 seconds of work a second that starts at
	// an eighth of that is allowed N = 3 * 2 * 0.125 * 3 / 0.05 = 45 requests at its start.
	run := func(known, unknown int, apart Micros) map[string]float64 {
		r := New(rules(t, "[keep.fleet_most]\nramp_worst = 1.0\nramp_falls_told = 0.5\n"))
		r.Take(trace.Event{At: 7 * second, Kind: trace.ServerStarted, Server: 1, Capacity: 2 * second, ColdFrom: 0.125, ColdFor: 1 << 50})
		r.Take(trace.Event{At: 7 * second, Kind: trace.ServerListed, Server: 1, Sidecar: 1, State: trace.Up, StartedAt: 7 * second})
		r.Take(trace.Event{At: 7 * second, Kind: trace.ServerListed, Server: 1, Sidecar: 2, State: trace.Up, StartedAt: 5 * second}) // of an earlier start
		for i := range known + unknown {
			e := trace.Event{At: 8*second + Micros(i)*apart, Kind: trace.AttemptAccepted, Server: 1, Sidecar: 1, Request: uint64(i), Work: 50_000}
			if i%2 == 1 {
				e.Kind = trace.AttemptRejected // counts as well
			}
			if i >= known {
				e.Sidecar = 2
			}
			r.Take(e)
		}
		r.Take(trace.Event{At: 20 * second, Kind: trace.ProbeSent, Server: 1, Sidecar: 1})
		x := r.End(&checker.Verdict{})
		if over := x.Figures["ramp_falls"] > 0; over != (len(x.Missed) > 0) {
			t.Errorf("%d and %d: %v falls, missed %q", known, unknown, x.Figures["ramp_falls"], x.Missed)
		}
		return x.Figures
	}
	limit := 45 + 2*math.Sqrt(45) + 2 // 60.4
	for _, x := range []struct {
		known, unknown int
		apart          Micros
		ratio          float64
		falls, told    float64
	}{
		{60, 0, 1000, 60 / limit, 0, 0},
		{61, 0, 1000, 61 / limit, 1, 1},
		{41, 20, 1000, 61 / limit, 1, 1},          // over two thirds had been told
		{40, 21, 1000, 61 / limit, 1, 0},          //
		{200, 0, second / 10, 31 / limit, 0, 0},   // 31 in any 3 s, both ends counted
		{0, 100, second / 100, 100 / limit, 1, 0}, //
	} {
		got := run(x.known, x.unknown, x.apart)
		if math.Abs(got["ramp_worst"]-x.ratio) > 1e-3 || got["ramp_falls"] != x.falls || got["ramp_falls_told"] != x.told ||
			math.Abs(got["ramp_untold"]-float64(x.unknown)/float64(x.known+x.unknown)) > 1e-9 {
			t.Errorf("%+v: %v of the limit, %v falls, %v told, %v untold", x, got["ramp_worst"], got["ramp_falls"], got["ramp_falls_told"], got["ramp_untold"])
		}
	}
}
