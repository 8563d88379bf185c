// Package sidecar assembles a sidecar, starts and stops it: a protocol stack for HTTP and for each further protocol
// (packages core and httpfront, or a core.Protocol of the program), discovery, operators' calls, handovers between
// processes, and reloads.
//
// It may import the packages of the data path and the platform's. What the control plane provides comes by the
// interfaces of Host.
package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/platform/management"
)

const (
	// A discovery that is down is tried retriesPerDrainGrace times within the grace of a drain, but not more often than
	// every minWatchRetryInterval.
	retriesPerDrainGrace  = 4
	minWatchRetryInterval = 50 * time.Millisecond

	minMemoryLimitBytes = 12 << 20 // with less the garbage collector would run all the time
	memoryLimitDivisor  = 2        // the collector works harder from this part of the configured limit on
)

// instance is a running sidecar.
type instance struct {
	config    *config.Config
	host      Host
	log       *slog.Logger
	stacks    protocolStacks
	feed      discovery.Feed
	overrides *maintenance.Registry

	closing atomic.Bool // connections end with their answers
	yielded atomic.Bool // another process accepts in place of this one
	serving atomic.Bool // this process can serve, and an old one has stopped accepting

	broken     chan error    // receives why accepting ended by itself
	handedOver chan struct{} // receives once another process accepts and no connection is left here

	mu          sync.Mutex
	cancelYield context.CancelFunc // ends the wait for the last connection
	peers       int                // processes beside this one
	stopping    bool               // for good
}

// Run serves until stop ends, or until a new process has taken over, then finishes open requests and returns.
func Run(stop context.Context, c *config.Config, h Host) error {
	n, err := newInstance(c, h)
	if err != nil {
		return err
	}
	n.setCapacityShare(1)

	// Background work ends after the server, so that everything that was accepted is answered first.
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	n.startLoops(ctx, &background)
	// Before it accepts, a process waits for its own files and, when it takes over, for the old process: at most a
	// second to find it and one for its reply (handover.Join). It does not wait for discovery.
	old := n.join(ctx)
	if !n.config.Settings.Subscribe {
		n.feed.SetEnabled(true)
	}
	background.Go(func() { n.newReloader().run(ctx, h.Reload) })
	defer n.feed.SetEnabled(false)
	if old != nil {
		defer old.Close()
	}
	if err := n.open(); err != nil {
		return err
	}
	background.Go(func() { n.takeOver(ctx, old) })
	n.startSavers(ctx, &background)
	h.Log.Info("serving", "name", n.config.Name, "listen", n.config.Listen)
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

func newInstance(c *config.Config, h Host) (*instance, error) {
	c, err := withOwnDescriptors(c, &h)
	if err != nil {
		return nil, err
	}
	n := &instance{
		config:     c,
		host:       h,
		log:        h.Log,
		broken:     make(chan error, 1),
		handedOver: make(chan struct{}, 1),
	}
	n.stacks, err = newStacks(c, &h, n.feed.SetEnabled)
	if err != nil {
		return nil, err
	}
	warmUp := time.Duration(c.Settings.Contract.SlowStartDuration) * time.Microsecond
	n.overrides = maintenance.NewRegistry(h.Overrides, warmUp, n.stacks.applyOverride, h.Log)
	for _, s := range n.stacks {
		s.loop.SetInitialOverrides(n.overrides.Overrides())
	}
	n.joinFleet()
	n.feed.Watcher = n.newWatcher(c.Discovery, c.InitialList.Generation)
	n.feed.Run, n.feed.OnEnded = (*discovery.Watcher).Run, n.stacks.http().loop.WatchFailed
	if c.Settings.Subscribe {
		n.feed.Run = (*discovery.Watcher).RunOnce
	}
	return n, nil
}

// withOwnDescriptors returns a configuration whose descriptors are those of HTTP: without those of other protocols, and
// not more than the system allows.
func withOwnDescriptors(c *config.Config, h *Host) (*config.Config, error) {
	own := *c
	for _, p := range h.Protocols {
		own.MaxDescriptors -= p.Descriptors()
	}
	if own.MaxDescriptors < config.MinDescriptors {
		return nil, fmt.Errorf("the protocols besides HTTP leave %d of %d descriptors: %d are needed",
			own.MaxDescriptors, c.MaxDescriptors, config.MinDescriptors)
	}
	if allowed := descriptorLimit(); allowed < own.MaxDescriptors {
		h.Log.Warn("the system allows fewer descriptors than the configured limit",
			"allowed", allowed, "limit", own.MaxDescriptors)
		own.MaxDescriptors = allowed
	}
	return &own, nil
}

// descriptorLimit returns how many descriptors the system allows this process.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt
	}
	return int(min(limit.Cur, math.MaxInt))
}

// joinFleet starts the exchange with other daemons, where there are any.
func (n *instance) joinFleet() {
	if n.host.FleetOverrides != nil {
		n.overrides.JoinFleet(n.host.FleetOverrides)
	}
	fleet := n.host.Fleet
	if fleet == nil {
		return
	}
	for _, s := range n.stacks {
		s.loop.ShareDrains(fleet.DrainingProcesses(), fleet.Observe)
		s.loop.ShareStarts(fleet.RecentStarts(), fleet.ReportStart)
	}
	fleet.OnDrain(n.stacks.applyDrain)
	fleet.OnStart(n.stacks.applyStart)
}

// newWatcher returns a watcher of the discovery at addr, from the list of a generation on. Pushed lists take effect at
// once, so that a discovery that is down is tried several times within the grace of a drain.
func (n *instance) newWatcher(addr string, generation int64) *discovery.Watcher {
	w := discovery.NewWatcher(addr, generation, n.config.MemoryMB, n.stacks.watchEvent, n.log)
	grace := time.Duration(n.stacks.http().loop.ConfigSnapshot().Settings.Contract.DrainGrace) * time.Microsecond
	w.MaxRetryDelay = min(w.MaxRetryDelay, max(minWatchRetryInterval, grace/retriesPerDrainGrace))
	return w
}

func (n *instance) newReloader() *reloader {
	r := &reloader{
		read:      n.host.ReadConfig,
		metrics:   n.stacks.http().metrics,
		log:       n.log,
		apply:     n.stacks.reload,
		onApplied: n.host.OnConfig,
		moveDiscovery: func(addr string) {
			n.feed.SwitchTo(n.newWatcher(addr, discovery.NoGeneration))
		},
	}
	r.setConfig(n.config)
	return r
}

// startLoops starts the event loops and the service for operators.
func (n *instance) startLoops(ctx context.Context, background *sync.WaitGroup) {
	for _, s := range n.stacks {
		background.Go(func() { s.loop.Run(ctx) })
		background.Go(func() { s.upstream.Maintain(ctx) })
	}
	if n.host.Management == nil {
		return
	}
	background.Go(func() {
		if err := management.New(n, n.log).Serve(ctx, n.host.Management); err != nil {
			n.log.Error("the service for operators has failed", "error", err)
		}
	})
}

// startSavers starts saving the state of the decision modules, which another process does while that one accepts.
func (n *instance) startSavers(ctx context.Context, background *sync.WaitGroup) {
	paused := func() bool { return !n.serving.Load() || n.yielded.Load() }
	for _, s := range n.stacks {
		saver := core.SnapshotSaver{Loop: s.loop, File: s.snapshotFile}
		background.Go(func() { saver.Run(ctx, paused) })
		if fleet := n.host.Fleet; fleet != nil {
			background.Go(func() {
				fleet.SaveSnapshots(ctx, n.config.Name, s.name, s.loop.PortableSnapshot, paused)
			})
		}
	}
}

// open starts accepting requests.
func (n *instance) open() error {
	broken := func(err error) {
		select {
		case n.broken <- err:
		default: // the first error ends Run
		}
	}
	for _, s := range n.stacks {
		if err := s.frontend.Open(broken); err != nil {
			return err
		}
	}
	return nil
}

// closeListeners stops accepting requests. Further calls do nothing.
func (n *instance) closeListeners() {
	for _, s := range n.stacks {
		s.frontend.StopAccepting()
	}
}

// setClosing sets whether connections end with their answers.
func (n *instance) setClosing(on bool) {
	n.closing.Store(on)
	for _, s := range n.stacks {
		s.frontend.SetClosing(on)
	}
}

// countOpen adds up what count returns for each protocol.
func (n *instance) countOpen(count func(core.Frontend) int) (open int) {
	for _, s := range n.stacks {
		open += count(s.frontend)
	}
	return open
}

// setCapacityShare sets this process's share of the limits, from 0 to 1.
func (n *instance) setCapacityShare(share float64) {
	limit := float64(n.config.MemoryMB<<20) * share / memoryLimitDivisor
	debug.SetMemoryLimit(max(minMemoryLimitBytes, int64(limit)))
	for _, s := range n.stacks {
		s.setCapacityShare(share)
	}
}

var _ handover.Process = (*instance)(nil)
