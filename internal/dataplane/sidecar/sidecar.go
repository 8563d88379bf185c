// Package sidecar puts a sidecar together and starts and stops it: the core (internal/dataplane/core), the HTTP front
// (internal/dataplane/httpfront), discovery, operators' calls, handovers and reloads.
package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/platform/management"
	"birchmoor/internal/platform/recovery"
	"birchmoor/internal/platform/snapshot"
)

const (
	connectGrace          = 400 * time.Millisecond // after the order to stop clients still connect;
	acceptGrace           = 700 * time.Millisecond // who is closed on from then on, as its request comes, may connect once more until this
	killDelay             = 700 * time.Millisecond // after it, and the longest time that a request may take, the kill may come
	maxKillTimeout        = 3 * time.Second        // but of a request's time no more is waited
	lastAnswerMargin      = 150 * time.Millisecond // for what is answered last
	idleGrace             = 2 * time.Second        // idle connections are kept once another process accepts
	settleInterval        = 100 * time.Millisecond
	readyInterval         = 10 * time.Millisecond
	retriesPerDrainGrace  = 4                     // of a drain's grace, between two tries of a discovery that is down,
	minWatchRetryInterval = 50 * time.Millisecond // and no less
	minMemoryLimitBytes   = 12 << 20              // below this the collector would do nothing else
	memoryLimitDivisor    = 2                     // the collector works harder from such a part of the limit at which we would be killed
)

// Host is what the program gives a sidecar besides its configuration.
type Host struct {
	Socket         handover.Socket                // where clients connect
	Management     net.Listener                   // where operators call; nil for nowhere
	Overrides      maintenance.Store              // what operators said, over the life of a process
	FleetOverrides maintenance.FleetOverrides     // what daemons agree on; nil for nothing
	Fleet          Fleet                          // what daemons tell each other of servers; nil for nothing
	SnapshotFile   snapshot.File                  // what a process knew, for the next one
	Protocols      []core.Protocol                // protocols besides HTTP
	Limiter        core.Limiter                   // lets requests through, of HTTP; nil for all
	Tap            core.Tap                       // between the loop and the decision module; nil for nothing
	HandoverPath   string                         // where old and new processes find each other; empty for nowhere
	Reload         <-chan os.Signal               // at each the configuration is read again
	ReadConfig     func() (*config.Config, error) // that
	Log            *slog.Logger
}

// Fleet is how daemons tell each other of servers: which processes drain, which began, and what is known of them.
type Fleet interface {
	// DrainingProcesses are the processes that were known to drain before this sidecar has heard anything.
	DrainingProcesses() []discovery.Process
	// Observe takes the word of this sidecar's discovery on a drain. It does not wait.
	Observe(p discovery.Process, drains bool)
	// OnDrain gives the way in which the word of others binds here.
	OnDrain(bind func(ctx context.Context, p discovery.Process, drains bool) error)

	// RecentStarts are the processes that began of late, as far as was known before this sidecar has seen anything.
	RecentStarts() []core.Start
	// ReportStart takes what this sidecar saw begin, so long ago, and cold for so long. It does not wait.
	ReportStart(p discovery.Process, ago, cold time.Duration)
	// OnStart gives the way in which others' word that a process began counts here.
	OnStart(begun func(ctx context.Context, s core.Start) error)

	// RestoreCandidates are those of a protocol that a start may believe.
	RestoreCandidates(sidecar, protocol string) []recovery.Candidate
	// RecordRestore says what of them a start went on from, and how many servers that knew.
	RecordRestore(protocol string, c recovery.Choice, servers int)
	// SaveSnapshots has the pictures of this sidecar kept until ctx ends. While paused says so another process's are.
	SaveSnapshots(ctx context.Context, sidecar, protocol string, picture func(context.Context) ([]byte, error), paused func() bool)
}

// instance is a running sidecar.
type instance struct {
	config    *config.Config
	host      Host
	log       *slog.Logger
	stacks    protocolStacks
	overrides *maintenance.Registry
	closing   atomic.Bool // connections end with their answers
	yielded   atomic.Bool // a new process accepts in place of this one
	serving   atomic.Bool // this process can serve, and an old one has handed over

	broken     chan error    // why taking requests ended unasked
	handedOver chan struct{} // closed once a new process accepts and no connection is left here

	mu          sync.Mutex
	cancelYield context.CancelFunc
	peers       int // processes

	stopping bool // for good
}

// Run serves until stop ends, or until a new process has taken over, then finishes what it has taken and
// returns.
func Run(stop context.Context, c *config.Config, h Host) error {
	clk := core.NewClock()
	own := *c
	for _, p := range h.Protocols {
		own.Sockets -= p.Descriptors()
	}
	if own.Sockets < config.LeastSockets {
		return fmt.Errorf("the protocols besides HTTP leave %d of %d descriptors: %d are needed", own.Sockets, c.Sockets, config.LeastSockets)
	}
	if given := descriptorLimit(); given < own.Sockets {
		h.Log.Warn("the system gives fewer descriptors than the limits say", "given", given, "limit", own.Sockets)
		own.Sockets = given
	}
	c = &own
	n := &instance{config: c, host: h, log: h.Log, broken: make(chan error, 1), handedOver: make(chan struct{}, 1)}
	d := &discovery.Feed{}
	first, err := newHTTPStack(c, &h, clk, d.SetEnabled)
	if err != nil {
		return err
	}
	n.stacks = protocolStacks{first}
	for _, p := range h.Protocols {
		more, err := newStack(p, c, &h, clk)
		if err != nil {
			return err
		}
		n.stacks = append(n.stacks, more)
	}
	n.overrides = maintenance.NewRegistry(h.Overrides, time.Duration(c.Settings.Contract.SlowStartDuration)*time.Microsecond, n.stacks.applyOverride, h.Log)
	for _, l := range n.stacks {
		l.loop.SetInitialOverrides(n.overrides.Overrides())
	}
	if h.FleetOverrides != nil {
		n.overrides.JoinFleet(h.FleetOverrides)
	}
	if h.Fleet != nil {
		for _, l := range n.stacks {
			l.loop.ShareDrains(h.Fleet.DrainingProcesses(), h.Fleet.Observe)
			l.loop.ShareStarts(h.Fleet.RecentStarts(), h.Fleet.ReportStart)
		}
		h.Fleet.OnDrain(n.stacks.applyDrain)
		h.Fleet.OnStart(n.stacks.applyStart)
	}
	d.Watcher = n.watcher(c.Discovery, c.Known.Generation)
	d.Run, d.OnEnded = (*discovery.Watcher).Run, first.loop.WatchFailed
	if c.Settings.Subscribe {
		d.Run = (*discovery.Watcher).RunOnce
	}
	n.setCapacityShare(1)

	// What runs beside the server ends after it, so that all that it has taken is answered first.
	ctx, cancel := context.WithCancel(context.Background())
	var beside sync.WaitGroup
	defer beside.Wait()
	defer cancel()
	for _, l := range n.stacks {
		beside.Go(func() { l.loop.Run(ctx) })
		beside.Go(func() { l.upstream.Maintain(ctx) })
	}
	if h.Management != nil {
		beside.Go(func() {
			if err := management.New(n, h.Log).Serve(ctx, h.Management); err != nil {
				h.Log.Error("operators cannot call any more", "error", err)
			}
		})
	}
	// Before it accepts, a start waits for its own files, and, where it takes over, for the old process of its own: a second to
	// find it and one for its word (handover.Join), no longer if that one hangs. Discovery is called beside, and what several
	// hundred processes start in the same moment share is the machine alone.
	old := n.join(ctx)
	if !c.Settings.Subscribe {
		d.SetEnabled(true)
	}
	beside.Go(func() {
		r := reloader{config: c, read: h.ReadConfig, metrics: first.metrics, log: h.Log, apply: n.stacks.reload, moveDiscovery: func(addr string) {
			d.SwitchTo(n.watcher(addr, discovery.NoGeneration))
		}}
		r.run(ctx, h.Reload)
	})
	defer d.SetEnabled(false)

	if old != nil {
		defer old.Close()
	}
	if err := n.open(); err != nil {
		return err
	}
	beside.Go(func() { n.takeOver(ctx, old) })
	another := func() bool { return !n.serving.Load() || n.yielded.Load() }
	for _, l := range n.stacks {
		beside.Go(func() { core.SnapshotSaver{Loop: l.loop, File: l.snapshotFile}.Run(ctx, another) })
		if h.Fleet != nil {
			beside.Go(func() { h.Fleet.SaveSnapshots(ctx, c.Name, l.name, l.loop.PortableSnapshot, another) })
		}
	}
	h.Log.Info("serving", "name", c.Name, "listen", c.Listen)
	select {
	case err := <-n.broken:
		return fmt.Errorf("serve: %w", err)
	case <-n.handedOver:
		h.Log.Info("handed over")
		return nil
	case <-stop.Done():
	}
	n.drain()
	return nil
}

// descriptorLimit is how many the system lets this process have.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt
	}
	return int(min(limit.Cur, math.MaxInt))
}

// watcher returns what watches the discovery at addr, from the list of generation after on. Where lists are pushed, what it
// tells on its return binds at once, so that one that is down is tried several times within the grace of a drain.
func (n *instance) watcher(addr string, after int64) *discovery.Watcher {
	w := discovery.NewWatcher(addr, after, n.config.MemoryMB, n.stacks.watchEvent, n.log)
	grace := time.Duration(n.stacks[0].loop.ConfigSnapshot().Settings.Contract.DrainGrace) * time.Microsecond
	w.MaxRetryDelay = min(w.MaxRetryDelay, max(minWatchRetryInterval, grace/retriesPerDrainGrace))
	return w
}

// ---- Accepting -------------------------------------------------------------

// open begins to take requests.
func (n *instance) open() error {
	for _, l := range n.stacks {
		err := l.frontend.Open(func(err error) {
			select {
			case n.broken <- err:
			default: // one is enough to end with
			}
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// stopAccepting takes no more; it may have been stopped before.
func (n *instance) stopAccepting() {
	for _, l := range n.stacks {
		l.frontend.StopAccepting()
	}
}

// setClosing says whether connections end with their answers.
func (n *instance) setClosing(on bool) {
	n.closing.Store(on)
	for _, l := range n.stacks {
		l.frontend.SetClosing(on)
	}
}

// countOpen adds up what each protocol still has.
func (n *instance) countOpen(of func(core.Frontend) int) (left int) {
	for _, l := range n.stacks {
		left += of(l.frontend)
	}
	return left
}

// endDelay is how long after the order to stop all must have its answer, by the settings: soon after it the kill comes.
func endDelay(s *balancer.Settings) time.Duration {
	longest := balancer.Micros(0)
	for i := range s.Classes {
		longest = max(longest, s.Classes[i].Timeout)
	}
	return min(time.Duration(longest)*time.Microsecond, maxKillTimeout) + killDelay - lastAnswerMargin
}

// drain goes on serving while clients may still connect, with each answer closing its connection, and then
// finishes what was taken. Refusing the clients that come meanwhile would fail them for nothing.
func (n *instance) drain() {
	n.log.Info("stopping")
	end := time.Duration(0)
	for _, l := range n.stacks {
		end = max(end, endDelay(&l.loop.ConfigSnapshot().Settings))
	}
	for _, l := range n.stacks {
		l.loop.EndAfter(end)
	}
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.setClosing(true)
	closeIdle := func() {
		for _, l := range n.stacks {
			l.frontend.CloseIdle()
		}
	}
	closeIdle()
	begun := time.Now()
	time.Sleep(connectGrace)
	for time.Since(begun) < acceptGrace-settleInterval {
		n.countOpen(func(f core.Frontend) int { return f.CloseUnused(false) })
		time.Sleep(settleInterval)
	}
	time.Sleep(acceptGrace - time.Since(begun))
	n.stopAccepting()
	// Whoever is still writing is waited for, until what comes could not be answered any more.
	for n.countOpen(func(f core.Frontend) int { return f.CloseUnused(time.Since(begun) > end) }) > 0 {
		time.Sleep(settleInterval)
	}
	closeIdle()
	for _, l := range n.stacks {
		l.frontend.Wait()
	}
}

// ---- Operators' calls ------------------------------------------------------

// Status says whether this process serves.
func (n *instance) Status() error {
	switch {
	case n.closing.Load():
		return errors.New("stopping")
	case !n.stacks[0].loop.Ready():
		return errors.New("no endpoint is known to serve")
	case !n.serving.Load():
		return errors.New("the old process still serves")
	}
	return nil
}

// Stats writes the figures.
func (n *instance) Stats(w io.Writer) error {
	for _, l := range n.stacks {
		if err := l.metrics.WriteText(w); err != nil {
			return err
		}
	}
	return nil
}

// Maintain takes an endpoint out or calls it back.
func (n *instance) Maintain(ctx context.Context, id string, out bool) error {
	return n.overrides.Set(ctx, id, out)
}

// ---- Handover --------------------------------------------------------------

// join looks for an old process and takes over what it knows.
func (n *instance) join(ctx context.Context) *handover.Predecessor {
	var old *handover.Predecessor
	var state handover.State
	if n.host.HandoverPath != "" {
		old, state = handover.Join(ctx, n.host.HandoverPath, n, n.log)
	}
	if len(state.List) > 0 {
		var held discovery.List
		if err := json.Unmarshal(state.List, &held); err != nil {
			n.log.Error("the old process's list is not readable", "error", err)
		} else if len(held.Instances) > 0 {
			// It is newer than the one that the configuration brought.
			n.stacks.applyCachedList(ctx, held)
		}
	}
	for _, l := range n.stacks {
		if l.name == "" {
			n.restore(ctx, l, state.Snapshot)
		} else {
			n.restore(ctx, l, state.OtherProtocols[l.name])
		}
	}
	if err := n.overrides.Merge(ctx, state.Overrides...); err != nil {
		n.log.Error("the old process's bans do not bind", "error", err)
	}
	return old
}

// restore tells the module what is known to begin with: the old process's word; else what was kept, in the file and by the
// fleet, as recovery chooses.
func (n *instance) restore(ctx context.Context, l *protocolStack, told []byte) {
	if len(told) > 0 {
		was, err := snapshot.Decode(told)
		if err != nil {
			n.log.Warn("snapshot ignored", "from", "the old process", "error", err)
			return
		}
		l.loop.Restore(ctx, was, "the old process")
		return
	}
	var all []recovery.Candidate
	was, err := l.snapshotFile.Load()
	if err != nil {
		n.log.Warn("snapshot ignored", "from", l.snapshotFile.Path, "error", err)
	} else if was != nil && was.Sidecar != n.config.Name {
		n.log.Warn("snapshot of another sidecar ignored", "from", l.snapshotFile.Path, "its name", was.Sidecar)
	} else if was != nil {
		all = append(all, recovery.Candidate{Source: l.snapshotFile.Path, Snapshot: was, Own: true, Age: snapshot.ReadClock().Since(was.Clock), SameClock: true})
	}
	if n.host.Fleet != nil {
		all = append(all, n.host.Fleet.RestoreCandidates(n.config.Name, l.name)...)
	}
	if c := recovery.Choose(n.config.Name, all); c.Snapshot != nil {
		known := l.loop.RestoreAged(ctx, c.Snapshot, c.Source, c.Age)
		if n.host.Fleet != nil {
			n.host.Fleet.RecordRestore(l.name, c, known)
		}
	} else if len(all) > 0 {
		n.log.Info("nothing that was kept is recalled: too old, or of a time that is not sure", "pictures", len(all))
	}
}

// takeOver waits until this process can serve, has an old one stop accepting, and is then the one that a new
// process finds.
func (n *instance) takeOver(ctx context.Context, old *handover.Predecessor) {
	tick := time.NewTicker(readyInterval)
	defer tick.Stop()
	for !n.stacks[0].loop.Ready() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
	if old != nil {
		old.TakeOver(ctx, n.log)
	}
	// Whoever is told that this process serves may start the next, which is to find it.
	var ln net.Listener
	if n.host.HandoverPath != "" {
		var err error
		if ln, err = handover.Listen(n.host.HandoverPath); err != nil {
			n.log.Error("a new process will not find this one", "error", err)
		}
	}
	n.serving.Store(true)
	if ln != nil {
		handover.Serve(ctx, ln, n, n.log)
	}
}

// setCapacityShare sets this process's part of the limits.
func (n *instance) setCapacityShare(part float64) {
	debug.SetMemoryLimit(max(minMemoryLimitBytes, int64(float64(n.config.MemoryMB<<20)*part/memoryLimitDivisor)))
	for _, l := range n.stacks {
		l.setCapacityShare(part)
	}
}

// AddPeer begins a time in which another process serves beside this one.
func (n *instance) AddPeer(other handover.Peer) (leave func()) {
	forget := n.overrides.AddPeer(other.ApplyOverride)
	var leaves []func()
	for _, l := range n.stacks {
		leaves = append(leaves, l.loop.ReportEjectionsTo(other.ReportEjections))
	}
	count := func(more int) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.peers += more
		n.setCapacityShare(1 / float64(1+n.peers))
	}
	count(1)
	return func() {
		forget()
		for _, h := range leaves {
			h()
		}
		count(-1)
	}
}

// State returns what a new process must know.
func (n *instance) State(ctx context.Context) (handover.State, error) {
	held, err := n.stacks.list(ctx)
	if err != nil {
		return handover.State{}, err
	}
	list, err := json.Marshal(held)
	if err != nil {
		return handover.State{}, err
	}
	s := handover.State{Overrides: n.overrides.Overrides(), List: list, OtherProtocols: map[string][]byte{}}
	for _, l := range n.stacks {
		known, err := l.loop.Snapshot(ctx)
		switch {
		case err != nil:
			n.log.Warn("the new process will not know what is known here", "protocol", l.name, "error", err)
		case l.name == "":
			s.Snapshot = known
		default:
			s.OtherProtocols[l.name] = known
		}
	}
	return s, nil
}

// Merge makes calls to the other process bind here.
func (n *instance) Merge(ctx context.Context, marks ...maintenance.Override) error {
	return n.overrides.Merge(ctx, marks...)
}

// ApplyEjections takes the other process's word on endpoints that fail.
func (n *instance) ApplyEjections(list []handover.Ejection) {
	for _, l := range n.stacks {
		l.loop.ApplyEjections(list)
	}
}

// StopAccepting stops accepting. What has been taken is answered, and so is what open connections still bring; each
// answer closes its connection, and those that bring nothing are closed one by one.
func (n *instance) StopAccepting() {
	n.stopAccepting()
	n.yielded.Store(true)
	n.setClosing(true)
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.cancelYield = cancel
	n.mu.Unlock()
	go func() {
		tick := time.NewTicker(settleInterval)
		defer tick.Stop()
		for n.countOpen(func(f core.Frontend) int { return f.CloseIdleFor(idleGrace) }) > 0 {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		}
		n.handedOver <- struct{}{}
	}()
}

// ResumeAccepting accepts again: the process that took over is gone.
func (n *instance) ResumeAccepting() {
	n.mu.Lock()
	n.cancelYield()
	stopping := n.stopping
	n.mu.Unlock()
	if stopping {
		return // the platform's socket keeps what comes for the next process
	}
	n.setClosing(false)
	n.yielded.Store(false)
	if err := n.open(); err != nil {
		n.broken <- err
	}
}
