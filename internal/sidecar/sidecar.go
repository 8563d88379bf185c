// Package sidecar puts a sidecar together and starts and stops it: the core (internal/core), the HTTP front
// (internal/httpfront), discovery, operators' calls, handovers and reloads.
package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/config"
	"birchmoor/internal/core"
	"birchmoor/internal/discovery"
	"birchmoor/internal/handover"
	"birchmoor/internal/httpfront"
	"birchmoor/internal/maintenance"
	"birchmoor/internal/metrics"
	"birchmoor/internal/mgmt"
	"birchmoor/internal/snapshot"
)

const (
	acceptFor   = 550 * time.Millisecond  // after the order to stop: clients still connect for 0.4 s
	writeFor    = 2200 * time.Millisecond // after it: they may still write a request
	settleFor   = 2 * time.Second         // idle connections are kept once another process accepts
	settleEvery = 100 * time.Millisecond
	readyEvery  = 10 * time.Millisecond
	memoryLeast = 12 << 20 // below this the collector would do nothing else
	memoryPart  = 2        // the collector works harder from such a part of the limit at which we would be killed
)

// Host is what the program gives a sidecar besides its configuration.
type Host struct {
	Socket   handover.Socket                // where clients connect
	Mgmt     net.Listener                   // where operators call; nil for nowhere
	Bans     maintenance.Store              // what operators said, over the life of a process
	Shared   maintenance.Shared             // what daemons agree on; nil for nothing
	Kept     snapshot.File                  // what a process knew, for the next one
	Tap      core.Tap                       // between the loop and the decision module; nil for nothing
	Handover string                         // where old and new processes find each other; empty for nowhere
	Reload   <-chan os.Signal               // at each the configuration is read again
	Read     func() (*config.Config, error) // that
	Log      *slog.Logger
}

// node is a running sidecar.
type node struct {
	config  *config.Config
	host    Host
	log     *slog.Logger
	figures *metrics.Registry
	loop    *core.Loop
	up      *httpfront.Upstream
	server  *httpfront.Server
	book    *maintenance.Book
	yields  atomic.Bool // a new process accepts in place of this one
	serving atomic.Bool // this process can serve, and an old one has handed over

	mu      sync.Mutex
	ln      net.Listener
	ended   chan error    // of accepting on ln
	broken  chan error    // why accepting ended unasked
	left    chan struct{} // closed once a new process accepts and no connection is left here
	yielded context.CancelFunc
	beside  int // processes

	stopping bool // for good
}

// Run serves until stop ends, or until a new process has taken over, then finishes what it has taken and
// returns.
func Run(stop context.Context, c *config.Config, h Host) error {
	clk := core.NewClock()
	figures := metrics.New(c.Classes...)
	n := &node{config: c, host: h, log: h.Log, figures: figures, broken: make(chan error, 1), left: make(chan struct{}, 1)}
	n.up = httpfront.NewUpstream(c, clk, &figures.Sends, h.Log)
	d := &discovery.Feed{}
	var err error
	if n.loop, err = core.New(c, clk, n.up, d.Set, figures, h.Tap, h.Log); err != nil {
		return err
	}
	l := n.loop
	n.book = maintenance.NewBook(h.Bans, time.Duration(c.Settings.Contract.RampTime)*time.Microsecond, l.Mark, h.Log)
	l.Marked(n.book.Marks())
	if h.Shared != nil {
		n.book.Share(h.Shared)
	}
	d.Watcher = discovery.NewWatcher(c.Discovery, c.Known.Generation, c.MemoryMB, l.Told, h.Log)
	d.Watch, d.Ended = (*discovery.Watcher).Keep, l.Untold
	if c.Settings.Subscribe {
		d.Watch = (*discovery.Watcher).Once
	}
	n.server = httpfront.NewServer(c, l, figures, h.Log)
	n.share(1)

	// What runs beside the server ends after it, so that all that it has taken is answered first.
	ctx, cancel := context.WithCancel(context.Background())
	var beside sync.WaitGroup
	defer beside.Wait()
	defer cancel()
	beside.Go(func() { l.Run(ctx) })
	beside.Go(func() { n.up.Keep(ctx) })
	if h.Mgmt != nil {
		beside.Go(func() {
			if err := mgmt.New(n, h.Log).Serve(ctx, h.Mgmt); err != nil {
				h.Log.Error("operators cannot call any more", "error", err)
			}
		})
	}
	old := n.join(ctx)
	if !c.Settings.Subscribe {
		d.Set(true)
	}
	beside.Go(func() {
		r := reloader{config: c, read: h.Read, figures: figures, log: h.Log, take: l.Reload, move: func(addr string) {
			d.Move(discovery.NewWatcher(addr, discovery.Unlisted, c.MemoryMB, l.Told, h.Log))
		}}
		r.run(ctx, h.Reload)
	})
	defer d.Set(false)

	if old != nil {
		defer old.Close()
	}
	if err := n.accept(); err != nil {
		return err
	}
	beside.Go(func() { n.takeOver(ctx, old) })
	beside.Go(func() {
		core.Keeper{Loop: l, File: h.Kept}.Run(ctx, func() bool { return !n.serving.Load() || n.yields.Load() })
	})
	h.Log.Info("serving", "name", c.Name, "listen", c.Listen)
	select {
	case err := <-n.broken:
		return fmt.Errorf("serve: %w", err)
	case <-n.left:
		h.Log.Info("handed over")
		return nil
	case <-stop.Done():
	}
	n.drain()
	return nil
}

// ---- Accepting -------------------------------------------------------------

// accept begins to accept connections.
func (n *node) accept() error {
	ln, err := n.host.Socket.Listen()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ended := make(chan error, 1)
	n.ln, n.ended = ln, ended
	go func() {
		err := n.server.Accept(ln)
		ended <- err
		if err != nil {
			n.broken <- err
		}
	}()
	return nil
}

// refrain stops accepting; it may have been stopped before.
func (n *node) refrain() {
	n.mu.Lock()
	ln, ended := n.ln, n.ended
	n.ln = nil
	n.mu.Unlock()
	if ln != nil {
		ln.Close()
		<-ended
	}
}

// drain goes on serving while clients may still connect, with each answer closing its connection, and then
// finishes what was taken. Refusing the clients that come meanwhile would fail them for nothing.
func (n *node) drain() {
	n.log.Info("stopping")
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	s := n.server
	s.Close(true)
	s.Hush()
	begun := time.Now()
	time.Sleep(acceptFor)
	n.refrain()
	// Whoever is still writing is waited for, but not for long: what is open is due.
	for s.Dismiss(time.Since(begun) > writeFor) > 0 {
		time.Sleep(settleEvery)
	}
	s.Hush()
	s.Wait()
}

// ---- Operators' calls ------------------------------------------------------

// Status says whether this process serves.
func (n *node) Status() error {
	switch {
	case n.server.Closing():
		return errors.New("stopping")
	case !n.loop.Ready():
		return errors.New("no endpoint is known to serve")
	case !n.serving.Load():
		return errors.New("the old process still serves")
	}
	return nil
}

// Stats writes the figures.
func (n *node) Stats(w io.Writer) error { return n.figures.WriteText(w) }

// Maintain takes an endpoint out or calls it back.
func (n *node) Maintain(ctx context.Context, id string, out bool) error {
	return n.book.Set(ctx, id, out)
}

// ---- Handover --------------------------------------------------------------

// join looks for an old process and takes over what it knows.
func (n *node) join(ctx context.Context) *handover.Old {
	var old *handover.Old
	var state handover.State
	if n.host.Handover != "" {
		old, state = handover.Join(ctx, n.host.Handover, n, n.log)
	}
	if len(state.List) > 0 {
		var held discovery.List
		if err := json.Unmarshal(state.List, &held); err != nil {
			n.log.Error("the old process's list is not readable", "error", err)
		} else if len(held.Instances) > 0 {
			// It is newer than the one that the configuration brought.
			n.loop.Cached(ctx, held) // fails only where the loop has ended
		}
	}
	n.recall(ctx, state.Snapshot)
	if err := n.book.Merge(ctx, state.Marks...); err != nil {
		n.log.Error("the old process's bans do not bind", "error", err)
	}
	return old
}

// recall tells the module what an earlier process knew: the old one's word, else what was kept in the file.
func (n *node) recall(ctx context.Context, told []byte) {
	from := "the old process"
	was, err := snapshot.Decode(told)
	if len(told) == 0 {
		from = n.host.Kept.Path
		was, err = n.host.Kept.Load()
	}
	switch {
	case err != nil:
		n.log.Warn("snapshot passed over", "from", from, "error", err)
	case was != nil:
		n.loop.Recall(ctx, was, from)
	}
}

// takeOver waits until this process can serve, has an old one stop accepting, and is then the one that a new
// process finds.
func (n *node) takeOver(ctx context.Context, old *handover.Old) {
	tick := time.NewTicker(readyEvery)
	defer tick.Stop()
	for !n.loop.Ready() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
	if old != nil {
		old.Take(ctx, n.log)
	}
	n.serving.Store(true)
	if n.host.Handover == "" {
		return
	}
	ln, err := handover.Listen(n.host.Handover)
	if err != nil {
		n.log.Error("a new process will not find this one", "error", err)
		return
	}
	handover.Serve(ctx, ln, n, n.log)
}

// share sets this process's part of the limits.
func (n *node) share(part float64) {
	debug.SetMemoryLimit(max(memoryLeast, int64(float64(n.config.MemoryMB<<20)*part/memoryPart)))
	n.server.Share(n.config, part)
	n.up.Share(n.config, part)
	n.loop.Share(part)
}

// Beside begins a time in which another process serves beside this one.
func (n *node) Beside(other handover.Peer) (leave func()) {
	forget := n.book.Beside(other.Mark)
	hush := n.loop.Beside(other.Eject)
	count := func(more int) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.beside += more
		n.share(1 / float64(1+n.beside))
	}
	count(1)
	return func() {
		forget()
		hush()
		count(-1)
	}
}

// State returns what a new process must know.
func (n *node) State(ctx context.Context) (handover.State, error) {
	held, err := n.loop.List(ctx)
	if err != nil {
		return handover.State{}, err
	}
	list, err := json.Marshal(held)
	if err != nil {
		return handover.State{}, err
	}
	known, err := n.loop.Pictured(ctx)
	if err != nil {
		n.log.Warn("the new process will not know what is known here", "error", err)
	}
	return handover.State{Marks: n.book.Marks(), List: list, Snapshot: known}, nil
}

// Merge makes calls to the other process bind here.
func (n *node) Merge(ctx context.Context, marks ...maintenance.Mark) error {
	return n.book.Merge(ctx, marks...)
}

// Ejected takes the other process's word on endpoints that fail.
func (n *node) Ejected(list []handover.Ejection) { n.loop.Heard(list) }

// Yield stops accepting. What has been taken is answered, and so is what open connections still bring; each
// answer closes its connection, and those that bring nothing are closed one by one.
func (n *node) Yield() {
	n.refrain()
	n.yields.Store(true)
	n.server.Close(true)
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.yielded = cancel
	n.mu.Unlock()
	go func() {
		tick := time.NewTicker(settleEvery)
		defer tick.Stop()
		for n.server.Settle(settleFor) > 0 {
			select {
			case <-tick.C:
			case <-ctx.Done():
				return
			}
		}
		n.left <- struct{}{}
	}()
}

// Resume accepts again: the process that took over is gone.
func (n *node) Resume() {
	n.mu.Lock()
	n.yielded()
	stopping := n.stopping
	n.mu.Unlock()
	if stopping {
		return // the platform's socket keeps what comes for the next process
	}
	n.server.Close(false)
	n.yields.Store(false)
	if err := n.accept(); err != nil {
		n.broken <- err
	}
}
