// Package sidecar assembles, starts and stops a sidecar. A sidecar consists of a protocol stack for HTTP (packages core
// and httpfront) and for each further core.Protocol of the program, discovery, the management service for operators,
// handovers between processes, and configuration reloads.
//
// The package may import the packages of the data path and of the platform. The services of the control plane are
// passed in through the interfaces in Host.
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
	// While discovery is down, its watch is retried retriesPerDrainGrace times within the grace period of a drain, but
	// at intervals of at least minWatchRetryInterval.
	retriesPerDrainGrace  = 4
	minWatchRetryInterval = 50 * time.Millisecond

	minMemoryLimitBytes = 12 << 20 // with a lower limit the garbage collector would run all the time
	memoryLimitDivisor  = 2        // the garbage collector's limit is the configured memory limit divided by this
)

// instance is a running sidecar process.
type instance struct {
	config    *config.Config
	host      Host
	log       *slog.Logger
	stacks    protocolStacks
	feed      discovery.Feed
	overrides *maintenance.Registry

	closing  atomic.Bool // each connection is closed after its next answer
	replaced atomic.Bool // another process accepts requests instead of this one
	serving  atomic.Bool // an endpoint is ready, and the old process, if any, has stopped accepting

	acceptErrors chan error    // receives the error if accepting fails
	handedOver   chan struct{} // receives once another process accepts and all connections here are closed

	peerMu    sync.Mutex
	peerCount int // number of other processes of this sidecar

	// acceptMu serializes the stop, the handover to another process and the return from it, each of which changes
	// several of the fields above and of the frontends.
	acceptMu           sync.Mutex
	cancelHandoverWait context.CancelFunc // cancels awaitLastConnection; nil before the first handover
	stopping           bool               // the stop is final: accepting must not resume
}

// Run serves until stop ends or a new process has taken over, and then answers all open requests before it returns nil.
// It returns an error if the sidecar cannot start, or as soon as accepting requests fails.
func Run(stop context.Context, cfg *config.Config, host Host) error {
	n, err := newInstance(cfg, host)
	if err != nil {
		return err
	}
	n.setCapacityShare(1)
	defer n.overrides.Close()

	// Background work ends last, since requests that were accepted need it until they are answered.
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	n.startLoops(ctx, &background)
	// Before it accepts requests, a process reads its own files and, if there is an old process, waits for that: for at
	// most a second to connect to it and another second for its reply (handover.Join). It does not wait for discovery.
	old := n.joinAndRestore(ctx)
	if !n.config.Settings.Subscribe {
		n.feed.SetEnabled(true)
	}
	background.Go(func() { n.newReloader().run(ctx, host.Reload) })
	defer n.feed.SetEnabled(false)
	if old != nil {
		defer old.Close()
	}
	if err := n.open(); err != nil {
		return err
	}
	background.Go(func() { n.takeOver(ctx, old) })
	n.startSavers(ctx, &background)
	host.Log.Info("serving", "name", n.config.Name, "listen", n.config.Listen)
	select {
	case err := <-n.acceptErrors:
		return fmt.Errorf("serve: %w", err)
	case <-n.handedOver:
		host.Log.Info("handed over")
		return nil
	case <-stop.Done():
	}
	n.drain()
	return nil
}

func newInstance(cfg *config.Config, host Host) (*instance, error) {
	cfg, err := withHTTPDescriptors(cfg, &host)
	if err != nil {
		return nil, err
	}
	n := &instance{
		config:       cfg,
		host:         host,
		log:          host.Log,
		acceptErrors: make(chan error, 1),
		handedOver:   make(chan struct{}, 1),
	}
	n.stacks, err = newStacks(cfg, &host, n.feed.SetEnabled)
	if err != nil {
		return nil, err
	}
	warmUp := time.Duration(cfg.Settings.Contract.SlowStartDuration) * time.Microsecond
	n.overrides = maintenance.NewRegistry(host.Overrides, warmUp, n.stacks.applyOverride, host.Log)
	for _, stack := range n.stacks {
		stack.loop.SetInitialOverrides(n.overrides.Overrides())
	}
	n.joinFleet()
	n.feed.Watcher = n.newWatcher(cfg.Discovery, cfg.InitialList.Generation)
	n.feed.Run, n.feed.OnEnded = (*discovery.Watcher).Run, n.stacks.http().loop.WatchFailed
	if cfg.Settings.Subscribe {
		n.feed.Run = (*discovery.Watcher).RunOnce
	}
	return n, nil
}

// withHTTPDescriptors returns a configuration whose MaxDescriptors is the part for HTTP: that of the program without
// the descriptors of other protocols, but at most what the operating system allows the process.
func withHTTPDescriptors(cfg *config.Config, host *Host) (*config.Config, error) {
	httpConfig := *cfg
	for _, protocol := range host.Protocols {
		httpConfig.MaxDescriptors -= protocol.Descriptors()
	}
	if httpConfig.MaxDescriptors < config.MinDescriptors {
		return nil, fmt.Errorf(
			"protocols other than HTTP leave %d of %d file descriptors for HTTP: at least %d are needed",
			httpConfig.MaxDescriptors, cfg.MaxDescriptors, config.MinDescriptors)
	}
	if allowed := descriptorLimit(); allowed < httpConfig.MaxDescriptors {
		host.Log.Warn("the operating system allows fewer file descriptors than the configured limit",
			"allowed", allowed, "limit", httpConfig.MaxDescriptors)
		httpConfig.MaxDescriptors = allowed
	}
	return &httpConfig, nil
}

// descriptorLimit returns the number of file descriptors that the operating system allows this process, or math.MaxInt
// if that cannot be read.
func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt
	}
	return int(min(limit.Cur, math.MaxInt))
}

// joinFleet starts the exchange of overrides, drains and starts with other daemons, if the host provides it.
func (n *instance) joinFleet() {
	if n.host.FleetOverrides != nil {
		n.overrides.JoinFleet(n.host.FleetOverrides)
	}
	fleet := n.host.Fleet
	if fleet == nil {
		return
	}
	for _, stack := range n.stacks {
		stack.loop.ShareDrains(fleet.DrainingProcesses(), fleet.ReportProcessDrain)
		stack.loop.ShareStarts(fleet.RecentStarts(), fleet.ReportStart)
	}
	fleet.OnDrain(n.stacks.applyDrain)
	fleet.OnStart(n.stacks.applyStart)
}

// newWatcher returns a watcher of the discovery at addr for changes after the list with the given generation. While
// discovery is down it is retried several times within the grace period of a drain, since a drain in a pushed list must
// take effect in time.
func (n *instance) newWatcher(addr string, generation int64) *discovery.Watcher {
	watcher := discovery.NewWatcher(addr, generation, n.config.MemoryMB, n.stacks.watchEvent, n.log)
	grace := time.Duration(n.stacks.http().loop.ConfigSnapshot().Settings.Contract.DrainGrace) * time.Microsecond
	watcher.MaxRetryDelay = min(watcher.MaxRetryDelay, max(minWatchRetryInterval, grace/retriesPerDrainGrace))
	return watcher
}

func (n *instance) newReloader() *reloader {
	r := &reloader{
		readConfig: n.host.ReadConfig,
		metrics:    n.stacks.http().metrics,
		log:        n.log,
		apply:      n.stacks.reload,
		onApplied:  n.host.OnConfig,
		switchDiscovery: func(addr string) {
			n.feed.SwitchTo(n.newWatcher(addr, discovery.NoGeneration))
		},
	}
	r.setConfig(n.config)
	return r
}

// startLoops starts the event loops, the maintenance of upstream connections and the management service.
func (n *instance) startLoops(ctx context.Context, background *sync.WaitGroup) {
	for _, stack := range n.stacks {
		background.Go(func() { stack.loop.Run(ctx) })
		background.Go(func() { stack.upstream.Maintain(ctx) })
	}
	if n.host.Management == nil {
		return
	}
	background.Go(func() {
		if err := management.New(n, n.log).Serve(ctx, n.host.Management); err != nil {
			n.log.Error("the management service has failed", "error", err)
		}
	})
}

// startSavers starts saving the state of the decision modules. Saving pauses while another process of the sidecar
// accepts requests, because that process then saves its state.
func (n *instance) startSavers(ctx context.Context, background *sync.WaitGroup) {
	paused := func() bool { return !n.serving.Load() || n.replaced.Load() }
	for _, stack := range n.stacks {
		saver := core.SnapshotSaver{Loop: stack.loop, File: stack.snapshotFile}
		background.Go(func() { saver.Run(ctx, paused) })
		if fleet := n.host.Fleet; fleet != nil {
			background.Go(func() {
				fleet.SaveSnapshots(ctx, n.config.Name, stack.name, stack.loop.PortableSnapshot, paused)
			})
		}
	}
}

// open starts accepting requests of all protocols.
func (n *instance) open() error {
	for _, stack := range n.stacks {
		if err := stack.frontend.Open(n.reportAcceptError); err != nil {
			return err
		}
	}
	return nil
}

// reportAcceptError ends Run with an error. It does nothing if an earlier error ends Run already.
func (n *instance) reportAcceptError(err error) {
	select {
	case n.acceptErrors <- err:
	default:
	}
}

// closeListeners stops accepting requests. Further calls do nothing.
func (n *instance) closeListeners() {
	for _, stack := range n.stacks {
		stack.frontend.StopAccepting()
	}
}

// setClosing sets whether each connection is closed after its next answer.
func (n *instance) setClosing(closing bool) {
	n.closing.Store(closing)
	for _, stack := range n.stacks {
		stack.frontend.SetClosing(closing)
	}
}

// countOpen returns the sum of the connections that count returns for each protocol.
func (n *instance) countOpen(count func(core.Frontend) int) (open int) {
	for _, stack := range n.stacks {
		open += count(stack.frontend)
	}
	return open
}

// setCapacityShare sets this process's share of the limits, from 0 to 1, including that of memory.
func (n *instance) setCapacityShare(share float64) {
	limit := float64(n.config.MemoryMB<<20) * share / memoryLimitDivisor
	debug.SetMemoryLimit(max(minMemoryLimitBytes, int64(limit)))
	for _, stack := range n.stacks {
		stack.setCapacityShare(share)
	}
}

var _ handover.Process = (*instance)(nil)
