// Package metrics holds the counters and gauges of a sidecar. They are atomics, so that counting never waits for a
// reader, nor a reader for counting. The package imports nothing of this module.
package metrics

import (
	"sync"
	"sync/atomic"
)

// Counter counts upwards. It is safe for concurrent use.
type Counter struct{ n atomic.Uint64 }

// Inc adds one.
func (c *Counter) Inc() { c.n.Add(1) }

// Value returns the count.
func (c *Counter) Value() uint64 { return c.n.Load() }

// Gauge is a number that goes up and down. It is safe for concurrent use.
type Gauge struct{ n atomic.Int64 }

// Add adds n, which may be negative.
func (g *Gauge) Add(n int64) { g.n.Add(n) }

// Set sets the gauge.
func (g *Gauge) Set(n int64) { g.n.Store(n) }

// Value returns the present number.
func (g *Gauge) Value() int64 { return g.n.Load() }

// Class counts the final answers to the requests of one class.
type Class struct {
	Answered Counter // served
	Deferred Counter // rejected
	Errored  Counter // failed
}

// Registry holds all metrics of one protocol of a process, from its start. It is safe for concurrent use.
type Registry struct {
	AttemptsSent        Counter // written completely to endpoints
	InFlight            Gauge   // requests
	Endpoints           Gauge   // of the endpoint list
	UnhealthyEndpoints  Gauge   // of them not used now, by an operator's override or by the balancer
	Unanswered          Counter // requests without an answer half a second after their timeout
	AllRequestsRejected Counter // times that all requests were rejected for seconds, with no attempt between them
	ConfigsLoaded       Counter // at a reload
	ConfigsRejected     Counter // at a reload

	prefix string // of the names of all metrics

	mu         sync.RWMutex
	classes    map[string]*Class
	classOrder []string            // as first used
	byLimit    map[string]*Counter // rejections
	limitOrder []string            // as first used
	extra      []namedCounter
}

// namedCounter is a counter that one protocol has beside those of all.
type namedCounter struct {
	name    string
	counter *Counter
}

// New returns the registry of HTTP, which shows some classes from the beginning.
func New(classes ...string) *Registry { return NewForProtocol("", classes...) }

// NewForProtocol returns the registry of a protocol. The names of its metrics contain that of the protocol, unless
// it is empty.
func NewForProtocol(protocol string, classes ...string) *Registry {
	r := &Registry{classes: map[string]*Class{}, byLimit: map[string]*Counter{}, prefix: namePrefix}
	if protocol != "" {
		r.prefix += protocol + "_"
	}
	for _, name := range classes {
		r.Class(name)
	}
	return r
}

// Class returns the counters of a class. They remain when a reload drops the class, since a counter must not go back.
func (r *Registry) Class(name string) *Class {
	r.mu.RLock()
	c := r.classes[name]
	r.mu.RUnlock()
	if c != nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.classes[name]; c != nil { // created since
		return c
	}
	c = &Class{}
	r.classes[name] = c
	r.classOrder = append(r.classOrder, name)
	return c
}

// LimitRejections returns the counter of requests that a limit of the fleet has rejected.
func (r *Registry) LimitRejections(limit string) *Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.byLimit[limit]
	if c == nil {
		c = &Counter{}
		r.byLimit[limit] = c
		r.limitOrder = append(r.limitOrder, limit)
	}
	return c
}

// NewCounter returns a new counter with a name.
func (r *Registry) NewCounter(name string) *Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &Counter{}
	r.extra = append(r.extra, namedCounter{name: name, counter: c})
	return c
}
