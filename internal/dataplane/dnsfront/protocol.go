package dnsfront

import (
	"log/slog"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/platform/metrics"
)

// Front is DNS as a sidecar runs it beside HTTP.
type Front struct {
	Settings Settings
	Sockets  Sockets
	counters *Counters
}

var _ core.Protocol = (*Front)(nil)

// Name is how discovery's entries name it.
func (f *Front) Name() string { return Protocol }

// Descriptors is how many it may hold.
func (f *Front) Descriptors() int { return f.Settings.Descriptors() }

// Config is the configuration of its core.
func (f *Front) Config(c *config.Config) (*config.Config, error) { return f.Settings.Config(c) }

// NewUpstream makes the side of servers.
func (f *Front) NewUpstream(c *config.Config, clk core.Clock, figures *metrics.Registry, log *slog.Logger) core.Upstream {
	f.counters = newCounters(figures)
	return newUpstream(c, &f.Settings, clk, f.counters, &figures.AttemptsSent, log)
}

// NewFrontend makes the side of clients.
func (f *Front) NewFrontend(l *core.EventLoop, figures *metrics.Registry, log *slog.Logger) core.Frontend {
	return NewServer(&f.Settings, l, f.Sockets, f.counters, figures, log)
}
