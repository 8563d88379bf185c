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

// Reasons for which a transport has no connection for an attempt, other than errors of the operating system.
var (
	ErrConnectionsExhausted = errors.New("all connections are in use")
	ErrEndpointRemoved      = errors.New("the endpoint was removed")
)

// exhaustionErrors are exhausted resources of this process or host; they say nothing about the endpoint.
var exhaustionErrors = []error{ErrConnectionsExhausted, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL}

// exhaustionLogInterval is the minimum time between two log lines about exhaustion.
const exhaustionLogInterval = time.Second

// ConnectErrors classifies the errors of attempts that got no connection. The zero value is ready to use, and safe for
// concurrent use.
type ConnectErrors struct {
	mu         sync.Mutex
	lastLogged time.Time // when exhaustion was last logged
}

// Status returns the status of an attempt that got no connection and so never ran. It is NotSent if the endpoint is not
// at fault (an exhausted resource here, a removed endpoint or a cancellation of ctx), so that no healthy endpoint is
// ejected for that; otherwise it is ConnectFailed.
func (c *ConnectErrors) Status(ctx context.Context, err error, log *slog.Logger) balancer.Status {
	exhausted := slices.ContainsFunc(exhaustionErrors, func(e error) bool { return errors.Is(err, e) })
	if exhausted && c.logDue() {
		log.Warn("attempt not sent: no connection or file descriptor is available", "error", err)
	}
	if exhausted || errors.Is(err, ErrEndpointRemoved) || errors.Is(ctx.Err(), context.Canceled) {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// logDue reports whether more than exhaustionLogInterval has passed since logDue last returned true.
func (c *ConnectErrors) logDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastLogged) <= exhaustionLogInterval {
		return false
	}
	c.lastLogged = time.Now()
	return true
}
