// Package core is the part of a sidecar that is independent of protocols: one event loop that owns the decision module
// (package balancer), the endpoint list, operators' overrides, timers, the current settings and the open requests. A
// Frontend submits a Request and receives exactly one Answer; a Transport makes the attempts and probes that the
// decision module asks for.
//
// All code of the event loop runs on one goroutine and does no I/O; other goroutines post events to it. Only methods of
// EventLoop call the balancer. The package may import the balancer, the protocol-independent packages of the data path
// and the packages of the platform; it must not import a frontend, the control plane or the store.
package core

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/platform/metrics"
)

// Clock returns the time in microseconds. It starts at the Unix time of its creation and advances monotonically.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the current Unix time.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the Unix time of the clock's creation plus the monotonic time since then.
func (c Clock) Now() balancer.Micros {
	return c.start.UnixMicro() + time.Since(c.start).Microseconds()
}

// event is a function that the loop calls on its goroutine, with the current time.
type event func(now balancer.Micros)

const eventQueueSize = 256

// EventLoop owns the decision module. Exported methods may be called from any goroutine unless they say otherwise. The
// methods of balancer.Actions and, unless they say otherwise, all unexported methods run on the loop's goroutine.
type EventLoop struct {
	clock    Clock
	log      *slog.Logger
	metrics  *metrics.Registry
	upstream Transport
	setWatch func(subscribed bool)

	events chan event
	urgent chan event    // handled before events, for example operators' calls
	done   chan struct{} // closed when Run returns; events are dropped from then on

	currentConfig    atomic.Pointer[ConfigSnapshot] // applies to new requests
	capacityShare    atomic.Pointer[float64]        // share of the limits not yet passed to the module; nil for none
	ejectionReporter atomic.Pointer[ejectionReporter]
	requestReporter  atomic.Pointer[requestReporter]
	ready            atomic.Bool // whether an endpoint has been listed as ready

	// Only the loop's goroutine accesses the following fields.
	config           *config.Config
	balancer         balancer.Module
	initialOverrides []maintenance.Override
	drainedNumbers   map[string]uint32 // number of each administratively drained endpoint, by name
	timers           timerHeap
	timerCount       uint64 // number of timers set so far

	rejectsNewRequests bool // set by close; Submit then answers Rejected
	lastRequestID      uint64
	requests           map[uint64]*Request // by Input.ID: open requests, and ended ones until all outcomes are known
	requestsByClientID map[string]*Request // the same requests by the ID that the client chose
	recentRequests     recentRequests

	endpointsByName    map[string]*endpointState
	endpointsByNumber  map[uint32]*endpointState
	lastEndpointNumber uint32
	recentNames        recentSet // names of recently listed endpoints
	drains             drainExchange
	starts             startExchange
}

// ConfigSnapshot is the configuration that applies to a request from its submission to its end. It is immutable.
type ConfigSnapshot struct {
	*config.Config
	Rules *balancer.Rules
}

// Tap interposes on the calls between the loop and the decision module, in both directions: it returns the module that
// the loop calls. actions are the loop's, newBalancer creates a balancer that calls the given actions instead, and
// endpointName returns the name of an endpoint by its number, or "" if the endpoint is not listed.
type Tap func(actions balancer.Actions, newBalancer func(balancer.Actions) (*balancer.Balancer, error),
	endpointName func(number uint32) string) (balancer.Module, error)

// New returns an event loop that reaches endpoints through upstream; Run starts it. setWatch is called to subscribe to
// changes of discovery's endpoint list (true) or to end the subscription (false). A nil tap means that the loop calls
// the balancer directly. New fails if the settings are invalid or tap returns an error.
func New(cfg *config.Config, clock Clock, upstream Transport, setWatch func(bool), registry *metrics.Registry, tap Tap,
	log *slog.Logger) (*EventLoop, error) {
	l := &EventLoop{
		clock:              clock,
		log:                log,
		metrics:            registry,
		upstream:           upstream,
		setWatch:           setWatch,
		events:             make(chan event, eventQueueSize),
		urgent:             make(chan event),
		done:               make(chan struct{}),
		config:             cfg,
		drainedNumbers:     map[string]uint32{},
		requests:           map[uint64]*Request{},
		requestsByClientID: map[string]*Request{},
		recentRequests:     newRecentRequests(),
		endpointsByName:    map[string]*endpointState{},
		endpointsByNumber:  map[uint32]*endpointState{},
		recentNames:        newRecentSet(),
	}
	module, err := l.newModule(tap)
	if err != nil {
		return nil, err
	}
	l.balancer = module
	l.currentConfig.Store(&ConfigSnapshot{cfg, module.Rules()})
	return l, nil
}

func (l *EventLoop) newModule(tap Tap) (balancer.Module, error) {
	newBalancer := func(actions balancer.Actions) (*balancer.Balancer, error) {
		return balancer.New(l.config.Settings, l.config.Seed, actions)
	}
	if tap != nil {
		return tap(l, newBalancer, l.endpointName)
	}
	b, err := newBalancer(l)
	if err != nil {
		return nil, err
	}
	return balancer.Direct{Balancer: b}, nil
}

// SetInitialOverrides sets the overrides that operators made before this process started. It must be called before Run.
func (l *EventLoop) SetInitialOverrides(overrides []maintenance.Override) {
	l.initialOverrides = overrides
}

// ConfigSnapshot returns the configuration that applies to new requests.
func (l *EventLoop) ConfigSnapshot() *ConfigSnapshot { return l.currentConfig.Load() }

// Ready reports whether an endpoint has been listed as ready. It stays true once it is true.
func (l *EventLoop) Ready() bool { return l.ready.Load() }

// Now returns the time on the loop's clock.
func (l *EventLoop) Now() balancer.Micros { return l.clock.Now() }

// SetCapacityShare sets this process's share of the limits, from 0 to 1. The decision module scales its slow-start
// budgets by it.
func (l *EventLoop) SetCapacityShare(share float64) { l.capacityShare.Store(&share) }

// Reload applies a new configuration, or changes nothing and returns an error. Open requests keep the ConfigSnapshot
// with which they were submitted.
func (l *EventLoop) Reload(ctx context.Context, cfg *config.Config) error {
	var rejected error
	err := l.runUrgent(ctx, func(now balancer.Micros) {
		var rules *balancer.Rules
		rules, rejected = l.balancer.Reload(now, cfg.Settings)
		if rejected != nil {
			return
		}
		l.config = cfg
		l.upstream.SetConfig(cfg)
		for _, name := range cfg.Classes {
			l.metrics.Class(name) // creates the metrics of the class
		}
		l.currentConfig.Store(&ConfigSnapshot{cfg, rules})
	})
	return errors.Join(err, rejected)
}

// post queues an event, from any other goroutine. It blocks while the queue is full, and drops the event once Run has
// returned.
func (l *EventLoop) post(e event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// runUrgent is called on another goroutine. It runs handle on the loop's goroutine ahead of all queued events, and
// returns when handle has returned. It fails without running handle if Run has returned or ctx ends.
func (l *EventLoop) runUrgent(ctx context.Context, handle event) error {
	ran := make(chan struct{})
	run := func(now balancer.Micros) {
		handle(now)
		close(ran)
	}
	select {
	case l.urgent <- run:
		<-ran
		return nil
	case <-l.done:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run handles events and timers until ctx ends. Handlers must not block.
func (l *EventLoop) Run(ctx context.Context) {
	defer close(l.done)
	l.start(l.clock.Now())
	wakeUp := time.NewTimer(0)
	defer wakeUp.Stop()
	for {
		now := l.clock.Now()
		if share := l.capacityShare.Swap(nil); share != nil {
			l.balancer.SetCapacityShare(now, *share)
		}
		if next, ok := l.fireTimers(now); ok {
			wakeUp.Reset(next)
		}
		select {
		case e := <-l.urgent:
			e(l.clock.Now())
			continue
		default:
		}
		select {
		case e := <-l.urgent:
			e(l.clock.Now())
		case e := <-l.events:
			e(l.clock.Now())
		case <-wakeUp.C:
		case <-ctx.Done():
			return
		}
	}
}

// start applies the overrides and the endpoint list that were known before this process started, so that overrides are
// in effect before the first attempt. Drains come before the list, since they apply to names whether listed or not.
// Ends of drains come after it, since they matter only for listed endpoints, which are then warming up.
func (l *EventLoop) start(now balancer.Micros) {
	l.balancer.Start(now)
	l.applyInitialOverrides(now, true)
	l.applyList(now, balancer.ListCached, l.config.InitialList)
	l.applyInitialOverrides(now, false)
	l.updateGauges(now)
}

func (l *EventLoop) applyInitialOverrides(now balancer.Micros, drained bool) {
	for _, override := range l.initialOverrides {
		if override.Drained == drained {
			_ = l.setOverride(now, override, true) // force is set, so an unknown name is no error
		}
	}
}

// gaugeInterval is the maximum age of gauges whose value only the loop's goroutine can read.
const gaugeInterval = 100 * time.Millisecond

// updateGauges exports the number of excluded endpoints, reports ejections, and schedules its next call.
func (l *EventLoop) updateGauges(now balancer.Micros) {
	l.exportExcluded(now)
	l.reportEjections(now)
	l.setTimer(now+gaugeInterval.Microseconds(), l.updateGauges)
}

func (l *EventLoop) exportExcluded(now balancer.Micros) {
	l.metrics.UnhealthyEndpoints.Set(int64(l.balancer.ExcludedCount(now)))
}

// ApplyCachedList applies an endpoint list that another process received and that is newer than the list in this
// process's configuration. It returns once the list is in effect.
func (l *EventLoop) ApplyCachedList(ctx context.Context, list discovery.List) error {
	return l.runUrgent(ctx, func(now balancer.Micros) { l.applyList(now, balancer.ListCached, list) })
}
