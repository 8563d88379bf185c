package core

import (
	"context"
	"log/slog"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/platform/metrics"
)

// Frontend is the client side of a protocol. Its methods may be called from any goroutine, Open and StopAccepting by one at a time.
type Frontend interface {
	Open(broken func(error)) error      // takes what comes; is told once if that ends unasked
	StopAccepting()                     // takes no more; it may have been stopped before
	SetClosing(on bool)                 // whether connections are to end with their answers
	CloseIdle()                         // closes what is idle
	CloseUnused(all bool) int           // closes what has asked nothing, all or what is not about to, and counts the rest
	CloseIdleFor(age time.Duration) int // closes what has been idle for longer, and counts what is open
	SetCapacityShare(c *config.Config, part float64)
	Wait() // until all that was taken has its answer
}

// Upstream is the other side.
type Upstream interface {
	Transport
	Maintain(ctx context.Context) // looks after what is open, until ctx ends
	SetCapacityShare(c *config.Config, part float64)
}

// Protocol is one that a host adds beside HTTP. It has a core of its own.
type Protocol interface {
	Name() string                                    // as discovery's entries have it
	Descriptors() int                                // that it may hold
	Config(c *config.Config) (*config.Config, error) // of its core
	NewUpstream(c *config.Config, clk Clock, figures *metrics.Registry, log *slog.Logger) Upstream
	NewFrontend(l *EventLoop, figures *metrics.Registry, log *slog.Logger) Frontend
}
