package dnsfront

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/dnsfront/resend"
	"birchmoor/internal/platform/metrics"
)

// probeTimeout is the timeout of a probe, and of dialing a server if no dial timeout is configured.
const probeTimeout = 250 * time.Millisecond

// dialTimeoutDivisor divides the configured dial timeout, as for HTTP: a server that takes longer is unreachable, and
// another server may still answer the query in time.
const dialTimeoutDivisor = 4

// Upstream sends queries to servers. Over UDP each query has a random ID and, while more sockets may be opened, a
// random port of its own. An answer is accepted only from the server that received the query, at that port, and with
// that ID and question. After a truncated answer the query is sent again over TCP to the same server, as a part of the
// same attempt. Over TCP queries share connections and are answered in any order (RFC 7766).
//
// It implements core.Upstream. Its methods may be called from any goroutine.
type Upstream struct {
	clock         core.Clock
	log           *slog.Logger
	counters      *Counters
	attemptsSent  *metrics.Counter
	dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	secret        *cookieSecret
	settings      *Settings
	connectErrors core.ConnectErrors

	mu          sync.Mutex
	maxSockets  int                      // this process's share of Settings.MaxSockets
	openSockets int                      // number of sockets that are open or being opened
	idleSockets []*udpSocket             // sockets without a query, the longest idle first
	conns       map[*serverConn]struct{} // connections that are open or being opened
}

func newUpstream(
	cfg *config.Config, settings *Settings, clock core.Clock,
	counters *Counters, attemptsSent *metrics.Counter, log *slog.Logger,
) *Upstream {
	dialTimeout := time.Duration(cfg.Settings.Limits.DialTimeout) * time.Microsecond
	if dialTimeout <= 0 {
		dialTimeout = probeTimeout * dialTimeoutDivisor
	}
	return &Upstream{
		clock:        clock,
		log:          log,
		counters:     counters,
		attemptsSent: attemptsSent,
		dial:         (&net.Dialer{Timeout: dialTimeout / dialTimeoutDivisor}).DialContext,
		secret:       newCookieSecret(),
		settings:     settings,
		maxSockets:   settings.MaxSockets,
		conns:        map[*serverConn]struct{}{},
	}
}

// Target returns a new target for the server at addr, without open sockets or connections.
func (u *Upstream) Target(addr string) core.Target {
	return &serverTarget{upstream: u, addr: addr, link: resend.New()}
}

// SetConfig does nothing: the settings of the upstream side cannot be reloaded.
func (u *Upstream) SetConfig(*config.Config) {}

// AcceptsLateReplies returns true: waiting for a late answer costs no more than a port.
func (u *Upstream) AcceptsLateReplies() bool { return true }

// Maintain waits until ctx ends, and then closes the idle sockets and retires all connections. Until then each idle
// socket and connection is closed by its reader after the idle timeout.
func (u *Upstream) Maintain(ctx context.Context) {
	<-ctx.Done()
	u.mu.Lock()
	defer u.mu.Unlock()
	for len(u.idleSockets) > 0 {
		u.closeSocketLocked(u.idleSockets[0])
	}
	for conn := range u.conns {
		conn.retireLocked()
	}
}

// SetCapacityShare sets this process's share of the limits, from 0 to 1.
func (u *Upstream) SetCapacityShare(_ *config.Config, share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxSockets = max(1, int(float64(u.settings.MaxSockets)*share))
	for len(u.idleSockets) > 0 && u.openSockets > u.maxSockets {
		u.closeSocketLocked(u.idleSockets[0])
	}
}
