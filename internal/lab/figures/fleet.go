package figures

import (
	"fmt"
	"maps"
	"slices"

	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

// What each sidecar does alone adds up at the servers and at discovery. A fleet's figures are per server and second, over all
// sidecars, each as mean and worst; the names are scenario.FleetFigures.

// Load is a figure of a fleet: its mean, and its worst with where and when that was.
type Load struct {
	Name   string  `json:"name"`
	Mean   float64 `json:"mean"`
	Worst  float64 `json:"worst"`
	Server int     `json:"server"` // of the worst; -1 where it is not of a server
	At     float64 `json:"at_s"`
}

// fleet adds them up.
type fleet struct {
	caps   []int
	conns  []int // open now, by server
	second [3][]int
	loads  [3]sums // probes, handshakes, shut
	filled sums    // of the caps
	cold   sums
	calls  sums // by second
	called int
	waits  sums
	failed int
}

// sums are of samples of one figure.
type sums struct {
	n, sum, worst float64
	server        int
	at            float64
}

func (s *sums) add(v float64, server int, at float64) {
	s.n++
	s.sum += v
	if s.n == 1 || v > s.worst {
		s.worst, s.server, s.at = v, server, at
	}
}

func (s *sums) load(name string) Load {
	return Load{name, ratio0(s.sum, s.n), s.worst, s.server, s.at}
}

const (
	fleetProbes = iota
	fleetHandshakes
	fleetShut
)

func newFleet(s *scenario.Scenario) fleet {
	var f fleet
	for i := range s.Servers {
		for range s.Servers[i].Count {
			f.caps = append(f.caps, s.Servers[i].ConnCap)
		}
	}
	f.conns = make([]int, len(f.caps))
	for i := range f.second {
		f.second[i] = make([]int, len(f.caps))
	}
	return f
}

func (f *fleet) take(e *trace.Event) {
	n := int(e.Server)
	switch e.Kind {
	case trace.DiscoveryCalled:
		f.called++
		f.waits.add(float64(e.Work)/1000, -1, float64(e.At)/1e6)
		if e.Verdict == trace.Failed {
			f.failed++
		}
		return
	case trace.ConnOpened, trace.ConnClosed, trace.ProbeSent, trace.ConnRefused, trace.ColdLoad, trace.ServerStopped:
	default:
		return
	}
	if n < 0 || n >= len(f.conns) {
		return
	}
	switch e.Kind {
	case trace.ConnOpened:
		f.conns[n]++
		f.second[fleetHandshakes][n]++
	case trace.ConnClosed:
		f.conns[n] = max(0, f.conns[n]-1)
	case trace.ServerStopped:
		f.conns[n] = 0 // they end with the process, untold
	case trace.ProbeSent:
		f.second[fleetProbes][n]++
	case trace.ConnRefused:
		f.second[fleetShut][n]++
	case trace.ColdLoad:
		f.cold.add(e.Warmth, n, float64(e.At)/1e6)
	}
}

// turn ends a second, which began at an instant.
func (f *fleet) turn(at int) {
	for i := range f.second {
		for n, v := range f.second[i] {
			f.loads[i].add(float64(v), n, float64(at))
			f.second[i][n] = 0
		}
	}
	for n, open := range f.conns {
		if f.caps[n] > 0 {
			f.filled.add(float64(open)/float64(f.caps[n]), n, float64(at))
		}
	}
	f.calls.add(float64(f.called), -1, float64(at))
	f.called = 0
}

// end puts the figures into a result.
func (f *fleet) end(x *Result) {
	x.Fleet = []Load{f.loads[fleetProbes].load("probes"), f.loads[fleetHandshakes].load("handshakes"), f.filled.load("connections"),
		f.loads[fleetShut].load("shut"), f.cold.load("cold"), f.calls.load("calls"), f.waits.load("call_wait_ms")}
	for _, l := range x.Fleet {
		mean, worst := l.Name+"_mean", l.Name+"_worst"
		if l.Name == "call_wait_ms" {
			mean, worst = "call_wait_mean_ms", "call_wait_worst_ms"
		}
		x.Figures[mean], x.Figures[worst] = l.Mean, l.Worst
	}
	x.Figures["calls_failed"] = ratio0(float64(f.failed), f.waits.n)
}

// keepFleet notes which of a fleet's bounds were passed.
func (x *Result) keepFleet(most map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(most)) {
		if got := x.Figures[name]; got > most[name] {
			x.Missed = append(x.Missed, fmt.Sprintf("%s (%s) %.4g is over %.4g", name, scenario.FleetFigures[name], got, most[name]))
		}
	}
}
