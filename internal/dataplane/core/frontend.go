package core

import (
	"context"
	"log/slog"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/platform/metrics"
)

// Frontend is the client side of a protocol. It is safe for concurrent use, except that Open must not be called
// concurrently with itself, StopAccepting or Wait.
type Frontend interface {
	// Open starts accepting requests. onFailure is called once if accepting ends without StopAccepting.
	Open(onFailure func(error)) error
	// StopAccepting stops accepting requests. It returns once no further request is accepted, also to a second caller
	// while the first one's call is still in progress. Further calls do nothing.
	StopAccepting()
	// SetClosing sets whether each connection is closed after its next answer.
	SetClosing(closing bool)
	// CloseIdle closes idle connections.
	CloseIdle()
	// CloseUnused closes connections on which no request has arrived yet, and returns how many of them remain open.
	// Unless all is set, it spares connections on which a request is about to arrive.
	CloseUnused(all bool) int
	// CloseIdleFor closes connections that have been idle for longer than age, and returns how many connections remain.
	CloseIdleFor(age time.Duration) int
	// SetCapacityShare sets this process's share of the limits, from 0 to 1.
	SetCapacityShare(cfg *config.Config, share float64)
	// Wait waits until all accepted requests have been answered.
	Wait()
}

// Upstream is a Transport with the methods by which a sidecar runs it.
type Upstream interface {
	Transport
	// Maintain looks after the open connections until ctx ends.
	Maintain(ctx context.Context)
	// SetCapacityShare sets this process's share of the limits, from 0 to 1.
	SetCapacityShare(cfg *config.Config, share float64)
}

// Protocol is a protocol other than HTTP. It has its own event loop.
type Protocol interface {
	// Name returns the name of the protocol in the entries of discovery's list.
	Name() string
	// Descriptors returns the maximum number of file descriptors that the protocol uses.
	Descriptors() int
	// Config derives the configuration of the protocol's event loop from that of the sidecar.
	Config(cfg *config.Config) (*config.Config, error)
	// NewUpstream returns the upstream side of the protocol.
	NewUpstream(cfg *config.Config, clock Clock, registry *metrics.Registry, log *slog.Logger) Upstream
	// NewFrontend returns the client side of the protocol, which submits requests to l.
	NewFrontend(l *EventLoop, registry *metrics.Registry, log *slog.Logger) Frontend
}
