package figures

import (
	"fmt"
	"maps"
	"slices"

	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

// The actions of all sidecars add up at the servers and at discovery. The figures of a fleet are taken per server and
// second over all sidecars, each as mean and worst. scenario.FleetFigures lists their names.

// Load is one figure of a fleet: its mean and its worst sample, with the server and the time of the worst.
type Load struct {
	Name   string  `json:"name"`
	Mean   float64 `json:"mean"`
	Worst  float64 `json:"worst"`
	Server int     `json:"server"` // number of the server with the worst sample; -1 if the figure is not per server
	At     float64 `json:"at_s"`   // start of the second of the worst sample, or its instant
}

// fleetRecorder adds up the fleet's figures from the events of a run. Slices are indexed by server number.
type fleetRecorder struct {
	connCaps        []int
	openConns       []int      // open at present
	secondCounts    [3][]int   // events in the current second: probes, handshakes, connections rejected at the cap
	perSecond       [3]summary // of secondCounts, with the same index
	connCapShare    summary    // open connections over the server's connection cap, at the end of each second
	coldLoad        summary    // work sent to a cold server over the work that overloads it
	callsPerSecond  summary    // calls of discovery
	callsThisSecond int
	callWaits       summary // time until discovery answered a call, in milliseconds
	failedCalls     int
}

// summary summarises the samples of one figure.
type summary struct {
	count, sum, worst float64
	worstServer       int
	worstAtSeconds    float64
}

func (s *summary) add(v float64, server int, at float64) {
	s.count++
	s.sum += v
	if s.count == 1 || v > s.worst {
		s.worst, s.worstServer, s.worstAtSeconds = v, server, at
	}
}

func (s *summary) load(name string) Load {
	return Load{name, ratioOrZero(s.sum, s.count), s.worst, s.worstServer, s.worstAtSeconds}
}

const (
	fleetProbes = iota
	fleetHandshakes
	fleetShut
)

func newFleetRecorder(s *scenario.Scenario) fleetRecorder {
	var f fleetRecorder
	for i := range s.Servers {
		for range s.Servers[i].Count {
			f.connCaps = append(f.connCaps, s.Servers[i].ConnCap)
		}
	}
	f.openConns = make([]int, len(f.connCaps))
	for i := range f.secondCounts {
		f.secondCounts[i] = make([]int, len(f.connCaps))
	}
	return f
}

func (f *fleetRecorder) take(e *trace.Event) {
	n := int(e.Server)
	switch e.Kind {
	case trace.DiscoveryCalled:
		f.callsThisSecond++
		f.callWaits.add(float64(e.Work)/1000, -1, float64(e.At)/1e6)
		if e.Verdict == trace.Failed {
			f.failedCalls++
		}
		return
	case trace.ConnOpened, trace.ConnClosed, trace.ProbeSent, trace.ConnRefused, trace.ColdLoad, trace.ServerStopped:
	default:
		return
	}
	if n < 0 || n >= len(f.openConns) {
		return
	}
	switch e.Kind {
	case trace.ConnOpened:
		f.openConns[n]++
		f.secondCounts[fleetHandshakes][n]++
	case trace.ConnClosed:
		f.openConns[n] = max(0, f.openConns[n]-1)
	case trace.ServerStopped:
		f.openConns[n] = 0 // the connections end with the process, without an event for each
	case trace.ProbeSent:
		f.secondCounts[fleetProbes][n]++
	case trace.ConnRefused:
		f.secondCounts[fleetShut][n]++
	case trace.ColdLoad:
		f.coldLoad.add(e.Warmth, n, float64(e.At)/1e6)
	}
}

// endSecond adds the counts of a second, given by its number since the start of the run, as samples and resets them.
func (f *fleetRecorder) endSecond(second int) {
	for i := range f.secondCounts {
		for n, v := range f.secondCounts[i] {
			f.perSecond[i].add(float64(v), n, float64(second))
			f.secondCounts[i][n] = 0
		}
	}
	for n, open := range f.openConns {
		if f.connCaps[n] > 0 {
			f.connCapShare.add(float64(open)/float64(f.connCaps[n]), n, float64(second))
		}
	}
	f.callsPerSecond.add(float64(f.callsThisSecond), -1, float64(second))
	f.callsThisSecond = 0
}

// addFigures adds the fleet's figures to a result.
func (f *fleetRecorder) addFigures(x *Result) {
	x.Fleet = []Load{f.perSecond[fleetProbes].load("probes"), f.perSecond[fleetHandshakes].load("handshakes"),
		f.connCapShare.load("connections"),
		f.perSecond[fleetShut].load("shut"), f.coldLoad.load("cold"), f.callsPerSecond.load("calls"),
		f.callWaits.load("call_wait_ms")}
	for _, l := range x.Fleet {
		mean, worst := l.Name+"_mean", l.Name+"_worst"
		if l.Name == "call_wait_ms" {
			mean, worst = "call_wait_mean_ms", "call_wait_worst_ms"
		}
		x.Figures[mean], x.Figures[worst] = l.Mean, l.Worst
	}
	x.Figures["calls_failed"] = ratioOrZero(float64(f.failedCalls), f.callWaits.count)
}

// checkFleetLimits adds to Missed each fleet figure that exceeds its limit in the scenario.
func (x *Result) checkFleetLimits(limits map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(limits)) {
		if got := x.Figures[name]; got > limits[name] {
			x.Missed = append(x.Missed, fmt.Sprintf("%s (%s) %.4g is over %.4g", name, scenario.FleetFigures[name], got,
				limits[name]))
		}
	}
}
