// Package core is the part of a sidecar that is independent of protocols: one event loop that owns the decision module
// (package balancer), the endpoint list, operators' overrides, timers, the current settings and the open requests. A
// Frontend submits a Request and receives its one Answer; a Transport makes the attempts and probes that the module
// asks for.
//
// Everything that belongs to the event loop runs on its goroutine and does no I/O; other goroutines post events to it.
// Only methods of EventLoop call the balancer. The package may import the balancer, the packages of the data path that
// know no protocol, and the platform's; never a front, the control plane or the store.
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

// Clock tells the time in microseconds: Unix time at its creation, monotonic from there.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now()} }

// Now returns the time.
func (c Clock) Now() balancer.Micros {
	return c.start.UnixMicro() + time.Since(c.start).Microseconds()
}

// event is handled by the loop's goroutine.
type event func(now balancer.Micros)

const eventQueueSize = 256

// EventLoop owns the decision module. Exported methods may be called from any goroutine unless they say otherwise; the
// balancer's actions and all unexported methods but post and do run on the loop's own.
type EventLoop struct {
	clock    Clock
	log      *slog.Logger
	metrics  *metrics.Registry
	upstream Transport
	setWatch func(on bool)

	events chan event
	urgent chan event    // operators' calls and the like, which do not wait behind requests
	done   chan struct{} // closed once the loop handles no more events

	current       atomic.Pointer[ConfigSnapshot] // for new requests
	capacityShare atomic.Pointer[float64]        // of the limits, this process's; nil once the module has it
	peer          atomic.Pointer[ejectionReporter]
	ready         atomic.Bool // an endpoint is known to serve

	// The following belong to the loop's goroutine.
	config           *config.Config
	balancer         balancer.Module
	initialOverrides []maintenance.Override
	adminDrained     map[string]uint32 // numbers of the endpoints that operators drained, by name
	timers           timerHeap
	timersSet        uint64

	closed     bool // nothing is accepted any more
	lastID     uint64
	requests   map[uint64]*Request // open ones
	byClientID map[string]*Request // the same, by the clients' IDs

	byName      map[string]*endpoint
	byNumber    map[uint32]*endpoint
	lastNumber  uint32
	recentNames recentSet // of the endpoints listed lately
	drains      drainExchange
	starts      startExchange
}

// ConfigSnapshot is a configuration as a request finds it. It is immutable.
type ConfigSnapshot struct {
	*config.Config
	Rules *balancer.Rules
}

// Tap interposes on the calls between the loop and the decision module, in both directions. It receives the loop's
// actions, a function that creates the balancer with the actions that it should have, and the names of endpoints.
type Tap func(out balancer.Actions, begin func(balancer.Actions) (*balancer.Balancer, error),
	name func(id uint32) string) (balancer.Module, error)

// New returns an event loop for a configuration, which reaches endpoints by upstream. setWatch subscribes to changes of
// discovery's list, or ends the subscription. tap is nil for none. Invalid settings are the only error.
func New(c *config.Config, clock Clock, upstream Transport, setWatch func(bool), registry *metrics.Registry, tap Tap,
	log *slog.Logger) (*EventLoop, error) {
	l := &EventLoop{
		clock:        clock,
		log:          log,
		metrics:      registry,
		upstream:     upstream,
		setWatch:     setWatch,
		events:       make(chan event, eventQueueSize),
		urgent:       make(chan event),
		done:         make(chan struct{}),
		config:       c,
		adminDrained: map[string]uint32{},
		requests:     map[uint64]*Request{},
		byClientID:   map[string]*Request{},
		byName:       map[string]*endpoint{},
		byNumber:     map[uint32]*endpoint{},
		recentNames:  newRecentSet(),
	}
	module, err := l.newModule(tap)
	if err != nil {
		return nil, err
	}
	l.balancer = module
	l.current.Store(&ConfigSnapshot{c, module.Rules()})
	return l, nil
}

func (l *EventLoop) newModule(tap Tap) (balancer.Module, error) {
	begin := func(out balancer.Actions) (*balancer.Balancer, error) {
		return balancer.New(l.config.Settings, l.config.Seed, out)
	}
	if tap != nil {
		return tap(l, begin, l.endpointName)
	}
	b, err := begin(l)
	if err != nil {
		return nil, err
	}
	return balancer.Direct{Balancer: b}, nil
}

// SetInitialOverrides sets what operators decided before this process started. It is called before Run.
func (l *EventLoop) SetInitialOverrides(overrides []maintenance.Override) {
	l.initialOverrides = overrides
}

// ConfigSnapshot returns the configuration for new requests.
func (l *EventLoop) ConfigSnapshot() *ConfigSnapshot { return l.current.Load() }

// Ready reports whether an endpoint is known to serve.
func (l *EventLoop) Ready() bool { return l.ready.Load() }

// Now returns the time on the loop's clock.
func (l *EventLoop) Now() balancer.Micros { return l.clock.Now() }

// SetCapacityShare sets this process's share of the limits, from 0 to 1, by which the module counts its open requests.
func (l *EventLoop) SetCapacityShare(share float64) { l.capacityShare.Store(&share) }

// Reload applies a new configuration, or changes nothing and returns an error. Open requests keep the snapshot they
// came with.
func (l *EventLoop) Reload(ctx context.Context, c *config.Config) error {
	var rejected error
	err := l.do(ctx, func(now balancer.Micros) {
		var rules *balancer.Rules
		rules, rejected = l.balancer.Reload(now, c.Settings)
		if rejected != nil {
			return
		}
		l.config = c
		l.upstream.SetConfig(c)
		for _, name := range c.Classes {
			l.metrics.Class(name) // exported from now on
		}
		l.current.Store(&ConfigSnapshot{c, rules})
	})
	return errors.Join(err, rejected)
}

// post queues an event. After the loop has ended it is dropped.
func (l *EventLoop) post(e event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// do has the loop run a function ahead of all queued events, and returns once it has run.
func (l *EventLoop) do(ctx context.Context, f event) error {
	ran := make(chan struct{})
	run := func(now balancer.Micros) {
		f(now)
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

// Run handles events and timers until ctx ends. Nothing that it calls blocks.
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

// start brings the module to the state from before this process, so that overrides apply before anything is sent.
// Drains apply to names, listed or not; a return matters only for a listed endpoint, which is warming up.
func (l *EventLoop) start(now balancer.Micros) {
	l.balancer.Start(now)
	l.applyInitialOverrides(now, true)
	l.applyList(now, balancer.ListCached, l.config.InitialList)
	l.applyInitialOverrides(now, false)
	l.updateGauges(now)
}

func (l *EventLoop) applyInitialOverrides(now balancer.Micros, drained bool) {
	for _, o := range l.initialOverrides {
		if o.Drained == drained {
			_ = l.setOverride(now, o, true) // cannot fail for an unknown name
		}
	}
}

// gaugeInterval is the longest time for which a gauge that only the loop can read is out of date.
const gaugeInterval = 100 * time.Millisecond

// updateGauges exports how many endpoints are excluded, and repeats itself.
func (l *EventLoop) updateGauges(now balancer.Micros) {
	l.exportExcluded(now)
	l.reportEjections(now)
	l.setTimer(now+gaugeInterval.Microseconds(), l.updateGauges)
}

func (l *EventLoop) exportExcluded(now balancer.Micros) {
	l.metrics.UnhealthyEndpoints.Set(int64(l.balancer.ExcludedCount(now)))
}

// ApplyCachedList applies a list that is newer than the one in the configuration.
func (l *EventLoop) ApplyCachedList(ctx context.Context, list discovery.List) error {
	return l.do(ctx, func(now balancer.Micros) { l.applyList(now, balancer.ListCached, list) })
}
