// Package trace defines the events that the lab's hosts report of a run, as they were seen on the sockets or on the
// simulated network.
//
// The checker and the figures of a run are computed from these events alone. Requests, servers, classes and sidecars
// are identified by numbers.
package trace

import "fmt"

// Micros is an instant since the start of the run, or a duration, in microseconds.
type Micros = int64

// Kind is the kind of an event.
type Kind uint8

// The kinds of event, each with the fields of Event that it uses.
const (
	// A client sent a request's last byte: Request, Task, Class, Sidecar, Work, Deadline, Retry.
	RequestSent         Kind = iota
	RequestAnswered          // a client received a complete answer: Request, Verdict
	RequestAbandoned         // a client timed out without an answer: Request, Note
	ClientCutOff             // the sidecar closed a client's connection without an answer: Request
	AttemptSent              // a sidecar sent an attempt at At: Request, Sidecar, Server, Class, CrossZone
	AttemptAccepted          // a server accepted an attempt, which may run: Request, Sidecar, Server, Class, Work
	AttemptRejected          // a server rejected an attempt unrun: Request, Sidecar, Server, Class, Work
	AttemptFinished          // a server finished an attempt: Request, Server, Work
	ServerListed             // discovery or operators sent a state: Sidecar, Server, State, StartedAt
	ServerStarted            // a process started: Server, Capacity, ColdFrom, ColdFor; Work is its machine's pace
	ServerCollapsed          // a cold server collapsed under overload: Server
	ServerStopped            // a server's process ended: Server
	ConnOpened               // a connection to a server was opened: Sidecar, Server
	ConnClosed               // a connection to a server was closed: Sidecar, Server
	ProbeSent                // a sidecar sent a probe to a server: Sidecar, Server
	SidecarStateChanged      // a sidecar was killed or frozen (Removed), or runs again (Up): Sidecar, State, Note
	FaultBegan               // a fault began: Note
	FaultEnded               // a fault ended: Note
	ServerGauge              // state of a server, recorded at intervals: Server, Held, Queued, Warmth, Choked
	ConnRefused              // a server refused a connection above its limit: Sidecar, Server
	// a process is no longer cold: Server; Warmth is the highest ratio of work sent to its limit
	ColdLoad
	DiscoveryCalled // a call of discovery ended: Sidecar, Verdict (Served or Failed); Work is its duration
)

var kindNames = [...]string{"asked", "answered", "left", "cut", "sent", "accepted", "turned", "finished", "told",
	"started", "fell", "stopped", "opened", "closed", "probed", "killed", "began", "ended", "gauge",
	"shut", "carried", "called"}

// String returns the kind's name in reports.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// Verdict is the kind of an answer to a request.
type Verdict uint8

// The verdicts.
const (
	Served   Verdict = iota // a server's answer to this request
	Rejected                // rejected: the request did not run, and a retry is safe
	Failed                  // failed: the request may have run
	Foreign                 // an answer that no server gave to this request
)

// State is the state of a server in discovery's list or in the operators' overrides.
type State uint8

// The states. DrainedByOperator and ReleasedByOperator are the beginning and the end of an administrative drain;
// discovery lists the others.
const (
	Up State = iota
	Draining
	Removed
	DrainedByOperator
	ReleasedByOperator
)

// Event is an event of a run. The comments at the kinds say which fields each of them uses.
type Event struct {
	At        Micros
	Kind      Kind
	Verdict   Verdict
	State     State
	Class     uint8
	CrossZone bool // AttemptSent: the server is in another zone than the sidecar
	Retry     bool // RequestSent: the request is a client's retry
	Choked    bool // ServerGauge: the server runs at its choked speed
	Sidecar   int32
	Server    int32
	Held      int32  // ServerGauge: requests running and waiting
	Queued    int32  // ServerGauge: requests waiting
	Request   uint64 // ID of a client's request
	Task      uint64 // ID of the task, which a request and its retries by the client share
	Deadline  Micros // RequestSent: instant at which the client times out
	Work      Micros // service time on a core of speed 1, unless the kind says otherwise

	Capacity  float64 // ServerStarted: work per second when warm, in microseconds
	ColdFrom  float64 // ServerStarted: share of its capacity that the process starts with
	ColdFor   Micros  // ServerStarted: time until the process has its whole capacity
	StartedAt Micros  // ServerListed: start of the process as discovery lists it; 0 for a start before the run
	Warmth    float64 // ServerGauge: share of its capacity that the process has; 0 if none runs
	Note      string  // FaultBegan, FaultEnded: the fault; RequestAbandoned, SidecarStateChanged: the cause
}

// Sink receives events, in the order in which they happened.
type Sink interface{ Take(Event) }

// Func is a function that implements Sink.
type Func func(Event)

// Take calls the function.
func (f Func) Take(e Event) { f(e) }

// MultiSink returns a Sink that passes each event to all of sinks, in order.
func MultiSink(sinks ...Sink) Sink {
	return Func(func(e Event) {
		for _, s := range sinks {
			s.Take(e)
		}
	})
}

// AsyncSink passes events to a sink that runs on a goroutine of its own, in order and in batches.
type AsyncSink struct {
	batch       []Event      // collected since the last full one
	fullBatches chan []Event // nil once closed
	freeBatches chan []Event // for reuse
	done        chan struct{}
}

const batchSize = 2048

// NewAsyncSink starts and returns an AsyncSink for a sink. Close must be called to stop its goroutine.
func NewAsyncSink(sink Sink) *AsyncSink {
	a := &AsyncSink{fullBatches: make(chan []Event, 8), freeBatches: make(chan []Event, 10), done: make(chan struct{})}
	go func() {
		defer close(a.done)
		for batch := range a.fullBatches {
			for i := range batch {
				sink.Take(batch[i])
			}
			select {
			case a.freeBatches <- batch[:0]:
			default:
			}
		}
	}()
	return a
}

// Take passes on an event. It blocks while the sink is several batches behind.
func (a *AsyncSink) Take(e Event) {
	if a.batch == nil {
		select {
		case a.batch = <-a.freeBatches:
		default:
			a.batch = make([]Event, 0, batchSize)
		}
	}
	if a.batch = append(a.batch, e); len(a.batch) == batchSize {
		a.fullBatches <- a.batch
		a.batch = nil
	}
}

// Close passes on the remaining events and returns when the sink has received all of them. It may be called again.
func (a *AsyncSink) Close() {
	if a.fullBatches == nil {
		return
	}
	a.fullBatches <- a.batch
	close(a.fullBatches)
	<-a.done
	a.fullBatches = nil
}
