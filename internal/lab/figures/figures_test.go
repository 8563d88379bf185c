package figures

import (
	"math"
	"strings"
	"testing"

	"birchmoor/internal/lab/referee"
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
		r.Take(trace.Event{At: at, Kind: trace.Asked, Request: id, Task: task, Class: class, Work: 10, Retry: retry})
	}
	answer := func(at Micros, id uint64, v trace.Verdict) {
		r.Take(trace.Event{At: at, Kind: trace.Answered, Request: id, Verdict: v})
	}
	ask(0, 1, 1, 0, false) // in time: 1
	r.Take(trace.Event{At: 1000, Kind: trace.Sent, Cross: true})
	r.Take(trace.Event{At: 1000, Kind: trace.Sent})
	answer(50_000, 1, trace.Served)
	ask(1e6, 2, 2, 0, false) // late: 0 of 1
	answer(1_150_000, 2, trace.Served)
	ask(2e6, 3, 3, 1, false) // refused, then in time: 3
	answer(2_010_000, 3, trace.Refused)
	ask(2_020_000, 4, 3, 1, true)
	answer(2_090_000, 4, trace.Served)
	ask(15e6, 5, 4, 1, false) // left: 0 of 3
	r.Take(trace.Event{At: 16e6, Kind: trace.Left, Request: 5})
	x := r.End(&referee.Verdict{Counts: referee.Counts{Asked: 5, Served: 3, Refused: 1, Gone: 1}})
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
	x := New(rules(t, "")).End(&referee.Verdict{})
	if !x.Passed() {
		t.Errorf("nothing was asked and nothing missed, but: %s", x.Line())
	}
	if x.Void = "the lab was late"; x.Passed() || !strings.HasPrefix(x.Line(), "void: the lab was late") {
		t.Errorf("a void run: %s", x.Line())
	}
}
