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
	Sends      Counter // attempts written whole to endpoints
	Current    Gauge   // requests taken and not ended
	Listed     Gauge   // endpoints in the list
	Unhealthy  Gauge   // of them avoided now, by hand or by choice
	Unanswered Counter // requests with no answer half a second past their time
	AllRefused Counter // times that all were refused for seconds, and no attempt was made
	Loaded     Counter // configurations taken at a reload
	Invalid    Counter // and turned down

	prefix string // begins the name of every figure

	mu      sync.RWMutex
	classes map[string]*Class
	order   []string            // as first named
	limited map[string]*Counter // by limit
	limits  []string            // as first named
	more    []named
}

// named is a counter that only one protocol has.
type named struct {
	name  string
	count *Counter
}

// New returns a registry that shows the named classes from the beginning.
func New(classes ...string) *Registry { return NewFor("", classes...) }

// NewFor returns one for a protocol beside HTTP, whose figures bear its name.
func NewFor(protocol string, classes ...string) *Registry {
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
		r.order = append(r.order, name)
	}
	return c
}

// Limited returns the count of requests that a limit of the fleet refused.
func (r *Registry) Limited(limit string) *Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.limited[limit]
	if c == nil {
		if r.limited == nil {
			r.limited = map[string]*Counter{}
		}
		c = &Counter{}
		r.limited[limit] = c
		r.limits = append(r.limits, limit)
	}
	return c
}

// Counter returns a new counter that is shown under a name.
func (r *Registry) Counter(name string) *Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &Counter{}
	r.more = append(r.more, named{name, c})
	return c
}

const prefix = "app_"

// escape writes a label's value as the exposition format wants it.
var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// WriteText writes every figure, one a line, in Prometheus' text form.
func (r *Registry) WriteText(w io.Writer) error {
	b := bufio.NewWriter(w)
	r.mu.RLock()
	for _, name := range r.order {
		c := r.classes[name]
		for _, f := range [...]struct {
			name  string
			count *Counter
		}{{"answered_total", &c.Answered}, {"deferred_total", &c.Deferred}, {"errored_total", &c.Errored}} {
			fmt.Fprintf(b, "%s%s{group=\"%s\"} %d\n", r.prefix, f.name, escape.Replace(name), f.count.Value())
		}
	}
	for _, name := range r.limits {
		fmt.Fprintf(b, "%slimited_total{limit=\"%s\"} %d\n", r.prefix, escape.Replace(name), r.limited[name].Value())
	}
	more := r.more
	r.mu.RUnlock()
	for _, f := range [...]struct {
		name  string
		value int64
	}{
		{"sends_total", int64(r.Sends.Value())},
		{"current", r.Current.Value()},
		{"cluster_size", r.Listed.Value()},
		{"cluster_unhealthy", r.Unhealthy.Value()},
		{"unanswered_total", int64(r.Unanswered.Value())},
		{"all_refused_total", int64(r.AllRefused.Value())},
		{"conf_loaded_total", int64(r.Loaded.Value())},
		{"conf_invalid_total", int64(r.Invalid.Value())},
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
