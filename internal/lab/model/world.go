// Package model is the booking system that the lab plays: slot servers, discovery, clients, operators, and what goes
// wrong with them. It is one model for two hosts: package sim moves it in virtual time, package rig on real sockets.
//
// All of it runs on the goroutine of its queue of events. It knows of sidecars only what a Host tells.
package model

import (
	"fmt"
	"math"

	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/lab/randstream"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

// Host carries what the world says to sidecars. Its methods are called on the queue's goroutine and must not wait.
type Host interface {
	Ask(*Try)                                 // a client sends a request to its sidecar
	GiveUp(*Try)                              // and does not wait for its answer any more
	ServerStarted(server int)                 //
	ServerStopped(server int)                 // its connections are broken
	Fault(f *scenario.Fault, on bool)         // a fault of links or of sidecars
	Operate(server int, out bool)             // operators take a server out at all sidecars, or call it back
	Update(sidecar int, u Update, after Told) // discovery's word goes out on a watch that is open
	WatchEnded(sidecar int)                   // discovery ends the watch, or the call for it failed
}

// Told is to be called once an update has gone out to the sidecar.
type Told func()

// World is the whole system but the sidecars.
type World struct {
	Q       *eventqueue.Queue
	S       *scenario.Scenario
	Seed    randstream.Seed
	Servers []*Server
	Disc    *Discovery

	origin  Micros // of the scenario's times
	host    Host
	sink    trace.Sink
	rates   []float64 // of first tries, by sidecar
	shares  []float64 // of classes, summed up
	open    int       // tasks without an end
	callers int       // sidecars whose arrivals go on
	tasks   uint64
}

// Try is one request of a client.
type Try struct {
	ID      uint64
	Task    *Task
	Number  int
	Asked   Micros // as planned
	Due     Micros // until when the client waits
	Patient Micros // how long that is
	ended   bool
	timeUp  *eventqueue.Event

	Host any // the host's own
}

// Task is what a client wants. All its tries belong to it.
type Task struct {
	ID      uint64
	Sidecar int
	Class   int
	At      Micros
	Work    Micros
	Hint    Micros // 0 for none
	GiveUp  Micros

	draw randstream.Stream
}

// New makes the world of a scenario and a seed. Nothing runs before Begin.
func New(q *eventqueue.Queue, s *scenario.Scenario, seed uint64, host Host, sink trace.Sink) *World {
	w := &World{Q: q, S: s, Seed: randstream.Seed(seed), host: host, sink: sink}
	zones := len(s.Fleet.Zones)
	for kind := range s.Servers {
		for range s.Servers[kind].Count {
			n := len(w.Servers)
			spec := &s.Servers[kind]
			d := w.Seed.Stream("server", uint64(n))
			sv := &Server{Number: n, Name: fmt.Sprintf("s-%04x", n+1), Kind: kind, Cell: n / 4, Spec: spec, w: w,
				Slower: 1, Speed: d.Uniform(spec.Speed[0], spec.Speed[len(spec.Speed)-1]), draw: d,
				held: make([]int, s.Fleet.Sidecars), chokedAt: -1, overFrom: -1, restFrom: -1, Zone: n % zones}
			w.Servers = append(w.Servers, sv)
		}
	}
	w.Disc = newDiscovery(w)
	d := w.Seed.Stream("shares")
	var sum float64
	for range s.Fleet.Sidecars {
		x := d.Lognormal(1, s.Fleet.Skew)
		w.rates = append(w.rates, x)
		sum += x
	}
	for i := range w.rates {
		w.rates[i] *= s.Load.Rate / sum
	}
	sum = 0
	for i := range s.Classes {
		sum += s.Classes[i].Share
		w.shares = append(w.shares, sum)
	}
	return w
}

// Names of the sidecars' zones: they go round.
func (w *World) SidecarZone(n int) int { return n % len(w.S.Fleet.Zones) }

func (w *World) emit(e trace.Event) { w.sink.Take(e) }

// MeanWork is the mean work of a request.
func (w *World) MeanWork() float64 {
	var work float64
	for i := range w.S.Classes {
		work += w.S.Classes[i].Share * float64(w.S.Classes[i].Work.Micros())
	}
	return work / w.shares[len(w.shares)-1]
}

// Prepare starts the servers and lists them, as of long ago.
func (w *World) Prepare() {
	cold := map[int]bool{}
	for i := range w.S.Faults {
		if f := &w.S.Faults[i]; f.Kind == "cold" {
			for _, n := range w.targets(f) {
				cold[n] = true
			}
		}
	}
	for _, s := range w.Servers {
		s.start(!cold[s.Number])
		w.Disc.list(s.Number, !cold[s.Number])
		w.host.ServerStarted(s.Number)
	}
}

// Begin begins the arrivals and the faults.
func (w *World) Begin() {
	w.origin = w.Q.Now()
	for n := range w.rates {
		w.callers++
		w.arrivals(n)
	}
	for i := range w.S.Faults {
		w.fault(&w.S.Faults[i], i)
	}
	w.gauge()
}

// Origin is the instant at which the scenario's times begin.
func (w *World) Origin() Micros { return w.origin }

// Done says whether all that was asked has ended.
func (w *World) Done() bool { return w.callers == 0 && w.open == 0 }

// Open is how many tasks have no end yet.
func (w *World) Open() int { return w.open }

// gauge reports the servers' state now and then.
func (w *World) gauge() {
	now := w.Q.Now()
	if now > w.origin+w.S.Length.Micros()+2*eventqueue.Second {
		return
	}
	for _, s := range w.Servers {
		warmth := s.Warmth(now)
		if !s.Running {
			warmth = 0
		}
		w.emit(trace.Event{At: now, Kind: trace.Gauge, Server: int32(s.Number), Held: int32(s.holds()),
			Queued: int32(len(s.waiting)), Warmth: warmth, Slow: s.Choked()})
	}
	w.Q.At(now+eventqueue.Second/4*Micros(1+len(w.Servers)/50), w.gauge)
}

// ---- Clients ---------------------------------------------------------------

// arrivals draws the arrivals at a sidecar, one by one, from a stream of its own: they depend on nothing that the
// program does. They are drawn at the highest rate and thinned to the present one.
func (w *World) arrivals(sidecar int) {
	d := w.Seed.Stream("arrivals", uint64(sidecar))
	length := w.S.Length.Micros()
	most := w.mostFactor()
	rate := w.rates[sidecar] * most
	at := 0.0
	n := uint64(0)
	var next func()
	next = func() {
		for {
			at += d.Exponential(1e6 / rate)
			if at >= float64(length) {
				w.callers--
				return
			}
			now := Micros(at)
			if d.Bernoulli(w.S.Load.RateAt(at/float64(length)) * w.S.Factor(now) / most) {
				n++
				t := w.task(sidecar, n, now)
				w.Q.At(w.origin+now, func() {
					w.open++
					w.ask(t, 0)
					next()
				})
				return
			}
		}
	}
	next()
}

// mostFactor is by how much the rate may go above the scenario's.
func (w *World) mostFactor() float64 {
	most, factor := 1.0, 1.0
	for i := range 1001 {
		most = max(most, w.S.Load.RateAt(float64(i)/1000))
	}
	for i := range w.S.Faults {
		if f := &w.S.Faults[i]; f.Kind == "burst" && f.Factor > 1 {
			factor *= f.Factor // bursts may overlap
		}
	}
	return most * factor
}

// task draws what a client wants; at counts from the origin.
func (w *World) task(sidecar int, n uint64, at Micros) *Task {
	d := w.Seed.Stream("task", uint64(sidecar), n)
	t := &Task{ID: uint64(sidecar)<<32 | n, Sidecar: sidecar, At: w.origin + at, draw: d}
	pick := d.Float64() * w.shares[len(w.shares)-1]
	for t.Class < len(w.shares)-1 && pick >= w.shares[t.Class] {
		t.Class++
	}
	c := &w.S.Classes[t.Class]
	mean := float64(c.Work.Micros())
	work := mean
	switch c.Dist {
	case "exp":
		work = d.Exponential(mean)
	case "lognormal":
		work = d.Lognormal(mean, c.CV)
	case "pareto":
		work = d.BoundedPareto(mean)
	}
	heavy := d.Float64()
	for i := range w.S.Faults {
		f := &w.S.Faults[i]
		if f.Kind == "heavy-tail" && at >= f.At.Micros() && at < f.At.Micros()+f.For.Micros() &&
			(f.Class == "" || f.Class == c.Name) && heavy < f.Share {
			work *= f.Factor
		}
	}
	t.Work = max(1, Micros(work))
	switch w.S.Load.Hints {
	case "exact":
		t.Hint = t.Work
	case "rough":
		t.Hint = max(1, Micros(work*d.Lognormal(1, 0.5)))
	}
	t.GiveUp = t.At + c.GiveUp.Micros()
	return t
}

// TryBits is how many bits of a request's ID count the tries of its task.
const TryBits = 4

// ask sends a task's next try.
func (w *World) ask(t *Task, number int) {
	now := w.Q.Now()
	c := &w.S.Classes[t.Class]
	patient := Micros(w.S.Clients.TryShare * float64(c.GiveUp.Micros()))
	if now >= t.GiveUp-patient/2 {
		w.open--
		return // not worth another try
	}
	y := &Try{ID: t.ID<<TryBits | uint64(number), Task: t, Number: number, Asked: now, Due: now + min(patient, t.GiveUp-now)}
	y.Patient = y.Due - now
	w.emit(trace.Event{At: now, Kind: trace.Asked, Request: y.ID, Task: t.ID, Class: uint8(t.Class),
		Sidecar: int32(t.Sidecar), Work: t.Work, Due: y.Due, Retry: number > 0})
	y.timeUp = w.Q.At(y.Due+w.slack(), func() {
		if !y.ended {
			y.ended = true
			w.emit(trace.Event{At: w.Q.Now(), Kind: trace.Left, Request: y.ID})
			w.host.GiveUp(y)
			w.again(y, trace.Failed, 0)
		}
	})
	w.host.Ask(y)
}

// slack is for how long after its due time a client still reads an answer that is on its way.
func (w *World) slack() Micros { return 70_000 }

// Answer tells that a client has its whole answer.
func (w *World) Answer(y *Try, at Micros, v trace.Verdict, retryAfter Micros) {
	if y.ended {
		// It is a second answer, or came after the client had gone.
		w.emit(trace.Event{At: at, Kind: trace.Answered, Request: y.ID, Verdict: v})
		return
	}
	y.ended = true
	w.Q.Cancel(y.timeUp)
	w.emit(trace.Event{At: at, Kind: trace.Answered, Request: y.ID, Verdict: v})
	w.again(y, v, retryAfter)
}

// CutOff tells that the sidecar closed a client's connection with no answer; refused says that it never took the
// request, so that a retry is harmless.
func (w *World) CutOff(y *Try, at Micros, unheard bool) {
	if y.ended {
		return
	}
	y.ended = true
	w.Q.Cancel(y.timeUp)
	if unheard {
		w.emit(trace.Event{At: at, Kind: trace.Left, Request: y.ID, Note: "unheard"})
		w.again(y, trace.Refused, 0)
		return
	}
	w.emit(trace.Event{At: at, Kind: trace.Cut, Request: y.ID})
	w.again(y, trace.Failed, 0)
}

// again has the client try again, if it would, or ends its task.
func (w *World) again(y *Try, v trace.Verdict, retryAfter Micros) {
	t, c := y.Task, &w.S.Clients
	unsafe := w.S.Classes[t.Class].Unsafe
	if v == trace.Served || v == trace.Foreign || y.Number >= c.Retries || v == trace.Failed && unsafe {
		w.open--
		return
	}
	wait := Micros(t.draw.Exponential(float64(c.Backoff.Micros())) * math.Pow(2, float64(y.Number)))
	if heed := t.draw.Bernoulli(c.Honour); heed && retryAfter > 0 {
		wait = retryAfter
	}
	w.Q.After(wait, func() { w.ask(t, y.Number+1) })
}
