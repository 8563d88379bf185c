// Package rig runs a scenario in real time. The sidecars are processes of the real program; servers, discovery, clients
// and operators are simulated on real sockets, with a relay that injects network faults on each link. All addresses are
// loopback addresses that no other process uses, so that several labs can run on one machine.
package rig

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"birchmoor/internal/lab/checker"
	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/lab/figures"
	"birchmoor/internal/lab/model"
	"birchmoor/internal/lab/relay"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/sim"
	"birchmoor/internal/lab/trace"
)

// Options of a run.
type Options struct {
	Seed     uint64
	Bin      string                  // the sidecar program
	Dir      string                  // for configurations and logs; "" for a temporary folder that is removed
	Progress func(second, asked int) // called each second with the number of requests sent; may be nil
	Sinks    []trace.Sink            // receive the events of the run in addition to the checker
}

const (
	clockSlackMicros = 50 * 1000              // between an event on a socket and its instant in the lab
	settleTimeout    = 10 * time.Second       // after the last arrival; then the run ends with requests open
	maxLinks         = 600                    // between sidecars and servers
	stopGraceMicros  = 500 * 1000             // after SIGTERM, in which a sidecar still accepts requests
	maxLateness      = 150 * time.Millisecond // of the lab itself in any event
	maxLatenessP999  = 25 * time.Millisecond  // of the lab itself in all but one event of a thousand
)

// rig connects the simulated world with the processes: it carries out the world's actions on sockets and processes, and
// reports their events to the world.
type rig struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	scenario    *scenario.Scenario
	queue       *eventqueue.Queue
	world       *model.World
	sink        trace.Sink
	bin         string
	dir         string
	servers     []*socketServer
	discoveries []*discoveryServer
	sidecars    []*sidecarHost
	clients     []*clientPool
	wg          sync.WaitGroup

	// The fields below are used only on the queue's goroutine.
	tries       map[uint64]*model.Request
	requested   int
	voidReason  string
	incidents   []string
	cpuTime     time.Duration
	peakRSSKiB  int64
	loadStarted bool
}

// Run runs a scenario and returns its result. Its error is a fault of the lab or of its context. All processes and
// listeners have ended when it returns.
func Run(ctx context.Context, sc *scenario.Scenario, opts Options) (*figures.Result, error) {
	if links := sc.Fleet.Sidecars * sc.ServerCount(); links > maxLinks {
		return nil, fmt.Errorf("%s: %d links from sidecars to servers exceed the maximum of %d on sockets: use lab sim",
			sc.Path, links, maxLinks)
	}
	startedAt := time.Now()
	r := &rig{scenario: sc, bin: opts.Bin, dir: opts.Dir, tries: map[uint64]*model.Request{}}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	if r.dir == "" {
		dir, err := os.MkdirTemp("", "birchmoor-lab-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		r.dir = dir
	}
	ruleChecker, recorder := checker.New(checker.SettingsFrom(sc, clockSlackMicros)), figures.New(sc)
	var earlyEvents []trace.Event // kept until the load starts, since the origin of their time is not known before
	r.sink = trace.Func(func(e trace.Event) {
		if !r.loadStarted {
			earlyEvents = append(earlyEvents, e)
			return
		}
		e.At -= r.world.Origin()
		ruleChecker.Take(e)
		recorder.Take(e)
		for _, sink := range opts.Sinks {
			sink.Take(e)
		}
	})
	r.queue = eventqueue.NewRealTime()
	r.world = model.New(r.queue, sc, opts.Seed, r, trace.Func(func(e trace.Event) { r.sink.Take(e) }))
	defer r.close()
	if err := r.build(); err != nil {
		return nil, err
	}
	var firstProcesses []*process
	for _, host := range r.sidecars {
		firstProcesses = append(firstProcesses, host.current)
	}
	var runErr error
	ready := make(chan struct{})
	r.wg.Go(func() {
		defer close(ready)
		for sidecar, p := range firstProcesses {
			if err := r.sidecars[sidecar].waitReady(r.ctx, p); err != nil {
				r.cancel(err)
				return
			}
		}
		r.post(func() {
			r.startLoad(opts.Progress)
			events := earlyEvents
			earlyEvents = nil
			for _, e := range events {
				r.sink.Take(e)
			}
			r.world.Begin()
			// The queue checks whether the run is over after each event, so each instant at which it may be over needs
			// one.
			for _, at := range []int64{sc.Length.Micros(), sc.Length.Micros() + settleTimeout.Microseconds() + 1000} {
				r.queue.At(r.world.Origin()+at, func() {})
			}
		})
	})
	endMicros := sc.Length.Micros()
	err := r.queue.Run(r.ctx, func() bool {
		now := r.queue.Now() - r.world.Origin()
		return r.loadStarted && (now >= endMicros && r.world.Done() || now > endMicros+settleTimeout.Microseconds())
	})
	<-ready
	if err != nil && !errors.Is(err, context.Canceled) {
		runErr = err
	}
	if ctx.Err() != nil {
		runErr = ctx.Err()
	}
	if runErr != nil {
		return nil, runErr
	}
	at := r.queue.Now() - r.world.Origin()
	lateP999, maxLate := r.queue.Lateness()
	r.close()
	result := recorder.End(ruleChecker.Finish(at))
	result.Host, result.Seed, result.Took, result.MemoryMB =
		"run", opts.Seed, time.Since(startedAt).Seconds(), sim.PeakMB()
	result.LateP999, result.LateMax = float64(lateP999)/1000, float64(maxLate)/1000
	result.Missed = append(result.Missed, r.incidents...)
	result.Figures["cpu_ms_per_try"] = r.cpuTime.Seconds() * 1000 / float64(max(1, r.requested))
	result.Figures["sidecar_rss_mb"] = float64(r.peakRSSKiB) / 1024
	switch {
	case r.voidReason != "":
		result.Void = r.voidReason
	case lateP999 > maxLatenessP999.Microseconds() || maxLate > maxLateness.Microseconds():
		result.Void = fmt.Sprintf(
			"the lab itself was late: %.1f ms in one event of a thousand, %.1f at most; the machine is too busy",
			result.LateP999, result.LateMax)
	}
	return result, nil
}

// build starts the servers and discovery, and then the sidecars' sockets and processes, whose configuration needs the
// addresses of the others.
func (r *rig) build() error {
	for _, s := range r.world.Servers {
		server, err := newSocketServer(r, s)
		if err != nil {
			return err
		}
		r.servers = append(r.servers, server)
	}
	for n := range r.scenario.Fleet.Sidecars {
		discovery, err := newDiscoveryServer(r, n)
		if err != nil {
			return err
		}
		r.discoveries = append(r.discoveries, discovery)
	}
	r.world.Prepare()
	if r.voidReason != "" {
		return errors.New(r.voidReason)
	}
	for n := range r.scenario.Fleet.Sidecars {
		host, err := newSidecarHost(r, n)
		if err != nil {
			return err
		}
		r.sidecars = append(r.sidecars, host)
		r.clients = append(r.clients, &clientPool{
			rig:           r,
			sidecar:       n,
			addr:          host.addr,
			connSemaphore: make(chan struct{}, r.scenario.Clients.MaxConns),
		})
		if host.current, err = host.start(); err != nil {
			return err
		}
	}
	return nil
}

// startLoad marks the start of the load, and begins to report progress if wanted.
func (r *rig) startLoad(progress func(second, asked int)) {
	r.loadStarted = true
	if progress == nil {
		return
	}
	second := 0
	var tick func()
	tick = func() {
		progress(second, r.requested)
		second++
		if r.queue.Now()-r.world.Origin() < r.scenario.Length.Micros() {
			r.queue.After(eventqueue.Second, tick)
		}
	}
	tick()
}

// close ends all processes, listeners and goroutines of the run, and waits for them. It may be called more than once.
func (r *rig) close() {
	r.cancel(context.Canceled)
	for _, host := range r.sidecars {
		for _, p := range []*process{host.current, host.previous} {
			if p != nil {
				p.signal(syscall.SIGKILL)
				<-p.ended
				r.cpuTime += p.cpuTime
				r.peakRSSKiB = max(r.peakRSSKiB, p.peakRSSKiB)
			}
		}
		host.current, host.previous = nil, nil
		host.listenerFile.Close()
	}
	for _, pool := range r.clients {
		pool.close()
	}
	for _, discovery := range r.discoveries {
		discovery.server.Close()
	}
	for _, server := range r.servers {
		server.close()
	}
	r.wg.Wait()
	for _, pool := range r.clients {
		pool.close() // closes the connections of requests that ended after the first call
	}
}

// post runs a function on the queue's goroutine, without waiting for it.
func (r *rig) post(f func()) { r.queue.Post(r.ctx, f) }

// queueTime converts an instant of the machine's clock to microseconds since the start of the queue.
func (r *rig) queueTime(t time.Time) int64 { return t.Sub(r.queue.StartTime()).Microseconds() }

// voidRun declares the run void because of a fault of the lab itself. The first reason is kept.
func (r *rig) voidRun(format string, args ...any) {
	if r.voidReason == "" {
		r.voidReason = fmt.Sprintf(format, args...)
	}
}

// ---- Actions of the world, as model.Host -----------------------------------

// SendRequest sends a client's request.
func (r *rig) SendRequest(try *model.Request) {
	r.requested++
	request := &clientRequest{}
	try.HostState = request
	r.tries[try.ID] = try
	pool := r.clients[try.Task.Sidecar]
	r.wg.Go(func() { pool.send(try, request) })
	r.queue.After(60*eventqueue.Second, func() { delete(r.tries, try.ID) })
}

// AbandonRequest closes the connection of a client that no longer waits for its answer.
func (r *rig) AbandonRequest(try *model.Request) {
	if request, ok := try.HostState.(*clientRequest); ok {
		request.abandon()
	}
}

// ServerStarted makes a server listen.
func (r *rig) ServerStarted(server int) {
	if err := r.servers[server].start(); err != nil {
		r.voidRun("server %d cannot listen again: %v", server, err)
	}
}

// ServerStopped resets a server's connections and refuses new ones.
func (r *rig) ServerStopped(server int) { r.servers[server].stop() }

// SendUpdate sends an update of discovery on a sidecar's watch.
func (r *rig) SendUpdate(sidecar int, update model.Update, onSent model.UpdateSent) {
	r.discoveries[sidecar].sendEvent(watchEvent{update: update, onSent: onSent})
}

// WatchEnded ends a sidecar's watch.
func (r *rig) WatchEnded(sidecar int) { r.discoveries[sidecar].sendEvent(watchEvent{endsWatch: true}) }

// SetAdministrativeDrain sets an operator's drain of a server at all sidecars, or ends it.
func (r *rig) SetAdministrativeDrain(server int, excluded bool) {
	line, state := "maint-off ", trace.ReleasedByOperator
	if excluded {
		line, state = "maint-on ", trace.DrainedByOperator
	}
	line += r.world.Servers[server].Name
	for _, host := range r.sidecars {
		event := trace.Event{Kind: trace.ServerListed, Sidecar: int32(host.number), Server: int32(server), State: state}
		p := host.current
		if p == nil {
			p = host.previous
		}
		if !excluded {
			event.At = r.queue.Now()
			r.sink.Take(event)
		}
		if p == nil {
			continue
		}
		r.wg.Go(func() {
			if _, err := callOperator(r.ctx, p.mgmt, line); errors.Is(err, errNotYes) {
				r.post(func() {
					r.incidents = append(r.incidents, fmt.Sprintf("sidecar %d: %s: %v", host.number, line, err))
				})
			}
			// The drain binds the sidecar from the reply on, or from the call's timeout if there was none.
			if excluded {
				r.post(func() {
					event.At = r.queue.Now()
					r.sink.Take(event)
				})
			}
		})
	}
}

// SetFault begins or ends the injection of a fault on links or sidecars.
func (r *rig) SetFault(fault *scenario.Fault, active bool) {
	if fault.AffectsLinks() {
		for _, link := range r.world.Links(fault) {
			r.linkFault(r.servers[link[1]].links[link[0]], fault, active)
		}
		return
	}
	for _, number := range r.world.Sidecars(fault) {
		r.processFault(r.sidecars[number], fault, active)
	}
}

func (r *rig) linkFault(link *relay.Link, fault *scenario.Fault, active bool) {
	switch fault.Kind {
	case "black-hole":
		link.Update(func(c *relay.Conditions) { c.BlackHole = active })
	case "bandwidth", "pieces", "half-close":
		limit, pause := int(fault.Factor), time.Duration(fault.Lag)
		if !active {
			limit, pause = 0, 0
		}
		link.Update(func(c *relay.Conditions) {
			switch fault.Kind {
			case "bandwidth":
				c.BytesPerSecond = limit
			case "pieces":
				c.MaxWriteBytes, c.WritePause = limit, pause
			default:
				c.DropHalfClose = active
			}
		})
	case "delay":
		addedDelay := time.Duration(fault.Lag)
		if !active {
			addedDelay = -addedDelay
		}
		link.Update(func(c *relay.Conditions) { c.Delay += addedDelay })
	case "reset":
		if !active {
			return
		}
		end, interval := r.queue.Now()+fault.Duration.Micros(), fault.Interval.Micros()
		var resetRepeatedly func()
		resetRepeatedly = func() {
			link.Reset()
			if interval > 0 && r.queue.Now()+interval < end {
				r.queue.After(interval, resetRepeatedly)
			}
		}
		resetRepeatedly()
	}
}

func (r *rig) processFault(host *sidecarHost, fault *scenario.Fault, active bool) {
	recordState := func(state trace.State) {
		r.sink.Take(trace.Event{
			At:      r.queue.Now(),
			Kind:    trace.SidecarStateChanged,
			Sidecar: int32(host.number),
			State:   state,
			Note:    fault.Kind,
		})
	}
	p := host.current
	switch {
	case fault.Kind == "upgrade" && active:
		host.upgrade()
	case fault.Kind == "freeze" && active && p != nil:
		recordState(trace.Removed)
		p.signal(syscall.SIGSTOP)
	case fault.Kind == "freeze" && p != nil:
		p.signal(syscall.SIGCONT)
		r.queue.After(eventqueue.Second, func() { recordState(trace.Up) })
	case fault.Kind == "kill" && active && p != nil:
		recordState(trace.Removed)
		p.endExpected = true
		host.kills.Add(1)
		p.signal(syscall.SIGKILL)
	case fault.Kind == "stop" && active && p != nil:
		// The process must answer the requests that arrive until then; later ones may wait for the next process.
		r.queue.After(stopGraceMicros, func() { recordState(trace.Draining) })
		p.endExpected = true
		r.wg.Go(func() { host.terminate(p) })
	case (fault.Kind == "kill" || fault.Kind == "stop") && !active:
		next, err := host.start()
		if err != nil {
			r.voidRun("sidecar %d does not start again: %v", host.number, err)
			return
		}
		if host.previous != nil {
			host.previous.signal(syscall.SIGKILL)
		}
		host.previous, host.current = host.current, next
		r.wg.Go(func() {
			if err := host.waitReady(r.ctx, next); err == nil {
				r.post(func() { recordState(trace.Up) })
			}
		})
	}
}

// Program returns the path of the sidecar program in the folder of the running program. Its error says how to build it.
func Program() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "sidecar")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf(
			"no sidecar program at %s: build it with go build -o bin/ ./cmd/..., or name it with --bin", path)
	}
	return path, nil
}
