package dnsfront

import (
	"log/slog"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/platform/metrics"
)

// Front is the DNS protocol stack that a sidecar runs beside HTTP. NewUpstream must be called before NewFrontend, since
// it creates the counters that both sides share.
type Front struct {
	Settings Settings
	Sockets  Sockets
	counters *Counters
}

var _ core.Protocol = (*Front)(nil)

// Name returns the name of the protocol in the entries of endpoint lists.
func (f *Front) Name() string { return Protocol }

// Descriptors returns the maximum number of file descriptors that the front uses.
func (f *Front) Descriptors() int { return f.Settings.Descriptors() }

// Config derives the configuration of the front's event loop from that of the sidecar.
func (f *Front) Config(cfg *config.Config) (*config.Config, error) { return f.Settings.Config(cfg) }

// NewUpstream returns the part that sends queries to servers. It must be called before NewFrontend.
func (f *Front) NewUpstream(
	cfg *config.Config, clock core.Clock, registry *metrics.Registry, log *slog.Logger,
) core.Upstream {
	f.counters = newCounters(registry)
	return newUpstream(cfg, &f.Settings, clock, f.counters, &registry.AttemptsSent, log)
}

// NewFrontend returns the part that receives clients' queries and submits them to eventLoop.
func (f *Front) NewFrontend(eventLoop *core.EventLoop, registry *metrics.Registry, log *slog.Logger) core.Frontend {
	return NewServer(&f.Settings, eventLoop, f.Sockets, f.counters, registry, log)
}
