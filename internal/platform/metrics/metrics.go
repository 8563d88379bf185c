// Package metrics keeps the sidecar's counters and gauges. They are plain atomics: whoever counts never waits,
// and whoever reads them stops nobody.
package metrics

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
)

// Counter only grows.
type Counter struct{ n atomic.Uint64 }

// Inc counts one more.
func (c *Counter) Inc() { c.n.Add(1) }

// Value returns the count.
func (c *Counter) Value() uint64 { return c.n.Load() }

// Gauge goes up and down.
type Gauge struct{ n atomic.Int64 }

// Add moves the gauge.
func (g *Gauge) Add(n int64) { g.n.Add(n) }

// Set sets the gauge.
func (g *Gauge) Set(n int64) { g.n.Store(n) }

// Value returns what the gauge shows.
func (g *Gauge) Value() int64 { return g.n.Load() }

// Class holds the final answers given to the requests of one class.
type Class struct {
	Answered Counter // served
	Deferred Counter // refused
	Errored  Counter // failed
}

// Registry is all figures of one process, from its start.
type Registry struct {
	AttemptsSent        Counter // attempts written whole to endpoints
	InFlight            Gauge   // requests taken and not ended
	Endpoints           Gauge   // endpoints in the list
	UnhealthyEndpoints  Gauge   // of them avoided now, by hand or by choice
	Unanswered          Counter // requests with no answer half a second past their time
	AllEndpointsRefused Counter // times that all were refused for seconds, and no attempt was made
	ConfigsLoaded       Counter // configurations taken at a reload
	ConfigsRejected     Counter // and turned down

	prefix string // begins the name of every figure

	mu         sync.RWMutex
	classes    map[string]*Class
	classOrder []string            // as first named
	byLimit    map[string]*Counter // by limit
	limitOrder []string            // as first named
	extra      []namedCounter
}

// namedCounter is a counter that only one protocol has.
type namedCounter struct {
	name  string
	count *Counter
}

// New returns a registry that shows the named classes from the beginning.
func New(classes ...string) *Registry { return NewForProtocol("", classes...) }

// NewForProtocol returns one for a protocol beside HTTP, whose figures bear its name.
func NewForProtocol(protocol string, classes ...string) *Registry {
	r := &Registry{classes: map[string]*Class{}, prefix: prefix}
	if protocol != "" {
		r.prefix += protocol + "_"
	}
	for _, name := range classes {
		r.Class(name)
	}
	return r
}

// Class returns the counts of a class. They stay when a reload drops the class: a count never goes back.
func (r *Registry) Class(name string) *Class {
	r.mu.RLock()
	c := r.classes[name]
	r.mu.RUnlock()
	if c != nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c = r.classes[name]; c == nil {
		c = &Class{}
		r.classes[name] = c
		r.classOrder = append(r.classOrder, name)
	}
	return c
}

// LimitRejections returns the count of requests that a limit of the fleet refused.
func (r *Registry) LimitRejections(limit string) *Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.byLimit[limit]
	if c == nil {
		if r.byLimit == nil {
			r.byLimit = map[string]*Counter{}
		}
		c = &Counter{}
		r.byLimit[limit] = c
		r.limitOrder = append(r.limitOrder, limit)
	}
	return c
}

// NewCounter returns a new counter that is shown under a name.
func (r *Registry) NewCounter(name string) *Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &Counter{}
	r.extra = append(r.extra, namedCounter{name, c})
	return c
}

const prefix = "app_"

// escape writes a label's value as the exposition format wants it.
var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// WriteText writes every figure, one a line, in Prometheus' text form.
func (r *Registry) WriteText(w io.Writer) error {
	b := bufio.NewWriter(w)
	r.mu.RLock()
	for _, name := range r.classOrder {
		c := r.classes[name]
		for _, f := range [...]struct {
			name  string
			count *Counter
		}{{"answered_total", &c.Answered}, {"deferred_total", &c.Deferred}, {"errored_total", &c.Errored}} {
			fmt.Fprintf(b, "%s%s{group=\"%s\"} %d\n", r.prefix, f.name, escape.Replace(name), f.count.Value())
		}
	}
	for _, name := range r.limitOrder {
		fmt.Fprintf(b, "%slimited_total{limit=\"%s\"} %d\n", r.prefix, escape.Replace(name), r.byLimit[name].Value())
	}
	more := r.extra
	r.mu.RUnlock()
	for _, f := range [...]struct {
		name  string
		value int64
	}{
		{"sends_total", int64(r.AttemptsSent.Value())},
		{"current", r.InFlight.Value()},
		{"cluster_size", r.Endpoints.Value()},
		{"cluster_unhealthy", r.UnhealthyEndpoints.Value()},
		{"unanswered_total", int64(r.Unanswered.Value())},
		{"all_refused_total", int64(r.AllEndpointsRefused.Value())},
		{"conf_loaded_total", int64(r.ConfigsLoaded.Value())},
		{"conf_invalid_total", int64(r.ConfigsRejected.Value())},
	} {
		fmt.Fprintf(b, "%s%s %d\n", r.prefix, f.name, f.value)
	}
	for _, f := range more {
		fmt.Fprintf(b, "%s%s %d\n", r.prefix, f.name, f.count.Value())
	}
	if err := b.Flush(); err != nil {
		return fmt.Errorf("write figures: %w", err)
	}
	return nil
}
