// Package metrics has the counters and gauges of a sidecar. They are atomic, so that counting and reading never wait
// for each other. The package imports nothing of this module.
package metrics

import (
	"sync"
	"sync/atomic"
)

// Counter is a number that only increases. The zero value is ready for use. It is safe for concurrent use.
type Counter struct{ n atomic.Uint64 }

// Inc increments the counter by one.
func (c *Counter) Inc() { c.n.Add(1) }

// Value returns the count.
func (c *Counter) Value() uint64 { return c.n.Load() }

// Gauge is a number that can increase and decrease. The zero value is ready for use. It is safe for concurrent use.
type Gauge struct{ n atomic.Int64 }

// Add adds n, which may be negative.
func (g *Gauge) Add(n int64) { g.n.Add(n) }

// Set replaces the number by n.
func (g *Gauge) Set(n int64) { g.n.Store(n) }

// Value returns the present number.
func (g *Gauge) Value() int64 { return g.n.Load() }

// Class counts the requests of one class by their outcome.
type Class struct {
	Answered Counter // requests that were served
	Deferred Counter // requests that were rejected
	Errored  Counter // requests that failed
}

// Registry has the metrics of one protocol since the start of the process. It is safe for concurrent use.
type Registry struct {
	AttemptsSent        Counter // attempts that were written completely to endpoints
	InFlight            Gauge   // requests in flight
	Endpoints           Gauge   // endpoints in the endpoint list
	UnhealthyEndpoints  Gauge   // endpoints in the list that an operator's override or the balancer excludes now
	Unanswered          Counter // requests without a response half a second after their timeout
	AllRequestsRejected Counter // times that all requests were rejected for seconds without an attempt in between
	ConfigsLoaded       Counter // reloads whose configuration took effect
	ConfigsRejected     Counter // reloads whose configuration was rejected

	prefix string // of the names of all metrics

	mu               sync.RWMutex // guards the fields below
	classes          map[string]*Class
	classOrder       []string            // names of classes in the order of their first use
	limitRejections  map[string]*Counter // by limit
	limitOrder       []string            // names of limits in the order of their first use
	protocolCounters []namedCounter
}

// namedCounter is a counter that only one protocol has.
type namedCounter struct {
	name    string
	counter *Counter
}

// New returns the registry of HTTP. The given classes are written from the start, the others from their first use.
func New(classes ...string) *Registry { return NewForProtocol("", classes...) }

// NewForProtocol returns the registry of a protocol. The protocol's name, if not empty, is part of the names of its
// metrics. classes are as in New.
func NewForProtocol(protocol string, classes ...string) *Registry {
	r := &Registry{classes: map[string]*Class{}, limitRejections: map[string]*Counter{}, prefix: namePrefix}
	if protocol != "" {
		r.prefix += protocol + "_"
	}
	for _, name := range classes {
		r.Class(name)
	}
	return r
}

// Class returns the counters of a class, and creates them on first use. They remain after a reload without the class,
// because a counter must not decrease.
func (r *Registry) Class(name string) *Class {
	r.mu.RLock()
	c := r.classes[name]
	r.mu.RUnlock()
	if c != nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.classes[name]; c != nil { // created by another goroutine in the meantime
		return c
	}
	c = &Class{}
	r.classes[name] = c
	r.classOrder = append(r.classOrder, name)
	return c
}

// LimitRejections returns the counter of requests that a fleet-wide limit has rejected, and creates it on first use.
func (r *Registry) LimitRejections(limit string) *Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.limitRejections[limit]
	if c == nil {
		c = &Counter{}
		r.limitRejections[limit] = c
		r.limitOrder = append(r.limitOrder, limit)
	}
	return c
}

// NewCounter returns a new counter, which is written under the given name after the metrics of all protocols.
func (r *Registry) NewCounter(name string) *Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &Counter{}
	r.protocolCounters = append(r.protocolCounters, namedCounter{name: name, counter: c})
	return c
}
