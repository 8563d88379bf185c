package core

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"syscall"
	"time"

	"birchmoor/balancer"
)

// Reasons for which a transport has no connection for an attempt, besides the system's.
var (
	ErrConnectionsExhausted = errors.New("all connections are in use")
	ErrEndpointRemoved      = errors.New("the endpoint was removed")
)

// exhaustionErrors are errors of this host and not of an endpoint.
var exhaustionErrors = []error{ErrConnectionsExhausted, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL}

const exhaustionLogInterval = time.Second

// ConnectErrors classifies the errors of attempts that found no connection. The zero value is ready; it is safe for
// concurrent use.
type ConnectErrors struct {
	mu         sync.Mutex
	lastLogged time.Time // of an exhaustion
}

// Status returns the status of an attempt that found no connection. The attempt never ran. What is not the endpoint's
// fault, an exhaustion here or a cancellation, is NotSent, so that no healthy endpoint is ejected for it.
func (c *ConnectErrors) Status(ctx context.Context, err error, log *slog.Logger) balancer.Status {
	exhausted := slices.ContainsFunc(exhaustionErrors, func(e error) bool { return errors.Is(err, e) })
	if exhausted && c.logDue() {
		log.Warn("no connection for an attempt", "error", err)
	}
	if exhausted || errors.Is(err, ErrEndpointRemoved) || errors.Is(ctx.Err(), context.Canceled) {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// logDue reports whether exhaustionLogInterval has passed since the last time that it did.
func (c *ConnectErrors) logDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastLogged) <= exhaustionLogInterval {
		return false
	}
	c.lastLogged = time.Now()
	return true
}
