package metrics

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// namePrefix begins the names of all metrics.
const namePrefix = "app_"

// labelEscaper escapes label values as the Prometheus text format requires.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// WriteText writes all metrics in the Prometheus text format, one per line.
func (r *Registry) WriteText(w io.Writer) error {
	b := bufio.NewWriter(w) // returns the first error at Flush
	protocolCounters := r.writeLabelled(b)
	for _, m := range [...]struct {
		name  string
		value int64
	}{
		{"sends_total", int64(r.AttemptsSent.Value())},
		{"current", r.InFlight.Value()},
		{"cluster_size", r.Endpoints.Value()},
		{"cluster_unhealthy", r.UnhealthyEndpoints.Value()},
		{"unanswered_total", int64(r.Unanswered.Value())},
		{"all_refused_total", int64(r.AllRequestsRejected.Value())},
		{"conf_loaded_total", int64(r.ConfigsLoaded.Value())},
		{"conf_invalid_total", int64(r.ConfigsRejected.Value())},
	} {
		_, _ = fmt.Fprintf(b, "%s%s %d\n", r.prefix, m.name, m.value)
	}
	for _, m := range protocolCounters {
		_, _ = fmt.Fprintf(b, "%s%s %d\n", r.prefix, m.name, m.counter.Value())
	}
	if err := b.Flush(); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

// writeLabelled writes the metrics of classes and limits, and returns the counters that only this protocol has.
func (r *Registry) writeLabelled(w io.Writer) (protocolCounters []namedCounter) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, class := range r.classOrder {
		c := r.classes[class]
		r.writeCounter(w, "answered_total", "group", class, &c.Answered)
		r.writeCounter(w, "deferred_total", "group", class, &c.Deferred)
		r.writeCounter(w, "errored_total", "group", class, &c.Errored)
	}
	for _, limit := range r.limitOrder {
		r.writeCounter(w, "limited_total", "limit", limit, r.limitRejections[limit])
	}
	return r.protocolCounters
}

func (r *Registry) writeCounter(w io.Writer, name, label, value string, c *Counter) {
	_, _ = fmt.Fprintf(w, "%s%s{%s=\"%s\"} %d\n", r.prefix, name, label, labelEscaper.Replace(value), c.Value())
}
