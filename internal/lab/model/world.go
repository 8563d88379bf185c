// Package model models the booking system of the lab's scenarios: slot servers, discovery, clients, operators, and the
// faults injected into them. Two hosts share the model: package sim runs it in virtual time, package rig in real time
// over sockets.
//
// All code of the package runs on the goroutine of the event queue. The model sees sidecars only through a Host.
package model

import (
	"fmt"
	"math"

	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/lab/randstream"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/trace"
)

// Host connects the world to the sidecars. Its methods are called on the queue's goroutine and must not block.
type Host interface {
	SendRequest(*Request)                // a client sends a request to its sidecar
	AbandonRequest(*Request)             // a client stops waiting for the answer to its request
	ServerStarted(server int)            //
	ServerStopped(server int)            // the server's process ended, and its connections are reset
	SetFault(f *scenario.Fault, on bool) // a fault of links or of sidecars begins or ends
	SetAdministrativeDrain(server int,
		out bool) // operators begin or end a server's administrative drain, at all sidecars
	SendUpdate(sidecar int, u Update, sent UpdateSent) // discovery sends an update on an open watch
	WatchEnded(sidecar int)                            // discovery ends the watch of a sidecar, for an outage
}

// UpdateSent is the callback of Host.SendUpdate. The host calls it once it has sent the update to the sidecar; the
// trace records the update at that instant.
type UpdateSent func()

// World is the whole system except the sidecars. Its state belongs to the queue's goroutine.
type World struct {
	Queue     *eventqueue.Queue
	Scenario  *scenario.Scenario
	Seed      randstream.Seed
	Servers   []*Server
	Discovery *Discovery

	scenarioStart    Micros // instant at which the scenario's times begin
	host             Host
	sink             trace.Sink
	requestRates     []float64 // first requests of tasks per second, by sidecar
	cumulativeShares []float64 // shares of the classes up to each one, in sum
	openTasks        int       // tasks that have begun and not ended
	arrivingSidecars int       // sidecars that have arrivals left
	tasks            uint64
}

// Request is one request of a client: the first one of its task, or a retry by the client.
type Request struct {
	ID   uint64
	Task *Task
	// Number is 0 for the first request of the task and counts the client's retries from there.
	Number       int
	SentAt       Micros // instant at which the client sends the request
	Deadline     Micros // instant at which the client times out
	Timeout      Micros // the client's timeout: Deadline minus SentAt
	done         bool
	timeoutEvent *eventqueue.Event

	HostState any // state of the host; the model does not use it
}

// Task is an operation that a client wants done. A client sends a request for it, and may send it again.
type Task struct {
	ID        uint64
	Sidecar   int
	Class     int
	ArrivedAt Micros // arrival
	Work      Micros // service time on a core of speed 1
	Hint      Micros // estimate of Work that the client sends along; 0 for none
	Deadline  Micros // deadline of the task

	stream randstream.Stream
}

// New returns the world of a scenario and a seed. Events go to sink. Prepare and then Begin start it.
func New(q *eventqueue.Queue, s *scenario.Scenario, seed uint64, host Host, sink trace.Sink) *World {
	w := &World{Queue: q, Scenario: s, Seed: randstream.Seed(seed), host: host, sink: sink}
	zones := len(s.Fleet.Zones)
	for kind := range s.Servers {
		for range s.Servers[kind].Count {
			n := len(w.Servers)
			spec := &s.Servers[kind]
			stream := w.Seed.Stream("server", uint64(n))
			server := &Server{Number: n, Name: fmt.Sprintf("s-%04x", n+1), Kind: kind, Cell: n / 4, Spec: spec,
				world: w, SlowdownFactor: 1, Speed: stream.Uniform(spec.Speed[0], spec.Speed[len(spec.Speed)-1]),
				stream: stream, connectionsBySidecar: make([]int, s.Fleet.Sidecars), chokedSince: -1,
				overloadedSince: -1, recoveringSince: -1, Zone: n % zones}
			w.Servers = append(w.Servers, server)
		}
	}
	w.Discovery = newDiscovery(w)
	stream := w.Seed.Stream("shares")
	var sum float64
	for range s.Fleet.Sidecars {
		weight := stream.Lognormal(1, s.Fleet.Skew)
		w.requestRates = append(w.requestRates, weight)
		sum += weight
	}
	for i := range w.requestRates {
		w.requestRates[i] *= s.Load.Rate / sum
	}
	sum = 0
	for i := range s.Classes {
		sum += s.Classes[i].Share
		w.cumulativeShares = append(w.cumulativeShares, sum)
	}
	return w
}

// SidecarZone returns the index of a sidecar's zone. Sidecars are assigned to the zones in turn.
func (w *World) SidecarZone(n int) int { return n % len(w.Scenario.Fleet.Zones) }

func (w *World) emit(event trace.Event) { w.sink.Take(event) }

// MeanWork returns the mean work of a request over all classes, in microseconds on a core of speed 1.
func (w *World) MeanWork() float64 {
	var work float64
	for i := range w.Scenario.Classes {
		work += w.Scenario.Classes[i].Share * float64(w.Scenario.Classes[i].Work.Micros())
	}
	return work / w.cumulativeShares[len(w.cumulativeShares)-1]
}

// Prepare starts the servers and adds them to discovery's list. Servers are warm, except those of a fault of kind cold.
func (w *World) Prepare() {
	cold := map[int]bool{}
	for i := range w.Scenario.Faults {
		if f := &w.Scenario.Faults[i]; f.Kind == "cold" {
			for _, n := range w.targets(f) {
				cold[n] = true
			}
		}
	}
	for _, s := range w.Servers {
		s.start(!cold[s.Number])
		w.Discovery.addInitial(s.Number, !cold[s.Number])
		w.host.ServerStarted(s.Number)
	}
}

// Begin schedules the arrivals and the faults, relative to the current instant.
func (w *World) Begin() {
	w.scenarioStart = w.Queue.Now()
	for n := range w.requestRates {
		w.arrivingSidecars++
		w.scheduleArrivals(n)
	}
	for i := range w.Scenario.Faults {
		w.scheduleFault(&w.Scenario.Faults[i], i)
	}
	w.recordGauges()
}

// Origin returns the instant of Begin, from which the scenario's times count.
func (w *World) Origin() Micros { return w.scenarioStart }

// Done reports whether no arrivals are left and all tasks have ended.
func (w *World) Done() bool { return w.arrivingSidecars == 0 && w.openTasks == 0 }

// Open returns how many tasks have begun and not ended.
func (w *World) Open() int { return w.openTasks }

// recordGauges records the state of each server, four times a second for up to 49 servers and less often for more.
func (w *World) recordGauges() {
	now := w.Queue.Now()
	if now > w.scenarioStart+w.Scenario.Length.Micros()+2*eventqueue.Second {
		return
	}
	for _, s := range w.Servers {
		warmth := s.Warmth(now)
		if !s.Running {
			warmth = 0
		}
		w.emit(trace.Event{At: now, Kind: trace.ServerGauge, Server: int32(s.Number), Held: int32(s.heldRequests()),
			Queued: int32(len(s.waiting)), Warmth: warmth, Choked: s.Choked()})
	}
	w.Queue.At(now+eventqueue.Second/4*Micros(1+len(w.Servers)/50), w.recordGauges)
}

// ---- Clients ---------------------------------------------------------------

// scheduleArrivals draws the arrivals at a sidecar, one by one, from a stream of their own, so that they do not depend
// on what the sidecars do. Arrivals are drawn at the highest rate of the run and thinned to the current one.
func (w *World) scheduleArrivals(sidecar int) {
	stream := w.Seed.Stream("arrivals", uint64(sidecar))
	length := w.Scenario.Length.Micros()
	maxFactor := w.maxRateFactor()
	rate := w.requestRates[sidecar] * maxFactor
	offset := 0.0
	count := uint64(0)
	var next func()
	next = func() {
		for {
			offset += stream.Exponential(1e6 / rate)
			if offset >= float64(length) {
				w.arrivingSidecars--
				return
			}
			now := Micros(offset)
			if stream.Bernoulli(w.Scenario.Load.RateAt(offset/float64(length)) * w.Scenario.ArrivalFactor(now) /
				maxFactor) {
				count++
				t := w.drawTask(sidecar, count, now)
				w.Queue.At(w.scenarioStart+now, func() {
					w.openTasks++
					w.sendRequest(t, 0)
					next()
				})
				return
			}
		}
	}
	next()
}

// maxRateFactor returns an upper bound of the arrival rate, as a multiple of the scenario's rate.
func (w *World) maxRateFactor() float64 {
	maxShape, burstFactor := 1.0, 1.0
	for i := range 1001 {
		maxShape = max(maxShape, w.Scenario.Load.RateAt(float64(i)/1000))
	}
	for i := range w.Scenario.Faults {
		if f := &w.Scenario.Faults[i]; f.Kind == "burst" && f.Factor > 1 {
			burstFactor *= f.Factor // bursts may overlap
		}
	}
	return maxShape * burstFactor
}

// drawTask draws the task of an arrival, which is the given number of its sidecar. The offset counts from the origin.
func (w *World) drawTask(sidecar int, number uint64, offset Micros) *Task {
	stream := w.Seed.Stream("task", uint64(sidecar), number)
	task := &Task{ID: uint64(sidecar)<<32 | number, Sidecar: sidecar, ArrivedAt: w.scenarioStart + offset,
		stream: stream}
	pick := stream.Float64() * w.cumulativeShares[len(w.cumulativeShares)-1]
	for task.Class < len(w.cumulativeShares)-1 && pick >= w.cumulativeShares[task.Class] {
		task.Class++
	}
	class := &w.Scenario.Classes[task.Class]
	mean := float64(class.Work.Micros())
	work := mean
	switch class.Dist {
	case "exp":
		work = stream.Exponential(mean)
	case "lognormal":
		work = stream.Lognormal(mean, class.CV)
	case "pareto":
		work = stream.BoundedPareto(mean)
	}
	heavyTailDraw := stream.Float64()
	for i := range w.Scenario.Faults {
		fault := &w.Scenario.Faults[i]
		if fault.Kind == "heavy-tail" && offset >= fault.At.Micros() &&
			offset < fault.At.Micros()+fault.Duration.Micros() &&
			(fault.Class == "" || fault.Class == class.Name) && heavyTailDraw < fault.Share {
			work *= fault.Factor
		}
	}
	task.Work = max(1, Micros(work))
	switch w.Scenario.Load.Hints {
	case "exact":
		task.Hint = task.Work
	case "rough":
		task.Hint = max(1, Micros(work*stream.Lognormal(1, 0.5)))
	}
	task.Deadline = task.ArrivedAt + class.Timeout.Micros()
	return task
}

// RequestNumberBits is the number of low bits of a request's ID that hold the request's number within its task.
const RequestNumberBits = 4

// sendRequest sends the next request of a task, unless less than half of a request's timeout is left until the task's
// deadline: the task ends then.
func (w *World) sendRequest(task *Task, number int) {
	now := w.Queue.Now()
	class := &w.Scenario.Classes[task.Class]
	timeout := Micros(w.Scenario.Clients.RequestTimeoutShare * float64(class.Timeout.Micros()))
	if now >= task.Deadline-timeout/2 {
		w.openTasks--
		return
	}
	request := &Request{ID: task.ID<<RequestNumberBits | uint64(number), Task: task, Number: number, SentAt: now,
		Deadline: now + min(timeout, task.Deadline-now)}
	request.Timeout = request.Deadline - now
	w.emit(trace.Event{At: now, Kind: trace.RequestSent, Request: request.ID, Task: task.ID, Class: uint8(task.Class),
		Sidecar: int32(task.Sidecar), Work: task.Work, Deadline: request.Deadline, Retry: number > 0})
	request.timeoutEvent = w.Queue.At(request.Deadline+w.answerGrace(), func() {
		if !request.done {
			request.done = true
			w.emit(trace.Event{At: w.Queue.Now(), Kind: trace.RequestAbandoned, Request: request.ID})
			w.host.AbandonRequest(request)
			w.retryOrEnd(request, trace.Failed, 0)
		}
	})
	w.host.SendRequest(request)
}

// answerGrace returns how long after its timeout a client still accepts an answer that is on its way.
func (w *World) answerGrace() Micros { return 70_000 }

// Answer records that a client has received a complete answer. The client retries, or its task ends.
func (w *World) Answer(request *Request, at Micros, verdict trace.Verdict, retryAfter Micros) {
	if request.done {
		// It is a second answer, or arrived after the client had stopped waiting. The trace gets it all the same.
		w.emit(trace.Event{At: at, Kind: trace.RequestAnswered, Request: request.ID, Verdict: verdict})
		return
	}
	request.done = true
	w.Queue.Cancel(request.timeoutEvent)
	w.emit(trace.Event{At: at, Kind: trace.RequestAnswered, Request: request.ID, Verdict: verdict})
	w.retryOrEnd(request, verdict, retryAfter)
}

// ConnectionClosed records that the sidecar closed a client's connection without an answer. With neverAccepted, no
// sidecar had accepted the request, so that a retry cannot execute it twice.
func (w *World) ConnectionClosed(request *Request, at Micros, neverAccepted bool) {
	if request.done {
		return
	}
	request.done = true
	w.Queue.Cancel(request.timeoutEvent)
	if neverAccepted {
		w.emit(trace.Event{At: at, Kind: trace.RequestAbandoned, Request: request.ID, Note: "unheard"})
		w.retryOrEnd(request, trace.Rejected, 0)
		return
	}
	w.emit(trace.Event{At: at, Kind: trace.ClientCutOff, Request: request.ID})
	w.retryOrEnd(request, trace.Failed, 0)
}

// retryOrEnd schedules the client's retry after a request that ended with the verdict, or ends the task. There is no
// retry after the last one, nor after a failure in a class that must not execute twice.
func (w *World) retryOrEnd(request *Request, verdict trace.Verdict, retryAfter Micros) {
	task, clients := request.Task, &w.Scenario.Clients
	unsafe := w.Scenario.Classes[task.Class].NotIdempotent
	if verdict == trace.Served || verdict == trace.Foreign || request.Number >= clients.Retries ||
		verdict == trace.Failed && unsafe {
		w.openTasks--
		return
	}
	delay := Micros(task.stream.Exponential(float64(clients.Backoff.Micros())) * math.Pow(2, float64(request.Number)))
	if honoursRetryAfter := task.stream.Bernoulli(clients.RetryAfterShare); honoursRetryAfter && retryAfter > 0 {
		delay = retryAfter
	}
	w.Queue.After(delay, func() { w.sendRequest(task, request.Number+1) })
}
