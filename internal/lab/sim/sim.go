// Package sim plays a scenario in virtual time. It hosts the decision module directly, one instance a sidecar, for
// sizes that sockets cannot reach; what the real program does around the module is done here in its simplest form.
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

// Options of a run.
type Options struct {
	Seed     uint64
	Progress func(second, asked int) // called once a simulated second; may be nil
	Sinks    []trace.Sink            // get the trace, too
	Logs     int                     // lines of the modules' logs to keep
	Tap      Tap                     // stands before the modules of one sidecar's processes; nil for none
	Tapped   int                     // that sidecar
}

// Tap puts something before a process's module; start counts the processes from 1. end is called once it is over.
type Tap func(start int, out balancer.Actions, begin func(balancer.Actions) (*balancer.Balancer, error)) (
	m balancer.Module, end func(), err error)

const (
	origin    = 1_000_000_000_000_000  // the module's clock at the start of the run
	lag       = 60 * eventqueue.Second // after the last arrival a run is ended, whatever is open
	clientTo  = 60                     // from a client to its sidecar, and back
	probeWait = 250 * 1000
	headBytes = 200
)

// host carries the world's words to the nodes, and theirs to the world.
type host struct {
	q      *eventqueue.Queue
	s      *scenario.Scenario
	w      *model.World
	sink   trace.Sink
	seed   randstream.Seed
	nodes  []*node              // the processes that clients reach, by sidecar; nil while none runs
	kept   []*balancer.Snapshot // by sidecar: what outlives a kill
	olds   []*node              // those that finish what they have
	links  map[[2]int]*link
	log    []string
	logs   int
	asked  int
	tap    Tap
	tapped int // a sidecar
	starts int // of its processes
	banned map[int]bool
}

// link is what faults make of the way between a sidecar and a server.
type link struct {
	hole  int
	reset int
	more  Micros
	lost  int // of it: raised when what is on its way is lost
}

// Run plays a scenario.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*figures.Result, error) {
	began := time.Now()
	q := eventqueue.NewVirtual()
	ref, rec := checker.New(checker.SettingsFrom(s, 0)), figures.New(s)
	h := &host{q: q, s: s, seed: randstream.Seed(o.Seed), links: map[[2]int]*link{}, logs: o.Logs, tap: o.Tap, tapped: o.Tapped, banned: map[int]bool{}}
	// Who watches the run works beside it: the order of the events is all that they go by.
	aside := trace.Beside(trace.Sinks(append([]trace.Sink{ref, rec}, o.Sinks...)...))
	defer aside.Close()
	h.sink = aside
	h.w = model.New(q, s, o.Seed, h, h.sink)
	h.w.Prepare()
	for n := range s.Fleet.Sidecars {
		settings, err := told.Parsed(s, n)
		if err != nil {
			return nil, err
		}
		h.nodes = append(h.nodes, h.newNode(n, settings))
	}
	h.kept = make([]*balancer.Snapshot, len(h.nodes))
	for _, n := range h.nodes {
		n.start()
	}
	h.w.Begin()
	if o.Progress != nil {
		var tick func()
		second := 0
		tick = func() {
			o.Progress(second, h.asked)
			second++
			if q.Now() < s.Length.Micros() {
				q.After(eventqueue.Second, tick)
			}
		}
		tick()
	}
	end := s.Length.Micros()
	err := q.Run(ctx, func() bool { return q.Now() >= end && h.w.Done() || q.Now() > end+lag })
	for _, n := range h.all() {
		n.over()
	}
	if err != nil {
		return nil, err
	}
	aside.Close()
	x := rec.End(ref.Finish(q.Now()))
	x.Host, x.Seed = "sim", o.Seed
	x.Took, x.MemoryMB = time.Since(began).Seconds(), PeakMB()
	x.Log = h.log
	return x, nil
}

// PeakMB is this process's highest resident memory so far, or 0 where that cannot be read.
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

// ---- The world's words -----------------------------------------------------

// Ask brings a client's request to its sidecar.
func (h *host) Ask(y *model.Try) {
	h.asked++
	n := h.nodes[y.Task.Sidecar]
	if n == nil {
		h.q.After(clientTo, func() { h.w.CutOff(y, h.q.Now(), true) })
		return
	}
	h.q.After(clientTo, func() {
		// The processes of an upgrade share the listening socket: what the one does not accept any more, the next one does.
		for n.dead && n.retired && n.next != nil {
			n = n.next
		}
		n.do(func() { n.arrive(y) })
	})
}

// GiveUp tells a sidecar that its client has gone.
func (h *host) GiveUp(y *model.Try) {
	if c, ok := y.Host.(*call); ok {
		h.q.After(clientTo, func() { c.node.do(func() { c.node.left(c) }) })
	}
}

// ServerStarted needs no doing: new connections come up by themselves.
func (h *host) ServerStarted(int) {}

// ServerStopped breaks a server's idle connections; what is under way has been told by the server.
func (h *host) ServerStopped(server int) {
	for _, n := range h.all() {
		n.idle[server] = nil
	}
}

func (h *host) all() []*node {
	list := append([]*node(nil), h.olds...)
	for _, n := range h.nodes {
		if n != nil {
			list = append(list, n)
		}
	}
	return list
}

// Operate has operators take a server out at all sidecars, or call it back.
func (h *host) Operate(server int, out bool) {
	h.banned[server] = out
	state := trace.Released
	if out {
		state = trace.Banned
	}
	for _, n := range h.all() {
		n.do(func() {
			if out {
				n.b.DrainEndpoint(n.now(), number(server), n.now())
			} else {
				n.b.UndrainEndpoint(n.now(), number(server), n.now())
			}
		})
	}
	for i := range h.nodes {
		h.sink.Take(trace.Event{At: h.q.Now(), Kind: trace.Told, Sidecar: int32(i), Server: int32(server), State: state})
	}
}

// Update brings discovery's word to a sidecar, and to a process of it that finishes.
func (h *host) Update(sidecar int, u model.Update, told model.Told) {
	told()
	for _, n := range h.all() {
		if n.number == sidecar {
			n.hear(u)
		}
	}
}

// WatchEnded tells a sidecar that its watch broke.
func (h *host) WatchEnded(sidecar int) {
	if n := h.nodes[sidecar]; n != nil {
		n.watchEnded()
	}
}

// Fault begins or ends a fault of links or sidecars.
func (h *host) Fault(f *scenario.Fault, on bool) {
	if f.OnLinks() {
		for _, l := range h.w.Links(f) {
			h.link(l[0], l[1]).fault(h, l, f, on)
		}
		return
	}
	for _, n := range h.w.Sidecars(f) {
		h.process(n, f, on)
	}
}

func (h *host) link(sidecar, server int) *link {
	key := [2]int{sidecar, server}
	l := h.links[key]
	if l == nil {
		l = &link{}
		h.links[key] = l
	}
	return l
}

func (l *link) fault(h *host, key [2]int, f *scenario.Fault, on bool) {
	step := -1
	if on {
		step = 1
	}
	switch f.Kind {
	case "black-hole":
		l.hole += step
		l.lost++
	case "delay":
		l.more += Micros(step) * f.Lag.Micros()
	case "bandwidth": // a message's own time on the link
		l.more += Micros(step) * Micros(float64(h.message())/f.Factor*1e6)
	case "pieces":
		l.more += Micros(step) * Micros(float64(h.message())/f.Factor) * f.Lag.Micros()
	case "half-close": // nobody here ends the sending of a connection that goes on
	case "reset":
		l.reset += step
		every := f.Every.Micros()
		var again func()
		again = func() {
			if l.reset == 0 {
				return
			}
			l.lost++
			for _, n := range h.all() {
				if n.number == key[0] {
					n.broken(key[1])
				}
			}
			if every > 0 {
				h.q.After(every, again)
			}
		}
		if on {
			again()
		}
	}
}

// message is about how many bytes a request or an answer has on the wire.
func (h *host) message() int { return headBytes + (h.s.Load.Bodies+h.s.Load.Answer)/2 }

// process does to a sidecar's process what a fault says.
func (h *host) process(sidecar int, f *scenario.Fault, on bool) {
	n := h.nodes[sidecar]
	now := h.q.Now()
	note := func(state trace.State) {
		h.sink.Take(trace.Event{At: now, Kind: trace.Killed, Sidecar: int32(sidecar), State: state, Note: f.Kind})
	}
	switch {
	case f.Kind == "upgrade" && on && n != nil:
		next := h.newNode(sidecar, n.settings)
		h.nodes[sidecar] = next
		n.retire(next)
		next.start()
		if h.s.Fleet.Recall != "none" {
			next.recall(n.b.Snapshot(n.now(), false))
		}
	case f.Kind == "freeze" && on && n != nil:
		n.frozen = now + f.For.Micros()
		note(trace.Gone)
	case f.Kind == "freeze" && n != nil:
		h.q.After(eventqueue.Second, func() { note(trace.Up) })
	case f.Kind == "kill" && on && n != nil:
		note(trace.Gone)
		n.die()
		h.nodes[sidecar] = nil
	case f.Kind == "stop" && on && n != nil:
		n.retire(nil)
		h.nodes[sidecar] = nil
	case (f.Kind == "kill" || f.Kind == "stop") && !on && n == nil:
		settings, _ := told.Parsed(h.s, sidecar)
		next := h.newNode(sidecar, settings)
		h.nodes[sidecar] = next
		next.start()
		if was := h.kept[sidecar]; was != nil {
			next.recall(was)
		}
		if f.Kind == "kill" {
			note(trace.Up)
		}
	}
}

func (h *host) keep(n *node, line string) {
	if len(h.log) < h.logs {
		h.log = append(h.log, fmt.Sprintf("%.3f sidecar %d: %s", float64(h.q.Now())/1e6, n.number, line))
	}
}

// number is a server's number at the modules.
func number(server int) uint32 { return uint32(server) + 1 }

func entries(u model.Update, w *model.World) []balancer.Endpoint {
	list := make([]balancer.Endpoint, 0, len(u.Entries))
	for _, e := range u.Entries {
		s := w.Servers[e.Server]
		x := balancer.Endpoint{ID: number(e.Server), Zone: uint8(s.Zone), Kind: uint8(s.Kind), Cell: uint16(s.Cell), Weight: 1}
		switch e.State {
		case trace.Draining:
			x.State = balancer.Draining
		case trace.Gone:
			x.State = balancer.Removed
		}
		if e.Started > 0 {
			x.StartTime = origin + e.Started
		}
		list = append(list, x)
	}
	return list
}
