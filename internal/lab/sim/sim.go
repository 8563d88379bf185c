// Package sim runs a scenario in virtual time, for fleets that are too large for processes and sockets. It hosts the
// decision module directly, one instance per sidecar, and simulates what the real program does around the module in a
// simple form.
package sim

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/lab/checker"
	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/lab/figures"
	"birchmoor/internal/lab/model"
	"birchmoor/internal/lab/randstream"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/told"
	"birchmoor/internal/lab/trace"
)

// Micros is an instant since the start of the run, or a duration, in microseconds.
type Micros = eventqueue.Micros

// Options are the options of a run.
type Options struct {
	Seed          uint64
	Progress      func(second, asked int) // called once per simulated second with the requests so far; may be nil
	Sinks         []trace.Sink            // get the trace besides the checker and the figures
	MaxLogLines   int                     // maximum number of lines of the modules' logs to return
	Tap           Tap                     // wraps the modules of one sidecar's processes; nil for none
	TappedSidecar int                     // number of that sidecar
}

// Tap wraps the module of a process, for example to record its events and actions. The start number counts the
// sidecar's processes from 1. begin makes the module with the actions that it calls; end is called once the process has
// ended.
type Tap func(start int, out balancer.Actions, begin func(balancer.Actions) (*balancer.Balancer, error)) (
	m balancer.Module, end func(), err error)

const (
	clockOrigin  = 1_000_000_000_000_000  // the module's clock at the start of the run, in microseconds
	maxRunOff    = 60 * eventqueue.Second // time past the scenario's length at which a run ends even if tasks are open
	clientDelay  = 60                     // microseconds one way between a client and its sidecar
	probeTimeout = 250 * 1000             // microseconds
	headerBytes  = 200
)

// host connects the world to the nodes. It implements model.Host.
type host struct {
	queue         *eventqueue.Queue
	scenario      *scenario.Scenario
	world         *model.World
	sink          trace.Sink
	seed          randstream.Seed
	nodes         []*node              // by sidecar: the process that accepts clients' requests; nil while none runs
	snapshots     []*balancer.Snapshot // by sidecar: the latest snapshot, which survives a kill; nil for none
	retiring      []*node              // processes that drain
	links         map[[2]int]*link
	logLines      []string
	maxLogLines   int
	requestCount  int
	tap           Tap
	tappedSidecar int          // number of the sidecar whose modules tap wraps
	tappedStarts  int          // processes of that sidecar started so far
	drained       map[int]bool // servers in administrative drain
}

// link holds the effects of the faults in force on the link between a sidecar and a server.
type link struct {
	blackHoles int
	resets     int
	extraDelay Micros
	lossCount  int // raised whenever messages in transit are lost
}

// Run runs a scenario and returns its result with the checker's verdict.
func Run(ctx context.Context, scen *scenario.Scenario, options Options) (*figures.Result, error) {
	began := time.Now()
	queue := eventqueue.NewVirtual()
	check, recorder := checker.New(checker.SettingsFrom(scen, 0)), figures.New(scen)
	h := &host{queue: queue, scenario: scen, seed: randstream.Seed(options.Seed), links: map[[2]int]*link{},
		maxLogLines: options.MaxLogLines, tap: options.Tap, tappedSidecar: options.TappedSidecar,
		drained: map[int]bool{}}
	// The sinks run on a goroutine of their own, because their results depend on the order of the events alone.
	async := trace.NewAsyncSink(trace.MultiSink(append([]trace.Sink{check, recorder}, options.Sinks...)...))
	defer async.Close()
	h.sink = async
	h.world = model.New(queue, scen, options.Seed, h, h.sink)
	h.world.Prepare()
	for sidecar := range scen.Fleet.Sidecars {
		settings, err := told.ModuleSettings(scen, sidecar)
		if err != nil {
			return nil, err
		}
		h.nodes = append(h.nodes, h.newNode(sidecar, settings))
	}
	h.snapshots = make([]*balancer.Snapshot, len(h.nodes))
	for _, process := range h.nodes {
		process.start()
	}
	h.world.Begin()
	if options.Progress != nil {
		var reportProgress func()
		seconds := 0
		reportProgress = func() {
			options.Progress(seconds, h.requestCount)
			seconds++
			if queue.Now() < scen.Length.Micros() {
				queue.After(eventqueue.Second, reportProgress)
			}
		}
		reportProgress()
	}
	end := scen.Length.Micros()
	err := queue.Run(ctx, func() bool { return queue.Now() >= end && h.world.Done() || queue.Now() > end+maxRunOff })
	for _, process := range h.processes() {
		process.endTap()
	}
	if err != nil {
		return nil, err
	}
	async.Close()
	result := recorder.End(check.Finish(queue.Now()))
	result.Host, result.Seed = "sim", options.Seed
	result.Took, result.MemoryMB = time.Since(began).Seconds(), PeakMB()
	result.Log = h.logLines
	return result, nil
}

// PeakMB returns the highest resident memory of this process so far, in MiB, or 0 if it cannot be read.
func PeakMB() float64 {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// ---- Calls of the world ----------------------------------------------------

// SendRequest delivers a client's request to its sidecar. The client's connection is refused while no process runs.
func (h *host) SendRequest(request *model.Request) {
	h.requestCount++
	process := h.nodes[request.Task.Sidecar]
	if process == nil {
		h.queue.After(clientDelay, func() { h.world.ConnectionClosed(request, h.queue.Now(), true) })
		return
	}
	h.queue.After(clientDelay, func() {
		// The processes of an upgrade share the listening socket: a connection that the old one no longer accepts is
		// accepted by its successor.
		for process.dead && process.retired && process.successor != nil {
			process = process.successor
		}
		process.whenRunnable(func() { process.accept(request) })
	})
}

// AbandonRequest tells a sidecar that the client of a request has disconnected.
func (h *host) AbandonRequest(request *model.Request) {
	if accepted, ok := request.HostState.(*call); ok {
		h.queue.After(clientDelay, func() { accepted.node.whenRunnable(func() { accepted.node.clientLeft(accepted) }) })
	}
}

// ServerStarted does nothing: nodes open connections to the new process when they need them.
func (h *host) ServerStarted(int) {}

// ServerStopped drops the idle connections to a server. Its jobs have reported their broken connections themselves.
func (h *host) ServerStopped(server int) {
	for _, process := range h.processes() {
		process.idle[server] = nil
	}
}

// processes returns all running processes: those that drain first, then the others by sidecar.
func (h *host) processes() []*node {
	list := append([]*node(nil), h.retiring...)
	for _, process := range h.nodes {
		if process != nil {
			list = append(list, process)
		}
	}
	return list
}

// SetAdministrativeDrain begins or ends the administrative drain of a server, at all sidecars.
func (h *host) SetAdministrativeDrain(server int, out bool) {
	h.drained[server] = out
	state := trace.ReleasedByOperator
	if out {
		state = trace.DrainedByOperator
	}
	for _, process := range h.processes() {
		process.whenRunnable(func() {
			if out {
				process.module.DrainEndpoint(process.now(), endpointID(server), process.now())
			} else {
				process.module.UndrainEndpoint(process.now(), endpointID(server), process.now())
			}
		})
	}
	for i := range h.nodes {
		h.sink.Take(trace.Event{At: h.queue.Now(), Kind: trace.ServerListed, Sidecar: int32(i), Server: int32(server),
			State: state})
	}
}

// SendUpdate sends an update of discovery to all processes of a sidecar, also to those that drain.
func (h *host) SendUpdate(sidecar int, update model.Update, sent model.UpdateSent) {
	sent()
	for _, process := range h.processes() {
		if process.number == sidecar {
			process.applyUpdate(update)
		}
	}
}

// WatchEnded tells a sidecar's process that discovery ended its watch.
func (h *host) WatchEnded(sidecar int) {
	if process := h.nodes[sidecar]; process != nil {
		process.watchEnded()
	}
}

// SetFault begins or ends a fault of links or sidecars.
func (h *host) SetFault(fault *scenario.Fault, on bool) {
	if fault.AffectsLinks() {
		for _, ends := range h.world.Links(fault) {
			h.linkOf(ends[0], ends[1]).apply(h, ends, fault, on)
		}
		return
	}
	for _, sidecar := range h.world.Sidecars(fault) {
		h.applyProcessFault(sidecar, fault, on)
	}
}

// linkOf returns the faults of a link, and creates its entry if there is none.
func (h *host) linkOf(sidecar, server int) *link {
	key := [2]int{sidecar, server}
	l := h.links[key]
	if l == nil {
		l = &link{}
		h.links[key] = l
	}
	return l
}

// apply begins or ends a fault of the link, whose ends are the numbers of its sidecar and server.
func (l *link) apply(h *host, ends [2]int, fault *scenario.Fault, on bool) {
	change := -1
	if on {
		change = 1
	}
	switch fault.Kind {
	case "black-hole":
		l.blackHoles += change
		l.lossCount++
	case "delay":
		l.extraDelay += Micros(change) * fault.Lag.Micros()
	case "bandwidth": // the delay of a message of mean size
		l.extraDelay += Micros(change) * Micros(float64(h.messageBytes())/fault.Factor*1e6)
	case "pieces":
		l.extraDelay += Micros(change) * Micros(float64(h.messageBytes())/fault.Factor) * fault.Lag.Micros()
	case "half-close": // has no effect: no simulated connection is half-closed
	case "reset":
		l.resets += change
		interval := fault.Interval.Micros()
		var resetAgain func()
		resetAgain = func() {
			if l.resets == 0 {
				return
			}
			l.lossCount++
			for _, process := range h.processes() {
				if process.number == ends[0] {
					process.resetConnections(ends[1])
				}
			}
			if interval > 0 {
				h.queue.After(interval, resetAgain)
			}
		}
		if on {
			resetAgain()
		}
	}
}

// messageBytes returns the mean size of a request or an answer on the wire.
func (h *host) messageBytes() int {
	return headerBytes + (h.scenario.Load.BodyBytes+h.scenario.Load.AnswerBytes)/2
}

// applyProcessFault begins or ends a fault of a sidecar's process.
func (h *host) applyProcessFault(sidecar int, fault *scenario.Fault, on bool) {
	process := h.nodes[sidecar]
	now := h.queue.Now()
	recordState := func(state trace.State) {
		h.sink.Take(trace.Event{At: now, Kind: trace.SidecarStateChanged, Sidecar: int32(sidecar), State: state,
			Note: fault.Kind})
	}
	switch {
	case fault.Kind == "upgrade" && on && process != nil:
		successor := h.newNode(sidecar, process.settings)
		h.nodes[sidecar] = successor
		process.retire(successor)
		successor.start()
		if h.scenario.Fleet.StateTransfer != "none" {
			successor.restore(process.module.Snapshot(process.now(), false))
		}
	case fault.Kind == "freeze" && on && process != nil:
		process.frozenUntil = now + fault.Duration.Micros()
		recordState(trace.Removed)
	case fault.Kind == "freeze" && process != nil:
		h.queue.After(eventqueue.Second, func() { recordState(trace.Up) })
	case fault.Kind == "kill" && on && process != nil:
		recordState(trace.Removed)
		process.kill()
		h.nodes[sidecar] = nil
	case fault.Kind == "stop" && on && process != nil:
		process.retire(nil)
		h.nodes[sidecar] = nil
	case (fault.Kind == "kill" || fault.Kind == "stop") && !on && process == nil:
		settings, _ := told.ModuleSettings(h.scenario, sidecar)
		successor := h.newNode(sidecar, settings)
		h.nodes[sidecar] = successor
		successor.start()
		if snapshot := h.snapshots[sidecar]; snapshot != nil {
			successor.restore(snapshot)
		}
		if fault.Kind == "kill" {
			recordState(trace.Up)
		}
	}
}

func (h *host) appendLog(process *node, line string) {
	if len(h.logLines) < h.maxLogLines {
		h.logLines = append(h.logLines, fmt.Sprintf("%.3f sidecar %d: %s", float64(h.queue.Now())/1e6, process.number,
			line))
	}
}

// endpointID returns the ID that a server has at the modules, which count from 1.
func endpointID(server int) uint32 { return uint32(server) + 1 }

// endpoints converts the entries of an update of discovery for a module.
func endpoints(update model.Update, world *model.World) []balancer.Endpoint {
	list := make([]balancer.Endpoint, 0, len(update.Entries))
	for _, entry := range update.Entries {
		server := world.Servers[entry.Server]
		endpoint := balancer.Endpoint{ID: endpointID(entry.Server), Zone: uint8(server.Zone), Kind: uint8(server.Kind),
			Cell: uint16(server.Cell), Weight: 1}
		switch entry.State {
		case trace.Draining:
			endpoint.State = balancer.Draining
		case trace.Removed:
			endpoint.State = balancer.Removed
		}
		if entry.Started > 0 {
			endpoint.StartTime = clockOrigin + entry.Started
		}
		list = append(list, endpoint)
	}
	return list
}
