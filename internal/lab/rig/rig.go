// Package rig plays a scenario in real time: the real program as processes, among servers, discovery, clients and
// operators on real sockets, with a faulty relay on each link. All addresses are loopback ones that this process has to
// itself, so that two labs on one machine do not meet.
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
	Bin      string // the sidecar program
	Dir      string // for configurations and logs; empty for a temporary one that is removed
	Progress func(second, asked int)
	Sinks    []trace.Sink
}

const (
	slack     = 50 * 1000        // of the rules' times, on sockets
	lag       = 10 * time.Second // after the last arrival a run is ended, whatever is open
	linksMost = 600
	stopTakes = 500 * 1000             // for so long a sidecar that was asked to end takes what comes
	lateMost  = 150 * time.Millisecond // by which the lab may be late once,
	lateOften = 25 * time.Millisecond  // and in one event of a thousand
)

// rig carries the world's words to the processes, and theirs to the world.
type rig struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	s       *scenario.Scenario
	q       *eventqueue.Queue
	w       *model.World
	sink    trace.Sink
	bin     string
	dir     string
	slots   []*slot
	desks   []*desk
	homes   []*home
	clients []*callers
	wg      sync.WaitGroup

	// Of the queue's goroutine.
	tries   map[uint64]*model.Request
	asked   int
	spoiled string
	crashed []string
	cpu     time.Duration
	rss     int64
	begun   bool
}

// Run plays a scenario. Whatever happens, no process and no listener is left when it returns.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*figures.Result, error) {
	if n := s.Fleet.Sidecars * s.ServerCount(); n > linksMost {
		return nil, fmt.Errorf("%s: %d links of sidecars and servers are more than the %d that sockets can carry: use lab sim", s.Path, n, linksMost)
	}
	began := time.Now()
	r := &rig{s: s, bin: o.Bin, dir: o.Dir, tries: map[uint64]*model.Request{}}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	if r.dir == "" {
		dir, err := os.MkdirTemp("", "birchmoor-lab-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		r.dir = dir
	}
	ref, rec := checker.New(checker.SettingsFrom(s, slack)), figures.New(s)
	var early []trace.Event // before the clients come, when it is not known yet when that will be
	r.sink = trace.Func(func(e trace.Event) {
		if !r.begun {
			early = append(early, e)
			return
		}
		e.At -= r.w.Origin()
		ref.Take(e)
		rec.Take(e)
		for _, k := range o.Sinks {
			k.Take(e)
		}
	})
	r.q = eventqueue.NewRealTime()
	r.w = model.New(r.q, s, o.Seed, r, trace.Func(func(e trace.Event) { r.sink.Take(e) }))
	defer r.close()
	if err := r.build(); err != nil {
		return nil, err
	}
	var first []*process
	for _, h := range r.homes {
		first = append(first, h.now)
	}
	var failed error
	ready := make(chan struct{})
	r.wg.Go(func() {
		defer close(ready)
		for n, p := range first {
			if err := r.homes[n].ready(r.ctx, p); err != nil {
				r.cancel(err)
				return
			}
		}
		r.post(func() {
			r.begin(o.Progress)
			list := early
			early = nil
			for _, e := range list {
				r.sink.Take(e)
			}
			r.w.Begin()
			// When the run may end is looked at with each event: there is one at each of these instants.
			for _, at := range []int64{s.Length.Micros(), s.Length.Micros() + lag.Microseconds() + 1000} {
				r.q.At(r.w.Origin()+at, func() {})
			}
		})
	})
	end := s.Length.Micros()
	err := r.q.Run(r.ctx, func() bool {
		now := r.q.Now() - r.w.Origin()
		return r.begun && (now >= end && r.w.Done() || now > end+lag.Microseconds())
	})
	<-ready
	if err != nil && !errors.Is(err, context.Canceled) {
		failed = err
	}
	if ctx.Err() != nil {
		failed = ctx.Err()
	}
	if failed != nil {
		return nil, failed
	}
	at := r.q.Now() - r.w.Origin()
	p999, worst := r.q.Lateness()
	r.close()
	x := rec.End(ref.Finish(at))
	x.Host, x.Seed, x.Took, x.MemoryMB = "run", o.Seed, time.Since(began).Seconds(), sim.PeakMB()
	x.LateP999, x.LateMost = float64(p999)/1000, float64(worst)/1000
	x.Missed = append(x.Missed, r.crashed...)
	x.Figures["cpu_ms_per_try"] = r.cpu.Seconds() * 1000 / float64(max(1, r.asked))
	x.Figures["sidecar_rss_mb"] = float64(r.rss) / 1024
	switch {
	case r.spoiled != "":
		x.Void = r.spoiled
	case p999 > lateOften.Microseconds() || worst > lateMost.Microseconds():
		x.Void = fmt.Sprintf("the lab itself was late: %.1f ms in one event of a thousand, %.1f at most; the machine is too busy", x.LateP999, x.LateMost)
	}
	return x, nil
}

// build makes the servers, discovery, the sidecars' sockets and their processes, in this order.
func (r *rig) build() error {
	for _, s := range r.w.Servers {
		t, err := newSlot(r, s)
		if err != nil {
			return err
		}
		r.slots = append(r.slots, t)
	}
	for n := range r.s.Fleet.Sidecars {
		d, err := newDesk(r, n)
		if err != nil {
			return err
		}
		r.desks = append(r.desks, d)
	}
	r.w.Prepare()
	if r.spoiled != "" {
		return errors.New(r.spoiled)
	}
	for n := range r.s.Fleet.Sidecars {
		h, err := newHome(r, n)
		if err != nil {
			return err
		}
		r.homes = append(r.homes, h)
		r.clients = append(r.clients, &callers{r: r, sidecar: n, addr: h.addr, most: make(chan struct{}, r.s.Clients.MaxConns)})
		if h.now, err = h.start(); err != nil {
			return err
		}
	}
	return nil
}

// begin has the clients come and the faults begin.
func (r *rig) begin(progress func(second, asked int)) {
	r.begun = true
	if progress == nil {
		return
	}
	second := 0
	var tick func()
	tick = func() {
		progress(second, r.asked)
		second++
		if r.q.Now()-r.w.Origin() < r.s.Length.Micros() {
			r.q.After(eventqueue.Second, tick)
		}
	}
	tick()
}

// close ends all that was started, and waits for it.
func (r *rig) close() {
	r.cancel(context.Canceled)
	for _, h := range r.homes {
		for _, p := range []*process{h.now, h.old} {
			if p != nil {
				p.signal(syscall.SIGKILL)
				<-p.ended
				r.cpu += p.cpu
				r.rss = max(r.rss, p.rss)
			}
		}
		h.now, h.old = nil, nil
		h.ln.Close()
	}
	for _, k := range r.clients {
		k.close()
	}
	for _, d := range r.desks {
		d.server.Close()
	}
	for _, t := range r.slots {
		t.close()
	}
	r.wg.Wait()
	for _, k := range r.clients {
		k.close() // those kept by requests that ended meanwhile
	}
}

// post has the queue's goroutine do something.
func (r *rig) post(do func()) { r.q.Post(r.ctx, do) }

// at tells an instant of the machine's clock as the queue does.
func (r *rig) at(t time.Time) int64 { return t.Sub(r.q.StartTime()).Microseconds() }

// spoil voids the run: the lab itself went wrong.
func (r *rig) spoil(format string, args ...any) {
	if r.spoiled == "" {
		r.spoiled = fmt.Sprintf(format, args...)
	}
}

// ---- The world's words -----------------------------------------------------

// SendRequest has a client send its request.
func (r *rig) SendRequest(y *model.Request) {
	r.asked++
	f := &flight{}
	y.HostState = f
	r.tries[y.ID] = y
	k := r.clients[y.Task.Sidecar]
	r.wg.Go(func() { k.ask(y, f) })
	r.q.After(60*eventqueue.Second, func() { delete(r.tries, y.ID) })
}

// AbandonRequest has a client close its connection.
func (r *rig) AbandonRequest(y *model.Request) {
	if f, ok := y.HostState.(*flight); ok {
		f.leave()
	}
}

// ServerStarted has a server listen.
func (r *rig) ServerStarted(server int) {
	if err := r.slots[server].start(); err != nil {
		r.spoil("server %d cannot listen again: %v", server, err)
	}
}

// ServerStopped breaks a server's connections.
func (r *rig) ServerStopped(server int) { r.slots[server].stop() }

// SendUpdate sends discovery's word on a watch.
func (r *rig) SendUpdate(sidecar int, u model.Update, told model.UpdateSent) {
	r.desks[sidecar].say(word{u: u, told: told})
}

// WatchEnded ends a watch.
func (r *rig) WatchEnded(sidecar int) { r.desks[sidecar].say(word{end: true}) }

// SetAdministrativeDrain has operators take a server out at all sidecars, or call it back.
func (r *rig) SetAdministrativeDrain(server int, out bool) {
	line, state := "maint-off ", trace.ReleasedByOperator
	if out {
		line, state = "maint-on ", trace.DrainedByOperator
	}
	line += r.w.Servers[server].Name
	for _, h := range r.homes {
		e := trace.Event{Kind: trace.ServerListed, Sidecar: int32(h.number), Server: int32(server), State: state}
		p := h.now
		if p == nil {
			p = h.old
		}
		if !out {
			e.At = r.q.Now()
			r.sink.Take(e)
		}
		if p == nil {
			continue
		}
		r.wg.Go(func() {
			if _, err := call(r.ctx, p.mgmt, line); errors.Is(err, errNo) {
				r.post(func() { r.crashed = append(r.crashed, fmt.Sprintf("sidecar %d: %s: %v", h.number, line, err)) })
			}
			// Said yes or not, after a second it binds.
			if out {
				r.post(func() {
					e.At = r.q.Now()
					r.sink.Take(e)
				})
			}
		})
	}
}

// SetFault begins or ends a fault of links or sidecars.
func (r *rig) SetFault(f *scenario.Fault, on bool) {
	if f.AffectsLinks() {
		for _, l := range r.w.Links(f) {
			r.linkFault(r.slots[l[1]].links[l[0]], f, on)
		}
		return
	}
	for _, n := range r.w.Sidecars(f) {
		r.processFault(r.homes[n], f, on)
	}
}

func (r *rig) linkFault(l *relay.Link, f *scenario.Fault, on bool) {
	switch f.Kind {
	case "black-hole":
		l.Update(func(c *relay.Conditions) { c.BlackHole = on })
	case "bandwidth", "pieces", "half-close":
		n, pause := int(f.Factor), time.Duration(f.Lag)
		if !on {
			n, pause = 0, 0
		}
		l.Update(func(c *relay.Conditions) {
			switch f.Kind {
			case "bandwidth":
				c.BytesPerSecond = n
			case "pieces":
				c.MaxWriteBytes, c.WritePause = n, pause
			default:
				c.DropHalfClose = on
			}
		})
	case "delay":
		more := time.Duration(f.Lag)
		if !on {
			more = -more
		}
		l.Update(func(c *relay.Conditions) { c.Delay += more })
	case "reset":
		if !on {
			return
		}
		end, every := r.q.Now()+f.Duration.Micros(), f.Interval.Micros()
		var again func()
		again = func() {
			l.Reset()
			if every > 0 && r.q.Now()+every < end {
				r.q.After(every, again)
			}
		}
		again()
	}
}

func (r *rig) processFault(h *home, f *scenario.Fault, on bool) {
	note := func(state trace.State) {
		r.sink.Take(trace.Event{At: r.q.Now(), Kind: trace.SidecarStateChanged, Sidecar: int32(h.number), State: state, Note: f.Kind})
	}
	p := h.now
	switch {
	case f.Kind == "upgrade" && on:
		h.upgrade()
	case f.Kind == "freeze" && on && p != nil:
		note(trace.Removed)
		p.signal(syscall.SIGSTOP)
	case f.Kind == "freeze" && p != nil:
		p.signal(syscall.SIGCONT)
		r.q.After(eventqueue.Second, func() { note(trace.Up) })
	case f.Kind == "kill" && on && p != nil:
		note(trace.Removed)
		p.wanted = true
		h.kills.Add(1)
		p.signal(syscall.SIGKILL)
	case f.Kind == "stop" && on && p != nil:
		// What it has taken by then it must answer; what comes later may wait for the next process.
		r.q.After(stopTakes, func() { note(trace.Draining) })
		p.wanted = true
		r.wg.Go(func() { h.end(p) })
	case (f.Kind == "kill" || f.Kind == "stop") && !on:
		next, err := h.start()
		if err != nil {
			r.spoil("sidecar %d does not start again: %v", h.number, err)
			return
		}
		if h.old != nil {
			h.old.signal(syscall.SIGKILL)
		}
		h.old, h.now = h.now, next
		r.wg.Go(func() {
			if err := h.ready(r.ctx, next); err == nil {
				r.post(func() { note(trace.Up) })
			}
		})
	}
}

// Program finds the sidecar program beside this one, or names where it should be.
func Program() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(self), "sidecar")
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("the sidecar program is not beside this one (%s): build it with go build -o bin/ ./cmd/..., or name it with --bin", path)
	}
	return path, nil
}
