package dnsfront

import (
	"log/slog"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/platform/metrics"
)

// Front is the DNS protocol stack that a sidecar runs beside HTTP.
type Front struct {
	Settings Settings
	Sockets  Sockets
	counters *Counters
}

var _ core.Protocol = (*Front)(nil)

// Name returns the name of the protocol in endpoint lists.
func (f *Front) Name() string { return Protocol }

// Descriptors returns how many file descriptors the front may hold.
func (f *Front) Descriptors() int { return f.Settings.Descriptors() }

// Config returns the configuration of the front's core.
func (f *Front) Config(c *config.Config) (*config.Config, error) { return f.Settings.Config(c) }

// NewUpstream returns the part that sends queries to servers. It is to be called before NewFrontend.
func (f *Front) NewUpstream(
	c *config.Config, clock core.Clock, registry *metrics.Registry, log *slog.Logger,
) core.Upstream {
	f.counters = newCounters(registry)
	return newUpstream(c, &f.Settings, clock, f.counters, &registry.AttemptsSent, log)
}

// NewFrontend returns the part that receives clients' queries.
func (f *Front) NewFrontend(eventLoop *core.EventLoop, registry *metrics.Registry, log *slog.Logger) core.Frontend {
	return NewServer(&f.Settings, eventLoop, f.Sockets, f.counters, registry, log)
}
