package core

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"birchmoor/balancer"
)

// Why a transport has no connection for an attempt, besides what the system says.
var (
	ErrConnectionsExhausted = errors.New("all connections are in use")
	ErrEndpointRemoved      = errors.New("the endpoint is gone")
)

// ConnectErrors says what it means that there is no connection for an attempt, which never ran. The zero value is ready; it may be
// used by many goroutines at once.
type ConnectErrors struct {
	mu         sync.Mutex
	lastLogged time.Time // when a shortage was last logged
}

// Status is the attempt's. What is our own doing, a shortage or an end that we asked for, says nothing of the endpoint:
// blamed for it, a sound one would be ejected.
func (u *ConnectErrors) Status(ctx context.Context, err error, log *slog.Logger) balancer.Status {
	shortage := errors.Is(err, ErrConnectionsExhausted) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.EADDRNOTAVAIL)
	if shortage {
		u.mu.Lock()
		due := time.Since(u.lastLogged) > time.Second
		if due {
			u.lastLogged = time.Now()
		}
		u.mu.Unlock()
		if due {
			log.Warn("no connection for an attempt", "error", err)
		}
	}
	if shortage || errors.Is(err, ErrEndpointRemoved) || errors.Is(ctx.Err(), context.Canceled) {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}
