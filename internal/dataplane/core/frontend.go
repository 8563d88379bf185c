package core

import (
	"context"
	"log/slog"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/platform/metrics"
)

// Frontend is the client side of a protocol. It is safe for concurrent use, except that only one goroutine at a time
// may call Open and StopAccepting.
type Frontend interface {
	// Open accepts requests. broken is called once if that ends without StopAccepting.
	Open(broken func(error)) error
	// StopAccepting stops accepting requests. Further calls do nothing.
	StopAccepting()
	// SetClosing sets whether connections are closed with their next answer.
	SetClosing(on bool)
	// CloseIdle closes idle connections.
	CloseIdle()
	// CloseUnused closes connections without a request so far, either all of them or those on which none is about to
	// come, and returns how many remain.
	CloseUnused(all bool) int
	// CloseIdleFor closes connections that have been idle for longer than age, and returns how many remain.
	CloseIdleFor(age time.Duration) int
	// SetCapacityShare sets this process's share of the limits, from 0 to 1.
	SetCapacityShare(c *config.Config, share float64)
	// Wait waits until all accepted requests have their answers.
	Wait()
}

// Upstream is a Transport with what a sidecar needs to run it.
type Upstream interface {
	Transport
	// Maintain maintains the open connections until ctx ends.
	Maintain(ctx context.Context)
	// SetCapacityShare sets this process's share of the limits, from 0 to 1.
	SetCapacityShare(c *config.Config, share float64)
}

// Protocol is a protocol besides HTTP, which has an event loop of its own.
type Protocol interface {
	// Name is the name by which entries of discovery's list refer to it.
	Name() string
	// Descriptors is the number of file descriptors that it may use.
	Descriptors() int
	// Config derives the configuration of its event loop.
	Config(c *config.Config) (*config.Config, error)
	// NewUpstream returns the upstream side of its event loop.
	NewUpstream(c *config.Config, clock Clock, registry *metrics.Registry, log *slog.Logger) Upstream
	// NewFrontend returns the client side for its event loop.
	NewFrontend(l *EventLoop, registry *metrics.Registry, log *slog.Logger) Frontend
}
